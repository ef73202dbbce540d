#include "query/query_hooks.h"

#include <algorithm>

namespace redwingdock {

std::optional<micros> HedgeAfterQuantile(const shard_latency& aLatency)
{
  if (!aLatency.mMedian || !aLatency.mQuantile) {
    return std::nullopt;
  }
  // With 5% stragglers the 95th percentile is the latency of a straggler, and a hedge after it
  // comes too late (fan-out 53: p50 206 ms with the quantile alone).
  return std::min(*aLatency.mQuantile, kHedgeMedians * *aLatency.mMedian);
}

bool RepeatOnlyNotRun(part_result aResult)
{
  return aResult == part_result::NotRun;
}

} // namespace redwingdock
