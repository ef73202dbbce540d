#ifndef REDWINGDOCK_FOLLOW_FOLLOW_STATE_H
#define REDWINGDOCK_FOLLOW_FOLLOW_STATE_H

#include "core/store.h"

#include <map>

// What is known of the store.
//
//   auto items = board.Read<published_items>(kStoreKey);

namespace redwingdock {

using item_map = std::map<std::string, store_item_pointer>; // by key

// Items in force. Entry key: kStoreKey.
struct published_items
{
  item_map mItems;

  auto operator<=>(const published_items&) const = default;
};

enum class follow_phase
{
  Listing,
  Watching,
};

// Progress of the reads. Entry key: kStoreKey.
struct follow_state
{
  follow_phase mPhase = follow_phase::Listing;
  std::uint64_t mRound = 0;    // of the read that is running; replies of others are ignored
  item_map mListed;            // pages read so far
  std::string mAfter;          // last key of those pages
  std::uint64_t mAsOf = 0;     // the watch continues from this revision
  instant mReadAt{};           // start of the read that is running
  micros mPause{ 0 };          // after the last changes
  std::uint32_t mFailures = 0; // in a row
  instant mDistrustUntil{};    // deletions are held until then
  std::map<std::string, instant> mHeld; // keys that are gone, and when they count as gone

  auto operator<=>(const follow_state&) const = default;
};

} // namespace redwingdock

#endif
