#ifndef REDWINGDOCK_GATE_GATE_HOOKS_H
#define REDWINGDOCK_GATE_GATE_HOOKS_H

#include "core/values.h"
#include "gate/gate_queue.h"
#include "gate/ramp.h"

#include <functional>

// Replaceable policies of the gate, with their defaults.

namespace redwingdock {

// Whether this daemon may use a permit now.
using permit_rule = std::function<bool(const permit&, const member_view&, instant aNow)>;

// The confirmation rule and the takeover rule (membership/takeover_rule.h): the holder may use a
// permit only while its view is confirmed, and only after the previous holder must have stopped
// using it.
bool MayUsePermit(const permit& aPermit, const member_view& aView, instant aNow);

// Limit of a permit's connections to the server, abandoned ones included.
using connection_rule = std::function<std::uint32_t(const pool_spec&)>;

// Half of the permit's share of the pool's connection limit, at least 1. The other half is reserved
// for connections of the previous holder that the server may still count.
std::uint32_t HalfOfPermitShare(const pool_spec& aPool);

// Time without a reply after which a connection is suspected to be dead. aUsual is the usual
// latency, 0 when unknown.
using silence_rule = std::function<micros(micros aUsual, const core_config&)>;

// mSilenceFactor times the usual latency, but at least mSilenceLimit.
micros SilenceTimeout(micros aUsual, const core_config& aConfig);

// Time until which the server is assumed to count an abandoned connection.
using connection_expiry_rule = std::function<instant(instant aNow, const core_config&)>;

// mSilentHold from now.
instant ExpireAfterSilentHold(instant aNow, const core_config& aConfig);

// Time at which the permit of a part without a reply can be reused, because the server must have
// stopped working on the part.
using release_rule = std::function<instant(const part_request&, instant aNow, const core_config&)>;

// mDeadlineSlack after the deadline of the part.
instant ReleaseAfterDeadline(const part_request& aRequest,
                             instant aNow,
                             const core_config& aConfig);

// Latest time at which the front end may execute a send. aStageUntil is the expiry of the stage
// evidence that allows the permit, kNever for permit 0, which is usable at every stage.
using send_limit_rule = std::function<
  instant(const part_request&, const member_view&, instant aStageUntil, instant aNow)>;

// The earliest of the end of the view's confirmation, the expiry of the stage evidence, the part's
// deadline, and 100 ms from now.
instant SendLimit(const part_request& aRequest,
                  const member_view& aView,
                  instant aStageUntil,
                  instant aNow);

struct gate_hooks
{
  permit_rule mMayUse = MayUsePermit;
  dispatch_order mDispatchBefore = DispatchByUrgency;
  shed_rule mShouldShed = ShedWhenLate;
  raise_rule mMayRaiseStage = RaiseAfterReplies;
  slow_rule mIsSlow = SlowAboveFactor;
  stage_rule mStage = StageByEvidence;
  connection_rule mConnectionCap = HalfOfPermitShare;
  silence_rule mSilenceTimeout = SilenceTimeout;
  connection_expiry_rule mAbandonedUntil = ExpireAfterSilentHold;
  release_rule mReleaseAt = ReleaseAfterDeadline;
  send_limit_rule mSendLimit = SendLimit;
};

} // namespace redwingdock

#endif
