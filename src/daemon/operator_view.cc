#include "daemon/operator_view.h"

#include "base/hash.h"
#include "core/values.h"
#include "gate/gate_hooks.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace redwingdock {

namespace json = boost::json;

namespace {

// Milliseconds until aTime, negative if it has passed; null for kNever.
json::value MsUntil(instant aTime, instant aNow)
{
  if (aTime == kNever) {
    return nullptr;
  }
  return ToMs(aTime - aNow);
}

const char* PhaseName(drain_phase aPhase)
{
  switch (aPhase) {
    case drain_phase::Serving:
      return "serving";
    case drain_phase::Draining:
      return "draining";
    case drain_phase::Closing:
      return "closing";
    case drain_phase::Stopped:
      return "stopped";
  }
  return "serving";
}

json::object RevisionsJson(const blackboard& aBoard)
{
  const auto tables = aBoard.Read<tables_in_force>(kTablesKey);
  const auto members = aBoard.Read<member_view>(kMembersKey);
  json::object object;
  object.emplace("routes", tables ? tables->RoutesRevision().mNumber : 0);
  object.emplace("pools", tables ? tables->PoolsRevision().mNumber : 0);
  object.emplace("vms", members ? members->mVms.mRevision.mNumber : 0);
  return object;
}

json::array MembersJson(const blackboard& aBoard, instant aNow)
{
  const auto view = aBoard.Read<member_view>(kMembersKey);
  auto peers = aBoard.List<peer_state>();
  json::array members;
  for (const vm_spec& vm : view ? view->mVms.mVms : std::vector<vm_spec>{}) {
    json::object member;
    member.emplace("vm", vm.mName);
    member.emplace("zone", vm.mZone);
    member.emplace("address", vm.mAddress);
    member.emplace("call_address", vm.mCallAddress);
    member.emplace("state", vm.mState == vm_state::Live ? "live" : "leaving");
    const auto peer = std::find_if(peers.begin(), peers.end(), [&vm](const auto& aEach) {
      return aEach.second->mVm == vm.mName;
    });
    if (peer != peers.end()) {
      const peer_state& state = *peer->second;
      member.emplace("incarnation", state.mIncarnation);
      member.emplace("connected", state.mConnected);
      member.emplace("draining", state.mDraining);
      member.emplace("heard_ms_ago", ToMs(aNow - state.mHeardAt));
      member.emplace("routes", state.mRoutesRevision.mNumber);
      member.emplace("pools", state.mPoolsRevision.mNumber);
      member.emplace("vms", state.mVmRevision.mNumber);
    }
    members.emplace_back(std::move(member));
  }
  return members;
}

json::object StatusJson(const server_status& aStatus, instant aNow)
{
  json::array versions;
  for (const index_version& each : aStatus.mVersions) {
    versions.emplace_back(json::object{ { "version", each.mVersion }, { "map", each.mMap } });
  }
  json::object object;
  object.emplace("instance", aStatus.mInstance);
  object.emplace("stage", aStatus.mStage);
  object.emplace("draining", aStatus.mDraining);
  object.emplace("queue", aStatus.mQueueLength);
  object.emplace("seen_ms_ago", ToMs(aNow - aStatus.mSeenAt));
  object.emplace("versions", std::move(versions));
  return object;
}

json::array PermitsJson(const server_permits& aPermits, instant aNow)
{
  json::array permits;
  for (const permit& each : aPermits.mPermits) {
    json::object item;
    item.emplace("index", each.mIndex);
    item.emplace("holder", each.mHolder);
    item.emplace("usable_in_ms", std::max<std::int64_t>(ToMs(each.mUsableFrom - aNow), 0));
    permits.emplace_back(std::move(item));
  }
  return permits;
}

json::array SuspectsJson(const blackboard& aBoard, instant aNow)
{
  json::array suspects;
  for (const auto& [key, each] : aBoard.List<suspect>()) {
    json::array lost;
    for (const std::string& server : each->mServersLost) {
      lost.emplace_back(server);
    }
    json::object item;
    item.emplace("fingerprint", std::to_string(each->mFingerprint));
    item.emplace("level", each->mLevel == suspicion::Suspect ? "suspect" : "quarantined");
    item.emplace("servers_lost", std::move(lost));
    item.emplace("until_ms", MsUntil(each->mUntil, aNow));
    suspects.emplace_back(std::move(item));
  }
  return suspects;
}

// Returns "yes" if this daemon can use the permit now, otherwise "no" with the reason.
std::string ExplainPermit(const permit& aPermit,
                          const std::shared_ptr<const member_view>& aView,
                          const server_status& aStatus,
                          const server_spec& aServer,
                          const pools_table& aPools,
                          instant aNow)
{
  if (!aView) {
    return "no: this daemon has not received a VM list";
  }
  if (aPermit.mHolder != aView->mSelf) {
    return "no: held by " + aPermit.mHolder;
  }
  if (aPools.mClosedZones.contains(aServer.mZone)) {
    return "no: zone " + aServer.mZone + " is closed";
  }
  if (aServer.mDraining || aStatus.mDraining) {
    return "no: the server is draining";
  }
  if (aNow > aView->mConfirmedUntil) {
    return "no: the view of this daemon is not confirmed";
  }
  if (aNow < aPermit.mUsableFrom) {
    return "no: usable in " + std::to_string(ToMs(aPermit.mUsableFrom - aNow)) + " ms";
  }
  if (!MayUsePermit(aPermit, *aView, aNow)) {
    return "no: not allowed by the confirmation rule or the takeover rule";
  }
  if (aStatus.mStage < aPermit.mIndex) {
    return "no: the server is at stage " + std::to_string(aStatus.mStage);
  }
  return "yes";
}

json::object ExplainServer(const blackboard& aBoard,
                           const pools_table& aPools,
                           const server_spec& aServer,
                           instant aNow)
{
  const auto view = aBoard.Read<member_view>(kMembersKey);
  const auto found = aBoard.Read<server_status>(aServer.mName);
  const server_status status = found ? *found : server_status{};
  json::array permits;
  if (const auto held = aBoard.Read<server_permits>(aServer.mName)) {
    for (const permit& each : held->mPermits) {
      json::object item;
      item.emplace("index", each.mIndex);
      item.emplace("holder", each.mHolder);
      item.emplace("usable", ExplainPermit(each, view, status, aServer, aPools, aNow));
      permits.emplace_back(std::move(item));
    }
  }
  json::object object;
  object.emplace("server", aServer.mName);
  object.emplace("zone", aServer.mZone);
  object.emplace("address", aServer.mAddress);
  object.emplace("status", found ? json::value(StatusJson(status, aNow)) : json::value(nullptr));
  object.emplace("permits", std::move(permits));
  return object;
}

bool ContainsPosition(const position_ranges& aRanges, std::uint32_t aPosition)
{
  return std::any_of(aRanges.begin(), aRanges.end(), [aPosition](const position_range& aRange) {
    return aRange.mFrom <= aPosition && aPosition < aRange.mTo;
  });
}

} // namespace

