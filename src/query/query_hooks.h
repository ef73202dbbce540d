#ifndef REDWINGDOCK_QUERY_QUERY_HOOKS_H
#define REDWINGDOCK_QUERY_QUERY_HOOKS_H

#include "query/plan.h"
#include "query/query_state.h"

#include <functional>
#include <optional>

namespace redwingdock {

// Delay after which an unanswered part is hedged, from the quantile of the shard's recent latency
// (nothing before enough replies were seen); nullopt never hedges.
using hedge_rule = std::function<std::optional<micros>(std::optional<micros> aQuantile)>;

std::optional<micros> HedgeAfterQuantile(std::optional<micros> aQuantile);

// Whether a Submit that ended this way may be sent to a server again.
using repeat_rule = std::function<bool(part_result)>;

// Only when it certainly did not run.
bool RepeatOnlyNotRun(part_result aResult);

using snapshot_rule = std::function<snapshot(const std::vector<shard_info>&)>;

struct query_hooks
{
  snapshot_rule mChooseSnapshot = ChooseSnapshot;
  reply_check mCheckReply = CheckReply;
  hedge_rule mHedgeDelay = HedgeAfterQuantile;
  repeat_rule mMayRepeatSubmit = RepeatOnlyNotRun;
  // Runs a suspect on one shard before the others.
  bool mCanary = true;
  // Resends a part whose server was lost only after another part was answered.
  bool mHoldLostParts = true;
};

} // namespace redwingdock

#endif
