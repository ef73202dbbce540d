#ifndef REDWINGDOCK_QUERY_LATENCY_H
#define REDWINGDOCK_QUERY_LATENCY_H

#include "base/time.h"

#include <array>
#include <compare>
#include <cstdint>
#include <optional>

// Recent latency of a shard as an immutable histogram with fading counts.
//
//   latency_record next = AddLatency(record, elapsed);
//   std::optional<micros> p95 = Quantile(next, 0.95);

namespace redwingdock {

// Bucket b holds latencies in [16 us * 2^(b/4), 16 us * 2^((b+1)/4)); the last one is open.
inline constexpr std::size_t kLatencyBuckets = 72;

struct latency_record
{
  std::array<std::uint16_t, kLatencyBuckets> mCounts{};
  std::uint32_t mTotal = 0;

  auto operator<=>(const latency_record&) const = default;
};

latency_record AddLatency(const latency_record& aRecord, micros aLatency);

// Upper bound of the bucket that holds the quantile; nothing with fewer than 20 samples, because
// a 95th percentile of fewer has no sample above it.
std::optional<micros> Quantile(const latency_record& aRecord, double aQuantile);

} // namespace redwingdock

#endif
