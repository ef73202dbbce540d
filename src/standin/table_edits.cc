#include "standin/table_edits.h"

#include <algorithm>
#include <sstream>

namespace redwingdock::standin {

namespace {

// Renders the ranges of each partition map, for example "{3: [[0, 103]], 4: [[0, 80]]}".
std::string RenderMaps(const std::map<std::uint32_t, position_ranges>& aMaps)
{
  std::ostringstream text;
  text << '{';
  const char* mapSeparator = "";
  for (const auto& [map, ranges] : aMaps) {
    text << mapSeparator << map << ": [";
    mapSeparator = ", ";
    const char* rangeSeparator = "";
    for (const position_range& range : ranges) {
      text << rangeSeparator << '[' << range.mFrom << ", " << range.mTo << ']';
      rangeSeparator = ", ";
    }
    text << ']';
  }
  text << '}';
  return text.str();
}

server_spec* FindServer(pools_table& aTable, const std::string& aServer)
{
  for (pool_spec& pool : aTable.mPools) {
    for (server_spec& server : pool.mServers) {
      if (server.mName == aServer) {
        return &server;
      }
    }
  }
  return nullptr;
}

bool HasZone(const pools_table& aTable, const std::string& aZone)
{
  return std::any_of(aTable.mPools.begin(), aTable.mPools.end(), [&](const pool_spec& aPool) {
    return std::any_of(aPool.mServers.begin(),
                       aPool.mServers.end(),
                       [&](const server_spec& aServer) { return aServer.mZone == aZone; });
  });
}

} // namespace

std::string Render(const pools_table& aTable)
{
  std::ostringstream text;
  text << "revision: " << aTable.mRevision.mNumber << "\nclosed_zones: [";
  const char* zoneSeparator = "";
  for (const std::string& zone : aTable.mClosedZones) {
    text << zoneSeparator << zone;
    zoneSeparator = ", ";
  }
  text << "]\npools:" << (aTable.mPools.empty() ? " []\n" : "\n");
  for (const pool_spec& pool : aTable.mPools) {
    text << "  - name: " << pool.mName << "\n    slots: " << pool.mSlots
         << "\n    connections: " << pool.mConnections
         << "\n    connect_ms: " << ToMs(pool.mConnectCost)
         << "\n    shards:" << (pool.mShards.empty() ? " []\n" : "\n");
    for (const shard_spec& shard : pool.mShards) {
      text << "      - name: " << shard.mName << "\n        ranges: " << RenderMaps(shard.mRanges)
           << "\n        servers: [";
      const char* serverSeparator = "\n";
      for (const server_spec& server : pool.mServers) {
        if (server.mShard == shard.mName) {
          text << serverSeparator << "          {name: " << server.mName
               << ", zone: " << server.mZone << ", address: \"" << server.mAddress << '"'
               << (server.mDraining ? ", draining: true}" : "}");
          serverSeparator = ",\n";
        }
      }
      text << "]\n";
    }
  }
  return text.str();
}

std::string Render(const vm_list& aTable)
{
  std::ostringstream text;
  text << "revision: " << aTable.mRevision.mNumber
       << "\nvms:" << (aTable.mVms.empty() ? " []\n" : "\n");
  for (const vm_spec& vm : aTable.mVms) {
    text << "  - {name: " << vm.mName << ", zone: " << vm.mZone << ", address: \"" << vm.mAddress
         << "\", call_address: \"" << vm.mCallAddress
         << "\", state: " << (vm.mState == vm_state::Live ? "live" : "leaving") << "}\n";
  }
  return text.str();
}

std::optional<pools_table> SetZoneClosed(pools_table aTable, const std::string& aZone, bool aClosed)
{
  if (!HasZone(aTable, aZone)) {
    return std::nullopt;
  }
  if (aClosed) {
    aTable.mClosedZones.insert(aZone);
  } else {
    aTable.mClosedZones.erase(aZone);
  }
  ++aTable.mRevision.mNumber;
  return aTable;
}

std::optional<pools_table> SetServerDraining(pools_table aTable,
                                             const std::string& aServer,
                                             bool aDraining)
{
  server_spec* server = FindServer(aTable, aServer);
  if (server == nullptr) {
    return std::nullopt;
  }
  server->mDraining = aDraining;
  ++aTable.mRevision.mNumber;
  return aTable;
}

std::optional<pools_table> RemoveServer(pools_table aTable, const std::string& aServer)
{
  for (pool_spec& pool : aTable.mPools) {
    if (std::erase_if(pool.mServers,
                      [&](const server_spec& aEntry) { return aEntry.mName == aServer; }) != 0) {
      ++aTable.mRevision.mNumber;
      return aTable;
    }
  }
  return std::nullopt;
}

std::optional<vm_list> SetVmState(vm_list aTable, const std::string& aVm, vm_state aState)
{
  for (vm_spec& vm : aTable.mVms) {
    if (vm.mName == aVm) {
      vm.mState = aState;
      ++aTable.mRevision.mNumber;
      return aTable;
    }
  }
  return std::nullopt;
}

std::optional<vm_list> RemoveVm(vm_list aTable, const std::string& aVm)
{
  if (std::erase_if(aTable.mVms, [&](const vm_spec& aEntry) { return aEntry.mName == aVm; }) == 0) {
    return std::nullopt;
  }
  ++aTable.mRevision.mNumber;
  return aTable;
}

vm_list PutVm(vm_list aTable, vm_spec aVm)
{
  std::erase_if(aTable.mVms, [&](const vm_spec& aEntry) { return aEntry.mName == aVm.mName; });
  aTable.mVms.push_back(std::move(aVm));
  std::sort(aTable.mVms.begin(), aTable.mVms.end());
  ++aTable.mRevision.mNumber;
  return aTable;
}

} // namespace redwingdock::standin
