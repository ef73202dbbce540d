#include "tables/readers.h"

#include "base/hash.h"

namespace redwingdock {

std::vector<std::string> SelectReaders(const vm_list& aList,
                                       const std::string& aZone,
                                       std::uint32_t aCount)
{
  std::vector<std::string> names;
  for (const vm_spec& vm : aList.mVms) {
    if (vm.mZone == aZone && vm.mState == vm_state::Live) {
      names.push_back(vm.mName);
    }
  }
  names = RankByWeight("readers/" + aZone, std::move(names));
  if (names.size() > aCount) {
    names.resize(aCount);
  }
  return names;
}

} // namespace redwingdock
