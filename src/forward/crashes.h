#ifndef REDWINGDOCK_FORWARD_CRASHES_H
#define REDWINGDOCK_FORWARD_CRASHES_H

#include "base/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>

// Requests that may end the replicas that run them, by fingerprint. Their clients send them again,
// to any daemon.
//
//   crash_record next = WithLost(record, "i-1", bornMs, now);
//   if (EndedReplicas(next, [&](const auto& aId, auto aBorn) { ... }) >= kCrashLosses) { ... }

namespace redwingdock {

// One lost replica may be chance; a request that ended two is refused.
inline constexpr std::size_t kCrashLosses = 2;
// Records are kept this long after the last loss or repeat of the request.
inline constexpr micros kCrashTime = std::chrono::seconds(60);

// Entry key: CrashKey.
struct crash_record
{
  std::uint64_t mFingerprint = 0;
  // Start, by id, of the replicas whose connection ended while they ran the request.
  std::map<std::string, std::int64_t> mLost;
  bool mRefused = false; // here or at another daemon
  instant mUntil{};

  auto operator<=>(const crash_record&) const = default;
};

std::string CrashKey(std::uint64_t aFingerprint);

crash_record WithLost(const crash_record& aRecord,
                      const std::string& aReplica,
                      std::int64_t aBornMs,
                      instant aNow);

// Lost replicas of which the function says that this start of theirs has ended. A connection that
// ended alone does not show that.
template<typename Function>
std::size_t EndedReplicas(const crash_record& aRecord, Function&& aHasEnded)
{
  std::size_t ended = 0;
  for (const auto& [id, born] : aRecord.mLost) {
    ended += aHasEnded(id, born) ? 1 : 0;
  }
  return ended;
}

} // namespace redwingdock

#endif
