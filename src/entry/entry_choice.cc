#include "entry/entry_choice.h"

#include "base/hash.h"

#include <tuple>

namespace redwingdock {

std::optional<entry_candidate> ChooseEntry(const std::vector<entry_candidate>& aCandidates,
                                           const std::string& aCaller,
                                           const std::string& aZone,
                                           const std::set<std::string>& aClosedZones)
{
  using rank = std::tuple<bool, bool, std::uint64_t>;
  std::optional<entry_candidate> best;
  rank bestRank;
  for (const entry_candidate& each : aCandidates) {
    if (!each.mReachable) {
      continue;
    }
    const bool serving = each.mVm.mState == vm_state::Live && !each.mDraining &&
                         !aClosedZones.contains(each.mVm.mZone);
    const rank own{ serving, each.mVm.mZone == aZone, RendezvousWeight(aCaller, each.mVm.mName) };
    if (!best || own > bestRank) {
      best = each;
      bestRank = own;
    }
  }
  return best;
}

} // namespace redwingdock
