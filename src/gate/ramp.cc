#include "gate/ramp.h"

#include <algorithm>

namespace redwingdock {

namespace {

// Latencies below this are never slow: scheduling delays on a busy VM alone reach several
// milliseconds.
constexpr micros kLatencyFloor = std::chrono::milliseconds(10);
constexpr int kLatencyFactor = 4;

// Number of replaced instances to remember. Replies of older ones have passed their deadlines.
constexpr std::size_t kMaxPastInstances = 4;

// Several holders report the same cold start within this time.
constexpr micros kColdReportWindow = std::chrono::milliseconds(250);

bool IsPastInstance(const ramp_state& aRamp, const std::string& aInstance)
{
  return std::find(aRamp.mPastInstances.begin(), aRamp.mPastInstances.end(), aInstance) !=
         aRamp.mPastInstances.end();
}

ramp_state WithInstance(ramp_state aRamp, const std::string& aInstance, instant aNow)
{
  if (!aRamp.mInstance.empty()) {
    aRamp.mPastInstances.push_back(aRamp.mInstance);
  }
  std::erase(aRamp.mPastInstances, aInstance);
  if (aRamp.mPastInstances.size() > kMaxPastInstances) {
    aRamp.mPastInstances.erase(aRamp.mPastInstances.begin());
  }
  aRamp.mInstance = aInstance;
  aRamp.mInstanceSince = aNow;
  return aRamp;
}

// Moving average with weight 1/8. Samples are capped at twice the average, so that the high
// latencies of a cold server become the usual ones only after many replies.
micros NextUsualLatency(micros aUsual, micros aLatency)
{
  if (aUsual.count() == 0) {
    return std::max(aLatency, micros(1));
  }
  return std::max(aUsual + (std::min(aLatency, 2 * aUsual) - aUsual) / 8, micros(1));
}

} // namespace

bool RaiseAfterReplies(const ramp_state& aRamp, instant aNow, const core_config& aConfig)
{
  return aRamp.mWarmReplies >= aConfig.mRampReplies &&
         aNow - aRamp.mStageSince >= aConfig.mRampInterval;
}

bool SlowAboveFactor(micros aLatency, micros aUsual)
{
  return aUsual.count() > 0 && aLatency > kLatencyFactor * aUsual && aLatency > kLatencyFloor;
}

std::optional<instant> LatestEvidenceAt(const ramp_state& aRamp)
{
  return std::max({ aRamp.mOwnReplyAt, aRamp.mAnnouncedAt, aRamp.mColdAt });
}

std::uint32_t StageByEvidence(const ramp_state& aRamp, instant aNow, const core_config& aConfig)
{
  const auto evidence = LatestEvidenceAt(aRamp);
  const bool fresh = evidence && aNow - *evidence <= aConfig.mEvidenceTtl;
  return fresh && !aRamp.mSlowAt ? aRamp.mStage : 0;
}

ramp_state AfterColdStart(ramp_state aRamp, instant aNow)
{
  aRamp.mStage = 0;
  aRamp.mStageKnown = true;
  aRamp.mStageSince = aNow;
  aRamp.mWarmReplies = 0;
  aRamp.mOwnReplyAt.reset();
  aRamp.mAnnouncedAt.reset();
  aRamp.mColdAt = aNow;
  aRamp.mColdAcknowledged = false;
  aRamp.mSlowAt.reset();
  return aRamp;
}

namespace {

// One slow reply suspends the stage; a second one in a row resets it.
ramp_step AfterSlowReply(ramp_state aRamp, instant aNow)
{
  if (aRamp.mSlowAt) {
    return { AfterColdStart(std::move(aRamp), aNow), "latency repeatedly above usual" };
  }
  aRamp.mSlowAt = aNow;
  return { std::move(aRamp), "" };
}

} // namespace

ramp_step AfterReply(ramp_state aRamp,
                     const reply_sample& aSample,
                     const raise_rule& aMayRaise,
                     const slow_rule& aIsSlow,
                     const core_config& aConfig)
{
  const server_evidence& evidence = aSample.mEvidence;
  const instant now = aSample.mNow;
  if (evidence.mInstance != aRamp.mInstance && !evidence.mInstance.empty()) {
    if (aRamp.mInstance.empty()) {
      aRamp = WithInstance(std::move(aRamp), evidence.mInstance, now);
    } else if (IsPastInstance(aRamp, evidence.mInstance) &&
               aSample.mSentAt < aRamp.mInstanceSince) {
      return { std::move(aRamp), "" }; // late reply of the replaced process
    } else {
      aRamp = WithInstance(std::move(aRamp), evidence.mInstance, now);
      aRamp.mUsualLatency = micros(0);
      return { AfterColdStart(std::move(aRamp), now), "new instance " + evidence.mInstance };
    }
  }
  if (evidence.mMode == server_mode::Cold) {
    return { AfterColdStart(std::move(aRamp), now), "server reported mode cold" };
  }
  if (aSample.mFailure == part_failure::Shed) {
    return { AfterColdStart(std::move(aRamp), now), "server shed a request" };
  }
  if (aSample.mResult != part_result::Answered || evidence.mMode != server_mode::Warm) {
    return { std::move(aRamp), "" };
  }
  const micros latency = now - aSample.mSentAt;
  const bool slow = aIsSlow(latency, aRamp.mUsualLatency);
  aRamp.mUsualLatency = NextUsualLatency(aRamp.mUsualLatency, latency);
  if (slow) {
    return AfterSlowReply(std::move(aRamp), now);
  }
  aRamp.mSlowAt.reset();
  aRamp.mOwnReplyAt = now;
  if (aRamp.mStageSince == instant{}) {
    aRamp.mStageSince = aSample.mSentAt; // the first reply since this daemon started
  }
  if (aSample.mSentAt >= aRamp.mStageSince) {
    ++aRamp.mWarmReplies;
  }
  if (aSample.mLeads && aRamp.mStage < aSample.mTopStage && aMayRaise(aRamp, now, aConfig)) {
    ++aRamp.mStage;
    aRamp.mStageKnown = true;
    aRamp.mStageSince = now;
    aRamp.mWarmReplies = 0;
  }
  return { std::move(aRamp), "" };
}

ramp_step AfterNoReply(ramp_state aRamp, instant aSentAt, instant aNow, const slow_rule& aIsSlow)
{
  const micros latency = aNow - aSentAt;
  if (latency <= aRamp.mUsualLatency) {
    return { std::move(aRamp), "" };
  }
  const bool slow = aIsSlow(latency, aRamp.mUsualLatency);
  aRamp.mUsualLatency = NextUsualLatency(aRamp.mUsualLatency, latency);
  return slow ? AfterSlowReply(std::move(aRamp), aNow) : ramp_step{ std::move(aRamp), "" };
}

ramp_step AfterRemoteEvidence(ramp_state aRamp, const server_evidence& aEvidence, instant aNow)
{
  if (IsPastInstance(aRamp, aEvidence.mInstance)) {
    return { std::move(aRamp), "" };
  }
  if (aRamp.mInstance.empty()) {
    aRamp = WithInstance(std::move(aRamp), aEvidence.mInstance, aNow);
  } else if (aEvidence.mInstance != aRamp.mInstance && !aEvidence.mInstance.empty()) {
    aRamp = WithInstance(std::move(aRamp), aEvidence.mInstance, aNow);
    return { AfterColdStart(std::move(aRamp), aNow), "new instance " + aEvidence.mInstance };
  }
  if (aEvidence.mMode == server_mode::Cold && aRamp.mStage > 0) {
    return { AfterColdStart(std::move(aRamp), aNow), "server reported mode cold to another gate" };
  }
  return { std::move(aRamp), "" };
}

namespace {

ramp_step AfterHolderReport(ramp_state aRamp,
                            const server_stage_message& aMessage,
                            bool aLeads,
                            std::uint32_t aTopStage,
                            instant aNow,
                            const core_config& aConfig)
{
  const instant at = aNow - aMessage.mAge;
  const bool sameInstance = aMessage.mInstance == aRamp.mInstance || aMessage.mInstance.empty();
  if (!sameInstance && !aRamp.mInstance.empty()) {
    aRamp = WithInstance(std::move(aRamp), aMessage.mInstance, aNow);
    return { AfterColdStart(std::move(aRamp), aNow), "another holder reported a new instance" };
  }
  if (aMessage.mStage == 0) {
    const bool isNew = !aRamp.mColdAt || at > *aRamp.mColdAt + kColdReportWindow;
    return isNew ? ramp_step{ AfterColdStart(std::move(aRamp), aNow),
                              "another holder reported a cold server" }
                 : ramp_step{ std::move(aRamp), "" };
  }
  if (!aLeads || aNow - at > aConfig.mEvidenceTtl) {
    return { std::move(aRamp), "" };
  }
  if (!aRamp.mStageKnown) {
    if (aRamp.mInstance.empty()) {
      aRamp = WithInstance(std::move(aRamp), aMessage.mInstance, aNow);
    }
    aRamp.mStage = std::min(aMessage.mStage, aTopStage);
    aRamp.mStageKnown = true;
    aRamp.mStageSince = aNow;
    aRamp.mWarmReplies = 0;
  }
  aRamp.mAnnouncedAt = std::max(aRamp.mAnnouncedAt, std::optional(at));
  return { std::move(aRamp), "" };
}

} // namespace

ramp_step AfterStageMessage(ramp_state aRamp,
                            const server_stage_message& aMessage,
                            bool aFromLeader,
                            bool aLeads,
                            std::uint32_t aTopStage,
                            instant aNow,
                            const core_config& aConfig)
{
  const instant at = aNow - aMessage.mAge;
  // Reports of two instances can arrive in the wrong order. The leader has replies of the current
  // one.
  const bool confirmed =
    aFromLeader && !aLeads && aMessage.mStage > 0 && at >= aRamp.mInstanceSince;
  if (IsPastInstance(aRamp, aMessage.mInstance) && !confirmed) {
    return { std::move(aRamp), "" };
  }
  if (!aFromLeader || aLeads) {
    return AfterHolderReport(std::move(aRamp), aMessage, aLeads, aTopStage, aNow, aConfig);
  }
  if (aMessage.mInstance != aRamp.mInstance && !aMessage.mInstance.empty()) {
    // This daemon has had replies of another instance within mEvidenceTtl: either that instance was
    // replaced since, or the leader does not know of the replacement yet.
    const bool contradicts = aRamp.mOwnReplyAt && aNow - *aRamp.mOwnReplyAt <= aConfig.mEvidenceTtl;
    aRamp = WithInstance(std::move(aRamp), aMessage.mInstance, aNow);
    aRamp.mUsualLatency = micros(0);
    if (contradicts) {
      aRamp = AfterColdStart(std::move(aRamp), aNow);
      aRamp.mColdAcknowledged = aMessage.mStage == 0;
      return { std::move(aRamp), "leader reported a new instance" };
    }
  }
  // The leader may have sent a higher stage before it learned of the cold start, and acknowledges
  // the cold start by announcing stage 0. The wait for this is bounded by 2 * mEvidenceTtl, because
  // messages can be lost with a connection.
  if (aRamp.mColdAt && !aRamp.mColdAcknowledged) {
    if (aMessage.mStage > 0 && aNow - *aRamp.mColdAt < 2 * aConfig.mEvidenceTtl) {
      return { std::move(aRamp), "" };
    }
    aRamp.mColdAcknowledged = true;
  }
  if (aRamp.mStage != aMessage.mStage) {
    aRamp.mStage = std::min(aMessage.mStage, aTopStage);
    aRamp.mStageSince = aNow;
    aRamp.mWarmReplies = 0;
  }
  aRamp.mStageKnown = true;
  if (aRamp.mSlowAt && at >= *aRamp.mSlowAt) {
    aRamp.mSlowAt.reset();
  }
  aRamp.mAnnouncedAt = std::max(aRamp.mAnnouncedAt, std::optional(at));
  return { std::move(aRamp), "" };
}

} // namespace redwingdock
