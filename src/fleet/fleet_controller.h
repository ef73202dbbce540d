#ifndef REDWINGDOCK_FLEET_FLEET_CONTROLLER_H
#define REDWINGDOCK_FLEET_FLEET_CONTROLLER_H

#include "core/context.h"

// Finds the other daemons by heartbeats, starting from the configured peers, names addresses to
// callers, and takes this daemon through its planned stop.
//
// Reads facts heartbeat_received, entry_asked and stop_asked, and the entries catalog and
// forward_state; writes fleet_view.

namespace redwingdock {

void AddFleetController(core_context& aContext);

} // namespace redwingdock

#endif
