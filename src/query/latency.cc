#include "query/latency.h"

#include <algorithm>
#include <cmath>

namespace redwingdock {

namespace {

constexpr double kFirstBucketMicros = 16.0;
constexpr double kBucketsPerDoubling = 4.0;
constexpr std::uint32_t kDecayAtSamples = 400; // all counts are halved at this many
constexpr std::uint32_t kMinSamples = 20;

std::size_t BucketOf(micros aLatency)
{
  const double ratio = static_cast<double>(aLatency.count()) / kFirstBucketMicros;
  if (ratio < 1.0) {
    return 0;
  }
  const auto bucket = static_cast<std::size_t>(std::log2(ratio) * kBucketsPerDoubling);
  return std::min(bucket, kLatencyBuckets - 1);
}

micros UpperBound(std::size_t aBucket)
{
  return micros(static_cast<std::int64_t>(
    kFirstBucketMicros * std::exp2(static_cast<double>(aBucket + 1) / kBucketsPerDoubling)));
}

} // namespace

latency_record AddLatency(const latency_record& aRecord, micros aLatency)
{
  latency_record next = aRecord;
  if (next.mTotal >= kDecayAtSamples) {
    next.mTotal = 0;
    for (std::uint16_t& count : next.mCounts) {
      count = static_cast<std::uint16_t>(count / 2);
      next.mTotal += count;
    }
  }
  ++next.mCounts.at(BucketOf(aLatency));
  ++next.mTotal;
  return next;
}

std::optional<micros> Quantile(const latency_record& aRecord, double aQuantile)
{
  if (aRecord.mTotal < kMinSamples) {
    return std::nullopt;
  }
  const auto rank = static_cast<std::uint32_t>(std::ceil(aQuantile * aRecord.mTotal));
  std::uint32_t cumulative = 0;
  for (std::size_t bucket = 0; bucket < kLatencyBuckets; ++bucket) {
    cumulative += aRecord.mCounts.at(bucket);
    if (cumulative >= rank) {
      return UpperBound(bucket);
    }
  }
  return UpperBound(kLatencyBuckets - 1);
}

} // namespace redwingdock
