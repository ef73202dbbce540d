#include "base/hash.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace redwingdock {

std::uint64_t Hash(std::string_view aText)
{
  return XXH64(aText.data(), aText.size(), 0);
}

std::uint64_t RendezvousWeight(std::string_view aKey, std::string_view aCandidate)
{
  return XXH64(aKey.data(), aKey.size(), Hash(aCandidate));
}

std::vector<std::string> RankByWeight(std::string_view aKey, std::vector<std::string> aCandidates)
{
  std::vector<std::pair<std::uint64_t, std::string>> weighted;
  weighted.reserve(aCandidates.size());
  for (std::string& candidate : aCandidates) {
    const std::uint64_t weight = RendezvousWeight(aKey, candidate);
    weighted.emplace_back(weight, std::move(candidate));
  }
  std::sort(weighted.begin(), weighted.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first != aRight.first ? aLeft.first > aRight.first : aLeft.second < aRight.second;
  });
  std::vector<std::string> ranked;
  ranked.reserve(weighted.size());
  for (auto& [weight, candidate] : weighted) {
    ranked.push_back(std::move(candidate));
  }
  return ranked;
}

std::uint32_t PositionOf(std::string_view aRecordId)
{
  return static_cast<std::uint32_t>(Hash(aRecordId) % kPositions);
}

} // namespace redwingdock
