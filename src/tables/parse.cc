#include "tables/parse.h"

#include "base/hash.h"
#include "base/yaml_reader.h"

#include <algorithm>
#include <limits>

namespace redwingdock {

namespace {

constexpr std::uint64_t kMaxRevision = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t kMaxMapId = std::numeric_limits<std::uint32_t>::max();

// Revision 0 stands for "no table", so published revisions start at 1.
std::uint64_t ReadRevision(yaml_mapping& aRoot)
{
  return aRoot.Integer("revision", 1, kMaxRevision);
}

micros ReadMs(yaml_mapping& aMapping,
              const std::string& aKey,
              std::uint64_t aMin,
              std::uint64_t aMax,
              std::uint64_t aDefault)
{
  return std::chrono::milliseconds(aMapping.Integer(aKey, aMin, aMax, aDefault));
}

position_ranges ReadRanges(const YAML::Node& aNode, const std::string& aPath, yaml_errors& aErrors)
{
  const std::string allowed =
    "half-open ranges [from, to] with 0 <= from < to <= " + std::to_string(kPositions);
  position_ranges ranges;
  if (!aNode.IsSequence()) {
    aErrors.Add(aNode, aPath, "a value that is not a list", allowed);
    return ranges;
  }
  for (const auto& item : aNode) {
    std::vector<std::uint32_t> ends;
    std::string found;
    if (item.IsSequence()) {
      for (const auto& end : item) {
        const std::string text = end.IsScalar() ? end.Scalar() : "?";
        found += (found.empty() ? "" : ", ") + text;
        if (const auto number = ParseInteger(text, 0, kPositions)) {
          ends.push_back(static_cast<std::uint32_t>(*number));
        }
      }
    }
    if (!item.IsSequence() || item.size() != 2 || ends.size() != 2 || ends[0] >= ends[1]) {
      aErrors.Add(item,
                  aPath,
                  item.IsSequence() ? "[" + found + "]" : "a value that is not a range",
                  allowed);
      return ranges;
    }
    ranges.push_back({ ends[0], ends[1] });
  }
  return ranges;
}

std::map<std::uint32_t, position_ranges> ReadPartitionMaps(yaml_mapping& aShard)
{
  std::map<std::uint32_t, position_ranges> maps;
  yaml_mapping ranges = aShard.Mapping("ranges", true);
  for (const auto& item : ranges.Node()) {
    const std::string key = item.first.IsScalar() ? item.first.Scalar() : "?";
    const auto map = ParseInteger(key, 1, kMaxMapId);
    if (!map) {
      ranges.Errors().Add(item.first,
                          ranges.Path(key),
                          "\"" + key + "\"",
                          "a partition map id, 1 to " + std::to_string(kMaxMapId));
      break;
    }
    maps[static_cast<std::uint32_t>(*map)] =
      ReadRanges(item.second, ranges.Path(key), ranges.Errors());
  }
  return maps;
}

struct used_names
{
  std::set<std::string> mPools;
  std::set<std::string> mServers;
  std::set<std::string> mAddresses;
};

pool_spec ReadPool(yaml_mapping& aMapping, used_names& aUsed)
{
  pool_spec pool;
  pool.mName = aMapping.Name("name");
  aMapping.RequireUnique("name", pool.mName, aUsed.mPools);
  pool.mSlots = static_cast<std::uint32_t>(aMapping.Integer("slots", 1, 64));
  // Half of the connections of a server is reserved for silent connections, which are kept for a
  // while, so each slot needs two.
  pool.mConnections =
    static_cast<std::uint32_t>(aMapping.Integer("connections", 2ULL * pool.mSlots, 10000));
  pool.mConnectCost = ReadMs(aMapping, "connect_ms", 0, 1000, 0);
  std::set<std::string> shards;
  aMapping.ForEach("shards", true, [&](yaml_mapping& aShard) {
    shard_spec shard;
    shard.mName = aShard.Name("name");
    aShard.RequireUnique("name", shard.mName, shards);
    shard.mRanges = ReadPartitionMaps(aShard);
    aShard.ForEach("servers", true, [&](yaml_mapping& aServer) {
      server_spec server;
      server.mName = aServer.Name("name");
      aServer.RequireUnique("name", server.mName, aUsed.mServers);
      server.mPool = pool.mName;
      server.mShard = shard.mName;
      server.mZone = aServer.Name("zone");
      server.mAddress = aServer.Address("address");
      // Two servers at one address would receive twice the slots and connections of one.
      aServer.RequireUnique("address", server.mAddress, aUsed.mAddresses);
      server.mDraining = aServer.Flag("draining", false);
      pool.mServers.push_back(std::move(server));
    });
    pool.mShards.push_back(std::move(shard));
  });
  return pool;
}

template<typename T>
result<T> FinishTable(T aTable, yaml_mapping& aRoot, yaml_errors& aErrors)
{
  aRoot.RejectUnknownKeys();
  if (aErrors.mFirstError) {
    return { std::nullopt, std::move(*aErrors.mFirstError) };
  }
  return Success(std::move(aTable));
}

struct owned_range
{
  position_range mRange;
  std::string mOwner;

