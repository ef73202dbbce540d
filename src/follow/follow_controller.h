#ifndef REDWINGDOCK_FOLLOW_FOLLOW_CONTROLLER_H
#define REDWINGDOCK_FOLLOW_FOLLOW_CONTROLLER_H

#include "core/context.h"

// Keeps a local copy of the items in the store: lists all items, then watches for changes, and
// lists them again after a failed read, for example when the store no longer has the history, or
// when an answer does not continue the history of the copy. While the store is unavailable the copy
// does not change.
//
// Handles the facts store_page_read, store_changes_read, store_read_failed, store_checked and
// heartbeat_received; writes published_items, departed_items and follow_state.

namespace redwingdock {

// Registers the hooks of the controller on the blackboard and starts the first listing.
void AddFollowController(core_context& aContext);

} // namespace redwingdock

#endif
