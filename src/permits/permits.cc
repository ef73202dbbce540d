#include "permits/permits.h"

#include "base/hash.h"

#include <algorithm>

namespace redwingdock {

namespace {

// Rendezvous weight of a permit and a VM, mixed from their hashes by the finalizer of splitmix64.
// Hashing both names for each pair takes ten times as long.
std::uint64_t RendezvousWeight(std::uint64_t aPermit, std::uint64_t aVm)
{
  std::uint64_t mixed = aPermit ^ (aVm * 0x9e3779b97f4a7c15ULL);
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  return mixed ^ (mixed >> 31U);
}

} // namespace

std::vector<permit_shape> ShapesOf(const pools_table& aPools)
{
  std::vector<permit_shape> shapes;
  for (const pool_spec& pool : aPools.mPools) {
    std::map<std::string, std::vector<std::string>> byShard;
    for (const server_spec& server : pool.mServers) {
      byShard[server.mShard].push_back(server.mName);
    }
    for (auto& [shard, servers] : byShard) {
      std::sort(servers.begin(), servers.end());
      shapes.push_back({ pool.mName, shard, pool.mSlots, std::move(servers) });
    }
  }
  return shapes;
}

permit_assigner::permit_assigner(const vm_list& aList)
{
  for (const vm_spec& vm : aList.mVms) {
    mCandidates.push_back({ vm.mName, Hash(vm.mName) });
  }
  std::sort(mCandidates.begin(), mCandidates.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mName < aRight.mName;
  });
}

permit_holders permit_assigner::Assign(const permit_shape& aShape) const
{
  permit_holders holders;
  std::vector<std::uint32_t> used(mCandidates.size(), 0);
  std::uint32_t fewest = 0;
  std::size_t atFewest = mCandidates.size();
  for (std::uint32_t index = 0; index < aShape.mSlots; ++index) {
    for (const std::string& server : aShape.mServers) {
      std::vector<std::string>& held = holders[server];
      if (mCandidates.empty()) {
        held.emplace_back();
        continue;
      }
      const std::uint64_t key = Hash(server + "/" + std::to_string(index));
      std::size_t best = mCandidates.size();
      std::uint64_t bestWeight = 0;
      for (std::size_t i = 0; i < mCandidates.size(); ++i) {
        if (used[i] != fewest) {
          continue;
        }
        const std::uint64_t weight = RendezvousWeight(key, mCandidates[i].mHash);
        if (best == mCandidates.size() || weight > bestWeight) {
          best = i;
          bestWeight = weight;
        }
      }
      held.push_back(mCandidates[best].mName);
      ++used[best];
      if (--atFewest == 0) {
        ++fewest;
        atFewest = mCandidates.size();
      }
    }
  }
  return holders;
}

} // namespace redwingdock
