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

// What operators and backend servers publish about forwarding: routes by host and prefix, services,
// and the replicas of each service.
//
//   auto known = board.Read<catalog>(kCatalogKey);

namespace redwingdock {

// A service and its share of the requests among the services of a route.
struct weighted_service
{
  std::string mService;
  double mWeight = 1;

  auto operator<=>(const weighted_service&) const = default;
};

// The answer is made of one part from every service of the route.
struct gather_rule
{
  std::uint32_t mGreatest = 0; // records in the answer
  double mLeastShare = 1;      // of the services that must be in the answer

  auto operator<=>(const gather_rule&) const = default;
};

struct route_rule
{
  std::string mName;
  std::string mHost;
  std::string mPrefix; // of the path; begins and ends with a slash
  std::vector<weighted_service> mServices;
  std::optional<gather_rule> mGather;
  bool mIdempotent = false;
  micros mTimeout{ 0 };        // longest time until the final answer
  micros mTarget{ 0 };         // an answer within this time counts in full
  std::uint32_t mAttempts = 1; // replicas that may run a request, per service
  std::uint32_t mRank = 0;     // 0 is the most urgent

  auto operator<=>(const route_rule&) const = default;
};

struct service_limits
{
  std::string mName;
  std::uint32_t mConnections = 0; // a replica accepts from all callers together
  double mColdRate = 0;           // requests/s that a cold replica bears; 0: no limit is known

  auto operator<=>(const service_limits&) const = default;
};

// Bounds on what a client may send.
struct client_limits
{
  std::size_t mHeaderBytes = std::size_t{ 16 } * 1024;
  std::size_t mBodyBytes = std::size_t{ 256 } * 1024;
  micros mHeaderTime = std::chrono::seconds(3);
  micros mIdleTime = std::chrono::seconds(15);

  auto operator<=>(const client_limits&) const = default;
};

// One version of what the operator publishes. Versions increase.
struct configuration
{
  std::uint64_t mVersion = 0;
  std::vector<route_rule> mRoutes;
  std::vector<service_limits> mServices;
  client_limits mLimits;

  auto operator<=>(const configuration&) const = default;
};

// One start of a backend server process.
struct replica_entry
{
  std::string mId;
  std::string mService;
  std::string mAddress; // "ip:port"
  std::string mZone;
  std::uint32_t mSlots = 1;    // requests that it runs at the same time
  bool mDraining = false;      // takes no new requests
  micros mColdFor{ 0 };        // remaining warm-up time when the entry was written
  std::int64_t mBornMs = 0;    // Unix time of its start in milliseconds; tells restarts apart
  std::uint64_t mSequence = 0; // grows with each write of one start
  instant mColdUntil{};        // by this daemon's clock, from mColdFor

  auto operator<=>(const replica_entry&) const = default;
};

using replica_pointer = std::shared_ptr<const replica_entry>;
using route_pointer = std::shared_ptr<const route_rule>;

// The newest configuration joined with the replicas that are known. Entry key: kCatalogKey.
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
