#include "query/query_controller.h"

#include "base/hash.h"
#include "core/controller_facts.h"
#include "core/send.h"
#include "query/budget.h"
#include "query/dispatch.h"
#include "query/latency.h"
#include "query/query_facts.h"
#include "safety/request_key.h"
#include "safety/suspects.h"

#include <algorithm>
#include <set>

namespace redwingdock {

namespace {

constexpr std::uint32_t kMaxRestarts = 4;
constexpr micros kRestartDelay =
  std::chrono::milliseconds(1); // lets evidence update server_status first

// Time between sending the answer and the caller's deadline. The way back to a caller takes 1 ms.
constexpr micros kAnswerMargin = std::chrono::milliseconds(5);

// Set in the numbers of queries that other daemons forwarded, so that they never collide with the
// numbers that the front end assigns.
constexpr std::uint64_t kForwardedQueryBit = 1ULL << 46U;

// Returns the number of the message that forwards a query, and the other way round. Every process
// counts its queries from 1. The number of the message depends on the process too, so that an
// answer to an earlier process of this VM matches no query.
std::uint64_t ForwardedNumber(std::uint64_t aNumber, const core_config& aConfig)
{
  return aNumber ^ Hash(OriginOf(aConfig));
}

const reason kStoppedReason{ "plan", "", "the daemon has stopped" };

class query_controller
{
public:
  query_controller(core_context& aContext, query_hooks aHooks)
    : mContext(aContext)
    , mBoard(aContext.mBoard)
    , mHooks(std::move(aHooks))
  {
  }

  void OnArrival(const std::string& aKey, const query_arrived& aFact);
  void OnForwardedQuery(const std::string& aKey, const forwarded_query& aFact);
  void OnReply(const std::string& aKey, const part_reply& aReply);
  void OnHedgeDue(const std::string& aKey, const hedge_due& aFact);
  void OnDeadline(const std::string& aKey);
  void OnAnswerNow(const std::string& aKey);
  void OnRetryPlacement(const std::string& aKey);
  void OnRestart(const std::string& aKey, const restart_query& aFact);
  void OnCallerDisconnected(const std::string& aKey);
  void OnForwardedAnswer(const std::string& aKey, const forwarded_answer& aFact);
  void OnKeyFinished(const std::string& aKey, const query_answer& aAnswer);
  void OnPeerDisconnected(const std::string& aKey, const peer_disconnected& aFact);
  void OnPeerChange(const std::string& aKey);

private:
  void Begin(query_state aState);
  void BeginSubmit(const query_state& aState);
  void Serve(query_state aState, const route_spec& aRoute, const tables_in_force& aTables);
  bool ForwardIfClosed(const query_state& aState, const tables_in_force& aTables);
  bool ForwardQuery(query_state aState, const std::string& aVm);
  void AdvanceQuery(query_state aState);
  static query_state DeferAllButOnePerPool(query_state aState);
  query_state ReleaseParts(query_state aState);
  query_state ResolveSubmitParts(query_state aState);
  bool NeedsRestart(const query_state& aState) const;
  void RepeatHedge(query_state& aState, std::size_t aPart);
  void Restart(query_state aState, const std::string& aWhy);
  void Finish(query_state aState);
  void Refuse(const query_state& aState, outcome aOutcome, reason aReason);
  void Deliver(const query_state& aState, query_answer aAnswer);
  void CompleteRequestKey(const query_state& aState, const query_answer& aAnswer);
  void ReportRunResult(const query_state& aState, bool aFinished);
  bool IsSuspect(std::uint64_t aFingerprint) const;
  bool HasStopped() const;
  void EndQuery(const std::string& aKey, const reason& aReason);
  void Store(query_state aState);
  void Log(const query_state& aState, const std::string& aText, log_level aLevel = log_level::Info);

