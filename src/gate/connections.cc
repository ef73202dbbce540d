#include "gate/connections.h"

#include <algorithm>

namespace redwingdock {

std::uint32_t CountConnections(const connections& aConnections, std::uint32_t aPermit)
{
  return static_cast<std::uint32_t>(
    std::count_if(aConnections.begin(), aConnections.end(), [&](const connection& aEach) {
      return aEach.mPermit == aPermit;
    }));
}

bool HasOpenConnection(const connections& aConnections)
{
  return std::any_of(aConnections.begin(), aConnections.end(), [](const connection& aEach) {
    return aEach.mPhase == connection_phase::Idle || aEach.mPhase == connection_phase::Busy;
  });
}

bool IsOpening(const connections& aConnections, std::uint32_t aPermit)
{
  return std::any_of(aConnections.begin(), aConnections.end(), [&](const connection& aEach) {
    return aEach.mPermit == aPermit && aEach.mPhase == connection_phase::Opening;
  });
}

bool CanConnect(const connections& aConnections, std::uint32_t aPermit, std::uint32_t aCap)
{
  return CountConnections(aConnections, aPermit) < aCap ||
         std::any_of(aConnections.begin(), aConnections.end(), [&](const connection& aEach) {
           return aEach.mPermit == aPermit && aEach.mPhase != connection_phase::Abandoned &&
                  aEach.mPhase != connection_phase::Auxiliary;
         });
}

const connection* FindConnection(const connections& aConnections, std::uint64_t aId)
{
  const auto found = std::find_if(aConnections.begin(),
                                  aConnections.end(),
                                  [&](const connection& aEach) { return aEach.mId == aId; });
  return aId == 0 || found == aConnections.end() ? nullptr : &*found;
}

std::optional<std::uint64_t> FindIdle(const connections& aConnections, std::uint32_t aPermit)
{
  const connection* best = nullptr;
  for (const connection& each : aConnections) {
    if (each.mPermit == aPermit && each.mPhase == connection_phase::Idle &&
        (best == nullptr || each.mSince > best->mSince)) {
      best = &each;
    }
  }
  return best == nullptr ? std::nullopt : std::optional(best->mId);
}

std::vector<std::uint64_t> ExcessIdle(const connections& aConnections,
                                      std::uint32_t aPermit,
                                      std::size_t aKeep)
{
  std::vector<connection> idle;
  std::copy_if(aConnections.begin(),
               aConnections.end(),
               std::back_inserter(idle),
               [&](const connection& aEach) {
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

connections WithOpening(connections aConnections,
                        std::uint64_t aId,
                        std::uint32_t aPermit,
                        instant aNow)
{
  aConnections.push_back({ aId, aPermit, connection_phase::Opening, aNow, kNever });
  return aConnections;
}

connections WithPhase(connections aConnections,
                      std::uint64_t aId,
                      connection_phase aPhase,
                      instant aNow)
{
  for (connection& each : aConnections) {
    if (each.mId == aId) {
      each.mPhase = aPhase;
      each.mSince = aNow;
    }
  }
  return aConnections;
}

connections WithAbandoned(connections aConnections, std::uint64_t aId, instant aNow, instant aUntil)
{
  for (connection& each : aConnections) {
    if (each.mId == aId) {
      each = { aId, each.mPermit, connection_phase::Abandoned, aNow, aUntil };
    }
  }
  return aConnections;
}

connections WithAuxiliary(connections aConnections,
                          std::uint32_t aPermit,
                          instant aNow,
                          instant aUntil)
{
  aConnections.push_back({ 0, aPermit, connection_phase::Auxiliary, aNow, aUntil });
  return aConnections;
}

connections WithoutAuxiliary(connections aConnections, std::uint32_t aPermit)
{
  const auto found =
    std::find_if(aConnections.begin(), aConnections.end(), [&](const connection& aEach) {
      return aEach.mPermit == aPermit && aEach.mPhase == connection_phase::Auxiliary;
    });
  if (found != aConnections.end()) {
    aConnections.erase(found);
  }
  return aConnections;
}

connections WithoutConnection(connections aConnections, std::uint64_t aId)
{
  std::erase_if(aConnections, [&](const connection& aEach) { return aEach.mId == aId; });
  return aConnections;
}

connections WithoutExpired(connections aConnections, instant aNow)
{
  std::erase_if(aConnections, [&](const connection& aEach) { return aEach.mUntil <= aNow; });
  return aConnections;
}

} // namespace redwingdock
