#ifndef REDWINGDOCK_QUERY_PLAN_H
#define REDWINGDOCK_QUERY_PLAN_H

#include "core/values.h"
#include "query/query_state.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

// Which snapshot a query uses and which parts it has.
//
//   std::vector<shard_info> shards = ShardsOf(route, tables, status);
//   snapshot chosen = ChooseSnapshot(shards);
//   std::vector<part_state> parts = PlanParts(shards, chosen.mMap, std::nullopt);

namespace redwingdock {

struct replica_info
{
  std::string mServer;
  std::string mZone;
  bool mUsable = false;                 // may get new work
  std::vector<index_version> mVersions; // empty when unknown

  auto operator<=>(const replica_info&) const = default;
};

struct shard_info
{
  std::string mPool;
  std::string mShard;
  std::map<std::uint32_t, position_ranges> mRanges; // by partition map
  std::vector<replica_info> mReplicas;

  auto operator<=>(const shard_info&) const = default;
};

// Version 0: no version is known yet, ask for the newest.
struct snapshot
{
  std::uint64_t mVersion = 0;
  std::uint32_t mMap = 0;

  auto operator<=>(const snapshot&) const = default;
};

using status_lookup = std::function<std::shared_ptr<const server_status>(const std::string&)>;

// Whether a server may get new work: its zone is open and it is not draining, by the tables or by
// its own replies.
bool IsUsable(const server_spec& aServer, const pools_table& aPools, const server_status* aStatus);

std::vector<shard_info> ShardsOf(const route_spec& aRoute,
                                 const tables_in_force& aTables,
                                 const status_lookup& aStatus);

// The newest version that a usable replica of every shard of its map is known to serve. Without
// one, the version that reaches the most positions, the newest of those; a replica of unknown
// versions counts as able. Only maps that the tables have in every shard's pool are considered.
snapshot ChooseSnapshot(const std::vector<shard_info>& aShards);

// One part for each shard that owns positions in the map; with aPosition only its owner.
std::vector<part_state> PlanParts(const std::vector<shard_info>& aShards,
                                  std::uint32_t aMap,
                                  std::optional<std::uint32_t> aPosition);

} // namespace redwingdock

#endif
