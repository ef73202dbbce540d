#include "forward/timing.h"

#include <algorithm>

namespace redwingdock {

namespace {

// Divisor of the target that gives the expected latency while none has been recorded.
constexpr int kTargetToLatency = 6;
// Covers CPU scheduling delay, which a daemon with a small share of a core meets twice.
constexpr micros kLeastMargin = std::chrono::milliseconds(6);
constexpr int kTargetToMargin = 12;
// With less than this fraction of the target left, the answer is late in any case and waits for
// more parts.
constexpr int kTargetToLeast = 8;
// Most attempts are answered within this many medians; a longer one met a pause or a slow replica.
constexpr double kUsualSpread = 2.5;
constexpr double kLeastSpread = 1.2;
// Time, in medians, that a hedge needs to finish before the partial answer.
constexpr double kHedgeTime = 1.8;

micros Times(micros aTime, double aFactor)
{
  return micros(static_cast<std::int64_t>(static_cast<double>(aTime.count()) * aFactor));
}

} // namespace

micros ExpectedLatency(const route_rule& aRoute, const latency_record& aRecent)
{
  const std::optional<micros> median = Quantile(aRecent, 0.5);
  return median ? *median : aRoute.mTarget / kTargetToLatency;
}

micros PartialAnswerAfter(const route_rule& aRoute, const client_time& aClient)
{
  const micros whole =
    aRoute.mTarget - aClient.mRoundTrip - std::max(kLeastMargin, aRoute.mTarget / kTargetToMargin);
  const micros left = whole - aClient.mSpent;
  return left >= aRoute.mTarget / kTargetToLeast ? left : whole;
}

micros HedgeAfter(const route_rule& aRoute, const latency_record& aRecent, micros aPartialAfter)
{
  const micros median = ExpectedLatency(aRoute, aRecent);
  const micros latest = aPartialAfter - Times(median, kHedgeTime);
  return std::max(Times(median, kLeastSpread), std::min(Times(median, kUsualSpread), latest));
}

} // namespace redwingdock
