#ifndef REDWINGDOCK_CORE_CATALOG_H
#define REDWINGDOCK_CORE_CATALOG_H

#include "base/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Published data that forwarding uses: routes by host and path prefix, services, and the replicas
// of each service.
//
//   auto current = board.Read<catalog>(kCatalogKey);

namespace redwingdock {

// A service of a route. The services share the route's requests in proportion to their weights.
struct weighted_service
{
  std::string mService;
  double mWeight = 1;

  auto operator<=>(const weighted_service&) const = default;
};

// The answer of the route is merged from one part from each of its services.
struct gather_rule
{
  std::uint32_t mTopK = 0;         // number of records in the answer, those that sort highest
  double mMinimumSuccessShare = 1; // fraction of the services that must contribute to the answer

  auto operator<=>(const gather_rule&) const = default;
};

// A route, chosen by host and longest path prefix.
struct route_rule
{
  std::string mName;
  std::string mHost;
  std::string mPrefix; // of the path; begins and ends with a slash
  std::vector<weighted_service> mServices;
  std::optional<gather_rule> mGather;
  bool mIdempotent = false;
  micros mTimeout{ 0 };           // longest time until the final answer
  micros mTargetLatency{ 0 };     // an answer within this time counts in full
  std::uint32_t mMaxAttempts = 1; // most replicas that may run a request, per service
  std::uint32_t mPriority = 0;    // 0 is the most urgent

  auto operator<=>(const route_rule&) const = default;
};

// Limits that hold for each replica of a service.
struct service_limits
{
  std::string mName;
  std::uint32_t mConnectionLimit = 0; // that a replica accepts from all callers together
  double mColdRate = 0;               // requests/s that a cold replica can serve; 0: no known limit

  auto operator<=>(const service_limits&) const = default;
};

// Limits on the size and duration of client requests.
struct client_limits
{
  std::size_t mMaxHeaderBytes = std::size_t{ 16 } * 1024;
  std::size_t mMaxBodyBytes = std::size_t{ 256 } * 1024;
  // From the first byte of a request to the end of its header.
  micros mHeaderTimeout = std::chrono::seconds(3);
  micros mIdleTimeout = std::chrono::seconds(15); // for a connection without a request

  auto operator<=>(const client_limits&) const = default;
};

// One version of the operator's configuration. Versions increase.
struct configuration
{
  std::uint64_t mVersion = 0;
  std::vector<route_rule> mRoutes;
  std::vector<service_limits> mServices;
  client_limits mLimits;

  auto operator<=>(const configuration&) const = default;
};

// One run of a backend server process, as the process publishes it.
struct replica_entry
{
  std::string mId;
  std::string mService;
  std::string mAddress; // "ip:port"
  std::string mZone;
  std::uint32_t mSlots = 1;     // requests that it runs concurrently
  bool mDraining = false;       // takes no new requests
  micros mWarmupRemaining{ 0 }; // remaining warm-up time when the entry was written
  std::int64_t mBornMs = 0;     // Unix time of the start in milliseconds; distinguishes restarts
  std::uint64_t mSequence = 0;  // increases with each write of the same run
  instant mColdUntil{};         // end of the warm-up on this daemon's clock, from mWarmupRemaining

  auto operator<=>(const replica_entry&) const = default;
};

// Whether aLeft is of an earlier start of the replica than aRight, or an earlier state of the same
// start.
inline bool IsEarlier(const replica_entry& aLeft, const replica_entry& aRight)
{
  return aLeft.mBornMs != aRight.mBornMs ? aLeft.mBornMs < aRight.mBornMs
                                         : aLeft.mSequence < aRight.mSequence;
}

using replica_pointer = std::shared_ptr<const replica_entry>;
using route_pointer = std::shared_ptr<const route_rule>;

// The newest configuration and all known replicas. Entry key: kCatalogKey.
struct catalog
{
  std::uint64_t mVersion = 0;
  std::map<std::string, std::vector<route_pointer>> mRoutes;     // by host, longest prefix first
  std::map<std::string, service_limits> mServices;               // by name
  std::map<std::string, std::vector<replica_pointer>> mReplicas; // by service, then by id
  std::set<std::string> mClosedZones;
  client_limits mLimits;

  bool operator==(const catalog&) const = default;
};

inline constexpr char kCatalogKey[] = "catalog";

} // namespace redwingdock

#endif
