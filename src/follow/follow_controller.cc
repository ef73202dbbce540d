#include "follow/follow_controller.h"

#include "base/log_text.h"
#include "core/controller_facts.h"
#include "follow/follow_state.h"

#include <algorithm>
#include <utility>

namespace redwingdock {

namespace {

constexpr std::uint32_t kMaxBackoffDoublings = 8;
// The pause after changes takes at most this part of the time in which a change must take effect.
constexpr int kMaxPauseDivisor = 3;
constexpr micros kWatchWait = std::chrono::seconds(30); // the longest that the store accepts
// Time to check the store, list everything and put it into effect when a watch went silent.
constexpr micros kCheckMargin = std::chrono::seconds(1);
constexpr micros kMinCheckAge = std::chrono::milliseconds(500);
// Daemons whose copies have the same age check the store at different times, from this share of the
// longest age on. The first one confirms the copies of the others by its heartbeat.
constexpr double kMinCheckAgeShare = 0.6;
constexpr micros kMinCheckDelay = std::chrono::milliseconds(50);
// Interval of the check timer while no watch waits.
constexpr micros kIdleCheckDelay = std::chrono::milliseconds(500);
// A change that another daemon has read reaches this one by its own watch within this time.
constexpr micros kBehindDelay = std::chrono::milliseconds(500);
// Part of the bound on changes that is left to put a delayed deletion into effect.
constexpr micros kDeletionMargin = std::chrono::milliseconds(500);
// Copies of other daemons that were not heard from for this long are forgotten.
constexpr micros kPeerCopyTtl = std::chrono::seconds(60);

// Timer: starts the next read unless a later read has started.
struct read_due
{
  std::uint64_t mReadNumber = 0;

  auto operator<=>(const read_due&) const = default;
};

// Timer: a delayed deletion may be due.
struct deletion_due
{
  auto operator<=>(const deletion_due&) const = default;
};

// Timer: the copy may have to be checked. There is one at a time.
struct check_due
{
  auto operator<=>(const check_due&) const = default;
};

// Another daemon's copy is at this position. With mConfirmedAt, the store had nothing newer at that
// time. Key: kStoreKey.
struct peer_copy_received
{
  std::string mVm;
  store_position mAsOf{};
  instant mConfirmedAt{};

  auto operator<=>(const peer_copy_received&) const = default;
};

// Timer: the read should have reached the position by now.
struct behind_due
{
  std::string mVm; // that is there
  store_position mAsOf{};
  std::uint64_t mReadNumber = 0;

