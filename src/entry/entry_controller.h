#ifndef REDWINGDOCK_ENTRY_ENTRY_CONTROLLER_H
#define REDWINGDOCK_ENTRY_ENTRY_CONTROLLER_H

#include "core/context.h"

namespace redwingdock {

// Registers the controller that assigns entry VMs to callers and drains this daemon for a planned
// stop.
//
// Reads facts entry_requested and stop_requested, and the entries member_view, tables_in_force,
// peer_state, query_state and gate_load; writes drain_state.
void AddEntryController(core_context& aContext);

} // namespace redwingdock

#endif
