#ifndef REDWINGDOCK_GATE_RAMP_H
#define REDWINGDOCK_GATE_RAMP_H

#include "core/config.h"
#include "core/messages.h"

#include <functional>

// Cold-start ramp of one backend server, as known to one daemon. The server is at a stage; permit k
// may be used at stage k and above, and stage 0 means cold or unknown. The holder of permit 0
// leads: it raises the stage and announces it to the other holders.
//
//   ramp_step step = AfterReply(ramp, sample, rules, config);
//   if (!step.mColdReason.empty()) { ... announce stage 0 to the other holders ... }

namespace redwingdock {

// A warm reply answers the part, reports mode warm and is not slow. Only warm replies count towards
// raising the stage.
struct ramp_state
{
  std::string mInstance;                   // empty when unknown
  std::vector<std::string> mPastInstances; // replaced instances, latest last
  instant mInstanceSince{};
  std::uint32_t mStage = 0;
  bool mStageKnown = false; // the stage was decided or announced since this daemon started
  instant mStageSince{};
  std::uint32_t mWarmReplies = 0;      // to parts that this daemon sent at this stage
  std::optional<instant> mOwnReplyAt;  // last warm reply to this daemon
  std::optional<instant> mAnnouncedAt; // time of the latest evidence in accepted stage messages
  std::optional<instant> mColdAt;      // latest evidence of a cold server
  bool mColdAcknowledged = true;       // the leader has announced stage 0 since mColdAt
  std::optional<instant> mSlowAt;      // set while the last reply was slow; limits the stage to 0
  micros mUsualLatency{ 0 };           // 0 when unknown

  auto operator<=>(const ramp_state&) const = default;
};

// A reply of the server to this daemon.
struct reply_sample
{
  part_result mResult = part_result::Answered;
  part_failure mFailure = part_failure::None;
  server_evidence mEvidence;
  instant mSentAt{};
  instant mNow{};
  bool mLeads = false;         // this daemon may use permit 0
  std::uint32_t mTopStage = 0; // slots - 1
};

// The new state, and the reason why the server is considered cold; empty when it is not.
struct ramp_step
{
  ramp_state mRamp;
  std::string mColdReason;
};

// Whether the leader may raise the stage.
using raise_rule = std::function<bool(const ramp_state&, instant aNow, const core_config&)>;
// Whether a latency is too far above the usual one to come from a warm server.
using slow_rule = std::function<bool(micros aLatency, micros aUsual)>;
// The stage that may be used now.
using stage_rule =
  std::function<std::uint32_t(const ramp_state&, instant aNow, const core_config&)>;

// Raises after mRampReplies warm replies and mRampInterval at the stage.
bool RaiseAfterReplies(const ramp_state& aRamp, instant aNow, const core_config& aConfig);

// Slow above 4 times the usual latency, and above 10 ms.
bool SlowAboveFactor(micros aLatency, micros aUsual);

// The stage, or 0 when its evidence is older than mEvidenceTtl or the last reply was slow.
std::uint32_t StageByEvidence(const ramp_state& aRamp, instant aNow, const core_config& aConfig);

// Time of the latest evidence of the stage from any source; empty when there is none.
std::optional<instant> LatestEvidenceAt(const ramp_state& aRamp);

// Resets the stage to 0 after evidence of a cold server.
ramp_state AfterColdStart(ramp_state aRamp, instant aNow);

ramp_step AfterReply(ramp_state aRamp,
                     const reply_sample& aSample,
                     const raise_rule& aMayRaise,
                     const slow_rule& aIsSlow,
                     const core_config& aConfig);

// Handles a part sent at aSentAt that got no reply by its deadline. The elapsed time is a lower
// bound of its latency.
ramp_step AfterNoReply(ramp_state aRamp, instant aSentAt, instant aNow, const slow_rule& aIsSlow);

// Handles evidence from a reply that came through another gate. It can reset the stage, but never
// raise it.
ramp_step AfterRemoteEvidence(ramp_state aRamp, const server_evidence& aEvidence, instant aNow);

// Handles a stage message. aFromLeader: the sender holds permit 0; aLeads: this daemon may use it.
ramp_step AfterStageMessage(ramp_state aRamp,
                            const server_stage_message& aMessage,
                            bool aFromLeader,
                            bool aLeads,
                            std::uint32_t aTopStage,
                            instant aNow,
                            const core_config& aConfig);

} // namespace redwingdock

#endif
