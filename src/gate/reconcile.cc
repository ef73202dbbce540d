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
constexpr micros kConnectTimeout = std::chrono::seconds(1);

// A liveness check without an answer blocks new checks for this long.
constexpr micros kCheckTimeout = std::chrono::seconds(1);

// Idle connections to keep per permit. A permit uses one at a time; the second is a spare in case
// the first breaks.
constexpr std::size_t kIdlePerPermit = 2;

instant SilenceCheckAt(const gate_update& aUpdate, const permit_use& aUse)
{
  return aUse.mSentAt + aUpdate.mHooks.mSilenceTimeout(aUpdate.mState.mRamp.mUsualLatency,
                                                       aUpdate.mContext.mConfig);
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

void HandleZoneReopening(gate_update& aUpdate)
{
  const bool closed = InClosedZone(aUpdate);
  if (aUpdate.mState.mZoneClosed && !closed) {
    const bool leads = IsLeader(aUpdate);
    ApplyRamp(
      aUpdate, { AfterColdStart(aUpdate.mState.mRamp, aUpdate.mNow), "zone reopened" }, leads);
    // Every holder learns of the reopening from the tables, though not all at once. The stage of
    // the leader is therefore accepted without an acknowledgement.
    aUpdate.mState.mRamp.mColdAcknowledged = true;
  }
  aUpdate.mState.mZoneClosed = closed;
}

void ExpireConnections(gate_update& aUpdate)
{
  gate_state& state = aUpdate.mState;
  state.mConnections = WithoutExpired(std::move(state.mConnections), aUpdate.mNow);
  const connections all = state.mConnections;
  for (const connection& each : all) {
    if (each.mPhase == connection_phase::Opening && aUpdate.mNow >= each.mSince + kConnectTimeout) {
      AbandonConnection(aUpdate, each.mId);
    }
  }
}

// Starts a liveness check of the server process, on a connection that counts against the permit.
void StartCheck(gate_update& aUpdate, std::uint32_t aPermit)
{
  gate_state& state = aUpdate.mState;
  const bool pending = state.mCheckPermit && aUpdate.mNow < state.mCheckSince + kCheckTimeout;
  if (pending || aUpdate.mServer == nullptr) {
    return;
  }
  if (CountConnections(state.mConnections, aPermit) >= ConnectionCap(aUpdate)) {
    const auto idle = ExcessIdle(state.mConnections, aPermit, 0);
    if (idle.empty()) {
      return; // no connection left; the part is given up at its deadline
    }
    aUpdate.mContext.Emit(close_connection{ state.mServer, idle.front() });
    state.mConnections = WithoutConnection(std::move(state.mConnections), idle.front());
  }
  state.mConnections =
    WithAuxiliary(std::move(state.mConnections),
                  aPermit,
                  aUpdate.mNow,
                  aUpdate.mHooks.mAbandonedUntil(aUpdate.mNow, aUpdate.mContext.mConfig));
  state.mCheckPermit = aPermit;
  state.mCheckSince = aUpdate.mNow;
  aUpdate.mContext.Count("gate.check");
  aUpdate.mContext.Emit(check_connection{ state.mServer, aUpdate.mServer->mAddress });
}

void ExpireUses(gate_update& aUpdate)
{
  const std::vector<permit_use> uses = aUpdate.mState.mUses;
  for (permit_use use : uses) {
    const part_request& request = use.mPart.mRequest;
    if (!use.mReported && aUpdate.mNow >= GiveUpAt(use)) {
      use.mReported = true;
      if (request.mOperation == operation::Search) {
        CancelUse(aUpdate, use);
      }
      aUpdate.mState = WithUse(std::move(aUpdate.mState), use);
      ApplyRamp(
        aUpdate,
        AfterNoReply(aUpdate.mState.mRamp, use.mSentAt, aUpdate.mNow, aUpdate.mHooks.mIsSlow),
        true);
      FinishAttempt(aUpdate,
                    use.mPart,
                    part_result::Unknown,
                    part_failure::DeadlinePassed,
                    "no reply before the deadline");
    }
    if (use.mConnection != 0 && aUpdate.mNow >= use.mCloseAt) {
      aUpdate.mContext.Count("gate.silent");
      AbandonConnection(aUpdate, use.mConnection);
      use.mConnection = 0;
      use.mFreeAt = aUpdate.mHooks.mReleaseAt(request, aUpdate.mNow, aUpdate.mContext.mConfig);
      aUpdate.mState = WithUse(std::move(aUpdate.mState), use);
    }
    if (aUpdate.mNow >= use.mFreeAt) {
      aUpdate.mState = WithoutUse(std::move(aUpdate.mState), request.mAttempt);
      if (use.mConnection != 0) {
        AbandonConnection(aUpdate, use.mConnection);
      }
    } else if (use.mConnection != 0 && !use.mChecked &&
               aUpdate.mNow >= SilenceCheckAt(aUpdate, use)) {
      use.mChecked = true;
      aUpdate.mState = WithUse(std::move(aUpdate.mState), use);
      StartCheck(aUpdate, use.mPermit);
    }
  }
}

void PruneQueue(gate_update& aUpdate)
{
  gate_state& state = aUpdate.mState;
  const auto refuse =
    [&aUpdate](const queue_step& aStep, part_failure aFailure, const char* aText) {
      aUpdate.mState.mQueue = aStep.mQueue;
      for (const waiting_part& each : aStep.mRemoved) {
        FinishAttempt(aUpdate, each, part_result::NotRun, aFailure, aText);
      }
    };
  if (state.mQueue.empty()) {
    return;
  }
  if (const auto refusal = CurrentRefusal(aUpdate)) {
    refuse({ {}, state.mQueue }, refusal->mFailure, refusal->mText.c_str());
    return;
  }
  refuse(AfterRemoval(
           state.mQueue,
           [&](const waiting_part& aEach) { return aEach.mRequest.mDeadline <= aUpdate.mNow; }),
         part_failure::DeadlinePassed,
         "deadline passed in the queue");
  refuse(AfterShedding(state.mQueue,
                       FreeTimes(state, UsablePermits(aUpdate), aUpdate.mNow),
                       state.mRamp.mUsualLatency,
                       aUpdate.mNow,
                       aUpdate.mHooks.mShouldShed),
         part_failure::Shed,
         "not expected to finish before the deadline");
}

void Send(gate_update& aUpdate, std::uint32_t aPermit, std::uint64_t aConnection)
{
  gate_state& state = aUpdate.mState;
  const waiting_part part = state.mQueue.front();
  state.mQueue.erase(state.mQueue.begin());
  const core_config& config = aUpdate.mContext.mConfig;
  const part_request& request = part.mRequest;
  const auto evidence = LatestEvidenceAt(state.mRamp);
  const instant stageUntil = aPermit > 0 && evidence ? *evidence + config.mEvidenceTtl : kNever;
  const instant limit =
    aUpdate.mHooks.mSendLimit(request, *aUpdate.mView, stageUntil, aUpdate.mNow);
  state.mConnections =
    WithPhase(std::move(state.mConnections), aConnection, connection_phase::Busy, aUpdate.mNow);
  permit_use use;
  use.mPermit = aPermit;
  use.mPart = part;
  use.mConnection = aConnection;
  use.mSentAt = aUpdate.mNow;
  use.mFreeAt = request.mDeadline + config.mDeadlineSlack;
  state = WithUse(std::move(state), use);
  WriteLoad(aUpdate);
  aUpdate.mContext.Count("gate.sent");
  aUpdate.mContext.Log("gate",
                       "sent attempt " + ToString(request.mAttempt) + " to " + state.mServer +
                         " on permit " + std::to_string(aPermit));
  aUpdate.mContext.Emit(send_part{ aConnection, request, limit });
}

// Refuses the parts at the head of the queue whose requests were quarantined while they waited.
void RefuseQuarantined(gate_update& aUpdate)
{
  gate_queue& queue = aUpdate.mState.mQueue;
  while (!queue.empty() && IsQuarantined(aUpdate, queue.front()->mRequest)) {
    const waiting_part part = queue.front();
    queue.erase(queue.begin());
    FinishAttempt(aUpdate, part, part_result::NotRun, part_failure::Shed, "request is quarantined");
  }
}

void Dispatch(gate_update& aUpdate)
{
  gate_state& state = aUpdate.mState;
  if (state.mQueue.empty()) {
    return;
  }
  std::vector<std::uint32_t> unconnected;
  for (const std::uint32_t index : UsablePermits(aUpdate)) {
    RefuseQuarantined(aUpdate);
    if (state.mQueue.empty()) {
      return;
    }
    if (FindUseOfPermit(state, index) != nullptr) {
      continue;
    }
    if (const auto idle = FindIdle(state.mConnections, index)) {
      Send(aUpdate, index, *idle);
    } else {
      unconnected.push_back(index);
    }
  }
  std::size_t needed = state.mQueue.size();
  for (const std::uint32_t index : unconnected) {
    if (needed == 0 || aUpdate.mNow < state.mConnectNotBefore) {
      return;
    }
    if (IsOpening(state.mConnections, index)) {
      --needed;
    } else if (CountConnections(state.mConnections, index) < ConnectionCap(aUpdate)) {
      --needed;
      const std::uint64_t id = aUpdate.mContext.NextNumber();
      state.mConnections = WithOpening(std::move(state.mConnections), id, index, aUpdate.mNow);
      aUpdate.mContext.Count("gate.opened");
      aUpdate.mContext.Emit(open_connection{ state.mServer, aUpdate.mServer->mAddress, id });
    }
  }
}

bool HoldsPermit(const gate_update& aUpdate, std::uint32_t aIndex)
{
  return aUpdate.mPermits && std::any_of(aUpdate.mPermits->mPermits.begin(),
                                         aUpdate.mPermits->mPermits.end(),
                                         [&](const permit& aEach) {
                                           return aEach.mIndex == aIndex &&
                                                  aEach.mHolder == aUpdate.mContext.mConfig.mVm;
                                         });
}

void CloseExcessIdle(gate_update& aUpdate)
{
  std::set<std::uint32_t> permits;
  for (const connection& each : aUpdate.mState.mConnections) {
    permits.insert(each.mPermit);
  }
  for (const std::uint32_t index : permits) {
    const bool held = aUpdate.mServer != nullptr && HoldsPermit(aUpdate, index);
    for (const std::uint64_t id :
         ExcessIdle(aUpdate.mState.mConnections, index, held ? kIdlePerPermit : 0)) {
      aUpdate.mContext.Emit(close_connection{ aUpdate.mState.mServer, id });
      aUpdate.mState.mConnections = WithoutConnection(std::move(aUpdate.mState.mConnections), id);
    }
  }
}

} // namespace

