#include "gate/reconcile.h"

#include "gate/gate_events.h"
#include "gate/stage_exchange.h"

#include <algorithm>

namespace redwingdock {

namespace {

// Time before the deadline at which a search is cancelled. One way to a server in another zone
// takes up to 1.5 ms; the daemon of the caller needs the rest.
constexpr micros kCancelLead = std::chrono::milliseconds(3);

// Opening a connection takes a few milliseconds at most; one that takes longer is silent.
constexpr micros kOpenTime = std::chrono::seconds(1);

// A liveness check without an answer blocks new checks for this long.
constexpr micros kCheckTime = std::chrono::seconds(1);

// Idle connections to keep per permit. A permit uses one at a time; the second is a spare in case
// the first breaks.
constexpr std::size_t kWarmPerPermit = 2;

instant SilentAt(const gate_turn& aTurn, const permit_use& aUse)
{
  return aUse.mSentAt +
         aTurn.mHooks.mSilentAfter(aTurn.mState.mRamp.mUsual, aTurn.mContext.mConfig);
}

// Time at which to give up on a part without a reply. A search is cancelled shortly before its
// deadline, because the server answers the cancellation on the connection of the part. If the
// server stopped at the deadline without a reply, the connection would be lost and the permit
// blocked.
instant GiveUpAt(const permit_use& aUse)
{
  const part_request& request = aUse.mPart.mRequest;
  const instant early = request.mDeadline - kCancelLead;
  return request.mOperation == operation::Search && aUse.mSentAt + 2 * kCancelLead < early
           ? early
           : request.mDeadline;
}

void EndZone(gate_turn& aTurn)
{
  const bool closed = InClosedZone(aTurn);
  if (aTurn.mState.mZoneClosed && !closed) {
    const bool leads = Leads(aTurn);
    ApplyRamp(aTurn, { AfterCold(aTurn.mState.mRamp, aTurn.mNow), "zone reopened" }, leads);
    // Every holder learns of the reopening from the tables, though not all at once. The stage of
    // the leader is therefore accepted without an acknowledgement.
    aTurn.mState.mRamp.mColdAcknowledged = true;
  }
  aTurn.mState.mZoneClosed = closed;
}

void EndConnections(gate_turn& aTurn)
{
  gate_state& state = aTurn.mState;
  state.mConnections = WithoutExpired(std::move(state.mConnections), aTurn.mNow);
  const connections all = state.mConnections;
  for (const connection& each : all) {
    if (each.mPhase == connection_phase::Opening && aTurn.mNow >= each.mSince + kOpenTime) {
      HoldConnection(aTurn, each.mId);
    }
  }
}

// Starts a liveness check of the server process, on a connection that counts against the permit.
void StartCheck(gate_turn& aTurn, std::uint32_t aPermit)
{
  gate_state& state = aTurn.mState;
  const bool pending = state.mCheckPermit && aTurn.mNow < state.mCheckSince + kCheckTime;
  if (pending || aTurn.mServer == nullptr) {
    return;
  }
  if (CountConnections(state.mConnections, aPermit) >= ConnectionCap(aTurn)) {
    const auto idle = ExcessIdle(state.mConnections, aPermit, 0);
    if (idle.empty()) {
      return; // no connection left; the part is given up at its deadline
    }
    aTurn.mContext.Emit(close_connection{ state.mServer, idle.front() });
    state.mConnections = WithoutConnection(std::move(state.mConnections), idle.front());
  }
  state.mConnections = WithAuxiliary(std::move(state.mConnections),
                                     aPermit,
                                     aTurn.mNow,
                                     aTurn.mHooks.mHoldUntil(aTurn.mNow, aTurn.mContext.mConfig));
  state.mCheckPermit = aPermit;
  state.mCheckSince = aTurn.mNow;
  aTurn.mContext.Count("gate.check");
  aTurn.mContext.Emit(check_connection{ state.mServer, aTurn.mServer->mAddress });
}

void EndUses(gate_turn& aTurn)
{
  const std::vector<permit_use> uses = aTurn.mState.mUses;
  for (permit_use use : uses) {
    const part_request& request = use.mPart.mRequest;
    if (!use.mReported && aTurn.mNow >= GiveUpAt(use)) {
      use.mReported = true;
      if (request.mOperation == operation::Search) {
        CancelUse(aTurn, use);
      }
      aTurn.mState = WithUse(std::move(aTurn.mState), use);
      ApplyRamp(aTurn,
                AfterNoReply(aTurn.mState.mRamp, use.mSentAt, aTurn.mNow, aTurn.mHooks.mIsSlow),
                true);
      Finish(aTurn,
             use.mPart,
             part_result::Unknown,
             part_failure::DeadlinePassed,
             "no reply before the deadline");
    }
    if (use.mConnection != 0 && aTurn.mNow >= use.mCloseAt) {
      aTurn.mContext.Count("gate.silent");
      HoldConnection(aTurn, use.mConnection);
      use.mConnection = 0;
      use.mFreeAt = aTurn.mHooks.mReleaseAt(request, aTurn.mNow, aTurn.mContext.mConfig);
      aTurn.mState = WithUse(std::move(aTurn.mState), use);
    }
    if (aTurn.mNow >= use.mFreeAt) {
      aTurn.mState = WithoutUse(std::move(aTurn.mState), request.mAttempt);
      if (use.mConnection != 0) {
        HoldConnection(aTurn, use.mConnection);
      }
    } else if (use.mConnection != 0 && !use.mChecked && aTurn.mNow >= SilentAt(aTurn, use)) {
      use.mChecked = true;
      aTurn.mState = WithUse(std::move(aTurn.mState), use);
      StartCheck(aTurn, use.mPermit);
    }
  }
}

void EndWaiting(gate_turn& aTurn)
{
  gate_state& state = aTurn.mState;
  const auto refuse = [&aTurn](const queue_step& aStep, part_failure aFailure, const char* aText) {
    aTurn.mState.mQueue = aStep.mQueue;
    for (const waiting_part& each : aStep.mRemoved) {
      Finish(aTurn, each, part_result::NotRun, aFailure, aText);
    }
  };
  if (state.mQueue.empty()) {
    return;
  }
  if (const auto refusal = RefusalOf(aTurn)) {
    refuse({ {}, state.mQueue }, refusal->mFailure, refusal->mText.c_str());
    return;
  }
  refuse(
    AfterRemoval(state.mQueue,
                 [&](const waiting_part& aEach) { return aEach.mRequest.mDeadline <= aTurn.mNow; }),
    part_failure::DeadlinePassed,
    "deadline passed in the queue");
  refuse(AfterShedding(state.mQueue,
                       FreeTimes(state, UsablePermits(aTurn), aTurn.mNow),
                       state.mRamp.mUsual,
                       aTurn.mNow,
                       aTurn.mHooks.mShed),
         part_failure::Shed,
         "not expected to finish before the deadline");
}

void Send(gate_turn& aTurn, std::uint32_t aPermit, std::uint64_t aConnection)
{
  gate_state& state = aTurn.mState;
  const waiting_part part = state.mQueue.front();
  state.mQueue.erase(state.mQueue.begin());
  const core_config& config = aTurn.mContext.mConfig;
  const part_request& request = part.mRequest;
  const auto evidence = EvidenceAt(state.mRamp);
  const instant stageUntil = aPermit > 0 && evidence ? *evidence + config.mEvidenceTtl : kNever;
  const instant limit = aTurn.mHooks.mSendLimit(request, *aTurn.mView, stageUntil, aTurn.mNow);
  state.mConnections =
    WithPhase(std::move(state.mConnections), aConnection, connection_phase::Busy, aTurn.mNow);
  permit_use use;
  use.mPermit = aPermit;
  use.mPart = part;
  use.mConnection = aConnection;
  use.mSentAt = aTurn.mNow;
  use.mFreeAt = request.mDeadline + config.mDeadlineSlack;
  state = WithUse(std::move(state), use);
  WriteLoad(aTurn);
  aTurn.mContext.Count("gate.sent");
  aTurn.mContext.Log("gate",
                     "sent attempt " + ToString(request.mAttempt) + " to " + state.mServer +
                       " on permit " + std::to_string(aPermit));
  aTurn.mContext.Emit(send_part{ aConnection, request, limit });
}

// Refuses the parts at the head of the queue whose requests were quarantined while they waited.
void EndQuarantined(gate_turn& aTurn)
{
  gate_queue& queue = aTurn.mState.mQueue;
  while (!queue.empty() && IsQuarantined(aTurn, queue.front()->mRequest)) {
    const waiting_part part = queue.front();
    queue.erase(queue.begin());
    Finish(aTurn, part, part_result::NotRun, part_failure::Shed, "request is quarantined");
  }
}

void Dispatch(gate_turn& aTurn)
{
  gate_state& state = aTurn.mState;
  if (state.mQueue.empty()) {
    return;
  }
  std::vector<std::uint32_t> unconnected;
  for (const std::uint32_t index : UsablePermits(aTurn)) {
    EndQuarantined(aTurn);
    if (state.mQueue.empty()) {
      return;
    }
    if (UseOfPermit(state, index) != nullptr) {
      continue;
    }
    if (const auto idle = FindIdle(state.mConnections, index)) {
      Send(aTurn, index, *idle);
    } else {
      unconnected.push_back(index);
    }
  }
  std::size_t needed = state.mQueue.size();
  for (const std::uint32_t index : unconnected) {
    if (needed == 0 || aTurn.mNow < state.mOpenNotBefore) {
      return;
    }
    if (IsOpening(state.mConnections, index)) {
      --needed;
    } else if (CountConnections(state.mConnections, index) < ConnectionCap(aTurn)) {
      --needed;
      const std::uint64_t id = aTurn.mContext.NextNumber();
      state.mConnections = WithOpening(std::move(state.mConnections), id, index, aTurn.mNow);
      aTurn.mContext.Count("gate.opened");
      aTurn.mContext.Emit(open_connection{ state.mServer, aTurn.mServer->mAddress, id });
    }
  }
}

bool HoldsPermit(const gate_turn& aTurn, std::uint32_t aIndex)
{
  return aTurn.mPermits && std::any_of(aTurn.mPermits->mPermits.begin(),
                                       aTurn.mPermits->mPermits.end(),
                                       [&](const permit& aEach) {
                                         return aEach.mIndex == aIndex &&
                                                aEach.mHolder == aTurn.mContext.mConfig.mVm;
                                       });
}

void CloseUnneeded(gate_turn& aTurn)
{
  std::set<std::uint32_t> permits;
  for (const connection& each : aTurn.mState.mConnections) {
    permits.insert(each.mPermit);
  }
  for (const std::uint32_t index : permits) {
    const bool held = aTurn.mServer != nullptr && HoldsPermit(aTurn, index);
    for (const std::uint64_t id :
         ExcessIdle(aTurn.mState.mConnections, index, held ? kWarmPerPermit : 0)) {
      aTurn.mContext.Emit(close_connection{ aTurn.mState.mServer, id });
      aTurn.mState.mConnections = WithoutConnection(std::move(aTurn.mState.mConnections), id);
    }
  }
}

} // namespace

void Settle(gate_turn& aTurn)
{
  EndZone(aTurn);
  EndConnections(aTurn);
  EndUses(aTurn);
  EndWaiting(aTurn);
  Dispatch(aTurn);
  CloseUnneeded(aTurn);
  TellStage(aTurn);
}

instant NextDue(const gate_turn& aTurn)
{
  const gate_state& state = aTurn.mState;
  instant due = state.mTellAt;
  const auto add = [&due, &aTurn](instant aAt) {
    if (aAt > aTurn.mNow) {
      due = std::min(due, aAt);
    }
  };
  for (const connection& each : state.mConnections) {
    add(each.mPhase == connection_phase::Opening ? each.mSince + kOpenTime : each.mUntil);
  }
  for (const permit_use& use : state.mUses) {
    add(use.mFreeAt);
    if (use.mConnection != 0) {
      add(use.mCloseAt);
    }
    if (!use.mReported) {
      add(GiveUpAt(use));
    }
    if (use.mConnection != 0 && !use.mChecked) {
      add(SilentAt(aTurn, use));
    }
  }
  if (state.mQueue.empty()) {
    return due;
  }
  for (const waiting_part& each : state.mQueue) {
    add(each.mRequest.mDeadline);
  }
  add(state.mOpenNotBefore);
  if (aTurn.mView) {
    add(aTurn.mView->mConfirmedUntil);
  }
  if (const auto evidence = EvidenceAt(state.mRamp)) {
    add(*evidence + aTurn.mContext.mConfig.mEvidenceTtl + micros(1));
  }
  if (aTurn.mPermits) {
    for (const permit& each : aTurn.mPermits->mPermits) {
      add(each.mUsableFrom);
    }
  }
  return due;
}

} // namespace redwingdock
