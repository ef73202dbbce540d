#include "query/placement.h"

namespace redwingdock {

namespace {

// Costs are in units of the service time of one part. A hop between daemons takes about a quarter
// of it: 0.5 to 1.5 ms one way, against 4 to 10 ms for a part.
constexpr double kHopCost = 0.25;
constexpr double kSameZoneCost = 1.0;

bool IsExcluded(const placement_option& aOption, const placement_limits& aLimits)
{
  return aLimits.mExcludedServers.contains(aOption.mServer) ||
         aLimits.mExcludedPairs.contains(ServerHolderKey(aOption.mServer, aOption.mHolder));
}

double CostOf(const placement_option& aOption, const placement_limits& aLimits)
{
  double cost = static_cast<double>(aOption.mOutstanding) / aOption.mPermits;
  if (!aOption.mLocal) {
    cost += kHopCost;
  }
  if (!aLimits.mAvoidZone.empty() && aOption.mZone == aLimits.mAvoidZone) {
    cost += kSameZoneCost;
  }
  return cost;
}

} // namespace

std::string ServerHolderKey(const std::string& aServer, const std::string& aHolder)
{
  return "load/" + aServer + "/" + aHolder;
}

std::optional<std::size_t> ChooseOption(const std::vector<placement_option>& aOptions,
                                        const placement_limits& aLimits,
                                        const std::function<std::uint64_t(std::uint64_t)>& aRandom)
{
  std::vector<std::size_t> best;
  double bestCost = 0.0;
  for (std::size_t i = 0; i < aOptions.size(); ++i) {
    const placement_option& option = aOptions[i];
    if (option.mPermits == 0 || IsExcluded(option, aLimits) || option.mAvoidUntil > aLimits.mNow) {
      continue;
    }
    const double cost = CostOf(option, aLimits);
    if (best.empty() || cost < bestCost) {
      best.clear();
      bestCost = cost;
    }
    if (cost <= bestCost) {
      best.push_back(i);
    }
  }
  if (best.empty()) {
    return std::nullopt;
  }
  return best[aRandom(best.size())];
}

bool HasOptionAfterBackoff(const std::vector<placement_option>& aOptions,
                           const placement_limits& aLimits)
{
  for (const placement_option& option : aOptions) {
    if (option.mPermits > 0 && !IsExcluded(option, aLimits)) {
      return true;
    }
  }
  return false;
}

} // namespace redwingdock
