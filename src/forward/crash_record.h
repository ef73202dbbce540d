#ifndef REDWINGDOCK_FORWARD_CRASH_RECORD_H
#define REDWINGDOCK_FORWARD_CRASH_RECORD_H

#include "base/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

// Records of requests that may crash the replicas that run them, by fingerprint. Their clients
// retry them at any daemon.
//
//   crash_record next = WithLostReplica(record, "i-1", bornMs, now);
//   std::size_t ended = CountEndedReplicas(next, [&](const auto& aId, auto aBorn) { ... });
//   if (ended >= kCrashThreshold) { ... }

namespace redwingdock {

// One terminated replica may be a coincidence; a request that terminated two is refused.
inline constexpr std::size_t kCrashThreshold = 2;
// Time that a record is kept after the last lost replica or the last repeat of the request.
inline constexpr micros kCrashRecordTtl = std::chrono::seconds(60);

// Entry key: CrashKey.
struct crash_record
{
  std::uint64_t mFingerprint = 0;
  // Replicas whose connection ended while they ran the request: id to start time in ms.
  std::map<std::string, std::int64_t> mLostReplicas;
  bool mRefused = false; // by this daemon or by another one
  instant mUntil{};

  auto operator<=>(const crash_record&) const = default;
};

std::string CrashKey(std::uint64_t aFingerprint);

crash_record WithLostReplica(const crash_record& aRecord,
                             const std::string& aReplica,
                             std::int64_t aBornMs,
                             instant aNow);

// Counts the lost replicas for which aHasEnded(id, start) returns true. A closed connection alone
// does not show that the process has ended.
template<typename Function>
std::size_t CountEndedReplicas(const crash_record& aRecord, Function&& aHasEnded)
{
  std::size_t ended = 0;
  for (const auto& [id, born] : aRecord.mLostReplicas) {
    ended += aHasEnded(id, born) ? 1 : 0;
  }
  return ended;
}

} // namespace redwingdock

#endif
