#include "membership/witness.h"

#include "base/hash.h"

#include <algorithm>
#include <functional>

namespace redwingdock {

std::vector<std::string> WitnessesOf(const vm_list& aList,
                                     const std::string& aVm,
                                     std::uint32_t aCount)
{
  std::vector<std::string> others;
  for (const vm_spec& vm : aList.mVms) {
    if (vm.mName != aVm) {
      others.push_back(vm.mName);
    }
  }
  others = RankByWeight("witness/" + aVm, std::move(others));
  if (others.size() + 1 > aCount) {
    others.resize(aCount - 1);
  }
  others.push_back(aVm);
  return others;
}

instant MajorityAnsweredSince(const std::vector<std::string>& aWitnesses,
                              const std::string& aSelf,
                              const std::map<std::string, instant>& aAnswered)
{
  if (aWitnesses.size() < 2) {
    return instant{};
  }
  std::vector<instant> sent;
  for (const std::string& witness : aWitnesses) {
    const auto found = aAnswered.find(witness);
    if (witness != aSelf && found != aAnswered.end()) {
      sent.push_back(found->second);
    }
  }
  const std::size_t needed = Majority(aWitnesses.size()) - 1;
  if (sent.size() < needed) {
    return instant{};
  }
  std::sort(sent.begin(), sent.end(), std::greater<>());
  return sent[needed - 1];
}

} // namespace redwingdock
