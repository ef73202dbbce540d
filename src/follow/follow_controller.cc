#include "follow/follow_controller.h"

#include "core/core_facts.h"
#include "follow/follow_state.h"

#include <algorithm>
#include <utility>

namespace redwingdock {

namespace {

constexpr std::uint32_t kMostDoublings = 8;

// Timer: starts the next read unless a later round has started.
struct read_due
{
  std::uint64_t mRound = 0;

  auto operator<=>(const read_due&) const = default;
};

// Timer: a delayed deletion may have become due.
struct hold_due
{
  auto operator<=>(const hold_due&) const = default;
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

// Starts the next read and writes the state.
void Continue(core_context& aContext, follow_state aState)
{
  ++aState.mRound;
  aState.mReadAt = aContext.Now();
  if (aState.mPhase == follow_phase::Listing) {
    aContext.Emit(read_store_page{ aState.mRound, aState.mAfter });
  } else {
    aContext.Emit(watch_store{ aState.mRound, aState.mAsOf, aContext.Forward()->mWatchWait });
  }
  aContext.mBoard.Write(kStoreKey, std::move(aState));
}

follow_state Heard(core_context& aContext, follow_state aState)
{
  if (aState.mFailures > 0) {
    aContext.Log("follow", "event=store_regained failures=" + std::to_string(aState.mFailures));
    aState.mFailures = 0;
  }
  return aState;
}

// Deletes a key, or delays the deletion by mReturnTime when the store was unavailable shortly
// before: entries that expired during the outage may be written again.
void Remove(core_context& aContext, const std::string& aKey, item_map& aItems, follow_state& aState)
{
  if (!aItems.contains(aKey) || aState.mHeld.contains(aKey)) {
    return;
  }
  if (aContext.Now() >= aState.mDistrustUntil) {
    aItems.erase(aKey);
    return;
  }
  const micros wait = aContext.Forward()->mReturnTime;
  aState.mHeld.emplace(aKey, aContext.Now() + wait);
  aContext.After(wait, kStoreKey, hold_due{});
}

void Put(const store_item_pointer& aItem, item_map& aItems, follow_state& aState)
{
  const auto found = aItems.find(aItem->mKey);
  if (found != aItems.end() && found->second->mRevision > aItem->mRevision) {
    return;
  }
  aItems[aItem->mKey] = aItem;
  aState.mHeld.erase(aItem->mKey);
}

void OnPage(core_context& aContext, const store_page_read& aFact)
{
  follow_state state = StateOf(aContext);
  if (state.mRound != aFact.mRound || state.mPhase != follow_phase::Listing) {
    return;
  }
  state = Heard(aContext, std::move(state));
  // Pages are read at different revisions. The watch starts at the revision of the first page, so
  // that it repeats the changes made between pages.
  if (state.mAfter.empty()) {
    state.mAsOf = aFact.mAsOf;
    state.mListed.clear();
  }
  for (const store_item_pointer& item : aFact.mItems) {
    state.mListed[item->mKey] = item;
  }
  if (aFact.mMore && !aFact.mItems.empty()) {
    state.mAfter = aFact.mItems.back()->mKey;
    Continue(aContext, std::move(state));
    return;
  }
  item_map items = ItemsOf(aContext);
  std::vector<std::string> gone;
  for (const auto& [key, item] : items) {
    if (!state.mListed.contains(key)) {
      gone.push_back(key);
    }
  }
  for (const std::string& key : gone) {
    Remove(aContext, key, items, state);
  }
  for (const auto& [key, item] : state.mListed) {
    Put(item, items, state);
  }
  aContext.Log("follow",
               "event=listed items=" + std::to_string(items.size()) +
                 " gone=" + std::to_string(gone.size()) + " as_of=" + std::to_string(state.mAsOf));
  state.mListed.clear();
  state.mAfter.clear();
  state.mPhase = follow_phase::Watching;
  aContext.mBoard.Write(kStoreKey, published_items{ std::move(items) });
  Continue(aContext, std::move(state));
}

// Changes come in bursts. The pause before the next read lets one call return several changes; it
// doubles during a long burst, so that few calls read it.
micros NextPause(const forward_config& aConfig, const follow_state& aState, instant aNow)
{
  const bool goesOn = aNow - aState.mReadAt < aConfig.mWatchPauseMost;
  return goesOn ? std::clamp(2 * aState.mPause, aConfig.mWatchPause, aConfig.mWatchPauseMost)
                : aConfig.mWatchPause;
}

void OnChanges(core_context& aContext, const store_changes_read& aFact)
{
  follow_state state = StateOf(aContext);
  if (state.mRound != aFact.mRound || state.mPhase != follow_phase::Watching) {
    return;
  }
  state = Heard(aContext, std::move(state));
  if (!aFact.mItems.empty()) {
    item_map items = ItemsOf(aContext);
    for (const store_item_pointer& item : aFact.mItems) {
      if (!std::holds_alternative<deleted_value>(item->mValue)) {
        Put(item, items, state);
        continue;
      }
      const auto found = items.find(item->mKey);
      if (found != items.end() && found->second->mRevision < item->mRevision) {
        Remove(aContext, item->mKey, items, state);
      }
    }
    aContext.mBoard.Write(kStoreKey, published_items{ std::move(items) });
  }
  state.mAsOf = std::max(state.mAsOf, aFact.mAsOf);
  if (aFact.mItems.empty()) {
    Continue(aContext, std::move(state));
    return;
  }
  state.mPause = NextPause(*aContext.Forward(), state, aContext.Now());
  aContext.After(state.mPause, kStoreKey, read_due{ state.mRound });
  aContext.mBoard.Write(kStoreKey, std::move(state));
}

void OnFailed(core_context& aContext, const store_read_failed& aFact)
{
  follow_state state = StateOf(aContext);
  if (state.mRound != aFact.mRound) {
    return;
  }
  const auto config = aContext.Forward();
  if (state.mFailures == 0) {
    aContext.Log("follow",
                 "event=store_lost as_of=" + std::to_string(state.mAsOf) + " reason=\"" +
                   Describe(aFact.mReason) + "\"",
                 log_level::Warning);
  }
  aContext.Count("follow.failures");
  ++state.mFailures;
  state.mDistrustUntil = aContext.Now() + config->mDistrustTime;
  // A new watch may miss changes while the store drops its history. A listing returns the current
  // items.
  state.mPhase = follow_phase::Listing;
  state.mAfter.clear();
  if (aFact.mFailure == store_failure::HistoryGone) {
    Continue(aContext, std::move(state));
    return;
  }
  const auto doublings = std::min(state.mFailures - 1, kMostDoublings);
  const micros wait =
    std::min(config->mRetryMost, config->mRetryFirst * (std::int64_t{ 1 } << doublings));
  // Jitter: daemons that lost the store at the same time must not all retry at the same time.
  const micros spread(
    static_cast<std::int64_t>(aContext.Random(static_cast<std::uint64_t>(wait.count()) / 2 + 1)));
  aContext.After(wait / 2 + spread, kStoreKey, read_due{ state.mRound });
  aContext.mBoard.Write(kStoreKey, std::move(state));
}

void OnReadDue(core_context& aContext, const read_due& aFact)
{
  follow_state state = StateOf(aContext);
  if (state.mRound == aFact.mRound) {
    Continue(aContext, std::move(state));
  }
}

void OnHoldDue(core_context& aContext)
{
  follow_state state = StateOf(aContext);
  item_map items = ItemsOf(aContext);
  std::size_t over = 0;
  for (auto it = state.mHeld.begin(); it != state.mHeld.end();) {
    if (it->second > aContext.Now()) {
      ++it;
      continue;
    }
    items.erase(it->first);
    it = state.mHeld.erase(it);
    ++over;
  }
  if (over == 0) {
    return;
  }
  aContext.Log("follow", "event=held_entries_gone count=" + std::to_string(over));
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
  board.OnFact<store_read_failed>(
    [&aContext](const std::string&, const store_read_failed& aFact) { OnFailed(aContext, aFact); });
  board.OnFact<read_due>(
    [&aContext](const std::string&, const read_due& aFact) { OnReadDue(aContext, aFact); });
  board.OnFact<hold_due>([&aContext](const std::string&, const hold_due&) { OnHoldDue(aContext); });
  aContext.After(micros(0), kStoreKey, read_due{ 0 });
}

} // namespace redwingdock
