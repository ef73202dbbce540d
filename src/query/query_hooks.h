#ifndef REDWINGDOCK_QUERY_QUERY_HOOKS_H
#define REDWINGDOCK_QUERY_QUERY_HOOKS_H

#include "core/config.h"
#include "query/plan.h"
#include "query/query_state.h"
#include "safety/request_key.h"

#include <functional>
#include <optional>

namespace redwingdock {

// Delay after which an unanswered part is hedged; nullopt for no hedge. aQuantile is the quantile
// mHedgeQuantile of the shard's recent latency, or nullopt before enough replies were seen.
using hedge_rule = std::function<std::optional<micros>(std::optional<micros> aQuantile)>;

// Returns kHedgeFactor times the quantile, or kDefaultHedgeDelay if there is none.
std::optional<micros> HedgeDelayFromQuantile(std::optional<micros> aQuantile);

inline constexpr int kHedgeFactor = 2;
inline constexpr micros kDefaultHedgeDelay = std::chrono::milliseconds(10);

// Whether a submit whose last attempt had this result may be sent to a server again.
using repeat_rule = std::function<bool(part_result)>;

// Allows it only for an attempt that certainly did not run.
bool RepeatOnlyIfNotRun(part_result aResult);

// Chooses the snapshot that a query reads.
using snapshot_rule = std::function<snapshot(const std::vector<shard_info>&)>;

// Whether this process may run the request of a key.
using home_rule = std::function<bool(const request_key&, const core_config&)>;

// True only in the process that the key names by its VM and incarnation.
bool IsHome(const request_key& aKey, const core_config& aConfig);

// The replaceable rules of the query controller.
struct query_hooks
{
  home_rule mIsHome = IsHome;
  snapshot_rule mChooseSnapshot = ChooseSnapshot;
  reply_check mCheckReply = CheckReply;
  hedge_rule mHedgeDelay = HedgeDelayFromQuantile;
  repeat_rule mMayRepeatSubmit = RepeatOnlyIfNotRun;
  // Runs a suspect request on one shard of each pool before the others.
  bool mCanary = true;
  // Resends a part whose server was lost only after another part of its pool was answered, and
  // fails it after the second loss.
  bool mDeferLostParts = true;
};

} // namespace redwingdock

#endif
