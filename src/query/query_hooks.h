#ifndef REDWINGDOCK_QUERY_QUERY_HOOKS_H
#define REDWINGDOCK_QUERY_QUERY_HOOKS_H

#include "core/values.h"

#include <functional>
#include <optional>

namespace redwingdock {

// Delay after which an unanswered part is hedged, from the quantile of the shard's recent latency
// (nothing before enough replies were seen); nullopt never hedges.
using hedge_rule = std::function<std::optional<micros>(std::optional<micros> aQuantile)>;

std::optional<micros> HedgeAfterQuantile(std::optional<micros> aQuantile);

struct query_hooks
{
  hedge_rule mHedgeDelay = HedgeAfterQuantile;
};

} // namespace redwingdock

#endif
