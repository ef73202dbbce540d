#include "forward/admission.h"

#include <algorithm>

namespace redwingdock {

namespace {

// An overload delays many parts at once. When single replicas or shards are slow, paused or
// unavailable, fewer parts are late, and refusing requests would not help.
constexpr double kOverloadedShare = 0.2;
constexpr std::size_t kOverloadedParts = 3;
// With these steps the share settles where about one gather in four meets the overload, and
// recovers within 1 to 2 seconds after it.
constexpr double kLowerWhenLate = 0.1;
constexpr double kRaiseInTime = 0.03;
// Some gathers are always admitted, because only their latency shows the end of the overload.
constexpr double kLeastShare = 0.4;
// Factors on the refused share. Urgent requests are refused half as often as the others.
constexpr double kUrgentFactor = 0.75;
constexpr double kOtherFactor = 1.5;

} // namespace

admission_level AfterGather(const admission_level& aLevel, std::size_t aLate, std::size_t aParts)
{
  const bool overloaded =
    aLate >= kOverloadedParts &&
    static_cast<double>(aLate) >= kOverloadedShare * static_cast<double>(aParts);
  const double share = aLevel.mShare + (overloaded ? -kLowerWhenLate : kRaiseInTime);
  return { std::clamp(share, kLeastShare, 1.0) };
}

bool IsAdmitted(const admission_level& aLevel, bool aUrgent, double aNoise)
{
  return aNoise >= (1 - aLevel.mShare) * (aUrgent ? kUrgentFactor : kOtherFactor);
}

} // namespace redwingdock
