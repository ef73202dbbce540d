#ifndef REDWINGDOCK_MEMBERSHIP_MEMBERSHIP_CONTROLLER_H
#define REDWINGDOCK_MEMBERSHIP_MEMBERSHIP_CONTROLLER_H

#include "core/context.h"
#include "membership/membership_hooks.h"

// Tracks the VM list and the state of the other daemons, decides which permits this daemon may use,
// and exchanges views and probes with its peers. Writes member_view, confirmation_need, peer_state
// and server_permits.

namespace redwingdock {

// Registers the hooks of the controller on the blackboard.
void AddMembershipController(core_context& aContext, const membership_hooks& aHooks = {});

} // namespace redwingdock

#endif
