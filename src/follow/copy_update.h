#ifndef REDWINGDOCK_FOLLOW_COPY_UPDATE_H
#define REDWINGDOCK_FOLLOW_COPY_UPDATE_H

#include "core/context.h"
#include "follow/follow_state.h"

#include <string>

// Applies listings and changes of the store to the local copy, and holds back what may be written
// again or should not come back. Used by the follow controller.
//
//   copy_update update = BeginUpdate(context, state);
//   ApplyListing(context, update);
//   state = EndUpdate(context, std::move(update));

namespace redwingdock {

// Part of the bound on changes that is left to put a delayed deletion into effect.
inline constexpr micros kDeletionMargin = std::chrono::milliseconds(500);

// Timer: a delayed deletion or a withheld item may be due.
struct hold_due
{
  auto operator<=>(const hold_due&) const = default;
};

// The copy and its state while changes are applied to it.
struct copy_update
{
  follow_state mState;
  item_map mItems;
  departed_items mDeparted;
};

// For log lines: " as_of=541 era=2".
std::string AsOfText(const store_position& aPosition);

copy_update BeginUpdate(core_context& aContext, follow_state aState);

// Writes what the update changed other than the state, which it returns.
follow_state EndUpdate(core_context& aContext, copy_update aUpdate);

// Sets a timer for each time at which holds end. There are few, while thousands of items can be
// held.
void ScheduleHolds(core_context& aContext, const follow_state& aState);

// Nothing was written again while the store was unavailable, so held items get their time again.
follow_state WithHoldsRenewed(core_context& aContext, follow_state aState);

// Deletes a key, or delays the deletion when the store was unavailable shortly before: entries that
// expired during the outage may be written again.
void RemoveOrDelay(core_context& aContext, const std::string& aKey, copy_update& aUpdate);

// Stores an item unless the copy already has a later revision of it or withholds this one, and
// cancels a delayed deletion.
void ApplyItem(const store_item_pointer& aItem, copy_update& aUpdate);

// Whether the listing is of the history that the copy is of. Without eras a counter that has passed
// the known revision hides a new history, unless it was noticed before or an item has gone back.
bool IsOfKnownHistory(const copy_update& aUpdate);

// The whole listing of the history that the copy is of: deletes what it lacks and stores what it
// has.
void ApplyListing(core_context& aContext, copy_update& aUpdate);

// The whole listing of a new history. Entries that it lacks may be written again within the delay
// of deletions, which is counted from now because nothing tells when the store returned; after an
// outage, what was deleted must have left when the disturbance ends. Deletions that are read from
// now on must be in effect within the bound of a change or, if that is later, at the end of the
// time in which the bound does not hold.
void ApplyNewHistory(core_context& aContext, copy_update& aUpdate);

} // namespace redwingdock

#endif