void Reconcile(gate_update& aUpdate)
{
  HandleZoneReopening(aUpdate);
  ExpireConnections(aUpdate);
  ExpireUses(aUpdate);
  PruneQueue(aUpdate);
  Dispatch(aUpdate);
  CloseExcessIdle(aUpdate);
  SendStageIfDue(aUpdate);
}

instant NextDue(const gate_update& aUpdate)
{
  const gate_state& state = aUpdate.mState;
  instant due = state.mStageMessageDue;
  const auto add = [&due, &aUpdate](instant aAt) {
    if (aAt > aUpdate.mNow) {
      due = std::min(due, aAt);
    }
  };
  for (const connection& each : state.mConnections) {
    add(each.mPhase == connection_phase::Opening ? each.mSince + kConnectTimeout : each.mUntil);
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
      add(SilenceCheckAt(aUpdate, use));
    }
  }
  if (state.mQueue.empty()) {
    return due;
  }
  for (const waiting_part& each : state.mQueue) {
    add(each.mRequest.mDeadline);
  }
  add(state.mConnectNotBefore);
  if (aUpdate.mView) {
    add(aUpdate.mView->mConfirmedUntil);
  }
  if (const auto evidence = LatestEvidenceAt(state.mRamp)) {
    add(*evidence + aUpdate.mContext.mConfig.mEvidenceTtl + micros(1));
  }
  if (aUpdate.mPermits) {
    for (const permit& each : aUpdate.mPermits->mPermits) {
      add(each.mUsableFrom);
    }
  }
  return due;
}

} // namespace redwingdock
