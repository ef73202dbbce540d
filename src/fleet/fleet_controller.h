#ifndef REDWINGDOCK_FLEET_FLEET_CONTROLLER_H
#define REDWINGDOCK_FLEET_FLEET_CONTROLLER_H

#include "core/context.h"

// Discovers the other daemons by heartbeats, starting from the configured peers, gives callers the
// addresses of serving daemons, and drains this daemon for a planned stop.
//
// Reads facts heartbeat_received, entry_requested and stop_requested, and the entries catalog and
// forward_state; writes fleet_view.

namespace redwingdock {

void AddFleetController(core_context& aContext);

} // namespace redwingdock

#endif
