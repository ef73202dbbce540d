#ifndef REDWINGDOCK_GATE_GATE_EVENTS_H
#define REDWINGDOCK_GATE_GATE_EVENTS_H

#include "gate/gate_update.h"

// Handlers of the facts that change a gate's state. Reconcile (reconcile.h) runs after each of
// them.

namespace redwingdock {

// Queues or refuses the part. Ignores a repeated attempt, whose result was sent or will be sent.
void OnRequest(gate_update& aUpdate, waiting_part aPart);

// Cancels an attempt. Only the VM that requested it can cancel it.
void OnCancel(gate_update& aUpdate, const attempt_id& aAttempt, const std::string& aFrom);

void OnReply(gate_update& aUpdate, const part_replied& aReplied);
void OnConnection(gate_update& aUpdate, const connection_changed& aChanged);
void OnCheck(gate_update& aUpdate, const check_answered& aAnswered);
void OnRemoteEvidence(gate_update& aUpdate, const server_evidence& aEvidence);

// Asks the server to stop working on the part, unless the permit is at its connection limit.
void CancelUse(gate_update& aUpdate, const permit_use& aUse);

// Closes a connection when the server may not notice the close. The abandoned connection keeps
// counting against the limit of its permit for mSilentHold.
void AbandonConnection(gate_update& aUpdate, std::uint64_t aConnection);

} // namespace redwingdock

#endif
