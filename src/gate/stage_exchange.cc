#include "gate/stage_exchange.h"

#include "core/send.h"

#include <set>

namespace redwingdock {

namespace {

// A stage message to send: its receivers, the stage and the time of the stage's evidence.
struct stage_announcement
{
  std::set<std::string> mTo;
  std::uint32_t mStage = 0;
  instant mAt{};
  bool mAsks = false;
};

void SendAnnouncement(const gate_update& aUpdate, const stage_announcement& aAnnouncement)
{
  const gate_state& state = aUpdate.mState;
  const server_stage_message message{ state.mServer,
                                      state.mRamp.mInstance,
                                      aAnnouncement.mStage,
                                      IsLeader(aUpdate),
                                      state.mObservations.mDraining,
                                      state.mObservations.mVersions,
                                      aUpdate.mNow - aAnnouncement.mAt,
                                      aAnnouncement.mAsks };
  for (const std::string& vm : aAnnouncement.mTo) {
    SendToPeer(aUpdate.mContext, vm, message);
  }
}

std::set<std::string> OtherHolders(const gate_update& aUpdate)
{
  std::set<std::string> holders;
  if (aUpdate.mPermits) {
    for (const permit& each : aUpdate.mPermits->mPermits) {
      if (each.mHolder != aUpdate.mContext.mConfig.mVm) {
        holders.insert(each.mHolder);
      }
    }
  }
  return holders;
}

bool IsFresh(const gate_update& aUpdate, const std::optional<instant>& aAt)
{
  return aAt && aUpdate.mNow - *aAt <= aUpdate.mContext.mConfig.mEvidenceTtl;
}

std::optional<stage_announcement> CurrentAnnouncement(const gate_update& aUpdate)
{
  const ramp_state& ramp = aUpdate.mState.mRamp;
  if (IsLeader(aUpdate)) {
    const auto evidence = LatestEvidenceAt(ramp);
    return ramp.mStageKnown && IsFresh(aUpdate, evidence)
             ? std::optional(stage_announcement{
                 OtherHolders(aUpdate), ramp.mSlowAt ? 0 : ramp.mStage, *evidence })
             : std::nullopt;
  }
  const std::string leader = LeaderOf(aUpdate);
  if (leader.empty() || leader == aUpdate.mContext.mConfig.mVm) {
    return std::nullopt;
  }
  if (!ramp.mColdAcknowledged && IsFresh(aUpdate, ramp.mColdAt)) {
    return stage_announcement{ { leader }, 0, *ramp.mColdAt };
  }
  if (ramp.mStage > 0 && IsFresh(aUpdate, ramp.mOwnReplyAt)) {
    return stage_announcement{
      { leader }, ramp.mStage, *ramp.mOwnReplyAt, ramp.mSlowAt.has_value()
    };
  }
  return std::nullopt;
}

} // namespace

void ApplyRamp(gate_update& aUpdate, ramp_step aStep, bool aFoundLocally)
{
  const std::uint32_t before = aUpdate.mState.mRamp.mStage;
  const bool known = aUpdate.mState.mRamp.mStageKnown;
  const std::string& server = aUpdate.mState.mServer;
  aUpdate.mState.mRamp = std::move(aStep.mRamp);
  const std::uint32_t after = aUpdate.mState.mRamp.mStage;
  if (!aStep.mColdReason.empty()) {
    aUpdate.mContext.Count("gate.cold");
    // A cold server reports it in every reply; only the first report is announced.
    if (before == 0 && aUpdate.mState.mSentStage == 0 && known) {
      return;
    }
    aUpdate.mContext.Log("gate", "reset stage of " + server + " to 0: " + aStep.mColdReason);
    if (aFoundLocally) {
      SendAnnouncement(aUpdate, { OtherHolders(aUpdate), 0, aUpdate.mNow });
      aUpdate.mState.mSentStage = 0;
      aUpdate.mState.mStageMessageDue = aUpdate.mNow + aUpdate.mContext.mConfig.mRampInterval;
    }
  } else if (after != before) {
    aUpdate.mContext.Count("gate.stage_changed");
    aUpdate.mContext.Log("gate",
                         "stage of " + server + (after > before ? " raised to " : " lowered to ") +
                           std::to_string(after));
  }
}

void OnStageMessage(gate_update& aUpdate, const received<server_stage_message>& aReceived)
{
  const server_stage_message& message = aReceived.mMessage;
  const bool leads = IsLeader(aUpdate);
  aUpdate.mState.mObservations = WithObservation(std::move(aUpdate.mState.mObservations),
                                                 message.mDraining,
                                                 message.mVersions,
                                                 aUpdate.mNow - message.mAge);
  ApplyRamp(aUpdate,
            AfterStageMessage(aUpdate.mState.mRamp,
                              message,
                              aReceived.mFrom == LeaderOf(aUpdate),
                              leads,
                              TopStage(aUpdate),
                              aUpdate.mNow,
                              aUpdate.mContext.mConfig),
            false);
  if (leads && message.mStage == 0) {
    aUpdate.mState.mStageMessageDue = aUpdate.mNow; // acknowledge the report at once
  }
  if (leads && message.mAsks) {
    aUpdate.mState.mStageRequestedAt = aUpdate.mNow;
  }
}

void SendStageIfDue(gate_update& aUpdate)
{
  const auto announcement = CurrentAnnouncement(aUpdate);
  gate_state& state = aUpdate.mState;
  if (!announcement) {
    state.mStageMessageDue = kNever;
    return;
  }
  const bool answers =
    state.mStageRequestedAt && state.mRamp.mOwnReplyAt >= state.mStageRequestedAt;
  const bool asks = announcement->mAsks && !state.mStageRequested;
  if (state.mStageMessageDue == kNever || aUpdate.mNow >= state.mStageMessageDue ||
      announcement->mStage != state.mSentStage || answers || asks) {
    SendAnnouncement(aUpdate, *announcement);
    state.mStageRequestedAt.reset();
    state.mStageRequested = announcement->mAsks;
    state.mSentStage = announcement->mStage;
    state.mStageMessageDue = aUpdate.mNow + aUpdate.mContext.mConfig.mRampInterval;
  }
}

} // namespace redwingdock
