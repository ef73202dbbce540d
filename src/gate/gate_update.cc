#include "gate/gate_update.h"

#include "core/send.h"

#include <algorithm>

namespace redwingdock {

namespace {

const permit* FindPermit(const gate_turn& aTurn, std::uint32_t aIndex)
{
  if (!aTurn.mPermits) {
    return nullptr;
  }
  const auto& all = aTurn.mPermits->mPermits;
  const auto found = std::find_if(
    all.begin(), all.end(), [aIndex](const permit& aEach) { return aEach.mIndex == aIndex; });
  return found == all.end() ? nullptr : &*found;
}

bool MayUse(const gate_turn& aTurn, const permit& aPermit)
{
  return aTurn.mView && aTurn.mHooks.mMayUse(aPermit, *aTurn.mView, aTurn.mNow);
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

gate_turn LoadTurn(core_context& aContext, const gate_hooks& aHooks, const std::string& aServer)
{
  gate_turn turn{ aContext, aHooks, aContext.Now(), {}, {}, {}, nullptr, nullptr, {} };
  const blackboard& board = aContext.mBoard;
  turn.mTables = board.Read<tables_in_force>(kTablesKey);
  turn.mView = ViewSincePause(aContext);
  turn.mPermits = board.Read<server_permits>(aServer);
  if (turn.mTables) {
    turn.mServer = turn.mTables->FindServer(aServer);
    turn.mPool = turn.mServer != nullptr ? turn.mTables->FindPool(turn.mServer->mPool) : nullptr;
  }
  if (const auto state = board.Read<gate_state>(aServer)) {
    turn.mState = *state;
  } else {
    turn.mState.mServer = aServer;
  }
  return turn;
}

void StoreTurn(const gate_turn& aTurn)
{
  blackboard& board = aTurn.mContext.mBoard;
  const gate_state& state = aTurn.mState;
  const std::string& server = state.mServer;
  if (aTurn.mServer == nullptr && state.mUses.empty() && state.mQueue.empty() &&
      state.mConnections.empty()) {
    board.Erase<gate_state>(server);
    board.Erase<server_status>(server);
    board.Erase<gate_load>(server);
    return;
  }
  board.Write(server,
              server_status{ server,
                             state.mRamp.mInstance,
                             StageNow(aTurn),
                             IsDraining(aTurn),
                             state.mFacts.mVersions,
                             state.mFacts.mSeenAt,
                             static_cast<std::uint32_t>(state.mQueue.size()) });
  WriteLoad(aTurn);
  board.Write(server, state);
}

void WriteLoad(const gate_turn& aTurn)
{
  const gate_state& state = aTurn.mState;
  gate_load load{ state.mServer, static_cast<std::uint32_t>(state.mUses.size()), {} };
  for (const permit_use& use : state.mUses) {
    load.mPermitsInUse.insert(use.mPermit);
  }
  aTurn.mContext.mBoard.Write(state.mServer, std::move(load));
}

bool Leads(const gate_turn& aTurn)
{
  const permit* first = FindPermit(aTurn, 0);
  return first != nullptr && MayUse(aTurn, *first);
}

std::string LeaderOf(const gate_turn& aTurn)
{
  const permit* first = FindPermit(aTurn, 0);
  return first == nullptr ? std::string() : first->mHolder;
}

std::uint32_t TopStage(const gate_turn& aTurn)
{
  return aTurn.mPool == nullptr || aTurn.mPool->mSlots == 0 ? 0 : aTurn.mPool->mSlots - 1;
}

std::uint32_t StageNow(const gate_turn& aTurn)
{
  return aTurn.mHooks.mStage(aTurn.mState.mRamp, aTurn.mNow, aTurn.mContext.mConfig);
}

std::uint32_t ConnectionCap(const gate_turn& aTurn)
{
  return aTurn.mPool == nullptr ? 0 : aTurn.mHooks.mConnectionCap(*aTurn.mPool);
}

bool IsDraining(const gate_turn& aTurn)
{
  const server_facts& facts = aTurn.mState.mFacts;
  // A draining server gets no parts, so that no reply would reveal its replacement. The evidence
  // expires after mSilentHold, and the next part probes the server.
  return (aTurn.mServer != nullptr && aTurn.mServer->mDraining) ||
         (facts.mDraining &&
          aTurn.mNow - facts.mDrainingSince < aTurn.mContext.mConfig.mSilentHold);
}

bool InClosedZone(const gate_turn& aTurn)
{
  return aTurn.mServer != nullptr &&
         aTurn.mTables->mPools->mClosedZones.contains(aTurn.mServer->mZone);
}

bool IsQuarantined(const gate_turn& aTurn, const part_request& aRequest)
{
  const auto entry = aTurn.mContext.mBoard.Read<suspect>(SuspectKey(aRequest.mFingerprint));
  return entry && entry->mLevel == suspicion::Quarantined && aTurn.mNow < entry->mUntil;
}

std::vector<std::uint32_t> UsablePermits(const gate_turn& aTurn)
{
  std::vector<std::uint32_t> usable;
  if (!aTurn.mPermits) {
    return usable;
  }
  const std::uint32_t stage = StageNow(aTurn);
  const std::uint32_t cap = ConnectionCap(aTurn);
  for (const permit& each : aTurn.mPermits->mPermits) {
    if (each.mIndex <= stage && MayUse(aTurn, each) &&
        CanConnect(aTurn.mState.mConnections, each.mIndex, cap)) {
      usable.push_back(each.mIndex);
    }
  }
  return usable;
}

std::optional<refusal> RefusalOf(const gate_turn& aTurn)
{
  if (aTurn.mServer == nullptr) {
    return refusal{ part_failure::WrongTarget, "server is not in the tables" };
  }
  if (InClosedZone(aTurn)) {
    return refusal{ part_failure::Draining, "zone " + aTurn.mServer->mZone + " is closed" };
  }
  if (IsDraining(aTurn)) {
    return refusal{ part_failure::Draining, "server is draining" };
  }
  if (UsablePermits(aTurn).empty()) {
    return refusal{ part_failure::NotSent,
                    "no usable permit at stage " + std::to_string(StageNow(aTurn)) };
  }
  return std::nullopt;
}

void Finish(gate_turn& aTurn, const waiting_part& aPart, part_reply aReply)
{
  const core_config& config = aTurn.mContext.mConfig;
  const attempt_id attempt = aPart.mRequest.mAttempt;
  const instant until = std::max(aPart.mRequest.mDeadline, aTurn.mNow) + config.mLongestDeadline +
                        config.mDeadlineSlack;
  aTurn.mState.mRecent = WithAttempt(
    std::move(aTurn.mState.mRecent), attempt, attempt_fate::Finished, aTurn.mNow, until);
  if (aPart.mFrom == config.mVm) {
    aTurn.mContext.mBoard.Post(QueryKey(QueryOf(attempt)), attempt_finished{ std::move(aReply) });
  } else if (!SendToPeer(aTurn.mContext, aPart.mFrom, part_reply_message{ std::move(aReply) })) {
    aTurn.mContext.Log("gate",
                       "dropped the reply to attempt " + ToString(attempt) +
                         ": no address for VM " + aPart.mFrom,
                       log_level::Warning);
  }
}

void Finish(gate_turn& aTurn,
            const waiting_part& aPart,
            part_result aResult,
            part_failure aFailure,
            std::string aText)
{
  const std::string& server = aTurn.mState.mServer;
  const bool refused = aResult == part_result::NotRun;
  aTurn.mContext.Count(refused ? "gate.refused" : "gate.unknown");
  aTurn.mContext.Log("gate",
                     (refused ? "refused attempt " : "gave up attempt ") +
                       ToString(aPart.mRequest.mAttempt) + " to " + server + ": " + aText);
  part_reply reply;
  reply.mAttempt = aPart.mRequest.mAttempt;
  reply.mResult = aResult;
  reply.mFailure = aFailure;
  reply.mServer = server;
  reply.mShard = aPart.mRequest.mShard;
  reply.mReason = { "gate", server, std::move(aText) };
  Finish(aTurn, aPart, std::move(reply));
}

} // namespace redwingdock