  auto operator<=>(const behind_due&) const = default;
};

follow_state StateOf(core_context& aContext)
{
  const auto state = aContext.mBoard.Read<follow_state>(kStoreKey);
  return state ? *state : follow_state{};
}

item_map ItemsOf(core_context& aContext)
{
  const auto items = aContext.mBoard.Read<published_items>(kStoreKey);
  return items ? items->mItems : item_map{};
}

std::string AsOfText(const store_position& aPosition)
{
  return " as_of=" + std::to_string(aPosition.mRevision) + " era=" + std::to_string(aPosition.mEra);
}

bool IsWatching(const follow_state& aState)
{
  return aState.mReading && aState.mPhase == follow_phase::Watching;
}

// The longest time without a confirmation. When open connections go silent, a change that follows
// must be in effect within the bound on changes or, if that is later, at the end of the time in
// which the bound does not hold. The two times do not add up.
micros MaxCheckAge(const forward_config& aConfig)
{
  return std::max(kMinCheckAge,
                  std::max(aConfig.mChangeBound, aConfig.mDisturbanceTime) - kCheckMargin);
}

// Sets the timer for the next check of a copy that was confirmed at aConfirmedAt.
void ScheduleCheck(core_context& aContext, follow_state& aState, instant aConfirmedAt)
{
  const micros longest = MaxCheckAge(*aContext.ForwardConfig());
  const micros shortest(
    static_cast<std::int64_t>(static_cast<double>(longest.count()) * kMinCheckAgeShare));
  const auto spread = static_cast<std::uint64_t>((longest - shortest).count());
  aState.mCheckAge = shortest + micros(static_cast<std::int64_t>(aContext.Random(spread + 1)));
  const micros delay =
    IsWatching(aState) ? std::max(aConfirmedAt + aState.mCheckAge - aContext.Now(), kMinCheckDelay)
                       : kIdleCheckDelay;
  aContext.After(delay, kStoreKey, check_due{});
}

// Starts the next read and writes the state.
void StartNextRead(core_context& aContext, follow_state aState, bool aNewConnection = false)
{
  ++aState.mReadNumber;
  aState.mReading = true;
  aState.mReadStartedAt = aContext.Now();
  const bool onNewConnection = aNewConnection || aState.mFailures > 0;
  if (aState.mPhase == follow_phase::Listing) {
    aContext.Emit(read_store_page{ aState.mReadNumber, aState.mAfter, onNewConnection });
  } else {
    aContext.Emit(
      watch_store{ aState.mReadNumber, aState.mAsOf.mRevision, kWatchWait, onNewConnection });
  }
  aContext.mBoard.Write(kStoreKey, std::move(aState));
}

// Lists everything on a new connection, in place of the current read. A new watch could miss
// changes while the store drops its history.
void ListAgain(core_context& aContext, follow_state aState)
{
  aState.mPhase = follow_phase::Listing;
  aState.mAfter.clear();
  StartNextRead(aContext, std::move(aState), true);
}

// After failed reads: resets their count and sets until when deletions are delayed. The failure of
// an open connection alone does not show that the store was unavailable. The delay then ends within
// the bound on changes, counted from the earliest time at which a deletion may have been made.
follow_state WithStoreRegained(core_context& aContext, follow_state aState)
{
  const auto config = aContext.ForwardConfig();
  const instant now = aContext.Now();
  aState.mDelayDeletionsUntil = now + config->mDeletionDelay;
  if (!aState.mUnavailable) {
    aState.mDelayDeletionsUntil = std::min(
      aState.mDelayDeletionsUntil, aState.mConfirmedAt + config->mChangeBound - kDeletionMargin);
  }
  aContext.Log("follow",
               "event=store_regained failures=" + std::to_string(aState.mFailures) +
                 " unconfirmed_ms=" + MsText(now - aState.mConfirmedAt) + " delay_deletions_ms=" +
                 MsText(std::max(aState.mDelayDeletionsUntil - now, micros(0))));
  aState.mFailures = 0;
  aState.mUnavailable = false;
  return aState;
}

// Logs that an answer of the store does not continue the history of the copy: it states another
// era, or a lower revision although the store answers in order.
void LogHistory(core_context& aContext,
                const store_position& aKnown,
                const store_position& aAnswered,
                const char* aSource)
{
  const bool isFirst = aKnown == store_position{};
  if (isFirst || (aKnown.mEra == aAnswered.mEra && aKnown.mRevision <= aAnswered.mRevision)) {
    return;
  }
  aContext.Count("follow.history_changes");
  aContext.Log("follow",
               "event=history_changed" + AsOfText(aKnown) +
                 " store=" + std::to_string(aAnswered.mRevision) +
                 " store_era=" + std::to_string(aAnswered.mEra) + " source=" + aSource,
               log_level::Warning);
}

// The store answered a read: it had nothing newer than aAsOf.
follow_state WithAnswer(core_context& aContext, follow_state aState, const store_position& aAsOf)
{
  if (aState.mFailures > 0) {
    aState = WithStoreRegained(aContext, std::move(aState));
  }
  aState.mReading = false;
  aState.mAsOf = aAsOf;
  aState.mConfirmedAt = aContext.Now();
  ++aState.mConfirmations;
  return aState;
}

// Deletes a key, or delays the deletion when the store was unavailable shortly before: entries that
// expired during the outage may be written again.
void RemoveOrDelay(core_context& aContext,
                   const std::string& aKey,
                   item_map& aItems,
                   follow_state& aState)
{
  if (!aItems.contains(aKey) || aState.mDelayedDeletions.contains(aKey)) {
    return;
  }
  if (aContext.Now() >= aState.mDelayDeletionsUntil) {
    aItems.erase(aKey);
    return;
  }
  aState.mDelayedDeletions.emplace(aKey, aState.mDelayDeletionsUntil);
  aContext.After(aState.mDelayDeletionsUntil - aContext.Now(), kStoreKey, deletion_due{});
}

// Stores an item unless the copy already has a later revision of it, and cancels a delayed
// deletion.
void ApplyItem(const store_item_pointer& aItem, item_map& aItems, follow_state& aState)
{
  const auto found = aItems.find(aItem->mKey);
  if (found != aItems.end() && found->second->mRevision > aItem->mRevision) {
    return;
  }
  aItems[aItem->mKey] = aItem;
  aState.mDelayedDeletions.erase(aItem->mKey);
}

void OnPage(core_context& aContext, const store_page_read& aFact)
{
  follow_state state = StateOf(aContext);
  if (state.mReadNumber != aFact.mReadNumber || state.mPhase != follow_phase::Listing) {
    return;
  }
  // Pages are read at different revisions. The watch starts at the revision of the first page, so
  // that it repeats the changes made between pages.
  if (state.mAfter.empty()) {
    LogHistory(aContext, state.mAsOf, aFact.mAsOf, "listing");
    state = WithAnswer(aContext, std::move(state), aFact.mAsOf);
    state.mListedItems.clear();
  }
  for (const store_item_pointer& item : aFact.mItems) {
    state.mListedItems[item->mKey] = item;
  }
  if (aFact.mMore && !aFact.mItems.empty()) {
    state.mAfter = aFact.mItems.back()->mKey;
    StartNextRead(aContext, std::move(state));
    return;
  }
  item_map items = ItemsOf(aContext);
  std::vector<std::string> gone;
  for (const auto& [key, item] : items) {
    if (!state.mListedItems.contains(key)) {
      gone.push_back(key);
    }
  }
  for (const std::string& key : gone) {
    RemoveOrDelay(aContext, key, items, state);
  }
  for (const auto& [key, item] : state.mListedItems) {
    ApplyItem(item, items, state);
  }
  aContext.Log("follow",
               "event=listed items=" + std::to_string(items.size()) +
                 " gone=" + std::to_string(gone.size()) + AsOfText(state.mAsOf));
  state.mListedItems.clear();
  state.mAfter.clear();
  state.mPhase = follow_phase::Watching;
  aContext.mBoard.Write(kStoreKey, published_items{ std::move(items) });
  StartNextRead(aContext, std::move(state));
}

// Changes come in bursts. The pause before the next read lets one call return several changes; it
// doubles during a long burst, so that few calls read it.
micros NextPause(const forward_config& aConfig, const follow_state& aState, instant aNow)
{
  const micros maxPause = std::max(aConfig.mWatchPause, aConfig.mChangeBound / kMaxPauseDivisor);
  const bool burstContinues = aNow - aState.mReadStartedAt < maxPause;
  return burstContinues ? std::clamp(2 * aState.mReadPause, aConfig.mWatchPause, maxPause)
                        : aConfig.mWatchPause;
}

void OnChanges(core_context& aContext, const store_changes_read& aFact)
{
  follow_state state = StateOf(aContext);
  if (state.mReadNumber != aFact.mReadNumber || state.mPhase != follow_phase::Watching) {
    return;
  }
  LogHistory(aContext, state.mAsOf, aFact.mAsOf, "watch");
  const store_position asOf{ aFact.mAsOf.mEra,
                             std::max(state.mAsOf.mRevision, aFact.mAsOf.mRevision) };
  state = WithAnswer(aContext, std::move(state), asOf);
  if (!aFact.mItems.empty()) {
    item_map items = ItemsOf(aContext);
    for (const store_item_pointer& item : aFact.mItems) {
      if (!std::holds_alternative<deleted_value>(item->mValue)) {
        ApplyItem(item, items, state);
        continue;
      }
      const auto found = items.find(item->mKey);
      if (found != items.end() && found->second->mRevision < item->mRevision) {
        RemoveOrDelay(aContext, item->mKey, items, state);
      }
    }
    aContext.mBoard.Write(kStoreKey, published_items{ std::move(items) });
  }
  if (aFact.mItems.empty()) {
    StartNextRead(aContext, std::move(state));
    return;
  }
  state.mReadPause = NextPause(*aContext.ForwardConfig(), state, aContext.Now());
  aContext.After(state.mReadPause, kStoreKey, read_due{ state.mReadNumber });
  aContext.mBoard.Write(kStoreKey, std::move(state));
}

// Records that the store could not be read, and reads again after a delay.
void RetryLater(core_context& aContext, follow_state aState, const store_read_failed& aFact)
{
  const auto config = aContext.ForwardConfig();
  if (aState.mFailures == 0) {
    aContext.Log("follow",
                 "event=store_lost" + AsOfText(aState.mAsOf) +
                   " unconfirmed_ms=" + MsText(aContext.Now() - aState.mConfirmedAt) +
                   " reason=\"" + Describe(aFact.mReason) + "\"",
                 log_level::Warning);
  }
  aContext.Count("follow.failures");
  aState.mUnavailable = aState.mUnavailable || aState.mFailures > 0; // retries open new connections
  ++aState.mFailures;
  // A new watch may miss changes while the store drops its history. A listing returns the current
  // items.
  aState.mPhase = follow_phase::Listing;
  aState.mAfter.clear();
  if (aFact.mFailure == store_failure::HistoryGone) {
    StartNextRead(aContext, std::move(aState));
    return;
  }
  aState.mReading = false;
  const auto doublings = std::min(aState.mFailures - 1, kMaxBackoffDoublings);
  const micros wait =
    std::min(config->mMaxRetryDelay, config->mInitialRetryDelay * (std::int64_t{ 1 } << doublings));
  // Jitter: daemons that lost the store at the same time must not all retry at the same time.
  const micros spread(
    static_cast<std::int64_t>(aContext.Random(static_cast<std::uint64_t>(wait.count()) / 2 + 1)));
  aContext.After(wait / 2 + spread, kStoreKey, read_due{ aState.mReadNumber });
  aContext.mBoard.Write(kStoreKey, std::move(aState));
}

void OnReadFailed(core_context& aContext, const store_read_failed& aFact)
{
  follow_state state = StateOf(aContext);
  if (state.mReadNumber == aFact.mReadNumber && state.mReading) {
    RetryLater(aContext, std::move(state), aFact);
  }
}

void ForgetSilentPeers(core_context& aContext)
{
  for (const auto& [key, copy] : aContext.mBoard.List<peer_copy>()) {
    if (aContext.Now() - copy->mReceivedAt > kPeerCopyTtl) {
      aContext.mBoard.Erase<peer_copy>(key);
    }
  }
}

// Reads the position of the store when the copy has not been confirmed for some time: the watch may
// wait on a connection that no longer delivers data.
void OnCheckDue(core_context& aContext)
{
  follow_state state = StateOf(aContext);
  instant confirmedAt = state.mConfirmedAt;
  if (IsWatching(state) && aContext.Now() - confirmedAt >= state.mCheckAge) {
    aContext.Count("follow.checks");
    aContext.Emit(check_store{ ++state.mCheckNumber });
    state.mCheckedFrom = state.mAsOf;
    ForgetSilentPeers(aContext);
    confirmedAt = aContext.Now(); // if the check succeeds
  }
  ScheduleCheck(aContext, state, confirmedAt);
  aContext.mBoard.Write(kStoreKey, std::move(state));
}

void LogBehind(core_context& aContext,
               const follow_state& aState,
               const store_position& aStore,
               const std::string& aSource)
{
  aContext.Count("follow.behind");
  aContext.Log("follow",
               "event=copy_behind" + AsOfText(aState.mAsOf) +
                 " store=" + std::to_string(aStore.mRevision) +
                 " store_era=" + std::to_string(aStore.mEra) + " source=" + aSource +
                 " watch_open_ms=" + MsText(aContext.Now() - aState.mReadStartedAt),
               log_level::Warning);
}

void OnChecked(core_context& aContext, const store_checked& aFact)
{
  follow_state state = StateOf(aContext);
  if (state.mCheckNumber != aFact.mCheckNumber || !IsWatching(state)) {
    return;
  }
  if (!aFact.mAsOf) {
    const std::uint64_t readNumber = state.mReadNumber;
    state.mUnavailable = true;
    // The watch waits for a store that does not answer. Listing replaces it.
    RetryLater(
      aContext, std::move(state), { readNumber, store_failure::Unavailable, aFact.mReason });
    return;
  }
  LogHistory(aContext, state.mCheckedFrom, *aFact.mAsOf, "check");
  if (aFact.mAsOf->mRevision > state.mAsOf.mRevision) {
    LogBehind(aContext, state, *aFact.mAsOf, "check");
    ListAgain(aContext, std::move(state));
    return;
  }
  state.mConfirmedAt = aContext.Now();
  ++state.mConfirmations;
  aContext.mBoard.Write(kStoreKey, std::move(state));
}

void OnPeerCopy(core_context& aContext, const peer_copy_received& aFact)
{
  follow_state state = StateOf(aContext);
  if (aFact.mAsOf.mRevision == state.mAsOf.mRevision && aFact.mConfirmedAt > state.mConfirmedAt) {
    state.mConfirmedAt = aFact.mConfirmedAt;
    aContext.mBoard.Write(kStoreKey, std::move(state));
    return;
  }
  if (aFact.mAsOf.mRevision > state.mAsOf.mRevision && IsWatching(state) &&
      state.mBehindRead != state.mReadNumber) {
    state.mBehindRead = state.mReadNumber;
    aContext.After(
      kBehindDelay, kStoreKey, behind_due{ aFact.mVm, aFact.mAsOf, state.mReadNumber });
    aContext.mBoard.Write(kStoreKey, std::move(state));
  }
}

void OnBehindDue(core_context& aContext, const behind_due& aFact)
{
  follow_state state = StateOf(aContext);
  if (IsWatching(state) && state.mReadNumber == aFact.mReadNumber &&
      state.mAsOf.mRevision < aFact.mAsOf.mRevision) {
    LogBehind(aContext, state, aFact.mAsOf, aFact.mVm);
    ListAgain(aContext, std::move(state));
  }
}

// A confirmation of another daemon counts from its previous heartbeat on. Only the clock of this
// daemon tells when that was, so a daemon that was suspended cannot make an old copy look current.
void OnHeartbeat(core_context& aContext, const heartbeat& aHeartbeat)
{
  const std::string& vm = aHeartbeat.mSender.mVm;
  if (aHeartbeat.mStore.mConfirmations == 0 || vm == aContext.mConfig.mVm) {
    return;
  }
  const peer_copy received{ aHeartbeat.mSender.mIncarnation, aHeartbeat.mStore, aContext.Now() };
  const auto before = aContext.mBoard.Read<peer_copy>(PeerCopyKey(vm));
  const bool sameStart = before && before->mIncarnation == received.mIncarnation;
  if (sameStart && before->mCopy.mConfirmations > received.mCopy.mConfirmations) {
    return; // a later heartbeat has overtaken this one
  }
  const bool confirmed = sameStart && before->mCopy.mConfirmations < received.mCopy.mConfirmations;
  aContext.mBoard.Write(PeerCopyKey(vm), received);
  aContext.mBoard.Post(
    kStoreKey,
    peer_copy_received{ vm, received.mCopy.mAsOf, confirmed ? before->mReceivedAt : instant{} });
}

void OnReadDue(core_context& aContext, const read_due& aFact)
{
  follow_state state = StateOf(aContext);
  if (state.mReadNumber == aFact.mReadNumber) {
    StartNextRead(aContext, std::move(state));
  }
}

void OnDeletionDue(core_context& aContext)
{
  follow_state state = StateOf(aContext);
  item_map items = ItemsOf(aContext);
  std::size_t expired = 0;
  for (auto it = state.mDelayedDeletions.begin(); it != state.mDelayedDeletions.end();) {
    if (it->second > aContext.Now()) {
      ++it;
      continue;
    }
    items.erase(it->first);
    it = state.mDelayedDeletions.erase(it);
    ++expired;
  }
  if (expired == 0) {
    return;
  }
  aContext.Log("follow", "event=held_entries_gone count=" + std::to_string(expired));
  aContext.mBoard.Write(kStoreKey, std::move(state));
  aContext.mBoard.Write(kStoreKey, published_items{ std::move(items) });
}

} // namespace

void AddFollowController(core_context& aContext)
{
  blackboard& board = aContext.mBoard;
  board.OnFact<store_page_read>(
    [&aContext](const std::string&, const store_page_read& aFact) { OnPage(aContext, aFact); });
  board.OnFact<store_changes_read>(
    [&aContext](const std::string&, const store_changes_read& aFact) {
      OnChanges(aContext, aFact);
    });
  board.OnFact<store_read_failed>([&aContext](const std::string&, const store_read_failed& aFact) {
    OnReadFailed(aContext, aFact);
  });
  board.OnFact<read_due>(
    [&aContext](const std::string&, const read_due& aFact) { OnReadDue(aContext, aFact); });
  board.OnFact<deletion_due>(
    [&aContext](const std::string&, const deletion_due&) { OnDeletionDue(aContext); });
  board.OnFact<store_checked>(
    [&aContext](const std::string&, const store_checked& aFact) { OnChecked(aContext, aFact); });
  board.OnFact<check_due>(
    [&aContext](const std::string&, const check_due&) { OnCheckDue(aContext); });
  board.OnFact<heartbeat_received>(
    [&aContext](const std::string&, const heartbeat_received& aFact) {
      OnHeartbeat(aContext, aFact.mHeartbeat);
    });
  board.OnFact<peer_copy_received>(
    [&aContext](const std::string&, const peer_copy_received& aFact) {
      OnPeerCopy(aContext, aFact);
    });
  board.OnFact<behind_due>(
    [&aContext](const std::string&, const behind_due& aFact) { OnBehindDue(aContext, aFact); });
  aContext.After(micros(0), kStoreKey, read_due{ 0 });
  aContext.After(micros(0), kStoreKey, check_due{});
}

} // namespace redwingdock
