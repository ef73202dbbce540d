#include "gate/gate_update.h"

#include "core/send.h"

#include <algorithm>

namespace redwingdock {

namespace {

const permit* FindPermit(const gate_update& aUpdate, std::uint32_t aIndex)
{
  if (!aUpdate.mPermits) {
    return nullptr;
  }
  const auto& all = aUpdate.mPermits->mPermits;
  const auto found = std::find_if(
    all.begin(), all.end(), [aIndex](const permit& aEach) { return aEach.mIndex == aIndex; });
  return found == all.end() ? nullptr : &*found;
}

bool MayUse(const gate_update& aUpdate, const permit& aPermit)
{
  return aUpdate.mView && aUpdate.mHooks.mMayUse(aPermit, *aUpdate.mView, aUpdate.mNow);
}

// A confirmation is valid from the start of its probe or read. One that was started before the end
// of a pause does not cover the pause, so that it is discarded.
std::shared_ptr<const member_view> ViewSincePause(const core_context& aContext)
{
  auto view = aContext.mBoard.Read<member_view>(kMembersKey);
  const auto pause = aContext.mBoard.Read<gate_pause>(kMembersKey);
  if (!view || !pause || view->mConfirmedUntil >= pause->mEndedAt + aContext.mConfig.mHoldTime) {
    return view;
  }
  member_view unconfirmed = *view;
  unconfirmed.mConfirmedUntil = {};
  return std::make_shared<const member_view>(std::move(unconfirmed));
}

} // namespace

gate_update BeginUpdate(core_context& aContext,
                        const gate_hooks& aHooks,
                        const std::string& aServer)
{
  gate_update update{ aContext, aHooks, aContext.Now(), {}, {}, {}, nullptr, nullptr, {} };
  const blackboard& board = aContext.mBoard;
  update.mTables = board.Read<tables_in_force>(kTablesKey);
  update.mView = ViewSincePause(aContext);
  update.mPermits = board.Read<server_permits>(aServer);
  if (update.mTables) {
    update.mServer = update.mTables->FindServer(aServer);
    update.mPool =
      update.mServer != nullptr ? update.mTables->FindPool(update.mServer->mPool) : nullptr;
  }
  if (const auto state = board.Read<gate_state>(aServer)) {
    update.mState = *state;
  } else {
    update.mState.mServer = aServer;
  }
  return update;
}

void CommitUpdate(const gate_update& aUpdate)
{
  blackboard& board = aUpdate.mContext.mBoard;
  const gate_state& state = aUpdate.mState;
  const std::string& server = state.mServer;
  if (aUpdate.mServer == nullptr && state.mUses.empty() && state.mQueue.empty() &&
      state.mConnections.empty()) {
    board.Erase<gate_state>(server);
    board.Erase<server_status>(server);
    board.Erase<gate_load>(server);
    return;
  }
  board.Write(server,
              server_status{ server,
                             state.mRamp.mInstance,
                             CurrentStage(aUpdate),
                             IsDraining(aUpdate),
                             state.mObservations.mVersions,
                             state.mObservations.mSeenAt,
                             static_cast<std::uint32_t>(state.mQueue.size()) });
  WriteLoad(aUpdate);
  board.Write(server, state);
}

void WriteLoad(const gate_update& aUpdate)
{
  const gate_state& state = aUpdate.mState;
  gate_load load{ state.mServer, static_cast<std::uint32_t>(state.mUses.size()), {} };
  for (const permit_use& use : state.mUses) {
    load.mPermitsInUse.insert(use.mPermit);
  }
  aUpdate.mContext.mBoard.Write(state.mServer, std::move(load));
}

bool IsLeader(const gate_update& aUpdate)
{
  const permit* first = FindPermit(aUpdate, 0);
  return first != nullptr && MayUse(aUpdate, *first);
}

std::string LeaderOf(const gate_update& aUpdate)
{
  const permit* first = FindPermit(aUpdate, 0);
  return first == nullptr ? std::string() : first->mHolder;
}

std::uint32_t TopStage(const gate_update& aUpdate)
{
  return aUpdate.mPool == nullptr || aUpdate.mPool->mSlots == 0 ? 0 : aUpdate.mPool->mSlots - 1;
}

std::uint32_t CurrentStage(const gate_update& aUpdate)
{
  return aUpdate.mHooks.mStage(aUpdate.mState.mRamp, aUpdate.mNow, aUpdate.mContext.mConfig);
}

std::uint32_t ConnectionCap(const gate_update& aUpdate)
{
  return aUpdate.mPool == nullptr ? 0 : aUpdate.mHooks.mConnectionCap(*aUpdate.mPool);
}

bool IsDraining(const gate_update& aUpdate)
{
  const server_observations& observations = aUpdate.mState.mObservations;
  // A draining server gets no parts, so that no reply would reveal its replacement. The evidence
  // expires after mSilentHold, and the next part probes the server.
  return (aUpdate.mServer != nullptr && aUpdate.mServer->mDraining) ||
         (observations.mDraining &&
          aUpdate.mNow - observations.mDrainingSince < aUpdate.mContext.mConfig.mSilentHold);
}

bool InClosedZone(const gate_update& aUpdate)
{
  return aUpdate.mServer != nullptr &&
         aUpdate.mTables->mPools->mClosedZones.contains(aUpdate.mServer->mZone);
}

bool IsQuarantined(const gate_update& aUpdate, const part_request& aRequest)
{
  const auto entry = aUpdate.mContext.mBoard.Read<suspect>(SuspectKey(aRequest.mFingerprint));
  return entry && entry->mLevel == suspicion::Quarantined && aUpdate.mNow < entry->mUntil;
}

std::vector<std::uint32_t> UsablePermits(const gate_update& aUpdate)
{
  std::vector<std::uint32_t> usable;
  if (!aUpdate.mPermits) {
    return usable;
  }
  const std::uint32_t stage = CurrentStage(aUpdate);
  const std::uint32_t cap = ConnectionCap(aUpdate);
  for (const permit& each : aUpdate.mPermits->mPermits) {
    if (each.mIndex <= stage && MayUse(aUpdate, each) &&
        CanConnect(aUpdate.mState.mConnections, each.mIndex, cap)) {
      usable.push_back(each.mIndex);
    }
  }
  return usable;
}

std::optional<refusal> CurrentRefusal(const gate_update& aUpdate)
{
  if (aUpdate.mServer == nullptr) {
    return refusal{ part_failure::WrongTarget, "server is not in the tables" };
  }
  if (InClosedZone(aUpdate)) {
    return refusal{ part_failure::Draining, "zone " + aUpdate.mServer->mZone + " is closed" };
  }
  if (IsDraining(aUpdate)) {
    return refusal{ part_failure::Draining, "server is draining" };
  }
  if (UsablePermits(aUpdate).empty()) {
    return refusal{ part_failure::NotSent,
                    "no usable permit at stage " + std::to_string(CurrentStage(aUpdate)) };
  }
  return std::nullopt;
}

void FinishAttempt(gate_update& aUpdate, const waiting_part& aPart, part_reply aReply)
{
  const core_config& config = aUpdate.mContext.mConfig;
  const attempt_id attempt = aPart.mRequest.mAttempt;
  const instant until = std::max(aPart.mRequest.mDeadline, aUpdate.mNow) + config.mLongestDeadline +
                        config.mDeadlineSlack;
  aUpdate.mState.mRecent = WithAttempt(
    std::move(aUpdate.mState.mRecent), attempt, attempt_status::Finished, aUpdate.mNow, until);
  if (aPart.mFrom == config.mVm) {
    aUpdate.mContext.mBoard.Post(QueryKey(QueryOf(attempt)), attempt_finished{ std::move(aReply) });
  } else if (!SendToPeer(aUpdate.mContext, aPart.mFrom, part_reply_message{ std::move(aReply) })) {
    aUpdate.mContext.Log("gate",
                         "dropped the reply to attempt " + ToString(attempt) +
                           ": no address for VM " + aPart.mFrom,
                         log_level::Warning);
  }
}

void FinishAttempt(gate_update& aUpdate,
                   const waiting_part& aPart,
                   part_result aResult,
                   part_failure aFailure,
                   std::string aText)
{
  const std::string& server = aUpdate.mState.mServer;
  const bool refused = aResult == part_result::NotRun;
  aUpdate.mContext.Count(refused ? "gate.refused" : "gate.unknown");
  aUpdate.mContext.Log("gate",
                       (refused ? "refused attempt " : "gave up attempt ") +
                         ToString(aPart.mRequest.mAttempt) + " to " + server + ": " + aText);
  part_reply reply;
  reply.mAttempt = aPart.mRequest.mAttempt;
  reply.mResult = aResult;
  reply.mFailure = aFailure;
  reply.mServer = server;
  reply.mShard = aPart.mRequest.mShard;
  reply.mReason = { "gate", server, std::move(aText) };
  FinishAttempt(aUpdate, aPart, std::move(reply));
}

} // namespace redwingdock
