#include "follow/copy_update.h"

#include "core/controller_facts.h"
#include "follow/new_history.h"

#include <algorithm>
#include <set>
#include <utility>

namespace redwingdock {

namespace {

item_map ItemsOf(core_context& aContext)
{
  const auto items = aContext.mBoard.Read<published_items>(kStoreKey);
  return items ? items->mItems : item_map{};
}

departed_items DepartedOf(core_context& aContext)
{
  const auto departed = aContext.mBoard.Read<departed_items>(kStoreKey);
  return departed ? *departed : departed_items{};
}

} // namespace

std::string AsOfText(const store_position& aPosition)
{
  return " as_of=" + std::to_string(aPosition.mRevision) + " era=" + std::to_string(aPosition.mEra);
}

copy_update BeginUpdate(core_context& aContext, follow_state aState)
{
  return { std::move(aState), ItemsOf(aContext), DepartedOf(aContext) };
}

follow_state EndUpdate(core_context& aContext, copy_update aUpdate)
{
  follow_state& state = aUpdate.mState;
  if (state.mHolds && state.mDelayedDeletions.empty() && state.mWithheld.empty()) {
    state.mHolds = false;
    aContext.Log("follow", "event=history_holds_ended" + AsOfText(state.mAsOf));
  }
  const instant now = aContext.Now();
  std::erase_if(aUpdate.mDeparted.mItems, [&](const auto& aEach) {
    return aEach.second.mForgetAt <= now && !state.mWithheld.contains(aEach.first);
  });
  aContext.mBoard.Write(kStoreKey, std::move(aUpdate.mDeparted));
  aContext.mBoard.Write(kStoreKey, published_items{ std::move(aUpdate.mItems) });
  return std::move(state);
}

void ScheduleHolds(core_context& aContext, const follow_state& aState)
{
  std::set<instant> ends;
  for (const auto& [key, until] : aState.mDelayedDeletions) {
    ends.insert(until);
  }
  for (const auto& [key, withheld] : aState.mWithheld) {
    ends.insert(withheld.mUntil);
  }
  for (const instant end : ends) {
    aContext.After(std::max(end - aContext.Now(), micros(0)), kStoreKey, hold_due{});
  }
}

follow_state WithHoldsRenewed(core_context& aContext, follow_state aState)
{
  if (aState.mDelayedDeletions.empty()) {
    return aState;
  }
  const instant now = aContext.Now();
  const item_map items = ItemsOf(aContext);
  for (auto& [key, until] : aState.mDelayedDeletions) {
    const auto item = items.find(key);
    const bool isReplica =
      item != items.end() && std::holds_alternative<replica_entry>(item->second->mValue);
    until = std::max(until, isReplica ? aState.mDelayDeletionsUntil : now + kOperatorRewriteTime);
  }
  ScheduleHolds(aContext, aState);
  return aState;
}

void RemoveOrDelay(core_context& aContext, const std::string& aKey, copy_update& aUpdate)
{
  follow_state& state = aUpdate.mState;
  const auto found = aUpdate.mItems.find(aKey);
  if (found == aUpdate.mItems.end() || state.mDelayedDeletions.contains(aKey)) {
    return;
  }
  aUpdate.mDeparted.mItems[aKey] = { found->second, aContext.Now() + kDepartedMemory };
  if (aContext.Now() >= state.mDelayDeletionsUntil) {
    aUpdate.mItems.erase(found);
    return;
  }
  state.mDelayedDeletions.emplace(aKey, state.mDelayDeletionsUntil);
  if (state.mDeletionTimer != state.mDelayDeletionsUntil) {
    state.mDeletionTimer = state.mDelayDeletionsUntil;
    aContext.After(state.mDelayDeletionsUntil - aContext.Now(), kStoreKey, hold_due{});
  }
}

void ApplyItem(const store_item_pointer& aItem, copy_update& aUpdate)
{
  const auto found = aUpdate.mItems.find(aItem->mKey);
  const auto withheld = aUpdate.mState.mWithheld.find(aItem->mKey);
  const bool isWithheld = withheld != aUpdate.mState.mWithheld.end();
  if ((found != aUpdate.mItems.end() && found->second->mRevision > aItem->mRevision) ||
      (isWithheld && withheld->second.mItem->mRevision >= aItem->mRevision)) {
    return;
  }
  if (isWithheld) {
    aUpdate.mState.mWithheld.erase(withheld);
  }
  aUpdate.mItems[aItem->mKey] = aItem;
  aUpdate.mState.mDelayedDeletions.erase(aItem->mKey);
  aUpdate.mDeparted.mItems.erase(aItem->mKey);
}

bool IsOfKnownHistory(const copy_update& aUpdate)
{
  const follow_state& state = aUpdate.mState;
  const bool wasNoticed = !state.mHistorySource.empty() && state.mListedAsOf.mEra == 0;
  return state.mAsOf == store_position{} ||
         (Continues(state.mListedAsOf, state.mAsOf) && !wasNoticed &&
          !HasGoneBack(state.mListedItems, aUpdate.mItems));
}

void ApplyListing(core_context& aContext, copy_update& aUpdate)
{
  const item_map listed = std::exchange(aUpdate.mState.mListedItems, {});
  std::vector<std::string> gone;
  for (const auto& [key, item] : aUpdate.mItems) {
    if (!listed.contains(key)) {
      gone.push_back(key);
    }
  }
  for (const std::string& key : gone) {
    RemoveOrDelay(aContext, key, aUpdate);
  }
  std::erase_if(aUpdate.mState.mWithheld,
                [&listed](const auto& aEach) { return !listed.contains(aEach.first); });
  for (const auto& [key, item] : listed) {
    ApplyItem(item, aUpdate);
  }
  aUpdate.mState.mHistorySource.clear();
  aContext.Log("follow",
               "event=listed items=" + std::to_string(aUpdate.mItems.size()) +
                 " gone=" + std::to_string(gone.size()) + AsOfText(aUpdate.mState.mListedAsOf));
}

void ApplyNewHistory(core_context& aContext, copy_update& aUpdate)
{
  const auto config = aContext.ForwardConfig();
  follow_state& state = aUpdate.mState;
  const instant now = aContext.Now();
  const instant latest =
    state.mConfirmedAt + std::max(config->mChangeBound, config->mDisturbanceTime) - kDeletionMargin;
  state.mDelayDeletionsUntil =
    std::max({ now, state.mDelayDeletionsUntil, std::min(now + config->mDeletionDelay, latest) });
  const bool wasUnavailable = state.mUnavailableAt > state.mConfirmedAt;
  const instant replicasUntil =
    wasUnavailable ? state.mDelayDeletionsUntil : now + config->mDeletionDelay;
  adopted_history adopted =
    AdoptHistory({ std::move(aUpdate.mItems), aUpdate.mDeparted, state.mDelayedDeletions },
                 std::exchange(state.mListedItems, {}),
                 { now, replicasUntil });
  aContext.Count("follow.items_held", adopted.mHeld);
  aContext.Count("follow.items_withheld", adopted.mWithheld.size());
  aContext.Log(
    "follow",
    "event=history_adopted" + AsOfText(state.mAsOf) +
      " store=" + std::to_string(state.mListedAsOf.mRevision) +
      " store_era=" + std::to_string(state.mListedAsOf.mEra) + " source=" + state.mHistorySource +
      " items=" + std::to_string(adopted.mItems.size()) + " held=" + std::to_string(adopted.mHeld) +
      " replaced=" + std::to_string(adopted.mReplaced) +
      " withheld=" + std::to_string(adopted.mWithheld.size()),
    log_level::Warning);
  for (const auto& [key, item] : adopted.mItems) {
    if (!adopted.mDelayedDeletions.contains(key)) {
      aUpdate.mDeparted.mItems.erase(key);
    }
  }
  aUpdate.mItems = std::move(adopted.mItems);
  state.mDelayedDeletions = std::move(adopted.mDelayedDeletions);
  state.mWithheld = std::move(adopted.mWithheld);
  state.mHolds = !state.mDelayedDeletions.empty() || !state.mWithheld.empty();
  state.mHistorySource.clear();
  ++state.mCheckNumber; // an answer to the latest check is of the old history
  ScheduleHolds(aContext, state);
}

} // namespace redwingdock
