#include "gate/gate_hooks.h"

#include <algorithm>

namespace redwingdock {

namespace {

// A send that the front end delays for longer fails as not sent, so that it is decided again.
constexpr micros kSendWindow = std::chrono::milliseconds(100);

} // namespace

bool MayUsePermit(const permit& aPermit, const member_view& aView, instant aNow)
{
  return aPermit.mHolder == aView.mSelf && aPermit.mUsableFrom <= aNow &&
         aNow < aView.mConfirmedUntil;
}

std::uint32_t HalfOfPermitShare(const pool_spec& aPool)
{
  return std::max(1U, aPool.mConnections / std::max(1U, aPool.mSlots) / 2);
}

micros SilenceTimeout(micros aUsual, const core_config& aConfig)
{
  return std::max(aConfig.mSilenceLimit, aConfig.mSilenceFactor * aUsual);
}

instant ExpireAfterSilentHold(instant aNow, const core_config& aConfig)
{
  return aNow + aConfig.mSilentHold;
}

instant ReleaseAfterDeadline(const part_request& aRequest,
                             instant /*aNow*/,
                             const core_config& aConfig)
{
  return aRequest.mDeadline + aConfig.mDeadlineSlack;
}

instant SendLimit(const part_request& aRequest,
                  const member_view& aView,
                  instant aStageUntil,
                  instant aNow)
{
  return std::min({ aView.mConfirmedUntil, aStageUntil, aRequest.mDeadline, aNow + kSendWindow });
}

} // namespace redwingdock
