#include "follow/follow_controller.h"

#include "base/log_text.h"
#include "core/controller_facts.h"
#include "follow/copy_update.h"
#include "follow/new_history.h"

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
// Time to read what the store has before a held item leaves.
constexpr micros kHoldReadTime = std::chrono::milliseconds(100);
// Daemons that learn of a new history from the same event list the store at different times within
// this part of the time in which a change must take effect.
constexpr int kListingSpreadDivisor = 8;
// Reads use connections of their own after a failure, so late answers of an older history end by
// then. A store that still states an older era has one that is not ordered.
constexpr micros kMaxOlderEra = std::chrono::seconds(5);
// Copies of other daemons that were not heard from for this long are forgotten.
constexpr micros kPeerCopyTtl = std::chrono::seconds(60);

// Timer: starts the next read unless a later read has started.
struct read_due
{
  std::uint64_t mReadNumber = 0;

  auto operator<=>(const read_due&) const = default;
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

follow_state WithCheckSent(core_context& aContext, follow_state aState)
{
  aContext.Count("follow.checks");
  aContext.Emit(check_store{ ++aState.mCheckNumber });
  aState.mCheckedFrom = aState.mAsOf;
  aState.mCheckedAt = aContext.Now();
  aState.mChecking = true;
  return aState;
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

// After failed reads: resets their count and sets until when deletions are delayed. They must be in
// effect in time after the store could be read again, which it could not at the start of the latest
// failed read. The failure of an open connection alone does not show that the store was
// unavailable. The delay then ends within the bound on changes, counted from the earliest time at
// which a deletion may have been made.
follow_state WithStoreRegained(core_context& aContext, follow_state aState)
{
  const auto config = aContext.ForwardConfig();
  const instant now = aContext.Now();
  const instant latest =
    aState.mUnavailable
      ? aState.mUnavailableAt + std::max(config->mChangeBound, config->mDisturbanceTime)
      : aState.mConfirmedAt + config->mChangeBound;
  aState.mDelayDeletionsUntil = std::min(now + config->mDeletionDelay, latest - kDeletionMargin);
  if (aState.mUnavailable) {
    aState = WithHoldsRenewed(aContext, std::move(aState));
  }
  aContext.Log("follow",
               "event=store_regained failures=" + std::to_string(aState.mFailures) +
                 " unconfirmed_ms=" + MsText(now - aState.mConfirmedAt) + " delay_deletions_ms=" +
                 MsText(std::max(aState.mDelayDeletionsUntil - now, micros(0))));
  aState.mFailures = 0;
  aState.mUnavailable = false;
  return aState;
}

// The position that an answer states. One without an era is taken to be of the known history.
store_position StatedPosition(const store_position& aAnswered, const store_position& aKnown)
{
  return aAnswered.mEra > 0 ? aAnswered : store_position{ aKnown.mEra, aAnswered.mRevision };
}

// Records that the store has another history than the copy, which stays as it is until all of the
// new history is listed.
follow_state WithNewHistory(core_context& aContext,
                            follow_state aState,
                            const store_position& aStore,
                            const char* aSource)
{
  if (aState.mHistorySource.empty()) {
    aState.mHistorySource = aSource;
    aContext.Count("follow.history_changes");
    aContext.Log("follow",
                 "event=history_changed" + AsOfText(aState.mAsOf) +
                   " store=" + std::to_string(aStore.mRevision) +
                   " store_era=" + std::to_string(aStore.mEra) + " source=" + aSource,
                 log_level::Warning);
  }
  return aState;
}

// The store answered a read.
follow_state WithAnswer(core_context& aContext, follow_state aState)
{
  if (aState.mFailures > 0) {
    aState = WithStoreRegained(aContext, std::move(aState));
  }
  aState.mReading = false;
  return aState;
}

// Whether the copy shows what the store had when the hold ended, so that it has what was written
// again by then.
bool IsCurrentAtEnd(const follow_state& aState, instant aHoldEnd)
{
  return aState.mConfirmedAt >= aHoldEnd - kHoldReadTime;
}

// The copy has all that the store had at aConfirmedAt. Holds may have waited for that.
follow_state WithConfirmation(core_context& aContext, follow_state aState, instant aConfirmedAt)
{
  aState.mConfirmedAt = aConfirmedAt;
  if (!aState.mDelayedDeletions.empty() || !aState.mWithheld.empty()) {
    aContext.After(micros(0), kStoreKey, hold_due{});
  }
  return aState;
}

// The copy has all that the store had at aAsOf, which the store stated at aConfirmedAt.
follow_state WithCopyAt(core_context& aContext,
                        follow_state aState,
                        const store_position& aAsOf,
                        instant aConfirmedAt)
{
  aState.mAsOf = aAsOf;
  ++aState.mConfirmations;
  aState.mOlderEraSince.reset();
  return WithConfirmation(aContext, std::move(aState), aConfirmedAt);
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

// Time before the next read. What is written again shortly before a held item leaves is read before
// it leaves.
micros PauseBeforeRead(const follow_state& aState, instant aNow)
{
  micros pause = aState.mReadPause;
  for (const auto& [key, until] : aState.mDelayedDeletions) {
    const instant latest = until - kHoldReadTime;
    if (latest > aNow) {
      pause = std::min(pause, latest - aNow);
    }
  }
  return pause;
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
  if (aState.mFailures > 0) { // retries open new connections
    aState.mUnavailable = true;
    aState.mUnavailableAt = aState.mReadStartedAt;
  }
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

// Reads again later when the answer is of an older era than the copy, which only a late answer is.
// Returns false, and leaves the answer to the caller, when there is no other answer for some time.
bool RefuseOlderEra(core_context& aContext,
                    const follow_state& aState,
                    const store_position& aAnswered)
{
  if (aAnswered.mEra >= aState.mAsOf.mEra) {
    return false;
  }
  const instant since = aState.mOlderEraSince.value_or(aContext.Now());
  if (aContext.Now() - since >= kMaxOlderEra) {
    return false;
  }
  follow_state state = aState;
  state.mOlderEraSince = since;
  const std::string text = "the answer is of era " + std::to_string(aAnswered.mEra) +
                           ", the copy of era " + std::to_string(aState.mAsOf.mEra);
  RetryLater(aContext,
             std::move(state),
             { aState.mReadNumber, store_failure::Unavailable, { "read store", "", text } });
  return true;
}

// Lists everything after a random time.
void ListSoon(core_context& aContext, follow_state aState)
{
  aState.mPhase = follow_phase::Listing;
  aState.mAfter.clear();
  const micros spread = aContext.ForwardConfig()->mChangeBound / kListingSpreadDivisor;
  const micros delay(
    static_cast<std::int64_t>(aContext.Random(static_cast<std::uint64_t>(spread.count()) + 1)));
  aContext.After(delay, kStoreKey, read_due{ aState.mReadNumber });
  aContext.mBoard.Write(kStoreKey, std::move(aState));
}

void OnPage(core_context& aContext, const store_page_read& aFact)
{
  follow_state state = StateOf(aContext);
  if (state.mReadNumber != aFact.mReadNumber || state.mPhase != follow_phase::Listing) {
    return;
  }
  // The first page decides which history is listed.
  const bool isFirstPage = state.mAfter.empty();
  const store_position asOf =
    StatedPosition(aFact.mAsOf, isFirstPage ? state.mAsOf : state.mListedAsOf);
  if (isFirstPage && RefuseOlderEra(aContext, state, asOf)) {
    return;
  }
  state = WithAnswer(aContext, std::move(state));
  if (isFirstPage) {
    state.mListedAsOf = asOf;
    state.mListedAt = aContext.Now();
    state.mListedItems.clear();
  } else if (!Continues(asOf, state.mListedAsOf)) {
    aContext.Count("follow.mixed_listings");
    const std::uint64_t readNumber = state.mReadNumber;
    state = WithNewHistory(aContext, std::move(state), asOf, "listing");
    RetryLater(aContext,
               std::move(state),
               { readNumber,
                 store_failure::Unavailable,
                 { "list store", "", "the pages are of two histories" } });
    return;
  }
  for (const store_item_pointer& item : aFact.mItems) {
    state.mListedItems[item->mKey] = item;
  }
  if (aFact.mMore && !aFact.mItems.empty()) {
    state.mAfter = aFact.mItems.back()->mKey;
    StartNextRead(aContext, std::move(state));
    return;
  }
  copy_update update = BeginUpdate(aContext, std::move(state));
  if (IsOfKnownHistory(update)) {
    ApplyListing(aContext, update);
  } else {
    const store_position listed = update.mState.mListedAsOf;
    update.mState = WithNewHistory(aContext, std::move(update.mState), listed, "listing");
    ApplyNewHistory(aContext, update);
  }
  state = EndUpdate(aContext, std::move(update));
  // Pages are read at different revisions. The watch starts at the revision of the first page, so
  // that it repeats the changes made between pages.
  const store_position listedAsOf = state.mListedAsOf;
  const instant listedAt = state.mListedAt;
  state = WithCopyAt(aContext, std::move(state), listedAsOf, listedAt);
  state.mAfter.clear();
  state.mPhase = follow_phase::Watching;
  StartNextRead(aContext, std::move(state));
}

void OnChanges(core_context& aContext, const store_changes_read& aFact)
{
  follow_state state = StateOf(aContext);
  if (state.mReadNumber != aFact.mReadNumber || state.mPhase != follow_phase::Watching) {
    return;
  }
  const store_position asOf = StatedPosition(aFact.mAsOf, state.mAsOf);
  if (RefuseOlderEra(aContext, state, asOf)) {
    return;
  }
  state = WithAnswer(aContext, std::move(state));
  if (!Continues(asOf, state.mAsOf)) {
    ListSoon(aContext, WithNewHistory(aContext, std::move(state), asOf, "watch"));
    return;
  }
  state = WithCopyAt(aContext, std::move(state), asOf, aContext.Now());
  if (aFact.mItems.empty()) {
    StartNextRead(aContext, std::move(state));
    return;
  }
  copy_update update = BeginUpdate(aContext, std::move(state));
  for (const store_item_pointer& item : aFact.mItems) {
    if (!std::holds_alternative<deleted_value>(item->mValue)) {
      ApplyItem(item, update);
      continue;
    }
    update.mState.mWithheld.erase(item->mKey);
    const auto found = update.mItems.find(item->mKey);
    if (found != update.mItems.end() && found->second->mRevision < item->mRevision) {
      update.mState.mDelayedDeletions.erase(item->mKey); // it was written again in between
      RemoveOrDelay(aContext, item->mKey, update);
    }
  }
  state = EndUpdate(aContext, std::move(update));
  state.mReadPause = NextPause(*aContext.ForwardConfig(), state, aContext.Now());
  aContext.After(PauseBeforeRead(state, aContext.Now()), kStoreKey, read_due{ state.mReadNumber });
  aContext.mBoard.Write(kStoreKey, std::move(state));
}

void OnReadFailed(core_context& aContext, const store_read_failed& aFact)
{
  follow_state state = StateOf(aContext);
  if (state.mReadNumber == aFact.mReadNumber && state.mReading) {
    state.mOlderEraSince.reset();
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
    state = WithCheckSent(aContext, std::move(state));
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
  state.mChecking = false;
  if (!aFact.mAsOf) {
    const std::uint64_t readNumber = state.mReadNumber;
    state.mUnavailable = true;
    state.mUnavailableAt = state.mCheckedAt;
    // The watch waits for a store that does not answer. Listing replaces it.
    RetryLater(
      aContext, std::move(state), { readNumber, store_failure::Unavailable, aFact.mReason });
    return;
  }
  const store_position asOf = StatedPosition(*aFact.mAsOf, state.mAsOf);
  if (RefuseOlderEra(aContext, state, asOf)) {
    return;
  }
  state.mOlderEraSince.reset();
  if (!Continues(asOf, state.mCheckedFrom)) {
    ListAgain(aContext, WithNewHistory(aContext, std::move(state), asOf, "check"));
    return;
  }
  if (asOf > state.mAsOf) {
    LogBehind(aContext, state, asOf, "check");
    ListAgain(aContext, std::move(state));
    return;
  }
  ++state.mConfirmations;
  aContext.mBoard.Write(kStoreKey, WithConfirmation(aContext, std::move(state), aContext.Now()));
}

void OnPeerCopy(core_context& aContext, const peer_copy_received& aFact)
{
  follow_state state = StateOf(aContext);
  // Positions of a daemon that does not state the era, and of one that does, cannot be compared.
  if ((aFact.mAsOf.mEra == 0) != (state.mAsOf.mEra == 0)) {
    return;
  }
  if (aFact.mAsOf == state.mAsOf && aFact.mConfirmedAt > state.mConfirmedAt) {
    aContext.mBoard.Write(kStoreKey,
                          WithConfirmation(aContext, std::move(state), aFact.mConfirmedAt));
    return;
  }
  // A position that this daemon has looked for and not found is of another history.
  if (aFact.mAsOf > std::max(state.mAsOf, state.mSoughtPosition) && IsWatching(state) &&
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
  if (IsWatching(state) && state.mReadNumber == aFact.mReadNumber && state.mAsOf < aFact.mAsOf) {
    LogBehind(aContext, state, aFact.mAsOf, aFact.mVm);
    state.mSoughtPosition = aFact.mAsOf;
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

// Checks the store when the copy is too old to end a hold, unless the latest check may still be
// answered.
void CheckForHolds(core_context& aContext, follow_state aState)
{
  if (!IsWatching(aState)) {
    return; // the next read confirms the copy
  }
  const instant next = aState.mCheckedAt + kMinCheckAge;
  if (aState.mChecking && next > aContext.Now()) {
    aContext.After(next - aContext.Now(), kStoreKey, hold_due{});
    return;
  }
  aContext.mBoard.Write(kStoreKey, WithCheckSent(aContext, std::move(aState)));
}

bool HasHoldDue(const follow_state& aState, instant aNow)
{
  return std::any_of(aState.mDelayedDeletions.begin(),
                     aState.mDelayedDeletions.end(),
                     [aNow](const auto& aEach) { return aEach.second <= aNow; }) ||
         std::any_of(aState.mWithheld.begin(), aState.mWithheld.end(), [aNow](const auto& aEach) {
           return aEach.second.mUntil <= aNow;
         });
}

void OnHoldDue(core_context& aContext)
{
  const instant now = aContext.Now();
  const auto before = aContext.mBoard.Read<follow_state>(kStoreKey);
  if (!before || !HasHoldDue(*before, now)) {
    return;
  }
  copy_update update = BeginUpdate(aContext, *before);
  follow_state& state = update.mState;
  bool needsCheck = false;
  std::size_t gone = 0;
  auto& deletions = state.mDelayedDeletions;
  for (auto it = deletions.begin(); it != deletions.end();) {
    const bool isDue = it->second <= now;
    const bool isUnsure = !IsCurrentAtEnd(state, it->second);
    needsCheck = needsCheck || (isDue && isUnsure);
    if (!isDue || isUnsure) {
      ++it;
      continue;
    }
    const auto item = update.mItems.find(it->first);
    if (item != update.mItems.end()) {
      update.mDeparted.mItems.emplace(it->first,
                                      departed_item{ item->second, now + kDepartedMemory });
      update.mItems.erase(item);
    }
    it = deletions.erase(it);
    ++gone;
  }
  std::size_t back = 0;
  for (auto it = state.mWithheld.begin(); it != state.mWithheld.end();) {
    const bool isDue = it->second.mUntil <= now;
    const bool isUnsure = !IsCurrentAtEnd(state, it->second.mUntil);
    needsCheck = needsCheck || (isDue && isUnsure);
    if (!isDue || isUnsure) {
      ++it;
      continue;
    }
    update.mItems[it->first] = it->second.mItem;
    it = state.mWithheld.erase(it);
    ++back;
  }
  if (gone > 0) {
    aContext.Log("follow", "event=held_entries_gone count=" + std::to_string(gone));
  }
  if (back > 0) {
    aContext.Log("follow", "event=withheld_entries_back count=" + std::to_string(back));
  }
  if (gone + back > 0) {
    state = EndUpdate(aContext, std::move(update));
    aContext.mBoard.Write(kStoreKey, state);
  }
  if (needsCheck) {
    CheckForHolds(aContext, std::move(state));
  }
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
  board.OnFact<hold_due>([&aContext](const std::string&, const hold_due&) { OnHoldDue(aContext); });
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
