#include "platform/soak/soak_configuration.h"

#include "base/log_text.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace redwingdock::platform {

namespace {

constexpr std::size_t kZones = 4;
// Both are above the body of every request.
constexpr std::uint64_t kMaxBodyBytes = 1'000'000;
constexpr std::uint64_t kLowMaxBodyBytes = 250'000;

} // namespace

std::string ShardName(std::size_t aShard)
{
  return "shard-" + std::to_string(aShard);
}

std::string ZoneName(std::size_t aNumber)
{
  return "zone-" + std::to_string(aNumber % kZones);
}

const soak_route* RouteOf(const soak_deployment& aDeployment, std::string_view aTarget)
{
  for (const soak_route& each : aDeployment.mRoutes) {
    if (aTarget.substr(1, each.mName.size() + 1) == each.mName + "/") {
      return &each;
    }
  }
  return nullptr;
}

// The first route that does not gather moves.
std::string MovedService(const soak_deployment& aDeployment, std::uint64_t aMoves)
{
  const auto moves = std::find_if(aDeployment.mRoutes.begin(),
                                  aDeployment.mRoutes.end(),
                                  [](const soak_route& aRoute) { return !aRoute.mGathers; });
  return moves->mName + (aMoves > 0 ? "-" + std::to_string(aMoves) : "");
}

version_routes RoutesOf(const soak_deployment& aDeployment, const configuration_state& aState)
{
  version_routes routes;
  for (const soak_route& each : aDeployment.mRoutes) {
    if (aState.mLastRoute || &each != &aDeployment.mRoutes.back()) {
      const bool moves = each.mName == MovedService(aDeployment, 0);
      routes[each.mName] = each.mGathers ? ""
                           : moves       ? MovedService(aDeployment, aState.mMoves)
                                         : each.mName;
    }
  }
  return routes;
}

std::string FormatConfiguration(const soak_deployment& aDeployment,
                                const configuration_state& aState)
{
  namespace json = boost::json;
  json::array shards;
  json::array services;
  for (std::size_t i = 0; i < kSoakShards; ++i) {
    shards.emplace_back(ShardName(i));
    services.push_back(json::object{ { "name", ShardName(i) }, { "connectionLimit", 64 } });
  }
  const version_routes serviceOf = RoutesOf(aDeployment, aState);
  json::array routes;
  for (const soak_route& each : aDeployment.mRoutes) {
    if (!serviceOf.contains(each.mName)) {
      continue;
    }
    json::object route{ { "name", each.mName },
                        { "host", kSoakHost },
                        { "prefix", "/" + each.mName + "/" },
                        { "kind", each.mKind },
                        { "timeoutMs", ToMs(each.mTimeout) },
                        { "targetLatencyMs", ToMs(each.mTarget) },
                        { "maxAttempts", 2 },
                        { "priority", 1 } };
    if (each.mGathers) {
      route["gather"] = shards;
      route["topK"] = 5;
      route["minimumSuccessShare"] = 0.6;
    } else {
      const std::string& service = serviceOf.at(each.mName);
      route["service"] = service;
      services.push_back(json::object{ { "name", service }, { "connectionLimit", 200 } });
    }
    routes.push_back(std::move(route));
  }
  return json::serialize(json::object{
    { "version", aState.mVersion },
    { "routes", std::move(routes) },
    { "services", std::move(services) },
    { "limits",
      json::object{ { "maxHeaderBytes", 8192 },
                    { "maxBodyBytes", aState.mLowLimits ? kLowMaxBodyBytes : kMaxBodyBytes },
                    { "headerTimeoutMs", aState.mLowLimits ? 1500 : 4000 },
                    { "idleTimeoutMs", aState.mLowLimits ? 400 : 10'000 } } } });
}

} // namespace redwingdock::platform
