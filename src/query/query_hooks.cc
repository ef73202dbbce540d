#include "query/query_hooks.h"

namespace redwingdock {

std::optional<micros> HedgeDelayFromQuantile(std::optional<micros> aQuantile)
{
  return aQuantile ? kHedgeFactor * *aQuantile : kDefaultHedgeDelay;
}

bool IsHome(const request_key& aKey, const core_config& aConfig)
{
  return aKey.mVm == aConfig.mVm && aKey.mIncarnation == aConfig.mIncarnation;
}

bool RepeatOnlyIfNotRun(part_result aResult)
{
  return aResult == part_result::NotRun;
}

} // namespace redwingdock
