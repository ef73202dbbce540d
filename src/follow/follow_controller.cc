#include "follow/follow_controller.h"

#include "core/controller_facts.h"
#include "follow/follow_state.h"

#include <algorithm>
#include <utility>

namespace redwingdock {

namespace {

constexpr std::uint32_t kMaxBackoffDoublings = 8;
// The pause after changes takes at most this part of the time in which a change must take effect.
constexpr int kMaxPauseDivisor = 3;
// Time to time out a silent watch, list everything and put it into effect.
constexpr micros kWatchRecovery = std::chrono::seconds(2);
constexpr micros kMinWatchWait = std::chrono::seconds(1);
constexpr micros kMaxWatchWait = std::chrono::seconds(30); // that the store accepts

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

// A watch whose connection has gone silent ends after this wait. A change that was published in the
// meantime must still take effect in its time, which counts from the end of the disturbance.
micros WatchWait(const forward_config& aConfig)
{
  return std::clamp(
    aConfig.mDisturbanceTime + aConfig.mChangeBound - kWatchRecovery, kMinWatchWait, kMaxWatchWait);
}

// Starts the next read and writes the state.
void StartNextRead(core_context& aContext, follow_state aState)
{
  ++aState.mReadNumber;
  aState.mReadStartedAt = aContext.Now();
  if (aState.mPhase == follow_phase::Listing) {
    aContext.Emit(read_store_page{ aState.mReadNumber, aState.mAfter });
  } else {
    aContext.Emit(
      watch_store{ aState.mReadNumber, aState.mAsOf, WatchWait(*aContext.ForwardConfig()) });
  }
  aContext.mBoard.Write(kStoreKey, std::move(aState));
}

// Resets the failure count after a successful read.
follow_state RecordSuccess(core_context& aContext, follow_state aState)
{
  if (aState.mFailures > 0) {
    aContext.Log("follow", "event=store_regained failures=" + std::to_string(aState.mFailures));
    aState.mFailures = 0;
  }
  return aState;
}

// Deletes a key, or delays the deletion by mDeletionDelay when the store was unavailable shortly
// before: entries that expired during the outage may be written again.
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
  const micros wait = aContext.ForwardConfig()->mDeletionDelay;
  aState.mDelayedDeletions.emplace(aKey, aContext.Now() + wait);
  aContext.After(wait, kStoreKey, deletion_due{});
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
  state = RecordSuccess(aContext, std::move(state));
  // Pages are read at different revisions. The watch starts at the revision of the first page, so
  // that it repeats the changes made between pages.
  if (state.mAfter.empty()) {
    state.mAsOf = aFact.mAsOf;
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
                 " gone=" + std::to_string(gone.size()) + " as_of=" + std::to_string(state.mAsOf));
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
  state = RecordSuccess(aContext, std::move(state));
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
  state.mAsOf = std::max(state.mAsOf, aFact.mAsOf);
  if (aFact.mItems.empty()) {
    StartNextRead(aContext, std::move(state));
    return;
  }
  state.mReadPause = NextPause(*aContext.ForwardConfig(), state, aContext.Now());
  aContext.After(state.mReadPause, kStoreKey, read_due{ state.mReadNumber });
  aContext.mBoard.Write(kStoreKey, std::move(state));
}

void OnReadFailed(core_context& aContext, const store_read_failed& aFact)
{
  follow_state state = StateOf(aContext);
  if (state.mReadNumber != aFact.mReadNumber) {
    return;
  }
  const auto config = aContext.ForwardConfig();
  if (state.mFailures == 0) {
    aContext.Log("follow",
                 "event=store_lost as_of=" + std::to_string(state.mAsOf) + " reason=\"" +
                   Describe(aFact.mReason) + "\"",
                 log_level::Warning);
  }
  aContext.Count("follow.failures");
  ++state.mFailures;
  state.mDelayDeletionsUntil = aContext.Now() + config->mDeletionDelayWindow;
  // A new watch may miss changes while the store drops its history. A listing returns the current
  // items.
  state.mPhase = follow_phase::Listing;
  state.mAfter.clear();
  if (aFact.mFailure == store_failure::HistoryGone) {
    StartNextRead(aContext, std::move(state));
    return;
  }
  const auto doublings = std::min(state.mFailures - 1, kMaxBackoffDoublings);
  const micros wait =
    std::min(config->mMaxRetryDelay, config->mInitialRetryDelay * (std::int64_t{ 1 } << doublings));
  // Jitter: daemons that lost the store at the same time must not all retry at the same time.
  const micros spread(
    static_cast<std::int64_t>(aContext.Random(static_cast<std::uint64_t>(wait.count()) / 2 + 1)));
  aContext.After(wait / 2 + spread, kStoreKey, read_due{ state.mReadNumber });
  aContext.mBoard.Write(kStoreKey, std::move(state));
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
  aContext.After(micros(0), kStoreKey, read_due{ 0 });
}

} // namespace redwingdock
