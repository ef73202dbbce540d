#ifndef REDWINGDOCK_GATE_GATE_HOOKS_H
#define REDWINGDOCK_GATE_GATE_HOOKS_H

#include "core/values.h"
#include "gate/gate_queue.h"
#include "gate/ramp.h"

#include <functional>

// Rules of the gate that tests and other deployments can replace.

namespace redwingdock {

// Whether this daemon may use a permit now.
using permit_rule = std::function<bool(const permit&, const member_view&, instant aNow)>;

// The keep rule and the take rule of the design: the holder uses its permit while its view is
// confirmed and the previous holder has certainly stopped.
bool MayUsePermit(const permit& aPermit, const member_view& aView, instant aNow);

// Connections that one permit may have at the server, held ones included.
using connection_rule = std::function<std::uint32_t(const pool_spec&)>;

// Half of the permit's share. The other half is for the permit's previous holder.
std::uint32_t HalfOfShare(const pool_spec& aPool);

// Time without a reply after which a connection may be silent.
using silence_rule = std::function<micros(micros aUsual, const core_config&)>;

// mSilenceFactor times the usual latency, at least mSilenceLimit.
micros SilentAfter(micros aUsual, const core_config& aConfig);

// End of the time for which a silent connection counts at the server.
using hold_rule = std::function<instant(instant aNow, const core_config&)>;
instant HoldSilent(instant aNow, const core_config& aConfig);

// When the permit of an unanswered part is free: the server has stopped working on it.
using release_rule = std::function<instant(const part_request&, instant aNow, const core_config&)>;
instant ReleaseAfterDeadline(const part_request& aRequest,
                             instant aNow,
                             const core_config& aConfig);

// End of the time in which the front end may still carry out a send. aStageUntil is the end of the
// evidence that allows the permit, kNever for permit 0.
using send_limit_rule = std::function<
  instant(const part_request&, const member_view&, instant aStageUntil, instant aNow)>;

// End of the confirmation or of the evidence, the deadline, or 100 ms from now, whichever comes
// first.
instant SendLimit(const part_request& aRequest,
                  const member_view& aView,
                  instant aStageUntil,
                  instant aNow);

struct gate_hooks
{
  permit_rule mMayUse = MayUsePermit;
  dispatch_order mBefore = DispatchByUrgency;
  shed_rule mShed = ShedWhenLate;
  raise_rule mMayRaise = RaiseAfterReplies;
  slow_rule mIsSlow = SlowAboveFactor;
  stage_rule mStage = StageByEvidence;
  connection_rule mConnectionCap = HalfOfShare;
  silence_rule mSilentAfter = SilentAfter;
  hold_rule mHoldUntil = HoldSilent;
  release_rule mReleaseAt = ReleaseAfterDeadline;
  send_limit_rule mSendLimit = SendLimit;
};

} // namespace redwingdock

#endif
