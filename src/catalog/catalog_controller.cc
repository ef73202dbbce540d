#include "catalog/catalog_controller.h"

#include "base/log_text.h"
#include "catalog/routes.h"
#include "core/controller_facts.h"
#include "follow/follow_state.h"

#include <algorithm>
#include <utility>

namespace redwingdock {

namespace {

void LogUnreadable(core_context& aContext, const store_item& aItem)
{
  if (const auto* unreadable = std::get_if<unreadable_value>(&aItem.mValue)) {
    aContext.Log("catalog",
                 "event=unreadable key=" + Quoted(aItem.mKey) +
                   " revision=" + std::to_string(aItem.mRevision) +
                   " reason=" + Quoted(Describe(unreadable->mReason)),
                 log_level::Warning);
  }
}

// By key, the last revision whose unreadable value was logged. Entry key: kStoreKey.
struct logged_revisions
{
  std::map<std::string, std::uint64_t> mRevisions;

  auto operator<=>(const logged_revisions&) const = default;
};

void LogUnreadableOnce(core_context& aContext, const item_map& aItems)
{
  const auto before = aContext.mBoard.Read<logged_revisions>(kStoreKey);
  logged_revisions next;
  for (const auto& [key, item] : aItems) {
    if (!std::holds_alternative<unreadable_value>(item->mValue)) {
      continue;
    }
    next.mRevisions[key] = item->mRevision;
    if (!before || !before->mRevisions.contains(key) ||
        before->mRevisions.at(key) != item->mRevision) {
      LogUnreadable(aContext, *item);
    }
  }
  aContext.mBoard.Write(kStoreKey, std::move(next));
}

catalog WithOperatorItems(core_context& aContext,
                          const std::shared_ptr<const catalog>& aBefore,
                          const item_map& aItems)
{
  catalog next = aBefore ? *aBefore : catalog{};
  next.mClosedZones.clear();
  for (const auto& [key, item] : aItems) {
    if (const auto* zone = std::get_if<closed_zone>(&item->mValue)) {
      next.mClosedZones.insert(zone->mZone);
    }
    const auto* published = std::get_if<configuration>(&item->mValue);
    if (published == nullptr || published->mVersion <= next.mVersion) {
      continue;
    }
    next.mVersion = published->mVersion;
    next.mRoutes = IndexRoutes(published->mRoutes);
    next.mServices.clear();
    for (const service_limits& service : published->mServices) {
      next.mServices.emplace(service.mName, service);
    }
    next.mLimits = published->mLimits;
    aContext.Log("catalog",
                 "event=version_in_force version=" + std::to_string(next.mVersion) +
                   " before=" + std::to_string(aBefore ? aBefore->mVersion : 0) +
                   " routes=" + std::to_string(published->mRoutes.size()) +
                   " revision=" + std::to_string(item->mRevision));
    if (!aBefore || aBefore->mLimits != next.mLimits) {
      aContext.Emit(apply_client_limits{ next.mLimits });
    }
  }
  if (!aBefore || aBefore->mClosedZones != next.mClosedZones) {
    std::string zones;
    for (const std::string& zone : next.mClosedZones) {
      zones += (zones.empty() ? "" : ",") + zone;
    }
    aContext.Log("catalog", "event=closed_zones zones=" + Quoted(zones));
  }
  return next;
}

bool IsUnchanged(const replica_entry& aPublished, const replica_entry& aKnown)
{
  replica_entry published = aPublished;
  published.mColdUntil = aKnown.mColdUntil;
  return published == aKnown;
}

std::map<std::string, replica_pointer> ReplicasById(const catalog& aCatalog)
{
  std::map<std::string, replica_pointer> replicas;
  for (const auto& [service, serviceReplicas] : aCatalog.mReplicas) {
    for (const replica_pointer& replica : serviceReplicas) {
      replicas.emplace(replica->mId, replica);
    }
  }
  return replicas;
}

void LogReplica(core_context& aContext, const char* aEvent, const replica_entry& aReplica)
{
  aContext.Log("catalog",
               std::string("event=") + aEvent + " replica=" + aReplica.mId +
                 " service=" + aReplica.mService + " address=" + aReplica.mAddress +
                 " zone=" + aReplica.mZone + " draining=" + (aReplica.mDraining ? "yes" : "no") +
                 " cold_ms=" + std::to_string(ToMs(aReplica.mWarmupRemaining)));
}

catalog WithReplicaItems(core_context& aContext, catalog aCatalog, const item_map& aItems)
{
  const std::map<std::string, replica_pointer> known = ReplicasById(aCatalog);
  catalog next = std::move(aCatalog);
  next.mReplicas.clear();
  std::set<std::string> present;
  for (const auto& [key, item] : aItems) {
    const auto* entry = std::get_if<replica_entry>(&item->mValue);
    if (entry == nullptr) {
      continue;
    }
    present.insert(entry->mId);
    const auto old = known.find(entry->mId);
    // An earlier entry can arrive late from another process, or from a copy of the store.
    if (old != known.end() &&
        (IsUnchanged(*entry, *old->second) || IsEarlier(*entry, *old->second))) {
      next.mReplicas[old->second->mService].push_back(old->second);
      continue;
    }
    LogReplica(aContext, old == known.end() ? "replica_new" : "replica_changed", *entry);
    replica_entry added = *entry;
    added.mColdUntil = aContext.Now() + added.mWarmupRemaining;
    next.mReplicas[entry->mService].push_back(
      std::make_shared<const replica_entry>(std::move(added)));
  }
  for (const auto& [id, replica] : known) {
    if (!present.contains(id)) {
      LogReplica(aContext, "replica_gone", *replica);
    }
  }
  return next;
}

void OnItems(core_context& aContext)
{
  const auto items = aContext.mBoard.Read<published_items>(kStoreKey);
  if (!items) {
    return;
  }
  LogUnreadableOnce(aContext, items->mItems);
  const auto before = aContext.mBoard.Read<catalog>(kCatalogKey);
  aContext.mBoard.Write(
    kCatalogKey,
    WithReplicaItems(aContext, WithOperatorItems(aContext, before, items->mItems), items->mItems));
}

} // namespace

void AddCatalogController(core_context& aContext)
{
  // Hooks of one key never run concurrently. Only hooks of kStoreKey may write the catalog.
  aContext.mBoard.OnChange<published_items>([&aContext](const std::string&) { OnItems(aContext); });
}

} // namespace redwingdock