  core_context& mContext;
  blackboard& mBoard;
  const query_hooks mHooks;
};

void query_controller::Log(const query_state& aState, const std::string& aText, log_level aLevel)
{
  mContext.Log("query", "query " + std::to_string(aState.mNumber) + " " + aText, aLevel);
}

void query_controller::Store(query_state aState)
{
  const std::string key = QueryKey(aState.mNumber);
  mBoard.Write(key, std::move(aState));
}

void query_controller::OnArrival(const std::string& aKey, const query_arrived& aFact)
{
  if (mBoard.Read<query_state>(aKey)) {
    return;
  }
  query_state state;
  state.mNumber = aFact.mQuery;
  state.mRequest = aFact.mRequest;
  state.mArrived = mContext.Now();
  Begin(std::move(state));
}

void query_controller::OnForwardedQuery(const std::string& aKey, const forwarded_query& aFact)
{
  if (mBoard.Read<query_state>(aKey)) {
    return;
  }
  query_state state;
  state.mNumber = aFact.mNumber;
  state.mReplyTo = aFact.mFrom;
  state.mReplyNumber = aFact.mMessage.mNumber;
  state.mRequest = aFact.mMessage.mRequest;
  state.mRequest.mDeadline = aFact.mMessage.mRemaining;
  state.mArrived = mContext.Now();
  Begin(std::move(state));
}

void query_controller::Begin(query_state aState)
{
  const auto tables = mBoard.Read<tables_in_force>(kTablesKey);
  if (!tables || !tables->mRoutes || !tables->mPools) {
    Refuse(aState, outcome::NotRun, { "plan", "", "no tables are in force yet" });
    return;
  }
  const route_spec* route = tables->FindRoute(aState.mRequest.mRoute);
  if (route == nullptr) {
    Refuse(aState,
           outcome::Rejected,
           { "plan", "", "route \"" + aState.mRequest.mRoute + "\" does not exist" });
    return;
  }
  const micros allowed = std::min(aState.mRequest.mDeadline.value_or(route->mDeadline),
                                  mContext.mConfig.mLongestDeadline);
  aState.mDeadline = aState.mArrived + allowed - std::min(kAnswerMargin, allowed / 10);
  aState.mOperation = route->mOperation;
  aState.mUrgency = aState.mRequest.mUrgency.value_or(route->mUrgency);
  aState.mHedge = route->mHedge;
  aState.mFingerprint = FingerprintOf(aState.mRequest);
  const bool submit = route->mOperation == operation::Submit;
  if (!submit && !aState.mRequest.mRequestKey.empty()) {
    Refuse(aState, outcome::Rejected, { "plan", "", "a search must not have a request key" });
    return;
  }
  if (submit && !aState.mRequest.mFilter.contains("id")) {
    Refuse(aState, outcome::Rejected, { "plan", "", "a submit must name its record in filter.id" });
    return;
  }
  if (!submit && HasStopped()) {
    Refuse(aState, outcome::NotRun, kStoppedReason);
    return;
  }
  mContext.After(aState.mDeadline - mContext.Now(), QueryKey(aState.mNumber), query_deadline{});
  if (submit) {
    BeginSubmit(aState);
  } else if (!ForwardIfClosed(aState, *tables)) {
    Serve(std::move(aState), *route, *tables);
  }
}

// Runs a request key only in the process that it names. The outcome is unknown for a key of an
// earlier process of this VM or of an unreachable process, because the request may have run there.
void query_controller::BeginSubmit(const query_state& aState)
{
  const result<request_key> key = ParseRequestKey(aState.mRequest.mRequestKey);
  if (!key) {
    Refuse(aState, outcome::Rejected, key.mReason);
    return;
  }
  const core_config& config = mContext.mConfig;
  const bool home = mHooks.mIsHome(*key, config);
  if (!home && key->mVm != config.mVm) {
    if (!aState.mReplyTo.empty() || !ForwardQuery(aState, key->mVm)) {
      Refuse(aState,
             outcome::Unknown,
             { "find home of request key", key->mVm, "the home process is not reachable" });
    }
    return;
  }
  if (!home) {
    Refuse(aState,
           outcome::Unknown,
           { "find home of request key",
             key->mVm,
             "the home process has restarted since the key was issued" });
    return;
  }
  key_record seen;
  bool repeated = false;
  mBoard.Update<key_record>(KeyRecordKey(aState.mRequest.mRequestKey), [&](const key_record* aOld) {
    key_record next;
    next.mQuery = aState.mNumber;
    repeated = aOld != nullptr;
    if (repeated) {
      next = *aOld;
      if (next.mPhase == key_phase::Running) {
        next.mWaiting.push_back(aState.mNumber);
      }
    }
    seen = next;
    return std::optional(next);
  });
  if (repeated) {
    Log(aState, "repeats the request key " + aState.mRequest.mRequestKey);
    if (seen.mPhase == key_phase::Done) {
      Deliver(aState, seen.mAnswer);
    } else {
      mBoard.Write(QueryKey(aState.mNumber), aState); // until key_finished
    }
    return;
  }
  if (HasStopped()) {
    Refuse(aState, outcome::NotRun, kStoppedReason);
    return;
  }
  const auto tables = mBoard.Read<tables_in_force>(kTablesKey);
  const route_spec* route = tables->FindRoute(aState.mRequest.mRoute);
  if (route == nullptr) {
    Finish(aState);
    return;
  }
  Serve(aState, *route, *tables);
}

bool query_controller::ForwardQuery(query_state aState, const std::string& aVm)
{
  const auto peer = mBoard.Read<peer_state>("peer/" + aVm);
  const micros remaining = aState.mDeadline - mContext.Now();
  if (!peer || !peer->mConnected || remaining.count() <= 0) {
    return false;
  }
  const std::uint64_t number = ForwardedNumber(aState.mNumber, mContext.mConfig);
  if (!SendToPeer(mContext, aVm, forward_query_message{ number, aState.mRequest, remaining })) {
    return false;
  }
  Log(aState, "is forwarded to " + aVm);
  mContext.Count("query.passed_on");
  aState.mForwardedTo = aVm;
  Store(std::move(aState));
  return true;
}

// Forwards the query to another daemon if this one is closing or in a closed zone. The other one is
// connected, not draining, and in an open zone; without any, returns false and serves the query
// here.
bool query_controller::ForwardIfClosed(const query_state& aState, const tables_in_force& aTables)
{
  const auto drain = mBoard.Read<drain_state>(kSelfKey);
  const bool closing = drain && drain->mPhase == drain_phase::Closing;
  if (!aState.mReplyTo.empty() ||
      (!closing && !aTables.mPools->mClosedZones.contains(mContext.mConfig.mZone))) {
    return false;
  }
  const auto view = mBoard.Read<member_view>(kMembersKey);
  if (!view) {
    return false;
  }
  std::vector<std::string> open;
  for (const vm_spec& vm : view->mVms.mVms) {
    const auto peer = mBoard.Read<peer_state>("peer/" + vm.mName);
    if (vm.mName != mContext.mConfig.mVm && vm.mState == vm_state::Live && peer &&
        peer->mConnected && !peer->mDraining && !aTables.mPools->mClosedZones.contains(vm.mZone)) {
      open.push_back(vm.mName);
    }
  }
  return !open.empty() && ForwardQuery(aState, open[mContext.Random(open.size())]);
}

bool query_controller::IsSuspect(std::uint64_t aFingerprint) const
{
  const auto found = mBoard.Read<suspect>(SuspectKey(aFingerprint));
  return found && found->mUntil > mContext.Now();
}

bool query_controller::HasStopped() const
{
  const auto drain = mBoard.Read<drain_state>(kSelfKey);
  return drain && drain->mPhase == drain_phase::Stopped;
}

void query_controller::Serve(query_state aState,
                             const route_spec& aRoute,
                             const tables_in_force& aTables)
{
  const auto found = mBoard.Read<suspect>(SuspectKey(aState.mFingerprint));
  const bool suspected = found && found->mUntil > mContext.Now();
  if (suspected && found->mLevel == suspicion::Quarantined) {
    mContext.Count("query.quarantined");
    aState.mParts.clear();
    Refuse(aState,
           outcome::NotRun,
           { "check quarantine",
             "",
             "the request was in flight on " + std::to_string(found->mServersLost.size()) +
               " backend servers when they were lost" });
    return;
  }
  const std::vector<shard_info> shards = ReadShards(mContext, aTables, aRoute);
  const snapshot chosen = mHooks.mChooseSnapshot(shards);
  std::optional<std::uint32_t> position;
  if (aState.mOperation == operation::Submit) {
    position = PositionOf(aState.mRequest.mFilter.at("id"));
  }
  aState.mDiscoveringVersion = aState.mOperation == operation::Submit && chosen.mVersion == 0;
  aState.mVersion = chosen.mVersion;
  aState.mMap = chosen.mMap;
  aState.mParts = PlanParts(shards, chosen.mMap, position);
  if (suspected && mHooks.mCanary) {
    aState = DeferAllButOnePerPool(std::move(aState));
  }
  const auto parts = static_cast<double>(aState.mParts.size());
  AddTokens(mBoard, kHedgeBudgetKey, parts * mContext.mConfig.mHedgeBudget);
  AddTokens(mBoard, kRetryBudgetKey, parts * mContext.mConfig.mRetryBudget);
  Log(aState,
      "route " + aRoute.mName + " has " + std::to_string(aState.mParts.size()) +
        " parts on index version " + std::to_string(aState.mVersion) + " map " +
        std::to_string(aState.mMap) + (suspected ? ", runs one part per pool first" : ""));
  AdvanceQuery(std::move(aState));
}

// Leaves one part of each pool Ready as the canary and defers the others. The fingerprint selects
// the canary, so that different requests use different shards.
query_state query_controller::DeferAllButOnePerPool(query_state aState)
{
  query_state next = std::move(aState);
  std::set<std::string> poolsWithCanary;
  for (std::size_t i = 0; i < next.mParts.size(); ++i) {
    part_state& part = next.mParts[(next.mFingerprint + i) % next.mParts.size()];
    if (!poolsWithCanary.insert(part.mPool).second) {
      part.mPhase = part_phase::Deferred;
    }
  }
  return next;
}

// Fails the part of a submit that may have run: it is not idempotent and must not be sent again.
query_state query_controller::ResolveSubmitParts(query_state aState)
{
  if (aState.mOperation != operation::Submit || aState.mDiscoveringVersion) {
    return aState;
  }
  query_state next = std::move(aState);
  for (part_state& part : next.mParts) {
    const bool open = part.mPhase == part_phase::Ready || part.mPhase == part_phase::Lost;
    const part_result last = part.mMayHaveRun ? part_result::Unknown : part_result::NotRun;
    if (open && !part.mAttempts.empty() && !mHooks.mMayRepeatSubmit(last)) {
      part.mPhase = part_phase::Failed;
    } else if (open && part.mPhase == part_phase::Lost) {
      part.mPhase = part_phase::Ready;
    }
  }
  return next;
}

// Releases the Deferred and Lost parts of each pool that has an answered part, which shows that the
// request does not crash its servers.
query_state query_controller::ReleaseParts(query_state aState)
{
  query_state next = std::move(aState);
  std::set<std::string> harmless; // pools with an answered part
  for (const part_state& part : next.mParts) {
    if (part.mPhase == part_phase::Answered) {
      harmless.insert(part.mPool);
    }
  }
  const bool running =
    std::any_of(next.mParts.begin(), next.mParts.end(), [](const part_state& aPart) {
      return aPart.mPhase == part_phase::Running || aPart.mPhase == part_phase::Ready;
    });
  for (part_state& part : next.mParts) {
    if (part.mPhase == part_phase::Lost) {
      if (part.mConnectionLosses >= 2 && mHooks.mDeferLostParts) {
        part.mPhase = part_phase::Failed; // two servers were lost while they ran it
      } else if (harmless.contains(part.mPool) || !mHooks.mDeferLostParts) {
        part.mPhase = part_phase::Ready;
      }
    } else if (part.mPhase == part_phase::Deferred) {
      if (harmless.contains(part.mPool)) {
        part.mPhase = part_phase::Ready;
      } else if (!running) {
        part.mPhase = part_phase::Failed;
        part.mReason = { "run canary part", "", "the request is suspected of crashing servers" };
      }
    }
  }
  return next;
}

bool query_controller::NeedsRestart(const query_state& aState) const
{
  const bool submitMayHaveRun =
    aState.mOperation == operation::Submit && !aState.mDiscoveringVersion && MayHaveRun(aState);
  if (aState.mRestarts >= kMaxRestarts || submitMayHaveRun) {
    return false;
  }
  return std::any_of(aState.mParts.begin(), aState.mParts.end(), [](const part_state& aPart) {
    return aPart.mVersionGone && aPart.mPhase == part_phase::Failed;
  });
}

// Advances a query after any change of its state: releases and places parts, then restarts the
// query, finishes it, or stores it to wait for the next fact.
void query_controller::AdvanceQuery(query_state aState)
{
  if (aState.mRestarting) {
    return;
  }
  aState = ResolveSubmitParts(std::move(aState));
  aState = ReleaseParts(std::move(aState));
  aState = PlaceReadyParts(mContext, mHooks, std::move(aState));
  // If a part has no other replica for the version, the whole query restarts on another snapshot.
  if (NeedsRestart(aState)) {
    Restart(aState, "index version " + std::to_string(aState.mVersion) + " is gone");
    return;
  }
  if (IsFinished(aState)) {
    Finish(std::move(aState));
    return;
  }
  Store(std::move(aState));
}

void query_controller::Restart(query_state aState, const std::string& aWhy)
{
  for (std::size_t i = 0; i < aState.mParts.size(); ++i) {
    aState = CancelAttempts(mContext, std::move(aState), i);
  }
  // The search that discovers the version does not run the submit.
  aState.mMayHaveRunEarlier = MayHaveRun(aState) && !aState.mDiscoveringVersion;
  aState.mDiscoveringVersion = false;
  ++aState.mRestarts;
  aState.mRestarting = true;
  mContext.Count("query.restarts");
  Log(aState, "restarts: " + aWhy);
  mContext.After(kRestartDelay, QueryKey(aState.mNumber), restart_query{ aState.mRestarts });
  Store(std::move(aState));
}

void query_controller::OnReply(const std::string& aKey, const part_reply& aReply)
{
  const auto state = mBoard.Read<query_state>(aKey);
  if (!state || aReply.mAttempt.mOrigin != OriginOf(mContext.mConfig)) {
    return;
  }
  const std::optional<attempt_index> index = FindAttempt(*state, aReply.mAttempt.mNumber);
  if (!index) {
    return;
  }
  const part_state& part = state->mParts[index->mPart];
  const attempt_state& attempt = part.mAttempts[index->mAttempt];
  if (!attempt.mOpen || attempt.mServer != aReply.mServer) {
    return;
  }
  CloseAttempt(mContext, attempt, aReply.mFailure);
  if (state->mDiscoveringVersion && aReply.mResult == part_result::Answered) {
    if (state->mRestarts >= kMaxRestarts) {
      Refuse(*state,
             outcome::NotRun,
             { "discover index version", aReply.mServer, "the index version changes too often" });
    } else {
      Restart(*state, "the index version is now known");
    }
    return;
  }
  if (aReply.mResult == part_result::Answered) {
    const micros elapsed = mContext.Now() - attempt.mSentAt;
    mBoard.Update<latency_record>(LatencyKey(part), [elapsed](const latency_record* aOld) {
      return std::optional(AddLatency(aOld != nullptr ? *aOld : latency_record{}, elapsed));
    });
  }
  query_state next = ApplyReply(*state, aReply, mHooks.mCheckReply);
  if (next.mParts[index->mPart].mPhase == part_phase::Answered) {
    next = CancelAttempts(mContext, std::move(next), index->mPart);
  } else if (aReply.mResult != part_result::Answered ||
             next.mParts[index->mPart].mPhase == part_phase::Ready) {
    Log(next,
        "part " + part.mShard + " on " + aReply.mServer +
          " failed: " + next.mParts[index->mPart].mReason.mText,
        log_level::Warning);
  }
  // A hedge that a gate refused reached no server, so the part is hedged through another holder.
  const attempt_state& closed = next.mParts[index->mPart].mAttempts[index->mAttempt];
  if (closed.mHedge && aReply.mResult == part_result::NotRun &&
      next.mParts[index->mPart].mPhase == part_phase::Running) {
    RepeatHedge(next, index->mPart);
  }
  if (CountConnectionLosses(next) > 0 || IsSuspect(next.mFingerprint)) {
    ReportRunResult(next, false);
  }
  AdvanceQuery(std::move(next));
}

void query_controller::RepeatHedge(query_state& aState, std::size_t aPart)
{
  for (const attempt_state& attempt : aState.mParts[aPart].mAttempts) {
    if (attempt.mOpen) {
      AddTokens(mBoard, kHedgeBudgetKey, 1.0);
      --aState.mHedges;
      mBoard.Post(QueryKey(aState.mNumber), hedge_due{ attempt.mNumber });
      return;
    }
  }
}

void query_controller::OnHedgeDue(const std::string& aKey, const hedge_due& aFact)
{
  const auto state = mBoard.Read<query_state>(aKey);
  if (!state) {
    return;
  }
  const std::optional<attempt_index> index = FindAttempt(*state, aFact.mAttempt);
  if (!index || !state->mParts[index->mPart].mAttempts[index->mAttempt].mOpen ||
      state->mParts[index->mPart].mPhase != part_phase::Running) {
    return;
  }
  mBoard.Write(aKey, PlaceHedge(mContext, mHooks, *state, index->mPart));
}

void query_controller::OnDeadline(const std::string& aKey)
{
  EndQuery(aKey, { "gather", "", "no reply before the deadline" });
}

void query_controller::OnAnswerNow(const std::string& aKey)
{
  EndQuery(aKey, { "gather", "", "no reply before the daemon stopped" });
}

void query_controller::EndQuery(const std::string& aKey, const reason& aReason)
{
  if (const auto state = mBoard.Read<query_state>(aKey)) {
    Finish(FailOpenParts(*state, aReason));
  }
}

void query_controller::OnRetryPlacement(const std::string& aKey)
{
  if (const auto state = mBoard.Read<query_state>(aKey)) {
    AdvanceQuery(*state);
  }
}

void query_controller::OnRestart(const std::string& aKey, const restart_query& aFact)
{
  const auto state = mBoard.Read<query_state>(aKey);
  if (!state || state->mRestarts != aFact.mRestart) {
    return;
  }
  const auto tables = mBoard.Read<tables_in_force>(kTablesKey);
  const route_spec* route = tables->FindRoute(state->mRequest.mRoute);
  if (route == nullptr) {
    Finish(FailOpenParts(*state, { "plan", "", "the route no longer exists" }));
    return;
  }
  query_state next = *state;
  next.mRestarting = false;
  Serve(std::move(next), *route, *tables);
}

void query_controller::OnCallerDisconnected(const std::string& aKey)
{
  const auto state = mBoard.Read<query_state>(aKey);
  if (!state) {
    return;
  }
  if (state->mOperation == operation::Submit) {
    return; // runs to its end, so that a repeat of the key gets a known result
  }
  Log(*state, "is dropped, the caller closed its connection");
  query_state dropped = *state;
  for (std::size_t i = 0; i < dropped.mParts.size(); ++i) {
    dropped = CancelAttempts(mContext, std::move(dropped), i);
  }
  mBoard.Erase<query_state>(aKey);
}

void query_controller::OnForwardedAnswer(const std::string& aKey, const forwarded_answer& aFact)
{
  const auto state = mBoard.Read<query_state>(aKey);
  if (state && state->mForwardedTo == aFact.mFrom) {
    Deliver(*state, aFact.mAnswer);
  }
}

void query_controller::OnKeyFinished(const std::string& aKey, const query_answer& aAnswer)
{
  if (const auto state = mBoard.Read<query_state>(aKey)) {
    Deliver(*state, aAnswer);
  }
}

void query_controller::OnPeerChange(const std::string& aKey)
{
  const auto peer = mBoard.Read<peer_state>(aKey);
  if (!peer || peer->mConnected) {
    return;
  }
  for (const auto& [key, state] : mBoard.List<query_state>()) {
    mBoard.Post(key, peer_disconnected{ peer->mVm });
  }
}

// Attempts sent to the VM may have run, since messages in flight may have arrived there.
void query_controller::OnPeerDisconnected(const std::string& aKey, const peer_disconnected& aFact)
{
  const auto state = mBoard.Read<query_state>(aKey);
  if (!state) {
    return;
  }
  if (state->mForwardedTo == aFact.mVm) {
    if (state->mOperation == operation::Submit) {
      Refuse(*state,
             outcome::Unknown,
             { "forward query", aFact.mVm, "the stream to the home process was lost" });
      return;
    }
    const auto tables = mBoard.Read<tables_in_force>(kTablesKey);
    if (const route_spec* route = tables->FindRoute(state->mRequest.mRoute)) {
      query_state own = *state;
      own.mForwardedTo.clear();
      own.mMayHaveRunEarlier = true;
      Serve(std::move(own), *route, *tables);
    }
    return;
  }
  for (const part_state& part : state->mParts) {
    for (const attempt_state& attempt : part.mAttempts) {
      if (attempt.mOpen && attempt.mHolder == aFact.mVm) {
        part_reply reply;
        reply.mAttempt = { OriginOf(mContext.mConfig), attempt.mNumber };
        reply.mResult = part_result::Unknown;
        reply.mFailure = part_failure::Silent;
        reply.mServer = attempt.mServer;
        reply.mShard = part.mShard;
        reply.mReason = { "forward part", aFact.mVm, "the stream to the permit holder was lost" };
        mBoard.Post(aKey, attempt_finished{ std::move(reply) });
      }
    }
  }
}

void query_controller::ReportRunResult(const query_state& aState, bool aFinished)
{
  suspect_run_result runResult;
  runResult.mFingerprint = aState.mFingerprint;
  runResult.mHarmless = IsHarmless(aState);
  if (!runResult.mHarmless && !aFinished) {
    return;
  }
  for (const part_state& part : aState.mParts) {
    for (const attempt_state& attempt : part.mAttempts) {
      if (attempt.mFailure == part_failure::ConnectionLost) {
        runResult.mServersLost.insert(attempt.mServer);
      }
    }
  }
  mBoard.Post(kSuspectsKey, std::move(runResult));
}

void query_controller::Finish(query_state aState)
{
  for (std::size_t i = 0; i < aState.mParts.size(); ++i) {
    aState = CancelAttempts(mContext, std::move(aState), i);
  }
  for (part_state& part : aState.mParts) {
    if (part.mPhase != part_phase::Answered) {
      part.mPhase = part_phase::Failed;
    }
  }
  if (CountConnectionLosses(aState) > 0) {
    ReportRunResult(aState, true);
  }
  query_answer answer = MakeAnswer(aState);
  if (aState.mDiscoveringVersion && !aState.mMayHaveRunEarlier) {
    answer.mOutcome = outcome::NotRun;
  }
  if (aState.mParts.empty()) {
    // Forwarded, waiting for another query with the same request key, or planned without any part.
    const bool elsewhere = !aState.mForwardedTo.empty() || aState.mOperation == operation::Submit;
    answer.mOutcome = elsewhere ? outcome::Unknown : outcome::NotRun;
    answer.mReason = { "gather", aState.mForwardedTo, "no reply before the deadline" };
  }
  Deliver(aState, std::move(answer));
}

void query_controller::Refuse(const query_state& aState, outcome aOutcome, reason aReason)
{
  query_answer answer;
  answer.mOutcome = aOutcome;
  answer.mReason = std::move(aReason);
  Deliver(aState, std::move(answer));
}

// Stores the answer for repeats of the request key and sends it to the queries that wait for it.
// A key whose request did not run is erased, so that it can be used again.
void query_controller::CompleteRequestKey(const query_state& aState, const query_answer& aAnswer)
{
  if (aState.mOperation != operation::Submit) {
    return;
  }
  const std::string key = KeyRecordKey(aState.mRequest.mRequestKey);
  const auto keyRecord = mBoard.Read<key_record>(key);
  if (!keyRecord || keyRecord->mPhase == key_phase::Done || keyRecord->mQuery != aState.mNumber) {
    return;
  }
  std::vector<std::uint64_t> waiting;
  mBoard.Update<key_record>(key, [&](const key_record* aOld) {
    key_record next = *aOld;
    waiting = next.mWaiting;
    next.mWaiting.clear();
    next.mPhase = key_phase::Done;
    next.mAnswer = aAnswer;
    return std::optional(next);
  });
  for (const std::uint64_t number : waiting) {
    mBoard.Post(QueryKey(number), key_finished{ aAnswer });
  }
  if (aAnswer.mOutcome == outcome::NotRun) {
    mBoard.Erase<key_record>(key);
  }
}

void query_controller::Deliver(const query_state& aState, query_answer aAnswer)
{
  CompleteRequestKey(aState, aAnswer);
  mContext.Count(std::string("query.") + ToString(aAnswer.mOutcome));
  Log(aState,
      std::string(ToString(aAnswer.mOutcome)) + ", covers " +
        std::to_string(aAnswer.mCoverage.mCovered) + " of " +
        std::to_string(aAnswer.mCoverage.mTotal) + " positions" +
        (aAnswer.mReason.mText.empty() ? "" : "; " + Describe(aAnswer.mReason)),
      aAnswer.mOutcome == outcome::Complete ? log_level::Info : log_level::Warning);
  mBoard.Erase<query_state>(QueryKey(aState.mNumber));
  if (aState.mReplyTo.empty()) {
    mContext.Emit(answer_query{ aState.mNumber, std::move(aAnswer) });
  } else {
    SendToPeer(
      mContext, aState.mReplyTo, query_answer_message{ aState.mReplyNumber, std::move(aAnswer) });
  }
}

} // namespace

void AddQueryController(core_context& aContext, const query_hooks& aHooks)
{
  const auto controller = std::make_shared<query_controller>(aContext, aHooks);
  blackboard& board = aContext.mBoard;
  using key = const std::string&;
  board.OnFact<query_arrived>(
    [controller](key aKey, const query_arrived& aFact) { controller->OnArrival(aKey, aFact); });
  board.OnFact<forwarded_query>([controller](key aKey, const forwarded_query& aFact) {
    controller->OnForwardedQuery(aKey, aFact);
  });
  board.OnFact<attempt_finished>([controller](key aKey, const attempt_finished& aFact) {
    controller->OnReply(aKey, aFact.mReply);
  });
  board.OnFact<received<part_reply_message>>(
    [controller, &board](key aKey, const received<part_reply_message>& aFact) {
      const part_reply& reply = aFact.mMessage.mReply;
      if (reply.mEvidence) {
        board.Post(reply.mServer, server_evidence_received{ reply.mServer, *reply.mEvidence });
      }
      controller->OnReply(aKey, reply);
    });
  board.OnFact<hedge_due>(
    [controller](key aKey, const hedge_due& aFact) { controller->OnHedgeDue(aKey, aFact); });
  board.OnFact<query_deadline>(
    [controller](key aKey, const query_deadline&) { controller->OnDeadline(aKey); });
  board.OnFact<answer_now>(
    [controller](key aKey, const answer_now&) { controller->OnAnswerNow(aKey); });
  board.OnFact<retry_placement>(
    [controller](key aKey, const retry_placement&) { controller->OnRetryPlacement(aKey); });
  board.OnFact<restart_query>(
    [controller](key aKey, const restart_query& aFact) { controller->OnRestart(aKey, aFact); });
  board.OnFact<caller_disconnected>(
    [controller](key aKey, const caller_disconnected&) { controller->OnCallerDisconnected(aKey); });
  board.OnFact<forwarded_answer>([controller](key aKey, const forwarded_answer& aFact) {
    controller->OnForwardedAnswer(aKey, aFact);
  });
  board.OnFact<received<query_answer_message>>([&aContext](
                                                 key, const received<query_answer_message>& aFact) {
    const std::uint64_t number = ForwardedNumber(aFact.mMessage.mNumber, aContext.mConfig);
    aContext.mBoard.Post(QueryKey(number), forwarded_answer{ aFact.mFrom, aFact.mMessage.mAnswer });
  });
  board.OnFact<key_finished>([controller](key aKey, const key_finished& aFact) {
    controller->OnKeyFinished(aKey, aFact.mAnswer);
  });
  board.OnFact<peer_disconnected>([controller](key aKey, const peer_disconnected& aFact) {
    controller->OnPeerDisconnected(aKey, aFact);
  });
  board.OnChange<peer_state>([controller](key aKey) { controller->OnPeerChange(aKey); });
  board.OnFact<received<forward_query_message>>([&aContext](
                                                  key,
                                                  const received<forward_query_message>& aFact) {
    const std::uint64_t number = aContext.NextNumber() | kForwardedQueryBit;
    aContext.mBoard.Post(QueryKey(number), forwarded_query{ number, aFact.mFrom, aFact.mMessage });
  });
}

} // namespace redwingdock