std::string FormatView(const blackboard& aBoard, const core_config& aConfig, instant aNow)
{
  const auto view = aBoard.Read<member_view>(kMembersKey);
  const auto tables = aBoard.Read<tables_in_force>(kTablesKey);
  const auto drain = aBoard.Read<drain_state>(kSelfKey);
  json::object root;
  root.emplace("vm", aConfig.mVm);
  root.emplace("incarnation", aConfig.mIncarnation);
  root.emplace("zone", aConfig.mZone);
  root.emplace("phase", PhaseName(drain ? drain->mPhase : drain_phase::Serving));
  root.emplace("revisions", RevisionsJson(aBoard));
  root.emplace("view_confirmed", view && aNow <= view->mConfirmedUntil);
  json::array closed;
  if (tables && tables->mPools) {
    for (const std::string& zone : tables->mPools->mClosedZones) {
      closed.emplace_back(zone);
    }
  }
  root.emplace("closed_zones", std::move(closed));
  root.emplace("members", MembersJson(aBoard, aNow));
  json::object permits;
  for (const auto& [server, each] : aBoard.List<server_permits>()) {
    permits.emplace(server, PermitsJson(*each, aNow));
  }
  root.emplace("permits", std::move(permits));
  json::object servers;
  for (const auto& [server, each] : aBoard.List<server_status>()) {
    servers.emplace(server, StatusJson(*each, aNow));
  }
  root.emplace("servers", std::move(servers));
  root.emplace("suspects", SuspectsJson(aBoard, aNow));
  json::object counters;
  for (const auto& [name, each] : aBoard.List<counter>()) {
    counters.emplace(name, each->mCount);
  }
  root.emplace("counters", std::move(counters));
  return json::serialize(root);
}

result<std::string> FormatExplanation(const blackboard& aBoard,
                                      const core_config& aConfig,
                                      instant aNow,
                                      const std::string& aRoute,
                                      const std::string& aRecordId)
{
  const auto tables = aBoard.Read<tables_in_force>(kTablesKey);
  if (!tables || !tables->mRoutes || !tables->mPools) {
    return Failure<std::string>("explain", "", "no tables are in force");
  }
  const route_spec* route = tables->FindRoute(aRoute);
  if (route == nullptr) {
    return Failure<std::string>("explain", "", "route \"" + aRoute + "\" does not exist");
  }
  const std::uint32_t position = PositionOf(aRecordId);
  json::array pools;
  for (const std::string& name : route->mPools) {
    const pool_spec* pool = tables->FindPool(name);
    if (pool == nullptr) {
      continue;
    }
    json::array shards;
    for (const shard_spec& shard : pool->mShards) {
      json::array maps;
      for (const auto& [map, ranges] : shard.mRanges) {
        if (ContainsPosition(ranges, position)) {
          maps.emplace_back(map);
        }
      }
      if (maps.empty()) {
        continue;
      }
      json::array replicas;
      for (const server_spec& server : pool->mServers) {
        if (server.mShard == shard.mName) {
          replicas.emplace_back(ExplainServer(aBoard, *tables->mPools, server, aNow));
        }
      }
      json::object item;
      item.emplace("shard", shard.mName);
      item.emplace("maps", std::move(maps));
      item.emplace("replicas", std::move(replicas));
      shards.emplace_back(std::move(item));
    }
    json::object item;
    item.emplace("pool", name);
    item.emplace("shards", std::move(shards));
    pools.emplace_back(std::move(item));
  }
  json::object root;
  root.emplace("vm", aConfig.mVm);
  root.emplace("route", aRoute);
  root.emplace("id", aRecordId);
  root.emplace("position", position);
  root.emplace("pools", std::move(pools));
  return Success(json::serialize(root));
}

} // namespace redwingdock
