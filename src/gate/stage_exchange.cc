#include "gate/stage_exchange.h"

#include "core/send.h"

#include <set>

namespace redwingdock {

namespace {

// A stage message to send: its receivers, the stage and the time of the stage's evidence.
struct news_item
{
  std::set<std::string> mTo;
  std::uint32_t mStage = 0;
  instant mAt{};
  bool mAsks = false;
};

void Tell(const gate_update& aUpdate, const news_item& aItem)
{
  const gate_state& state = aUpdate.mState;
  const server_stage_message message{ state.mServer,
                                      state.mRamp.mInstance,
                                      aItem.mStage,
                                      IsLeader(aUpdate),
                                      state.mObservations.mDraining,
                                      state.mObservations.mVersions,
                                      aUpdate.mNow - aItem.mAt,
                                      aItem.mAsks };
  for (const std::string& vm : aItem.mTo) {
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

bool Fresh(const gate_update& aUpdate, const std::optional<instant>& aAt)
{
  return aAt && aUpdate.mNow - *aAt <= aUpdate.mContext.mConfig.mEvidenceTtl;
}

std::optional<news_item> NewsOf(const gate_update& aUpdate)
{
  const ramp_state& ramp = aUpdate.mState.mRamp;
  if (IsLeader(aUpdate)) {
    const auto evidence = LatestEvidenceAt(ramp);
    return ramp.mStageKnown && Fresh(aUpdate, evidence)
             ? std::optional(
                 news_item{ OtherHolders(aUpdate), ramp.mSlowAt ? 0 : ramp.mStage, *evidence })
             : std::nullopt;
  }
  const std::string leader = LeaderOf(aUpdate);
  if (leader.empty() || leader == aUpdate.mContext.mConfig.mVm) {
    return std::nullopt;
  }
  if (!ramp.mColdAcknowledged && Fresh(aUpdate, ramp.mColdAt)) {
    return news_item{ { leader }, 0, *ramp.mColdAt };
  }
  if (ramp.mStage > 0 && Fresh(aUpdate, ramp.mOwnReplyAt)) {
    return news_item{ { leader }, ramp.mStage, *ramp.mOwnReplyAt, ramp.mSlowAt.has_value() };
  }
  return std::nullopt;
}

} // namespace

void ApplyRamp(gate_update& aUpdate, ramp_step aStep, bool aFoundHere)
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
    if (aFoundHere) {
      Tell(aUpdate, { OtherHolders(aUpdate), 0, aUpdate.mNow });
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

void TellStage(gate_update& aUpdate)
{
  const auto item = NewsOf(aUpdate);
  gate_state& state = aUpdate.mState;
  if (!item) {
    state.mStageMessageDue = kNever;
    return;
  }
  const bool answers =
    state.mStageRequestedAt && state.mRamp.mOwnReplyAt >= state.mStageRequestedAt;
  const bool asks = item->mAsks && !state.mStageRequested;
  if (state.mStageMessageDue == kNever || aUpdate.mNow >= state.mStageMessageDue ||
      item->mStage != state.mSentStage || answers || asks) {
    Tell(aUpdate, *item);
    state.mStageRequestedAt.reset();
    state.mStageRequested = item->mAsks;
    state.mSentStage = item->mStage;
    state.mStageMessageDue = aUpdate.mNow + aUpdate.mContext.mConfig.mRampInterval;
  }
}

} // namespace redwingdock
