#ifndef REDWINGDOCK_GATE_GATE_CONTROLLER_H
#define REDWINGDOCK_GATE_GATE_CONTROLLER_H

#include "core/context.h"
#include "gate/gate_hooks.h"

// Admission control for backend servers: runs parts within the permits of this daemon. Manages the
// queue of each server, its cold-start stage, its connections and their loss.

namespace redwingdock {

// Registers the controller's handlers on the blackboard.
void AddGateController(core_context& aContext, const gate_hooks& aHooks);

} // namespace redwingdock

#endif
