#include "gate/gate_state.h"

#include <algorithm>

namespace redwingdock {

namespace {

template<typename P>
const permit_use* FindUseIf(const gate_state& aState, P aMatches)
{
  const auto found = std::find_if(aState.mUses.begin(), aState.mUses.end(), aMatches);
  return found == aState.mUses.end() ? nullptr : &*found;
}

} // namespace

const permit_use* FindUse(const gate_state& aState, const attempt_id& aAttempt)
{
  return FindUseIf(
    aState, [&](const permit_use& aUse) { return aUse.mPart.mRequest.mAttempt == aAttempt; });
}

const permit_use* FindUseOfPermit(const gate_state& aState, std::uint32_t aPermit)
{
  return FindUseIf(aState, [&](const permit_use& aUse) { return aUse.mPermit == aPermit; });
}

const permit_use* FindUseOfConnection(const gate_state& aState, std::uint64_t aConnection)
{
  return FindUseIf(aState, [&](const permit_use& aUse) {
    return aConnection != 0 && aUse.mConnection == aConnection;
  });
}

gate_state WithUse(gate_state aState, const permit_use& aUse)
{
  for (permit_use& each : aState.mUses) {
    if (each.mPart.mRequest.mAttempt == aUse.mPart.mRequest.mAttempt) {
      each = aUse;
      return aState;
    }
  }
  aState.mUses.push_back(aUse);
  return aState;
}

gate_state WithoutUse(gate_state aState, const attempt_id& aAttempt)
{
  std::erase_if(aState.mUses,
                [&](const permit_use& aUse) { return aUse.mPart.mRequest.mAttempt == aAttempt; });
  return aState;
}

std::vector<instant> FreeTimes(const gate_state& aState,
                               const std::vector<std::uint32_t>& aPermits,
                               instant aNow)
{
  std::vector<instant> times;
  times.reserve(aPermits.size());
  for (const std::uint32_t index : aPermits) {
    const permit_use* use = FindUseOfPermit(aState, index);
    if (use == nullptr) {
      times.push_back(aNow);
    } else if (use->mConnection == 0) {
      times.push_back(use->mFreeAt);
    } else {
      times.push_back(std::max(aNow + micros(1), use->mSentAt + aState.mRamp.mUsualLatency));
    }
  }
  return times;
}

server_observations WithObservation(server_observations aObservations,
                                    bool aDraining,
                                    const std::vector<index_version>& aVersions,
                                    instant aAt)
{
  if (aAt < aObservations.mSeenAt) {
    return aObservations;
  }
  aObservations.mSeenAt = aAt;
  aObservations.mDraining = aDraining;
  if (aDraining) {
    aObservations.mDrainingSince = aAt;
  }
  if (!aVersions.empty()) {
    aObservations.mVersions = aVersions;
    std::sort(aObservations.mVersions.begin(), aObservations.mVersions.end());
  }
  return aObservations;
}

} // namespace redwingdock
