#ifndef REDWINGDOCK_QUERY_PLAN_H
#define REDWINGDOCK_QUERY_PLAN_H

#include "core/values.h"
#include "query/query_state.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

// Plans a query: chooses the snapshot that it reads, and its parts.
//
//   std::vector<shard_info> shards = ShardsOf(route, tables, status);
//   snapshot chosen = ChooseSnapshot(shards);
//   std::vector<part_state> parts = PlanParts(shards, chosen.mMap, std::nullopt);

namespace redwingdock {

struct replica_info
{
  std::string mServer;
  std::string mZone;
  bool mUsable = false;                 // see IsUsable
  std::vector<index_version> mVersions; // empty when unknown

  auto operator<=>(const replica_info&) const = default;
};

struct shard_info
{
  std::string mPool;
  std::string mShard;
  std::map<std::uint32_t, position_ranges> mRanges; // key: number of the partition map
  std::vector<replica_info> mReplicas;

  auto operator<=>(const shard_info&) const = default;
};

// An index version and its partition map. Version 0 means that no version is known yet, and that
// the newest is requested.
struct snapshot
{
  std::uint64_t mVersion = 0;
  std::uint32_t mMap = 0; // number of the partition map

  auto operator<=>(const snapshot&) const = default;
};

// Status of a server by name; null when nothing is known.
using status_lookup = std::function<std::shared_ptr<const server_status>(const std::string&)>;

// Whether a server may get new work: its zone is not closed, and it is not draining according to
// the tables or to its own replies.
bool IsUsable(const server_spec& aServer, const pools_table& aPools, const server_status* aStatus);

// The shards of the pools of a route, with their replicas. Pools that the tables lack are skipped.
std::vector<shard_info> ShardsOf(const route_spec& aRoute,
                                 const tables_in_force& aTables,
                                 const status_lookup& aStatus);

// Returns the newest version that every shard of its map has a usable replica known to serve.
// If there is none, returns the version that covers the most positions, and of several the newest;
// a replica whose versions are unknown counts as able to serve it. Only maps that the tables have
// in every shard's pool are considered.
snapshot ChooseSnapshot(const std::vector<shard_info>& aShards);

// Returns one part for each shard that owns positions in the map. With aPosition, only for shards
// that own this position.
std::vector<part_state> PlanParts(const std::vector<shard_info>& aShards,
                                  std::uint32_t aMap,
                                  std::optional<std::uint32_t> aPosition);

} // namespace redwingdock

#endif
