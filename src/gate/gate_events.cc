#include "gate/gate_events.h"

#include "gate/stage_exchange.h"

#include <algorithm>

namespace redwingdock {

namespace {

// Exponential backoff after refused connections. Without it, every part for a lost server would
// cause a connection attempt.
constexpr micros kMinReconnectDelay = std::chrono::milliseconds(50);
constexpr micros kMaxReconnectDelay = std::chrono::seconds(1);

// Servers answer a cancellation at once, so that its connection counts for this long at most.
constexpr micros kCancelTimeout = std::chrono::seconds(1);

void RefuseQueue(gate_update& aUpdate, part_failure aFailure, const std::string& aText)
{
  gate_queue waiting;
  waiting.swap(aUpdate.mState.mQueue);
  for (const waiting_part& each : waiting) {
    FinishAttempt(aUpdate, each, part_result::NotRun, aFailure, aText);
  }
}

// Reserves a connection of the permit for a cancellation, and closes an idle one if the permit is
// at its limit. Returns false if none is idle.
bool ReserveAuxiliary(gate_update& aUpdate, std::uint32_t aPermit, micros aFor)
{
  connections& all = aUpdate.mState.mConnections;
  if (CountConnections(all, aPermit) >= ConnectionCap(aUpdate)) {
    const auto idle = ExcessIdle(all, aPermit, 0);
    if (idle.empty()) {
      return false;
    }
    aUpdate.mContext.Emit(close_connection{ aUpdate.mState.mServer, idle.front() });
    all = WithoutConnection(std::move(all), idle.front());
  }
  all = WithAuxiliary(std::move(all), aPermit, aUpdate.mNow, aUpdate.mNow + aFor);
  return true;
}

// Reports the result of a use whose connection broke. The server may still be running the part, so
// that the permit stays in use until mReleaseAt.
void DetachUse(gate_update& aUpdate,
               permit_use aUse,
               part_failure aFailure,
               const std::string& aText)
{
  aUse.mConnection = 0;
  aUse.mFreeAt =
    aUpdate.mHooks.mReleaseAt(aUse.mPart.mRequest, aUpdate.mNow, aUpdate.mContext.mConfig);
  const bool report = !aUse.mReported;
  aUse.mReported = true;
  aUpdate.mState = WithUse(std::move(aUpdate.mState), aUse);
  if (report) {
    FinishAttempt(aUpdate, aUse.mPart, part_result::Unknown, aFailure, aText);
  }
}

// Reports the fingerprint of each request that the server may have been running when it was lost,
// to detect requests that crash servers. Each use is reported once.
void PostServerLost(gate_update& aUpdate)
{
  std::set<std::uint64_t> fingerprints;
  for (permit_use& use : aUpdate.mState.mUses) {
    if (!use.mLossReported) {
      fingerprints.insert(use.mPart.mRequest.mFingerprint);
      use.mLossReported = true;
    }
  }
  if (!fingerprints.empty()) {
    aUpdate.mContext.Count("gate.server_lost");
    aUpdate.mContext.mBoard.Post(kSuspectsKey,
                                 server_lost{ aUpdate.mState.mServer, std::move(fingerprints) });
  }
}

void ResetToCold(gate_update& aUpdate, std::string aReason)
{
  ApplyRamp(
    aUpdate, { AfterColdStart(aUpdate.mState.mRamp, aUpdate.mNow), std::move(aReason) }, true);
}

void OnConnectFailure(gate_update& aUpdate, const std::string& aText)
{
  gate_state& state = aUpdate.mState;
  const micros delay =
    std::min(kMaxReconnectDelay, kMinReconnectDelay * (1U << std::min(state.mConnectFailures, 5U)));
  ++state.mConnectFailures;
  state.mConnectNotBefore = aUpdate.mNow + delay;
  if (!HasOpenConnection(state.mConnections)) {
    RefuseQueue(aUpdate, part_failure::NotSent, aText);
    if (CurrentStage(aUpdate) > 0) {
      ResetToCold(aUpdate, aText);
    }
  }
}

// When the last connection closes, the process has probably exited. Its successor may be cold, and
// is not draining.
void OnConnectionClosed(gate_update& aUpdate)
{
  gate_state& state = aUpdate.mState;
  if (!HasOpenConnection(state.mConnections)) {
    state.mObservations.mDraining = false;
    if (CurrentStage(aUpdate) > 0) {
      ResetToCold(aUpdate, "last connection closed");
    }
  }
}

void DetachUseOfConnection(gate_update& aUpdate,
                           std::uint64_t aConnection,
                           const std::string& aText)
{
  if (const permit_use* use = FindUseOfConnection(aUpdate.mState, aConnection)) {
    DetachUse(aUpdate, *use, part_failure::ConnectionLost, aText);
  }
}

} // namespace

void CancelUse(gate_update& aUpdate, const permit_use& aUse)
{
  if (aUpdate.mServer != nullptr && ReserveAuxiliary(aUpdate, aUse.mPermit, kCancelTimeout)) {
    aUpdate.mContext.Emit(cancel_part{
      aUpdate.mState.mServer, aUpdate.mServer->mAddress, aUse.mPart.mRequest.mAttempt });
  }
}

void AbandonConnection(gate_update& aUpdate, std::uint64_t aConnection)
{
  aUpdate.mContext.Emit(close_connection{ aUpdate.mState.mServer, aConnection });
  aUpdate.mState.mConnections =
    WithAbandoned(std::move(aUpdate.mState.mConnections),
                  aConnection,
                  aUpdate.mNow,
                  aUpdate.mHooks.mAbandonedUntil(aUpdate.mNow, aUpdate.mContext.mConfig));
}

// A closing daemon refuses parts from other daemons, which could otherwise delay its stop
// indefinitely.
bool IsClosing(const gate_update& aUpdate)
{
  const auto drain = aUpdate.mContext.mBoard.Read<drain_state>(kSelfKey);
  return drain && drain->mPhase >= drain_phase::Closing;
}

void OnRequest(gate_update& aUpdate, waiting_part aPart)
{
  gate_state& state = aUpdate.mState;
  const part_request& request = aPart.mRequest;
  const auto status = FindStatus(state.mRecent, request.mAttempt);
  if (FindWaiting(state.mQueue, request.mAttempt) != nullptr ||
      FindUse(state, request.mAttempt) != nullptr || status == attempt_status::Finished) {
    aUpdate.mContext.Count("gate.repeated");
    aUpdate.mContext.Log(
      "gate", "ignored repeated attempt " + ToString(request.mAttempt) + " to " + state.mServer);
    return;
  }
  const auto refuse = [&](part_failure aFailure, std::string aText) {
    FinishAttempt(aUpdate, aPart, part_result::NotRun, aFailure, std::move(aText));
  };
  if (status == attempt_status::Cancelled) {
    refuse(part_failure::Cancelled, "cancelled before the request arrived");
  } else if (aPart.mFrom != aUpdate.mContext.mConfig.mVm && IsClosing(aUpdate)) {
    refuse(part_failure::NotSent, "daemon is shutting down");
  } else if (const auto refusal = CurrentRefusal(aUpdate)) {
    refuse(refusal->mFailure, refusal->mText);
  } else if (IsQuarantined(aUpdate, request)) {
    refuse(part_failure::Shed, "request is quarantined");
  } else if (request.mDeadline <= aUpdate.mNow) {
    refuse(part_failure::DeadlinePassed, "deadline passed before the part was queued");
  } else if (aUpdate.mNow < state.mConnectNotBefore && !HasOpenConnection(state.mConnections)) {
    refuse(part_failure::NotSent, "server recently refused connections");
  } else {
    queue_step step = AfterArrival(std::move(state.mQueue),
                                   std::move(aPart),
                                   aUpdate.mContext.mConfig.mQueueLimit,
                                   aUpdate.mHooks.mDispatchBefore);
    state.mQueue = std::move(step.mQueue);
    for (const waiting_part& each : step.mRemoved) {
      FinishAttempt(aUpdate, each, part_result::NotRun, part_failure::Shed, "queue is full");
    }
  }
}

void OnCancel(gate_update& aUpdate, const attempt_id& aAttempt, const std::string& aFrom)
{
  gate_state& state = aUpdate.mState;
  if (const waiting_part* waiting = FindWaiting(state.mQueue, aAttempt)) {
    if (waiting->mFrom != aFrom) {
      return;
    }
    queue_step step = AfterRemoval(
      state.mQueue, [&](const waiting_part& aEach) { return aEach.mRequest.mAttempt == aAttempt; });
    state.mQueue = std::move(step.mQueue);
    for (const waiting_part& each : step.mRemoved) {
      FinishAttempt(
        aUpdate, each, part_result::NotRun, part_failure::Cancelled, "cancelled in the queue");
    }
    return;
  }
  if (const permit_use* found = FindUse(state, aAttempt)) {
    if (found->mPart.mFrom != aFrom || found->mReported) {
      return;
    }
    permit_use use = *found;
    use.mReported = true;
    state = WithUse(std::move(state), use);
    CancelUse(aUpdate, use);
    FinishAttempt(aUpdate, use.mPart, part_result::Unknown, part_failure::Cancelled, "cancelled");
    return;
  }
  if (!FindStatus(state.mRecent, aAttempt)) {
    const core_config& config = aUpdate.mContext.mConfig;
    state.mRecent = WithAttempt(std::move(state.mRecent),
                                aAttempt,
                                attempt_status::Cancelled,
                                aUpdate.mNow,
                                aUpdate.mNow + config.mLongestDeadline + config.mDeadlineSlack);
  }
}

void OnReply(gate_update& aUpdate, const part_replied& aReplied)
{
  gate_state& state = aUpdate.mState;
  const part_reply& reply = aReplied.mReply;
  const permit_use* found = FindUse(state, reply.mAttempt);
  if (found == nullptr) {
    aUpdate.mContext.Count("gate.late_reply");
    if (reply.mEvidence) {
      OnRemoteEvidence(aUpdate, *reply.mEvidence);
    }
    return;
  }
  const permit_use use = *found;
  if (reply.mResult == part_result::Unknown && !reply.mEvidence &&
      reply.mFailure != part_failure::Malformed) {
    // The front end gave up on the reply; the server may still be running the part.
    if (use.mConnection != 0) {
      AbandonConnection(aUpdate, use.mConnection);
    }
    DetachUse(aUpdate, use, reply.mFailure, Describe(reply.mReason));
    return;
  }
  // The server finished the part or never received it, so that the permit is free.
  state = WithoutUse(std::move(state), reply.mAttempt);
  if (use.mConnection == aReplied.mConnection) {
    if (reply.mFailure == part_failure::Malformed) {
      aUpdate.mContext.Emit(close_connection{ state.mServer, use.mConnection });
      state.mConnections = WithoutConnection(std::move(state.mConnections), use.mConnection);
    } else {
      state.mConnections = WithPhase(
        std::move(state.mConnections), use.mConnection, connection_phase::Idle, aUpdate.mNow);
    }
  } else if (use.mConnection != 0) {
    AbandonConnection(aUpdate, use.mConnection);
  }
  if (reply.mEvidence) {
    state.mObservations = WithObservation(std::move(state.mObservations),
                                          reply.mEvidence->mMode == server_mode::Draining,
                                          reply.mEvidence->mVersions,
                                          aUpdate.mNow);
  }
  if (reply.mEvidence || reply.mFailure == part_failure::Shed) {
    const reply_sample sample{
      reply.mResult,    reply.mFailure, reply.mEvidence.value_or(server_evidence{}),
      use.mSentAt,      aUpdate.mNow,   IsLeader(aUpdate),
      TopStage(aUpdate)
    };
    ApplyRamp(aUpdate,
              AfterReply(state.mRamp,
                         sample,
                         aUpdate.mHooks.mMayRaiseStage,
                         aUpdate.mHooks.mIsSlow,
                         aUpdate.mContext.mConfig),
              true);
  }
  if (use.mReported) {
    aUpdate.mContext.Count("gate.late_reply");
    return;
  }
  aUpdate.mContext.Count(reply.mResult == part_result::Answered ? "gate.answered" : "gate.failed");
  part_reply result = reply;
  result.mServer = state.mServer;
  if (result.mResult != part_result::Answered && result.mReason == reason{}) {
    result.mReason = { "gate", state.mServer, ToString(reply.mFailure) };
  }
  FinishAttempt(aUpdate, use.mPart, std::move(result));
}

void OnConnection(gate_update& aUpdate, const connection_changed& aChanged)
{
  gate_state& state = aUpdate.mState;
  const connection* found = FindConnection(state.mConnections, aChanged.mConnection);
  const bool live = found != nullptr && found->mPhase != connection_phase::Abandoned;
  const std::string text = aChanged.mReason.mText;
  if (!live) {
    // The server may still count an abandoned connection after it ended on this side, so that it
    // expires by time only.
    if (aChanged.mEvent == connection_event::Opened) {
      aUpdate.mContext.Emit(close_connection{ state.mServer, aChanged.mConnection });
    }
    return;
  }
  if (aChanged.mEvent != connection_event::Opened) {
    state.mConnections = WithoutConnection(std::move(state.mConnections), aChanged.mConnection);
  }
  switch (aChanged.mEvent) {
    case connection_event::Opened:
      if (found->mPhase == connection_phase::Opening) {
        state.mConnections = WithPhase(std::move(state.mConnections),
                                       aChanged.mConnection,
                                       connection_phase::Idle,
                                       aUpdate.mNow);
        state.mConnectFailures = 0;
        state.mConnectNotBefore = {};
      }
      return;
    case connection_event::Refused:
      OnConnectFailure(aUpdate, "connection refused");
      return;
    case connection_event::Closed:
      DetachUseOfConnection(aUpdate, aChanged.mConnection, "connection closed");
      OnConnectionClosed(aUpdate);
      return;
    case connection_event::Lost:
      aUpdate.mContext.Log("gate",
                           "lost connection " + std::to_string(aChanged.mConnection) + " to " +
                             state.mServer + (text.empty() ? "" : ": " + text),
                           log_level::Warning);
      PostServerLost(aUpdate);
      DetachUseOfConnection(aUpdate, aChanged.mConnection, "connection lost");
      state.mObservations.mDraining =
        state.mObservations.mDraining && HasOpenConnection(state.mConnections);
      ResetToCold(aUpdate, "connection lost");
      return;
  }
}

void OnCheck(gate_update& aUpdate, const check_answered& aAnswered)
{
  gate_state& state = aUpdate.mState;
  if (!state.mCheckPermit) {
    return;
  }
  state.mConnections = WithoutAuxiliary(std::move(state.mConnections), *state.mCheckPermit);
  state.mCheckPermit.reset();
  const std::vector<permit_use> uses = state.mUses;
  if (aAnswered.mAlive) {
    for (permit_use use : uses) {
      // A submit is not idempotent and waits for its own reply.
      if (!use.mChecked || use.mConnection == 0 || use.mCloseAt != kNever ||
          use.mPart.mRequest.mOperation == operation::Submit) {
        continue;
      }
      // The part may merely be slow. In that case its connection delivers the reply to the
      // cancellation within mSilenceLimit and can be reused instead of being abandoned.
      use.mCloseAt = aUpdate.mNow + aUpdate.mContext.mConfig.mSilenceLimit;
      const bool report = !use.mReported;
      use.mReported = true;
      state = WithUse(std::move(state), use);
      CancelUse(aUpdate, use);
      if (report) {
        FinishAttempt(aUpdate,
                      use.mPart,
                      part_result::Unknown,
                      part_failure::Silent,
                      "no reply within the silence limit");
      }
    }
    return;
  }
  // Nothing listens at the address: the process has ended, and its connections with it.
  aUpdate.mContext.Log(
    "gate", "lost server " + state.mServer + ": liveness check refused", log_level::Warning);
  PostServerLost(aUpdate);
  for (const permit_use& use : uses) {
    if (use.mConnection != 0) {
      DetachUse(aUpdate, use, part_failure::ConnectionLost, "server refused the liveness check");
    }
  }
  const connections all = state.mConnections;
  for (const connection& each : all) {
    if (each.mPhase == connection_phase::Idle || each.mPhase == connection_phase::Busy ||
        each.mPhase == connection_phase::Opening) {
      aUpdate.mContext.Emit(close_connection{ state.mServer, each.mId });
      state.mConnections = WithoutConnection(std::move(state.mConnections), each.mId);
    }
  }
  state.mObservations.mDraining = false;
  ResetToCold(aUpdate, "liveness check refused");
  OnConnectFailure(aUpdate, "server refused the liveness check");
}

void OnRemoteEvidence(gate_update& aUpdate, const server_evidence& aEvidence)
{
  const std::string instance = aUpdate.mState.mRamp.mInstance;
  ApplyRamp(aUpdate, AfterRemoteEvidence(aUpdate.mState.mRamp, aEvidence, aUpdate.mNow), true);
  if (aEvidence.mInstance == aUpdate.mState.mRamp.mInstance) {
    aUpdate.mState.mObservations = WithObservation(std::move(aUpdate.mState.mObservations),
                                                   aEvidence.mMode == server_mode::Draining,
                                                   aEvidence.mVersions,
                                                   aUpdate.mNow);
  }
}

} // namespace redwingdock
