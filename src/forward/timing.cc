#include "forward/timing.h"

#include <algorithm>

namespace redwingdock {

namespace {

// Divisor of the target that gives the expected latency while none has been recorded.
constexpr int kDefaultLatencyDivisor = 6;
// Margin before the target: the target divided by kMarginDivisor, but at least kMinMargin. Covers
// CPU scheduling delay, which a daemon with a small share of a core meets twice.
constexpr micros kMinMargin = std::chrono::milliseconds(6);
constexpr int kMarginDivisor = 12;
// With less than the target divided by this left, the answer is late in any case and waits for
// more parts.
constexpr int kMinTimeLeftDivisor = 8;
// Most attempts are answered within this many medians; a longer one met a pause or a slow replica.
constexpr double kHedgeMedians = 2.5;
constexpr double kMinHedgeMedians = 1.2;
// Time, in medians, that a hedge needs to finish before the partial answer.
constexpr double kHedgeDurationMedians = 1.8;

micros Scaled(micros aTime, double aFactor)
{
  return micros(static_cast<std::int64_t>(static_cast<double>(aTime.count()) * aFactor));
}

} // namespace

micros ExpectedLatency(const route_rule& aRoute, const latency_record& aRecent)
{
  const std::optional<micros> median = Quantile(aRecent, 0.5);
  return median ? *median : aRoute.mTargetLatency / kDefaultLatencyDivisor;
}

micros LongLatency(const route_rule& aRoute, const latency_record& aRecent)
{
  return std::max(aRoute.mTargetLatency, Scaled(ExpectedLatency(aRoute, aRecent), kHedgeMedians));
}

micros PartialAnswerDelay(const route_rule& aRoute, const client_delays& aClient)
{
  const micros whole = aRoute.mTargetLatency - aClient.mRoundTrip -
                       std::max(kMinMargin, aRoute.mTargetLatency / kMarginDivisor);
  const micros left = whole - aClient.mSpent;
  return left >= aRoute.mTargetLatency / kMinTimeLeftDivisor ? left : whole;
}

micros HedgeDelay(const route_rule& aRoute, const latency_record& aRecent, micros aPartialDelay)
{
  const micros median = ExpectedLatency(aRoute, aRecent);
  const micros latest = aPartialDelay - Scaled(median, kHedgeDurationMedians);
  return std::max(Scaled(median, kMinHedgeMedians),
                  std::min(Scaled(median, kHedgeMedians), latest));
}

} // namespace redwingdock
