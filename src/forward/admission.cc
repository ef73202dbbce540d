#include "forward/admission.h"

#include <algorithm>

namespace redwingdock {

namespace {

// An overload delays many parts at once. When single replicas or shards are slow, paused or
// unavailable, fewer parts are late, and refusing requests would not help.
constexpr double kOverloadLateShare = 0.2;
constexpr std::size_t kOverloadLateParts = 3;
// With these steps the share settles where about one gather in four meets the overload, and
// recovers within 1 to 2 seconds after it.
constexpr double kDecreaseStep = 0.1;
constexpr double kIncreaseStep = 0.03;
// Some gathers are always admitted, because only their latency shows the end of the overload.
constexpr double kMinShare = 0.4;
// Factors on the refused share. Urgent requests are refused half as often as the others.
constexpr double kUrgentFactor = 0.75;
constexpr double kNonUrgentFactor = 1.5;

} // namespace

admission_level WithGather(const admission_level& aLevel, std::size_t aLate, std::size_t aParts)
{
  const bool overloaded =
    aLate >= kOverloadLateParts &&
    static_cast<double>(aLate) >= kOverloadLateShare * static_cast<double>(aParts);
  const double share = aLevel.mShare + (overloaded ? -kDecreaseStep : kIncreaseStep);
  return { std::clamp(share, kMinShare, 1.0) };
}

bool IsAdmitted(const admission_level& aLevel, bool aUrgent, double aRandom)
{
  return aRandom >= (1 - aLevel.mShare) * (aUrgent ? kUrgentFactor : kNonUrgentFactor);
}

} // namespace redwingdock
