#ifndef REDWINGDOCK_GATE_GATE_CONTROLLER_H
#define REDWINGDOCK_GATE_GATE_CONTROLLER_H

#include "core/context.h"
#include "gate/gate_hooks.h"

// Runs parts on backend servers under the permits of this daemon: queue, cold-start stages,
// connections, silent connections.

namespace redwingdock {

// Registers the hooks of the controller on the blackboard.
void AddGateController(core_context& aContext, const gate_hooks& aHooks);

} // namespace redwingdock

#endif
