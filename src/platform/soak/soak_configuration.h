#ifndef REDWINGDOCK_PLATFORM_SOAK_SOAK_CONFIGURATION_H
#define REDWINGDOCK_PLATFORM_SOAK_SOAK_CONFIGURATION_H

#include "platform/soak/soak_ledger.h"
#include "platform/soak/soak_plan.h"

#include <cstdint>
#include <string>
#include <string_view>

// The configurations that a soak publishes.

namespace redwingdock::platform {

inline constexpr char kSoakHost[] = "soak.example";
inline constexpr std::size_t kSoakShards = 6;
inline constexpr std::uint64_t kSoakMoves = 8; // more than a plan has, each to a new service

std::string ShardName(std::size_t aShard);
std::string ZoneName(std::size_t aNumber);

// The route with this path; null when there is none.
const soak_route* RouteOf(const soak_deployment& aDeployment, std::string_view aTarget);

struct configuration_state
{
  std::uint64_t mVersion = 0;
  bool mLastRoute = true;  // it has the last route of the deployment
  bool mLowLimits = false; // of bodies and idle connections
  std::uint64_t mMoves = 0;

  auto operator<=>(const configuration_state&) const = default;
};

// The service of the route that moves, after so many moves.
std::string MovedService(const soak_deployment& aDeployment, std::uint64_t aMoves);
version_routes RoutesOf(const soak_deployment& aDeployment, const configuration_state& aState);

std::string FormatConfiguration(const soak_deployment& aDeployment,
                                const configuration_state& aState);

} // namespace redwingdock::platform

#endif
