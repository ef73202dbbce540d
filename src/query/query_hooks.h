#ifndef REDWINGDOCK_QUERY_QUERY_HOOKS_H
#define REDWINGDOCK_QUERY_QUERY_HOOKS_H

#include "core/config.h"
#include "query/plan.h"
#include "query/query_state.h"
#include "safety/request_key.h"

#include <functional>
#include <optional>

namespace redwingdock {

// Delay after which an unanswered part is hedged, from the quantile mHedgeQuantile of the shard's
// recent latency (nothing before enough replies were seen); nullopt never hedges.
using hedge_rule = std::function<std::optional<micros>(std::optional<micros> aQuantile)>;

// kHedgeFactor times the quantile, kDefaultHedgeDelay while it is not known.
std::optional<micros> HedgeDelayFromQuantile(std::optional<micros> aQuantile);

inline constexpr int kHedgeFactor = 2;
inline constexpr micros kDefaultHedgeDelay = std::chrono::milliseconds(10);

// Whether a Submit that ended this way may be sent to a server again.
using repeat_rule = std::function<bool(part_result)>;

// Only when it certainly did not run.
bool RepeatOnlyIfNotRun(part_result aResult);

using snapshot_rule = std::function<snapshot(const std::vector<shard_info>&)>;

// Whether this process may run a request key.
using home_rule = std::function<bool(const request_key&, const core_config&)>;

// Only the process that the key names: its VM and its incarnation.
bool IsHome(const request_key& aKey, const core_config& aConfig);

struct query_hooks
{
  home_rule mIsHome = IsHome;
  snapshot_rule mChooseSnapshot = ChooseSnapshot;
  reply_check mCheckReply = CheckReply;
  hedge_rule mHedgeDelay = HedgeDelayFromQuantile;
  repeat_rule mMayRepeatSubmit = RepeatOnlyIfNotRun;
  // Runs a suspect on one shard before the others.
  bool mCanary = true;
  // Resends a part whose server was lost only after another part was answered.
  bool mHoldLostParts = true;
};

} // namespace redwingdock

#endif
