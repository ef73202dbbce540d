#ifndef REDWINGDOCK_GATE_SETTLE_H
#define REDWINGDOCK_GATE_SETTLE_H

#include "gate/gate_turn.h"

namespace redwingdock {

// Ends a gate's processing of a fact: expired uses and connections, silence, refusals, sends, stage
// messages.
void Settle(gate_turn& aTurn);

// Time at which Settle has something to do when nothing else happens, kNever when it has not.
instant NextDue(const gate_turn& aTurn);

} // namespace redwingdock

#endif
