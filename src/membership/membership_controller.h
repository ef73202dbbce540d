#ifndef REDWINGDOCK_MEMBERSHIP_MEMBERSHIP_CONTROLLER_H
#define REDWINGDOCK_MEMBERSHIP_MEMBERSHIP_CONTROLLER_H

#include "core/context.h"

namespace redwingdock {

// Registers the hooks of the controller on the blackboard.
void AddMembershipController(core_context& aContext);

} // namespace redwingdock

#endif
