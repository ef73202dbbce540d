#include "query/query_hooks.h"

namespace redwingdock {

std::optional<micros> HedgeAfterQuantile(std::optional<micros> aQuantile)
{
  return aQuantile;
}

bool RepeatOnlyNotRun(part_result aResult)
{
  return aResult == part_result::NotRun;
}

} // namespace redwingdock
