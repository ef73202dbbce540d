#ifndef REDWINGDOCK_SAFETY_SAFETY_CONTROLLER_H
#define REDWINGDOCK_SAFETY_SAFETY_CONTROLLER_H

#include "core/context.h"

namespace redwingdock {

// Registers the hooks of the controller on the blackboard.
void AddSafetyController(core_context& aContext);

} // namespace redwingdock

#endif