  auto operator<=>(const owned_range&) const = default;
};

std::string FormatPositions(std::uint32_t aFrom, std::uint32_t aTo)
{
  return "positions " + std::to_string(aFrom) + " to " + std::to_string(aTo - 1);
}

// Returns the first gap or overlap in the ranges of one partition map, or an empty text.
std::string CheckCoverage(std::vector<owned_range> aRanges)
{
  std::sort(aRanges.begin(), aRanges.end());
  std::uint32_t next = 0;
  std::string owner;
  for (const owned_range& range : aRanges) {
    if (range.mRange.mFrom > next) {
      return FormatPositions(next, range.mRange.mFrom) + " have no shard";
    }
    if (range.mRange.mFrom < next) {
      return FormatPositions(range.mRange.mFrom, std::min(next, range.mRange.mTo)) + " belong to " +
             owner + " and " + range.mOwner;
    }
    next = range.mRange.mTo;
    owner = range.mOwner;
  }
  return next < kPositions ? FormatPositions(next, kPositions) + " have no shard" : "";
}

} // namespace

result<routes_table> ParseRoutes(const std::string& aText, const std::string& aFile)
{
  yaml_errors errors{ "parse routes", aFile, {} };
  yaml_mapping root = LoadYaml(aText, errors);
  routes_table table;
  table.mRevision = ReadRevision(root);
  std::set<std::string> names;
  root.ForEach("routes", true, [&](yaml_mapping& aRoute) {
    route_spec route;
    route.mName = aRoute.Name("name");
    aRoute.RequireUnique("name", route.mName, names);
    route.mPools = aRoute.Names("pools", true);
    route.mOperation = aRoute.OneOf("operation", { "search", "submit" }, 0) == 0
                         ? operation::Search
                         : operation::Submit;
    constexpr urgency kUrgencies[] = { urgency::Urgent, urgency::Normal, urgency::Background };
    route.mUrgency = kUrgencies[aRoute.OneOf("urgency", { "urgent", "normal", "background" }, 1)];
    route.mDeadline = ReadMs(aRoute, "deadline_ms", 1, 5000, 1000);
    route.mHedge = aRoute.Flag("hedge", true);
    table.mRoutes.push_back(std::move(route));
  });
  return FinishTable(std::move(table), root, errors);
}

result<pools_table> ParsePools(const std::string& aText, const std::string& aFile)
{
  yaml_errors errors{ "parse pools", aFile, {} };
  yaml_mapping root = LoadYaml(aText, errors);
  pools_table table;
  table.mRevision = ReadRevision(root);
  for (std::string& zone : root.Names("closed_zones", false)) {
    table.mClosedZones.insert(std::move(zone));
  }
  used_names used;
  root.ForEach(
    "pools", true, [&](yaml_mapping& aPool) { table.mPools.push_back(ReadPool(aPool, used)); });
  return FinishTable(std::move(table), root, errors);
}

result<vm_list> ParseVmList(const std::string& aText, const std::string& aFile)
{
  yaml_errors errors{ "parse VM list", aFile, {} };
  yaml_mapping root = LoadYaml(aText, errors);
  vm_list table;
  table.mRevision = ReadRevision(root);
  std::set<std::string> names;
  root.ForEach("vms", true, [&](yaml_mapping& aVm) {
    vm_spec vm;
    vm.mName = aVm.Name("name");
    aVm.RequireUnique("name", vm.mName, names);
    vm.mZone = aVm.Name("zone");
    vm.mAddress = aVm.Address("address");
    vm.mCallAddress = aVm.Address("call_address");
    vm.mState = aVm.OneOf("state", { "live", "leaving" }) == 0 ? vm_state::Live : vm_state::Leaving;
    table.mVms.push_back(std::move(vm));
  });
  std::sort(table.mVms.begin(), table.mVms.end());
  return FinishTable(std::move(table), root, errors);
}

std::optional<reason> CheckConsistency(const routes_table& aRoutes, const pools_table& aPools)
{
  for (const route_spec& route : aRoutes.mRoutes) {
    const auto failure = [&](const std::string& aText) {
      return reason{ "check tables", "route " + route.mName, aText };
    };
    std::map<std::uint32_t, std::vector<owned_range>> maps;
    for (const std::string& name : route.mPools) {
      const auto pool = std::find_if(aPools.mPools.begin(),
                                     aPools.mPools.end(),
                                     [&](const pool_spec& aPool) { return aPool.mName == name; });
      if (pool == aPools.mPools.end()) {
        return failure("pool " + name + " is not in the pools table, revision " +
                       ToString(aPools.mRevision));
      }
      for (const shard_spec& shard : pool->mShards) {
        for (const auto& [map, ranges] : shard.mRanges) {
          std::vector<owned_range>& owned = maps[map];
          for (const position_range& range : ranges) {
            owned.push_back({ range, name + "/" + shard.mName });
          }
        }
      }
    }
    if (maps.empty()) {
      return failure("its pools have no partition map");
    }
    for (auto& [map, ranges] : maps) {
      if (const std::string fault = CheckCoverage(std::move(ranges)); !fault.empty()) {
        return failure("partition map " + std::to_string(map) + ": " + fault);
      }
    }
  }
  return std::nullopt;
}

} // namespace redwingdock
