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

void Tell(const gate_turn& aTurn, const news_item& aItem)
{
  const gate_state& state = aTurn.mState;
  const server_stage_message message{ state.mServer,          state.mRamp.mInstance,
                                      aItem.mStage,           Leads(aTurn),
                                      state.mFacts.mDraining, state.mFacts.mVersions,
                                      aTurn.mNow - aItem.mAt, aItem.mAsks };
  for (const std::string& vm : aItem.mTo) {
    SendToPeer(aTurn.mContext, vm, message);
  }
}

std::set<std::string> OtherHolders(const gate_turn& aTurn)
{
  std::set<std::string> holders;
  if (aTurn.mPermits) {
    for (const permit& each : aTurn.mPermits->mPermits) {
      if (each.mHolder != aTurn.mContext.mConfig.mVm) {
        holders.insert(each.mHolder);
      }
    }
  }
  return holders;
}

bool Fresh(const gate_turn& aTurn, const std::optional<instant>& aAt)
{
  return aAt && aTurn.mNow - *aAt <= aTurn.mContext.mConfig.mEvidenceTtl;
}

std::optional<news_item> NewsOf(const gate_turn& aTurn)
{
  const ramp_state& ramp = aTurn.mState.mRamp;
  if (Leads(aTurn)) {
    const auto evidence = EvidenceAt(ramp);
    return ramp.mKnown && Fresh(aTurn, evidence)
             ? std::optional(
                 news_item{ OtherHolders(aTurn), ramp.mSlowAt ? 0 : ramp.mStage, *evidence })
             : std::nullopt;
  }
  const std::string leader = LeaderOf(aTurn);
  if (leader.empty() || leader == aTurn.mContext.mConfig.mVm) {
    return std::nullopt;
  }
  if (!ramp.mColdAcknowledged && Fresh(aTurn, ramp.mColdAt)) {
    return news_item{ { leader }, 0, *ramp.mColdAt };
  }
  if (ramp.mStage > 0 && Fresh(aTurn, ramp.mOwnAt)) {
    return news_item{ { leader }, ramp.mStage, *ramp.mOwnAt, ramp.mSlowAt.has_value() };
  }
  return std::nullopt;
}

} // namespace

void ApplyRamp(gate_turn& aTurn, ramp_step aStep, bool aFoundHere)
{
  const std::uint32_t before = aTurn.mState.mRamp.mStage;
  const bool known = aTurn.mState.mRamp.mKnown;
  const std::string& server = aTurn.mState.mServer;
  aTurn.mState.mRamp = std::move(aStep.mRamp);
  const std::uint32_t after = aTurn.mState.mRamp.mStage;
  if (!aStep.mCold.empty()) {
    aTurn.mContext.Count("gate.cold");
    // A cold server reports it in every reply; only the first report is announced.
    if (before == 0 && aTurn.mState.mToldStage == 0 && known) {
      return;
    }
    aTurn.mContext.Log("gate", "reset stage of " + server + " to 0: " + aStep.mCold);
    if (aFoundHere) {
      Tell(aTurn, { OtherHolders(aTurn), 0, aTurn.mNow });
      aTurn.mState.mToldStage = 0;
      aTurn.mState.mTellAt = aTurn.mNow + aTurn.mContext.mConfig.mRampInterval;
    }
  } else if (after != before) {
    aTurn.mContext.Count("gate.stage_changed");
    aTurn.mContext.Log("gate",
                       "stage of " + server + (after > before ? " raised to " : " lowered to ") +
                         std::to_string(after));
  }
}

void OnStageMessage(gate_turn& aTurn, const received<server_stage_message>& aReceived)
{
  const server_stage_message& message = aReceived.mMessage;
  const bool leads = Leads(aTurn);
  aTurn.mState.mFacts = AfterSight(std::move(aTurn.mState.mFacts),
                                   message.mDraining,
                                   message.mVersions,
                                   aTurn.mNow - message.mAge);
  ApplyRamp(aTurn,
            AfterMessage(aTurn.mState.mRamp,
                         message,
                         aReceived.mFrom == LeaderOf(aTurn),
                         leads,
                         TopStage(aTurn),
                         aTurn.mNow,
                         aTurn.mContext.mConfig),
            false);
  if (leads && message.mStage == 0) {
    aTurn.mState.mTellAt = aTurn.mNow; // acknowledge the report at once
  }
  if (leads && message.mAsks) {
    aTurn.mState.mAskedAt = aTurn.mNow;
  }
}

void TellStage(gate_turn& aTurn)
{
  const auto item = NewsOf(aTurn);
  gate_state& state = aTurn.mState;
  if (!item) {
    state.mTellAt = kNever;
    return;
  }
  const bool answers = state.mAskedAt && state.mRamp.mOwnAt >= state.mAskedAt;
  const bool asks = item->mAsks && !state.mAsked;
  if (state.mTellAt == kNever || aTurn.mNow >= state.mTellAt || item->mStage != state.mToldStage ||
      answers || asks) {
    Tell(aTurn, *item);
    state.mAskedAt.reset();
    state.mAsked = item->mAsks;
    state.mToldStage = item->mStage;
    state.mTellAt = aTurn.mNow + aTurn.mContext.mConfig.mRampInterval;
  }
}

} // namespace redwingdock
