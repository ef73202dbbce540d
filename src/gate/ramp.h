#ifndef REDWINGDOCK_GATE_RAMP_H
#define REDWINGDOCK_GATE_RAMP_H

#include "core/config.h"
#include "core/messages.h"

#include <functional>

// Cold-start stage of one backend server as one daemon knows it. Stage 0 is cold or unknown;
// permit k may be used at stage >= k.
//
//   ramp_step step = AfterReply(ramp, sample, rules, config);
//   if (!step.mCold.empty()) { ... tell the other holders ... }

namespace redwingdock {

struct ramp_state
{
  std::string mInstance;                   // empty when unknown
  std::vector<std::string> mPastInstances; // replaced ones, latest last
  instant mInstanceSince{};
  std::uint32_t mStage = 0;
  bool mKnown = false; // the stage was decided or told, and is not the default of a fresh start
  instant mStageSince{};
  std::uint32_t mGoodReplies = 0; // own, to parts sent at this stage
  std::optional<instant> mOwnAt;  // last good reply to this daemon
  std::optional<instant> mToldAt; // time of the evidence in the last accepted message
  std::optional<instant> mColdAt; // last evidence of a cold server
  bool mColdAcknowledged = true;  // the leader has told stage 0 since mColdAt
  std::optional<instant> mSlowAt; // the last reply was slow; stage 0 until the next one decides
  micros mUsual{ 0 };             // usual latency, 0 when unknown

  auto operator<=>(const ramp_state&) const = default;
};

// One reply of the server to this daemon.
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

// New state, and the reason why the server counts as cold, empty when it does not.
struct ramp_step
{
  ramp_state mRamp;
  std::string mCold;
};

// Whether the leader may raise the stage.
using raise_rule = std::function<bool(const ramp_state&, instant aNow, const core_config&)>;
// Whether a latency counts as a step away from the usual one.
using slow_rule = std::function<bool(micros aLatency, micros aUsual)>;
// Stage that may be used now.
using stage_rule =
  std::function<std::uint32_t(const ramp_state&, instant aNow, const core_config&)>;

// After mRampReplies good replies and mRampInterval at the stage.
bool RaiseAfterReplies(const ramp_state& aRamp, instant aNow, const core_config& aConfig);

// Above 4 times the usual latency and above a floor.
bool SlowAboveFactor(micros aLatency, micros aUsual);

// The stage while its evidence is no older than mEvidenceTtl, otherwise 0.
std::uint32_t StageByEvidence(const ramp_state& aRamp, instant aNow, const core_config& aConfig);

// Time of the latest evidence of the stage, of any kind.
std::optional<instant> EvidenceAt(const ramp_state& aRamp);

ramp_state AfterCold(ramp_state aRamp, instant aNow);

ramp_step AfterReply(ramp_state aRamp,
                     const reply_sample& aSample,
                     const raise_rule& aMayRaise,
                     const slow_rule& aIsSlow,
                     const core_config& aConfig);

// A part that was sent at aSentAt has no reply at its deadline.
ramp_step AfterNoReply(ramp_state aRamp, instant aSentAt, instant aNow, const slow_rule& aIsSlow);

// Evidence from a reply that came through another gate. It can cut the stage, never raise it.
ramp_step AfterForeignEvidence(ramp_state aRamp, const server_evidence& aEvidence, instant aNow);

// A stage message. aFromLeader: the sender holds permit 0; aLeads: this daemon does.
ramp_step AfterMessage(ramp_state aRamp,
                       const server_stage_message& aMessage,
                       bool aFromLeader,
                       bool aLeads,
                       std::uint32_t aTopStage,
                       instant aNow,
                       const core_config& aConfig);

} // namespace redwingdock

#endif
