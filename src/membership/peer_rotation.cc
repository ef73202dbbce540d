#include "membership/peer_rotation.h"

namespace redwingdock {

std::vector<std::string> PeersInRotation(const std::vector<std::string>& aNames,
                                         std::size_t aCount,
                                         std::uint64_t aRotation)
{
  if (aNames.size() <= aCount + 1) {
    return aNames;
  }
  std::vector<std::string> chosen;
  for (std::size_t i = 0; i < aCount; ++i) {
    chosen.push_back(aNames[(aRotation * aCount + i) % aNames.size()]);
  }
  return chosen;
}

} // namespace redwingdock
