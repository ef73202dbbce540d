#ifndef REDWINGDOCK_FOLLOW_FOLLOW_STATE_H
#define REDWINGDOCK_FOLLOW_FOLLOW_STATE_H

#include "core/fleet.h"
#include "core/store.h"

#include <map>

// Local copy of the store and progress of the reads that keep it current.
//
//   auto items = board.Read<published_items>(kStoreKey);

namespace redwingdock {

using item_map = std::map<std::string, store_item_pointer>; // by key

// Current items of the store. Entry key: kStoreKey.
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
  std::uint64_t mReadNumber = 0; // of the current read; replies to others are ignored
  bool mReading = false;         // the current read has been sent and not answered
  item_map mListedItems;         // items of the pages read so far
  std::string mAfter;            // key after which the next page begins
  store_position mAsOf{};        // the watch continues from this position
  instant mReadStartedAt{};      // start of the current read
  micros mReadPause{ 0 };        // before the next read, after the latest changes
  std::uint32_t mFailures = 0;   // consecutive failed reads
  bool mUnavailable = false;     // one of them was on a new connection
  // The store had nothing newer than mAsOf at this time, as it answered this daemon or another one.
  instant mConfirmedAt{};
  std::uint64_t mConfirmations = 0; // answers of the store to this daemon
  micros mCheckAge{ 0 };            // age of the confirmation at which the copy is checked
  std::uint64_t mCheckNumber = 0;   // of the latest check
  store_position mCheckedFrom{};    // mAsOf when it was sent
  std::uint64_t mBehindRead = 0;    // read during which another daemon had a newer copy
  instant mDelayDeletionsUntil{};   // deletions read before this time take effect then
  std::map<std::string, instant>
    mDelayedDeletions; // deleted keys that are still in the copy, and when they leave it

  auto operator<=>(const follow_state&) const = default;
};

// The state of another daemon's copy in its latest heartbeat. Entry key: PeerCopyKey of its VM.
struct peer_copy
{
  std::uint64_t mIncarnation = 0; // of the daemon
  store_copy mCopy;
  instant mReceivedAt{};

  auto operator<=>(const peer_copy&) const = default;
};

inline std::string PeerCopyKey(const std::string& aVm)
{
  return "copy/" + aVm;
}

} // namespace redwingdock

#endif
