#ifndef REDWINGDOCK_FOLLOW_FOLLOW_STATE_H
#define REDWINGDOCK_FOLLOW_FOLLOW_STATE_H

#include "core/fleet.h"
#include "core/store.h"

#include <map>
#include <optional>

// Local copy of the store and progress of the reads that keep it current.
//
//   auto items = board.Read<published_items>(kStoreKey);

namespace redwingdock {

using item_map = std::map<std::string, store_item_pointer>; // by key

// Current items of the store, with revisions of the history of follow_state::mAsOf. Items that this
// history does not have, and that are held for a time, have revision 0. Entry key: kStoreKey.
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

// An item that left the copy: its last known state.
struct departed_item
{
  store_item_pointer mItem;
  instant mForgetAt{};

  auto operator<=>(const departed_item&) const = default;
};

// Items that left the copy a short time ago, by key. Entry key: kStoreKey.
struct departed_items
{
  std::map<std::string, departed_item> mItems;

  auto operator<=>(const departed_items&) const = default;
};

// An item that a new history has although it had left.
struct withheld_item
{
  store_item_pointer mItem;
  instant mUntil{}; // takes effect then

  auto operator<=>(const withheld_item&) const = default;
};

// Progress of the reads. Entry key: kStoreKey.
struct follow_state
{
  follow_phase mPhase = follow_phase::Listing;
  std::uint64_t mReadNumber = 0; // of the current read; replies to others are ignored
  bool mReading = false;         // the current read has been sent and not answered
  item_map mListedItems;         // items of the pages read so far
  store_position mListedAsOf{};  // of the first page
  instant mListedAt{};           // when it was read
  std::string mAfter;            // key after which the next page begins
  store_position mAsOf{};        // of the copy; the watch continues from here
  instant mReadStartedAt{};      // start of the current read
  micros mReadPause{ 0 };        // before the next read, after the latest changes
  std::uint32_t mFailures = 0;   // consecutive failed reads
  bool mUnavailable = false;     // one of them was on a new connection
  instant mUnavailableAt{};      // start of the latest of these
  // The store had nothing newer than mAsOf at this time, as it answered this daemon or another one.
  instant mConfirmedAt{};
  std::uint64_t mConfirmations = 0; // answers of the store to this daemon
  micros mCheckAge{ 0 };            // age of the confirmation at which the copy is checked
  std::uint64_t mCheckNumber = 0;   // of the latest check
  store_position mCheckedFrom{};    // mAsOf when it was sent
  std::uint64_t mBehindRead = 0;    // read during which another daemon had a newer copy
  store_position mSoughtPosition{}; // up to which positions of other daemons were looked for
  // How the daemon learned that the store has another history than the copy; empty when it has not.
  std::string mHistorySource;
  std::optional<instant> mOlderEraSince; // since then all answers stated an earlier era
  instant mDelayDeletionsUntil{};        // deletions read before this time take effect then
  instant mDeletionTimer{};              // the latest time for which their timer was set
  instant mCheckedAt{};                  // when the latest check was sent
  bool mChecking = false;                // and it has not been answered
  std::map<std::string, instant>
    mDelayedDeletions; // keys that the store no longer has, and when they leave the copy
  std::map<std::string, withheld_item> mWithheld; // by key
  bool mHolds = false; // the two maps had entries since the latest new history

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
