#include "query/plan.h"

#include <algorithm>
#include <set>

namespace redwingdock {

bool IsUsable(const server_spec& aServer, const pools_table& aPools, const server_status* aStatus)
{
  const bool draining = aServer.mDraining || (aStatus != nullptr && aStatus->mDraining);
  return !draining && !aPools.mClosedZones.contains(aServer.mZone);
}

std::vector<shard_info> ShardsOf(const route_spec& aRoute,
                                 const tables_in_force& aTables,
                                 const status_lookup& aStatus)
{
  std::vector<shard_info> shards;
  for (const std::string& poolName : aRoute.mPools) {
    const pool_spec* pool = aTables.FindPool(poolName);
    if (pool == nullptr) {
      continue;
    }
    const std::size_t first = shards.size();
    for (const shard_spec& shard : pool->mShards) {
      shards.push_back({ pool->mName, shard.mName, shard.mRanges, {} });
    }
    for (const server_spec& server : pool->mServers) {
      const auto owner = std::find_if(
        shards.begin() + static_cast<std::ptrdiff_t>(first),
        shards.end(),
        [&server](const shard_info& aShard) { return aShard.mShard == server.mShard; });
      if (owner == shards.end()) {
        continue;
      }
      const auto status = aStatus(server.mName);
      owner->mReplicas.push_back({ server.mName,
                                   server.mZone,
                                   IsUsable(server, *aTables.mPools, status.get()),
                                   status ? status->mVersions : std::vector<index_version>() });
    }
  }
  return shards;
}

namespace {

const position_ranges* RangesIn(const shard_info& aShard, std::uint32_t aMap)
{
  const auto found = aShard.mRanges.find(aMap);
  return found == aShard.mRanges.end() ? nullptr : &found->second;
}

bool KnownToServe(const replica_info& aReplica, const index_version& aVersion)
{
  return std::find(aReplica.mVersions.begin(), aReplica.mVersions.end(), aVersion) !=
         aReplica.mVersions.end();
}

struct version_support
{
  bool mKnownInAllShards = true; // every shard has a usable replica known to serve it
  std::uint32_t mPositions = 0;  // of shards with a replica that serves it or may serve it
};

version_support SupportOf(const std::vector<shard_info>& aShards, const index_version& aVersion)
{
  version_support result;
  for (const shard_info& shard : aShards) {
    const position_ranges* ranges = RangesIn(shard, aVersion.mMap);
    if (ranges == nullptr || ranges->empty()) {
      continue;
    }
    bool known = false;
    bool possible = false;
    for (const replica_info& replica : shard.mReplicas) {
      if (replica.mUsable) {
        known = known || KnownToServe(replica, aVersion);
        possible = possible || replica.mVersions.empty();
      }
    }
    result.mKnownInAllShards = result.mKnownInAllShards && known;
    if (known || possible) {
      result.mPositions += CountPositions(*ranges);
    }
  }
  return result;
}

std::uint32_t NewestMap(const std::vector<shard_info>& aShards)
{
  std::uint32_t newest = 0;
  for (const shard_info& shard : aShards) {
    if (!shard.mRanges.empty()) {
      newest = std::max(newest, shard.mRanges.rbegin()->first);
    }
  }
  return newest;
}

} // namespace

snapshot ChooseSnapshot(const std::vector<shard_info>& aShards)
{
  std::set<index_version, std::greater<>> versions;
  for (const shard_info& shard : aShards) {
    for (const replica_info& replica : shard.mReplicas) {
      if (replica.mUsable) {
        versions.insert(replica.mVersions.begin(), replica.mVersions.end());
      }
    }
  }
  std::optional<snapshot> best;
  std::uint32_t bestPositions = 0;
  for (const index_version& version : versions) {
    const version_support reached = SupportOf(aShards, version);
    if (reached.mPositions == 0) {
      continue; // the tables lack its partition map, or no usable replica can serve it
    }
    if (reached.mKnownInAllShards) {
      return { version.mVersion, version.mMap };
    }
    if (reached.mPositions > bestPositions) {
      bestPositions = reached.mPositions;
      best = snapshot{ version.mVersion, version.mMap };
    }
  }
  return best.value_or(snapshot{ 0, NewestMap(aShards) });
}

std::vector<part_state> PlanParts(const std::vector<shard_info>& aShards,
                                  std::uint32_t aMap,
                                  std::optional<std::uint32_t> aPosition)
{
  std::vector<part_state> parts;
  for (const shard_info& shard : aShards) {
    const position_ranges* ranges = RangesIn(shard, aMap);
    if (ranges == nullptr || ranges->empty() || (aPosition && !Contains(*ranges, *aPosition))) {
      continue;
    }
    part_state part;
    part.mPool = shard.mPool;
    part.mShard = shard.mShard;
    part.mRanges = *ranges;
    parts.push_back(std::move(part));
  }
  return parts;
}

} // namespace redwingdock
