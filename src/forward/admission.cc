#include "forward/admission.h"

#include <algorithm>

namespace redwingdock {

namespace {

// An overload delays many parts at once. Fewer are late when single replicas or shards are slow,
// paused or gone, which refusing requests would not mend.
constexpr double kOverloadedShare = 0.2;
constexpr std::size_t kOverloadedParts = 3;
// With these two the share rests where about one gather in four meets the overload, and is back
// within a second or two after it.
constexpr double kLowerWhenLate = 0.1;
constexpr double kRaiseInTime = 0.03;
// Some are always taken in, because only they show the end of the overload.
constexpr double kLeastShare = 0.4;
// Of the refused share: half as much for urgent requests as for the others.
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
