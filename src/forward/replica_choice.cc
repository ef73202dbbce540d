#include "forward/replica_choice.h"

#include <algorithm>

namespace redwingdock {

namespace {

// Costs in multiples of the typical latency of a part.
constexpr double kOtherZoneCost = 0.8; // traffic between zones is billed
constexpr double kColdCost = 0.8;      // extra latency of a cold replica
constexpr double kOverdueCost = 4;     // a pause lasts several times the typical latency
constexpr double kFailureCost = 6;     // a failed attempt needs a repeat, and repeats are limited
constexpr double kBlockedCost = 50;    // chosen only when there is no other replica
constexpr double kTieBreakerWeight = 0.1;

bool IsCold(const choice_candidate& aCandidate, const choice_input& aInput)
{
  return aCandidate.mReplica->mColdUntil > aInput.mNow;
}

bool HasCapacity(const choice_candidate& aCandidate, const choice_input& aInput)
{
  const replica_load& load = aCandidate.mLoad;
  if (load.mOpen.size() >= std::min(aInput.mConnections, load.mConnections)) {
    return false;
  }
  if (aInput.mColdRate <= 0 || !IsCold(aCandidate, aInput)) {
    return true;
  }
  const std::int64_t second =
    std::chrono::duration_cast<std::chrono::seconds>(aInput.mNow.time_since_epoch()).count();
  return load.mSentSecond != second || load.mSentInSecond + 1 <= aInput.mColdRate;
}

} // namespace

double CostOf(const choice_candidate& aCandidate, const choice_input& aInput)
{
  const replica_load& load = aCandidate.mLoad;
  const replica_entry& replica = *aCandidate.mReplica;
  const double slots = std::max<std::uint32_t>(replica.mSlots, 1);
  double cost =
    LatencyRatioAt(load, aInput.mNow) * (1 + static_cast<double>(load.mOpen.size()) / slots);
  cost += FailureShareAt(load, aInput.mNow) * kFailureCost;
  cost += replica.mZone == aInput.mZone ? 0 : kOtherZoneCost;
  cost += IsCold(aCandidate, aInput) ? kColdCost : 0;
  cost += IsOverdue(load, aInput.mNow) ? kOverdueCost : 0;
  cost += load.mBlockedUntil > aInput.mNow ? kBlockedCost : 0;
  return cost + aCandidate.mTieBreaker * kTieBreakerWeight;
}

std::optional<std::size_t> ChooseReplica(const std::vector<choice_candidate>& aCandidates,
                                         const choice_input& aInput)
{
  std::optional<std::size_t> best;
  double bestCost = 0;
  for (std::size_t i = 0; i < aCandidates.size(); ++i) {
    if (!HasCapacity(aCandidates[i], aInput)) {
      continue;
    }
    const double cost = CostOf(aCandidates[i], aInput);
    if (!best || cost < bestCost) {
      best = i;
      bestCost = cost;
    }
  }
  return best;
}

} // namespace redwingdock
