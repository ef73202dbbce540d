#ifndef REDWINGDOCK_FOLLOW_FOLLOW_CONTROLLER_H
#define REDWINGDOCK_FOLLOW_FOLLOW_CONTROLLER_H

#include "core/context.h"

// Keeps a copy of the published items: lists each feed, then watches it, and lists it again when
// the store no longer has the history. While the store is away the copy stays as it is.
//
// Reads facts store_page_read, store_changes_read and store_read_failed; writes published_items.

namespace redwingdock {

void AddFollowController(core_context& aContext);

} // namespace redwingdock

#endif
