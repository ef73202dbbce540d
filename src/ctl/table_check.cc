#include "ctl/table_check.h"

#include <algorithm>

namespace redwingdock::ctl {

namespace {

constexpr std::size_t kDefaultDaemonCount = 5;

// Number of servers of a shard that are not draining, and their zones.
struct shard_servers
{
  std::size_t mServers = 0;
  std::set<std::string> mZones;
};

std::map<std::string, shard_servers> GroupByShard(const pool_spec& aPool)
{
  std::map<std::string, shard_servers> shards;
  for (const shard_spec& shard : aPool.mShards) {
    shards[shard.mName];
  }
  for (const server_spec& server : aPool.mServers) {
    if (!server.mDraining) {
      ++shards[server.mShard].mServers;
      shards[server.mShard].mZones.insert(server.mZone);
    }
  }
  return shards;
}

void CheckLimits(const pool_spec& aPool, std::size_t aDaemons, std::vector<std::string>& aWarnings)
{
  // A permit holder may open (connections / slots / 2) connections for each permit.
  std::uint32_t perPermit = aPool.mConnections / aPool.mSlots / 2;
  if (perPermit < 2) {
    aWarnings.push_back("pool " + aPool.mName + ": " + std::to_string(aPool.mConnections) +
                        " connections for " + std::to_string(aPool.mSlots) +
                        " slots allow a daemon " + std::to_string(perPermit) +
                        " connection per permit, without a spare one if that stops answering");
  }
  std::size_t shardsShortOfSlots = 0;
  std::size_t minPermits = SIZE_MAX;
  for (const auto& [shard, servers] : GroupByShard(aPool)) {
    std::size_t permits = servers.mServers * aPool.mSlots;
    shardsShortOfSlots += permits < aDaemons ? 1 : 0;
    minPermits = std::min(minPermits, permits);
  }
  if (shardsShortOfSlots != 0) {
    aWarnings.push_back("pool " + aPool.mName + ": " + std::to_string(shardsShortOfSlots) +
                        " shards have fewer slots (" + std::to_string(minPermits) + ") than the " +
                        std::to_string(aDaemons) +
                        " daemons; daemons without a permit forward parts to others");
  }
}

void CheckZones(const pools_table& aPools,
                const pool_spec& aPool,
                std::vector<std::string>& aWarnings)
{
  for (const auto& [shard, servers] : GroupByShard(aPool)) {
    std::string name = "pool " + aPool.mName + ": shard " + shard;
    if (servers.mServers == 0) {
      aWarnings.push_back(name + " has only draining servers or none");
    } else if (std::all_of(servers.mZones.begin(), servers.mZones.end(), [&](const auto& aZone) {
                 return aPools.mClosedZones.contains(aZone);
               })) {
      aWarnings.push_back(name + " has no server outside the closed zones");
    } else if (servers.mZones.size() == 1) {
      aWarnings.push_back(name + " has servers in zone " + *servers.mZones.begin() + " only");
    }
  }
}

} // namespace

std::vector<std::string> TableWarnings(const routes_table& aRoutes,
                                       const pools_table& aPools,
                                       const vm_list* aVms)
{
  std::vector<std::string> warnings;
  std::set<std::string> used;
  std::set<std::string> zones;
  for (const route_spec& route : aRoutes.mRoutes) {
    used.insert(route.mPools.begin(), route.mPools.end());
  }
  std::size_t daemons = aVms == nullptr ? kDefaultDaemonCount : aVms->mVms.size();
  for (const pool_spec& pool : aPools.mPools) {
    for (const server_spec& server : pool.mServers) {
      zones.insert(server.mZone);
    }
    if (!used.contains(pool.mName)) {
      warnings.push_back("pool " + pool.mName + ": not used by any route");
    }
    CheckLimits(pool, daemons, warnings);
    CheckZones(aPools, pool, warnings);
  }
  for (const std::string& zone : aPools.mClosedZones) {
    if (!zones.contains(zone)) {
      warnings.push_back("closed zone " + zone + ": contains no servers");
    }
  }
  return warnings;
}

} // namespace redwingdock::ctl
