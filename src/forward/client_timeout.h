#ifndef REDWINGDOCK_FORWARD_CLIENT_TIMEOUT_H
#define REDWINGDOCK_FORWARD_CLIENT_TIMEOUT_H

#include "core/fleet.h"

#include <array>
#include <compare>
#include <cstdint>
#include <string>

// Estimates how long a client had waited before its request arrived. Clients of a route mostly
// start with the same timeout and state the time that remains of it. The difference was spent on
// finding an address, on connecting or on an earlier attempt.
//
//   client_timeout_record next = WithClientTimeout(record, remaining);
//   micros spent = TimeBeforeArrival(next, remaining, now);

namespace redwingdock {

inline constexpr std::size_t kClientTimeoutSamples = 16;
// Time for which an observation is used by other daemons.
inline constexpr micros kReportTtl = std::chrono::seconds(60);

// The latest remaining times stated by clients, in milliseconds, as a ring buffer. Entry key:
// ClientTimeoutKey.
struct client_timeout_record
{
  std::array<std::uint32_t, kClientTimeoutSamples> mRecentMs{};
  std::uint32_t mCount = 0; // samples ever added
  // The greatest that other daemons observed, which is used while this daemon has few samples, and
  // until when.
  std::uint32_t mReportedMs = 0;
  instant mReportedUntil{};

  auto operator<=>(const client_timeout_record&) const = default;
};

// Entry key of the record of a route, and the route of a key.
std::string ClientTimeoutKey(const std::string& aRoute);
std::string RouteOfClientTimeoutKey(const std::string& aKey);

client_timeout_record WithClientTimeout(const client_timeout_record& aRecord, micros aRemaining);

// The timeout that clients start with, as this daemon's samples show it; 0 while they are too few.
micros ObservedTimeout(const client_timeout_record& aRecord);

// What this daemon uses and reports to others: its own observation, or a greater one that was
// reported to it while it has few samples. The timeout is 0 if there is neither.
observed_timeout ReportOf(const std::string& aRoute,
                          const client_timeout_record& aRecord,
                          instant aNow);

// Takes over a report unless a greater or newer one is known.
client_timeout_record WithReport(const client_timeout_record& aRecord,
                                 const observed_timeout& aReport,
                                 instant aNow);

// Estimated time spent before the arrival. 0 while too few clients have stated the same time and no
// other daemon has reported it, or when aRemaining is 0 because the client states none.
micros TimeBeforeArrival(const client_timeout_record& aRecord, micros aRemaining, instant aNow);

} // namespace redwingdock

#endif
