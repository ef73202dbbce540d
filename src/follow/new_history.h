#ifndef REDWINGDOCK_FOLLOW_NEW_HISTORY_H
#define REDWINGDOCK_FOLLOW_NEW_HISTORY_H

#include "follow/follow_state.h"

// What becomes of the copy of the store when the store returns from a copy of its own that is some
// seconds old. Its new history lacks what was written since, until it is written again, and has
// what was deleted since.
//
//   adopted_history adopted = AdoptHistory(known, listed, { now, now + seconds(2) });

namespace redwingdock {

// Copies that a store returns from are seconds old, so they do not have what left earlier.
inline constexpr micros kDepartedMemory = std::chrono::seconds(60);
// An operator writes again what the store lost when the loss is noticed, not with each heartbeat as
// replicas do.
inline constexpr micros kOperatorRewriteTime = std::chrono::seconds(5);
// A replica that left does not write its entry again, and the store removes the entry after three
// heartbeat intervals (3.6 s). An entry that is still there after this time belongs to a running
// replica.
inline constexpr micros kWithheldReplicaTime = std::chrono::seconds(10);
// An operator who took a closed zone back does so again within minutes, or wants it closed.
inline constexpr micros kWithheldZoneTime = std::chrono::seconds(60);

// The copy before the new history.
struct known_copy
{
  item_map mItems;
  departed_items mDeparted;
  std::map<std::string, instant> mDelayedDeletions; // by key

  auto operator<=>(const known_copy&) const = default;
};

struct hold_times
{
  instant mNow{};
  instant mReplicasUntil{}; // entries that are missing and are not the operator's leave then

  auto operator<=>(const hold_times&) const = default;
};

struct adopted_history
{
  item_map mItems;
  std::map<std::string, withheld_item> mWithheld;
  std::map<std::string, instant> mDelayedDeletions;
  std::size_t mHeld = 0;     // items that the new history lacks
  std::size_t mReplaced = 0; // items that it has with another value

  auto operator<=>(const adopted_history&) const = default;
};

// The highest revision of a listed item that is the known one: the store's copy has all revisions
// up to it, and gives out again only later ones.
std::uint64_t RevisionOfCopy(const item_map& aListed, const item_map& aKnown);

// Whether aItem is a state of the departed item that the store has brought back, not a later one. A
// replica tells by its start and sequence. For other items it must be certain that their revision
// was not given out again: a zone that is closed for too long does less harm than one that is not.
bool IsRestored(const store_item& aItem, const store_item& aDeparted, std::uint64_t aCopyRevision);

// Whether an item of a later listing has a lower revision than the known one, or the same revision
// with another value. In one history neither can be.
bool HasGoneBack(const item_map& aListed, const item_map& aKnown);

// Combines a whole listing of the new history with the copy.
adopted_history AdoptHistory(const known_copy& aKnown,
                             const item_map& aListed,
                             const hold_times& aTimes);

} // namespace redwingdock

#endif
