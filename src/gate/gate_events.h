#ifndef REDWINGDOCK_GATE_GATE_EVENTS_H
#define REDWINGDOCK_GATE_GATE_EVENTS_H

#include "gate/gate_turn.h"

// Changes of a gate's state by single facts. Each is followed by Settle (settle.h).

namespace redwingdock {

// Queues the part or refuses it. A repeated attempt is ignored: it has its result or will get it.
void OnRequest(gate_turn& aTurn, waiting_part aPart);

// Only the VM that asked for an attempt can cancel it.
void OnCancel(gate_turn& aTurn, const attempt_id& aAttempt, const std::string& aFrom);

void OnReply(gate_turn& aTurn, const part_replied& aReplied);
void OnConnection(gate_turn& aTurn, const connection_changed& aChanged);
void OnCheck(gate_turn& aTurn, const check_answered& aAnswered);
void OnForeignEvidence(gate_turn& aTurn, const server_evidence& aEvidence);

// Asks the server to stop working on the part of a use, if the permit has room for the connection.
void CancelUse(gate_turn& aTurn, const permit_use& aUse);

// Closes a connection of which the server may not learn, and counts it for mSilentHold.
void HoldConnection(gate_turn& aTurn, std::uint64_t aConnection);

} // namespace redwingdock

#endif
