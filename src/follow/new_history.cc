#include "follow/new_history.h"

#include <algorithm>
#include <utility>

namespace redwingdock {

namespace {

bool IsReplica(const store_item& aItem)
{
  return std::holds_alternative<replica_entry>(aItem.mValue);
}

// The item with a revision below all that the new history gives out.
store_item_pointer WithoutRevision(const store_item& aItem)
{
  store_item held = aItem;
  held.mRevision = 0;
  return std::make_shared<const store_item>(std::move(held));
}

} // namespace

std::uint64_t RevisionOfCopy(const item_map& aListed, const item_map& aKnown)
{
  std::uint64_t revision = 0;
  for (const auto& [key, item] : aListed) {
    const auto known = aKnown.find(key);
    if (known != aKnown.end() && *known->second == *item) {
      revision = std::max(revision, item->mRevision);
    }
  }
  return revision;
}

bool IsRestored(const store_item& aItem, const store_item& aDeparted, std::uint64_t aCopyRevision)
{
  const auto* entry = std::get_if<replica_entry>(&aItem.mValue);
  const auto* departed = std::get_if<replica_entry>(&aDeparted.mValue);
  if (entry != nullptr && departed != nullptr) {
    return !IsEarlier(*departed, *entry);
  }
  return aItem == aDeparted && aItem.mRevision <= aCopyRevision;
}

bool HasGoneBack(const item_map& aListed, const item_map& aKnown)
{
  return std::any_of(aListed.begin(), aListed.end(), [&aKnown](const auto& aEach) {
    const auto known = aKnown.find(aEach.first);
    if (known == aKnown.end()) {
      return false;
    }
    const store_item& before = *known->second;
    const store_item& listed = *aEach.second;
    return listed.mRevision < before.mRevision ||
           (listed.mRevision == before.mRevision && listed != before);
  });
}

adopted_history AdoptHistory(const known_copy& aKnown,
                             const item_map& aListed,
                             const hold_times& aTimes)
{
  const std::uint64_t copyRevision = RevisionOfCopy(aListed, aKnown.mItems);
  adopted_history adopted;
  for (const auto& [key, item] : aListed) {
    const auto departed = aKnown.mDeparted.mItems.find(key);
    if (departed != aKnown.mDeparted.mItems.end() &&
        IsRestored(*item, *departed->second.mItem, copyRevision)) {
      const micros time = IsReplica(*item) ? kWithheldReplicaTime : kWithheldZoneTime;
      adopted.mWithheld[key] = { item, aTimes.mNow + time };
      continue;
    }
    const auto known = aKnown.mItems.find(key);
    const bool differs = known != aKnown.mItems.end() && known->second->mValue != item->mValue;
    adopted.mReplaced += differs ? 1 : 0;
    adopted.mItems[key] = item;
  }
  for (const auto& [key, item] : aKnown.mItems) {
    if (adopted.mItems.contains(key)) {
      continue;
    }
    // A delayed deletion of an item that has not departed is the end of an earlier hold.
    const auto delayed = aKnown.mDelayedDeletions.find(key);
    const bool deletes =
      delayed != aKnown.mDelayedDeletions.end() && aKnown.mDeparted.mItems.contains(key);
    adopted.mHeld += deletes ? 0 : 1;
    adopted.mItems[key] = WithoutRevision(*item);
    adopted.mDelayedDeletions[key] = deletes            ? delayed->second
                                     : IsReplica(*item) ? aTimes.mReplicasUntil
                                                        : aTimes.mNow + kOperatorRewriteTime;
  }
  return adopted;
}

} // namespace redwingdock
