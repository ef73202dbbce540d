#ifndef REDWINGDOCK_GATE_RECONCILE_H
#define REDWINGDOCK_GATE_RECONCILE_H

#include "gate/gate_update.h"

namespace redwingdock {

// Brings the gate up to date after a fact: expires uses and connections, checks silent connections,
// refuses parts, sends parts and stage messages.
void Reconcile(gate_update& aUpdate);

// Next time at which Reconcile must run if no other fact arrives; kNever if it need not.
instant NextDue(const gate_update& aUpdate);

} // namespace redwingdock

#endif
