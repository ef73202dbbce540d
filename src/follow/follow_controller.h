#ifndef REDWINGDOCK_FOLLOW_FOLLOW_CONTROLLER_H
#define REDWINGDOCK_FOLLOW_FOLLOW_CONTROLLER_H

#include "core/context.h"

// Keeps a local copy of the items in the store: lists all items, then watches for changes, and
// lists them again after a failed read, for example when the store no longer has the history. While
// the store is unavailable the copy does not change.
//
// Handles the facts store_page_read, store_changes_read and store_read_failed; writes
// published_items.

namespace redwingdock {

// Registers the hooks of the controller on the blackboard and starts the first listing.
void AddFollowController(core_context& aContext);

} // namespace redwingdock

#endif
