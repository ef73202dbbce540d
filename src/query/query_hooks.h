#ifndef REDWINGDOCK_QUERY_QUERY_HOOKS_H
#define REDWINGDOCK_QUERY_QUERY_HOOKS_H

#include "query/plan.h"
#include "query/query_state.h"

#include <functional>
#include <optional>

namespace redwingdock {

// Recent latency of a shard; empty before enough replies were seen.
struct shard_latency
{
  std::optional<micros> mMedian;
  std::optional<micros> mQuantile; // mHedgeQuantile of the settings

  auto operator<=>(const shard_latency&) const = default;
};

// Delay after which an unanswered part is hedged; nullopt never hedges.
using hedge_rule = std::function<std::optional<micros>(const shard_latency&)>;

// The quantile, but at most kHedgeMedians times the median.
std::optional<micros> HedgeAfterQuantile(const shard_latency& aLatency);

inline constexpr int kHedgeMedians = 3;

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
