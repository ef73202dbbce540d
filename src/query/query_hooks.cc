#include "query/query_hooks.h"

namespace redwingdock {

std::optional<micros> HedgeAfterQuantile(std::optional<micros> aQuantile)
{
  return aQuantile;
}

} // namespace redwingdock
