#include "gate/gate_hooks.h"

namespace redwingdock {

bool MayUsePermit(const permit& aPermit, const member_view& aView, instant aNow)
{
  return aPermit.mHolder == aView.mSelf && aPermit.mUsableFrom <= aNow &&
         aNow < aView.mConfirmedUntil;
}

} // namespace redwingdock
