#include "gate/connections.h"

#include <algorithm>

namespace redwingdock {

std::uint32_t CountOf(const connections& aAll, std::uint32_t aPermit)
{
  return static_cast<std::uint32_t>(std::count_if(
    aAll.begin(), aAll.end(), [&](const connection& aEach) { return aEach.mPermit == aPermit; }));
}

bool AnyOpen(const connections& aAll)
{
  return std::any_of(aAll.begin(), aAll.end(), [](const connection& aEach) {
    return aEach.mPhase == connection_phase::Idle || aEach.mPhase == connection_phase::Busy;
  });
}

bool IsOpening(const connections& aAll, std::uint32_t aPermit)
{
  return std::any_of(aAll.begin(), aAll.end(), [&](const connection& aEach) {
    return aEach.mPermit == aPermit && aEach.mPhase == connection_phase::Opening;
  });
}

bool CanConnect(const connections& aAll, std::uint32_t aPermit, std::uint32_t aCap)
{
  return CountOf(aAll, aPermit) < aCap ||
         std::any_of(aAll.begin(), aAll.end(), [&](const connection& aEach) {
           return aEach.mPermit == aPermit && aEach.mPhase != connection_phase::Held &&
                  aEach.mPhase != connection_phase::Side;
         });
}

const connection* FindConnection(const connections& aAll, std::uint64_t aId)
{
  const auto found = std::find_if(
    aAll.begin(), aAll.end(), [&](const connection& aEach) { return aEach.mId == aId; });
  return aId == 0 || found == aAll.end() ? nullptr : &*found;
}

std::optional<std::uint64_t> IdleOf(const connections& aAll, std::uint32_t aPermit)
{
  const connection* best = nullptr;
  for (const connection& each : aAll) {
    if (each.mPermit == aPermit && each.mPhase == connection_phase::Idle &&
        (best == nullptr || each.mSince > best->mSince)) {
      best = &each;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->mId);
}

std::vector<std::uint64_t> IdleBeyond(const connections& aAll,
                                      std::uint32_t aPermit,
                                      std::size_t aKeep)
{
  std::vector<connection> idle;
  std::copy_if(aAll.begin(), aAll.end(), std::back_inserter(idle), [&](const connection& aEach) {
    return aEach.mPermit == aPermit && aEach.mPhase == connection_phase::Idle;
  });
  std::sort(idle.begin(), idle.end(), [](const connection& aLeft, const connection& aRight) {
    return aLeft.mSince < aRight.mSince;
  });
  std::vector<std::uint64_t> beyond;
  for (std::size_t i = 0; i + aKeep < idle.size(); ++i) {
    beyond.push_back(idle[i].mId);
  }
  return beyond;
}

connections Opening(connections aAll, std::uint64_t aId, std::uint32_t aPermit, instant aNow)
{
  aAll.push_back({ aId, aPermit, connection_phase::Opening, aNow, kNever });
  return aAll;
}

connections InPhase(connections aAll, std::uint64_t aId, connection_phase aPhase, instant aNow)
{
  for (connection& each : aAll) {
    if (each.mId == aId) {
      each.mPhase = aPhase;
      each.mSince = aNow;
    }
  }
  return aAll;
}

connections HeldUntil(connections aAll, std::uint64_t aId, instant aNow, instant aUntil)
{
  for (connection& each : aAll) {
    if (each.mId == aId) {
      each = { aId, each.mPermit, connection_phase::Held, aNow, aUntil };
    }
  }
  return aAll;
}

connections WithSide(connections aAll, std::uint32_t aPermit, instant aNow, instant aUntil)
{
  aAll.push_back({ 0, aPermit, connection_phase::Side, aNow, aUntil });
  return aAll;
}

connections WithoutSide(connections aAll, std::uint32_t aPermit)
{
  const auto found = std::find_if(aAll.begin(), aAll.end(), [&](const connection& aEach) {
    return aEach.mPermit == aPermit && aEach.mPhase == connection_phase::Side;
  });
  if (found != aAll.end()) {
    aAll.erase(found);
  }
  return aAll;
}

connections Without(connections aAll, std::uint64_t aId)
{
  std::erase_if(aAll, [&](const connection& aEach) { return aEach.mId == aId; });
  return aAll;
}

connections AfterExpiry(connections aAll, instant aNow)
{
  std::erase_if(aAll, [&](const connection& aEach) { return aEach.mUntil <= aNow; });
  return aAll;
}

} // namespace redwingdock
