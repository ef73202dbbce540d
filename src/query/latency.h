#ifndef REDWINGDOCK_QUERY_LATENCY_H
#define REDWINGDOCK_QUERY_LATENCY_H

#include "base/time.h"

#include <array>
#include <compare>
#include <cstdint>
#include <optional>

// Recent latency of a shard, as an immutable histogram whose old counts decay.
//
//   latency_record next = AddLatency(record, elapsed);
//   std::optional<micros> p95 = Quantile(next, 0.95);

namespace redwingdock {

// Bucket b counts latencies in [16 us * 2^(b/4), 16 us * 2^((b+1)/4)). The first bucket also counts
// all shorter latencies, and the last one all longer ones.
inline constexpr std::size_t kLatencyBuckets = 72;

struct latency_record
{
  std::array<std::uint16_t, kLatencyBuckets> mCounts{};
  std::uint32_t mTotal = 0; // sum of mCounts

  auto operator<=>(const latency_record&) const = default;
};

// Returns the record with one more latency. From 400 samples on, all counts are halved first.
latency_record AddLatency(const latency_record& aRecord, micros aLatency);

// Upper bound of the bucket that holds the quantile. Returns nullopt for fewer than 20 samples,
// because the 95th percentile of fewer has no sample above it.
std::optional<micros> Quantile(const latency_record& aRecord, double aQuantile);

} // namespace redwingdock

#endif
