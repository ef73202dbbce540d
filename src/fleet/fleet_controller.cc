#include "fleet/fleet_controller.h"

#include "base/log_text.h"
#include "core/controller_facts.h"
#include "fleet/members.h"
#include "follow/follow_state.h"
#include "forward/client_timeout.h"
#include "forward/crash_record.h"
#include "forward/forward_state.h"

#include <algorithm>
#include <utility>

namespace redwingdock {

namespace {

constexpr micros kStopCheck = std::chrono::milliseconds(50);
// Requests that had arrived when the caller connections were closed may not have been read yet.
constexpr micros kReadGrace = std::chrono::milliseconds(400);

struct heartbeat_due
{
  auto operator<=>(const heartbeat_due&) const = default;
};

// Fact: checks whether the daemon can stop. mStopRequestedAt is the time of the stop signal.
struct stop_check
{
  instant mStopRequestedAt{};
  bool mCallersClosed = false; // close_callers has been emitted
  bool mUnusedClosed = false;  // also for connections without a request
  bool mEnding = false;        // exit_process has been emitted

  auto operator<=>(const stop_check&) const = default;
};

struct catalog_changed
{
  auto operator<=>(const catalog_changed&) const = default;
};

fleet_view ReadView(core_context& aContext)
{
  const auto view = aContext.mBoard.Read<fleet_view>(kFleetKey);
  return view ? *view : fleet_view{};
}

void LogIfChanged(core_context& aContext,
                  const fleet_view& aBefore,
                  const fleet_view& aAfter,
                  const daemon_state& aSender)
{
  const auto present = aAfter.mMembers.find(aSender.mVm);
  if (present == aAfter.mMembers.end() || present->second.mState != aSender) {
    return; // WithHeartbeat ignored it
  }
  const auto old = aBefore.mMembers.find(aSender.mVm);
  const bool wasLive = old != aBefore.mMembers.end() && old->second.mSilentAt >= aContext.Now();
  if (wasLive && old->second.mState.mIncarnation == aSender.mIncarnation &&
      old->second.mState.mServing == aSender.mServing &&
      old->second.mState.mCallAddress == aSender.mCallAddress) {
    return;
  }
  aContext.Log(
    "members",
    "event=heard vm=" + aSender.mVm + " incarnation=" + std::to_string(aSender.mIncarnation) +
      " serving=" + (aSender.mServing ? "yes" : "no") + " address=" + aSender.mCallAddress);
}

// Limit on refused fingerprints in a heartbeat, so that it fits one datagram. The latest refusals
// matter most, and repeats of the request renew them.
constexpr std::size_t kMaxRefused = 32;
constexpr std::size_t kMaxCrashes = 16;
// Number of peers in a heartbeat to a daemon that has just started, which needs all of them, and in
// other heartbeats. The others learn of missing peers over several heartbeats.
constexpr std::size_t kPeersForNewDaemon = 64;
constexpr std::size_t kPeersPerHeartbeat = 3;

// Timeouts of routes in a heartbeat, chosen at random; the others follow in later heartbeats.
constexpr std::size_t kTimeoutsPerHeartbeat = 6;

// Adds the refusals of crashing requests and, for requests that are not refused yet, the replicas
// that crashed.
void AddCrashEvidence(core_context& aContext, heartbeat& aSent)
{
  const instant now = aContext.Now();
  for (const auto& [key, suspects] : aContext.mBoard.List<crash_suspects>()) {
    for (const auto& [fingerprint, record] : suspects->mRecords) {
      if (record.mRefusedUntil > now) {
        if (aSent.mRefused.size() < kMaxRefused) {
          aSent.mRefused.push_back({ fingerprint, record.mRefusedUntil - now });
        }
        continue;
      }
      for (const lost_replica& lost : record.mLost) {
        if (lost.mEnded && lost.mUntil > now && aSent.mCrashes.size() < kMaxCrashes) {
          aSent.mCrashes.push_back({ fingerprint, lost.mId, lost.mBornMs, lost.mUntil - now });
        }
      }
    }
  }
}

heartbeat MakeHeartbeat(core_context& aContext,
                        const fleet_view& aView,
                        std::size_t aPeers,
                        std::vector<member_report> aMembers = {})
{
  const auto random = [&aContext](std::uint64_t aBelow) { return aContext.Random(aBelow); };
  heartbeat sent;
  sent.mSender = aView.mSelf;
  sent.mPeers = RandomSample(LivePeers(aView, aContext.Now()), aPeers, random);
  sent.mMembers = std::move(aMembers);
  AddCrashEvidence(aContext, sent);
  if (const auto copy = aContext.mBoard.Read<follow_state>(kStoreKey)) {
    sent.mStore = { copy->mAsOf, copy->mConfirmations };
  }
  std::vector<std::string> keys;
  const auto timeouts = aContext.mBoard.List<client_timeout_record>();
  for (const auto& [key, record] : timeouts) {
    if (ReportOf({}, *record, aContext.Now()).mTimeout > micros(0)) {
      keys.push_back(key);
    }
  }
  for (const std::string& key : RandomSample(std::move(keys), kTimeoutsPerHeartbeat, random)) {
    sent.mTimeouts.push_back(
      ReportOf(RouteOfClientTimeoutKey(key), *timeouts.at(key), aContext.Now()));
  }
  return sent;
}

// Sends heartbeats to all daemons, at each interval of a small fleet and at changes of this
// daemon's state.
void SendToAll(core_context& aContext, const fleet_view& aView)
{
  const heartbeat sent = MakeHeartbeat(aContext, aView, kPeersPerHeartbeat);
  for (const auto& [address, since] : aView.mAddresses) {
    aContext.Emit(send_heartbeat{ address, sent });
  }
}

// Sends the heartbeats of one interval. Returns the view with what was passed on marked as such.
fleet_view SendHeartbeats(core_context& aContext, const fleet_view& aView)
{
  if (!UsesZoneReports(aView, *aContext.ForwardConfig())) {
    SendToAll(aContext, aView);
    return aView;
  }
  const instant now = aContext.Now();
  const heartbeat_targets targets =
    ZoneTargets(aView, now, [&aContext](std::uint64_t aBelow) { return aContext.Random(aBelow); });
  const auto send = [&aContext](const std::vector<std::string>& aAddresses,
                                const heartbeat& aSent) {
    for (const std::string& address : aAddresses) {
      aContext.Emit(send_heartbeat{ address, aSent });
    }
  };
  const std::vector<member_report> relayed = ReportsToRelay(aView, now);
  send(targets.mOwnZone, MakeHeartbeat(aContext, aView, 0, relayed));
  send(targets.mOtherZones, MakeHeartbeat(aContext, aView, 0, ReportsOfOwnZone(aView, now)));
  send(targets.mUnknown, MakeHeartbeat(aContext, aView, kPeersPerHeartbeat));
  return WithRelayed(aView, relayed);
}

fleet_view WithUpdatedSelf(core_context& aContext, fleet_view aView)
{
  const core_config& config = aContext.mConfig;
  const auto known = aContext.mBoard.Read<catalog>(kCatalogKey);
  const bool serving = known && known->mVersion > 0 && !known->mReplicas.empty();
  aView.mSelf = { config.mVm,
                  std::stoull(config.mIncarnation),
                  config.mAddress,
                  config.mCallAddress,
                  config.mZone,
                  serving && !aView.mLeaving,
                  HeartbeatInterval(aView.mAddresses.size(), *aContext.ForwardConfig()),
                  aView.mSelf.mBeat };
  const auto live = static_cast<std::uint32_t>(LivePeers(aView, aContext.Now()).size()) + 1;
  aView.mMaxLiveDaemons = std::max(aView.mMaxLiveDaemons, live);
  return aView;
}

void OnHeartbeatDue(core_context& aContext)
{
  const auto config = aContext.ForwardConfig();
  fleet_view view = ReadView(aContext);
  for (const std::string& address : config->mPeers) {
    if (address != aContext.mConfig.mAddress) {
      view.mAddresses.emplace(address, aContext.Now());
    }
  }
  view = WithUpdatedSelf(aContext,
                         WithoutSilent(view, config->mPeers, aContext.Now() - config->mAddressTtl));
  for (const auto& [vm, member] : view.mMembers) {
    const instant due = member.mSilentAt;
    if (due < aContext.Now() && due + view.mSelf.mInterval >= aContext.Now()) {
      aContext.Log("members", "event=silent vm=" + vm, log_level::Warning);
    }
  }
  ++view.mSelf.mBeat;
  view = SendHeartbeats(aContext, view);
  aContext.After(view.mSelf.mInterval, kFleetKey, heartbeat_due{});
  aContext.mBoard.Write(kFleetKey, std::move(view));
}

void OnHeartbeat(core_context& aContext, const heartbeat& aHeartbeat)
{
  const fleet_view before = ReadView(aContext);
  fleet_view next = WithUpdatedSelf(
    aContext, WithHeartbeat(before, aHeartbeat, *aContext.ForwardConfig(), aContext.Now()));
  LogIfChanged(aContext, before, next, aHeartbeat.mSender);
  // Replies to a daemon that has just started, which then need not wait for the next heartbeat.
  const daemon_state& sender = aHeartbeat.mSender;
  const auto old = before.mMembers.find(sender.mVm);
  if (sender.mVm != next.mSelf.mVm &&
      (old == before.mMembers.end() || old->second.mState.mIncarnation != sender.mIncarnation)) {
    aContext.Emit(send_heartbeat{
      sender.mPeerAddress,
      MakeHeartbeat(aContext, next, kPeersForNewDaemon, ReportsOfAll(next, aContext.Now())) });
  }
  aContext.mBoard.Write(kFleetKey, std::move(next));
}

void OnCatalogChanged(core_context& aContext)
{
  const fleet_view before = ReadView(aContext);
  fleet_view next = WithUpdatedSelf(aContext, before);
  if (before.mSelf.mServing != next.mSelf.mServing) {
    aContext.Log("entry", std::string("event=serving now=") + (next.mSelf.mServing ? "yes" : "no"));
    ++next.mSelf.mBeat;
    SendToAll(aContext, next);
  }
  aContext.mBoard.Write(kFleetKey, std::move(next));
}

void OnEntryRequested(core_context& aContext, const entry_requested& aFact)
{
  const fleet_view view = ReadView(aContext);
  std::vector<std::string> addresses = CallAddresses(view, aContext.Now());
  aContext.Count("entry.answers");
  if (addresses.empty()) {
    aContext.Log("entry", "event=no_address caller_zone=" + aFact.mZone, log_level::Warning);
    aContext.Emit(
      answer_entry{ aFact.mEntryRequest,
                    Failure<entry_answer>("choose address", "", "no daemon is known to serve") });
    return;
  }
  entry_answer answer;
  answer.mLifetime = aContext.ForwardConfig()->mEntryLifetime;
  answer.mAddresses = std::move(addresses);
  aContext.Emit(answer_entry{ aFact.mEntryRequest, Success(std::move(answer)) });
}

void OnStopRequested(core_context& aContext)
{
  fleet_view view = ReadView(aContext);
  if (view.mLeaving) {
    return;
  }
  view.mLeaving = true;
  const stop_budget budget = aContext.ForwardConfig()->mStop;
  view.mLastForwardAt = aContext.Now() + budget.mLastForward;
  view.mFinalAnswersAt = aContext.Now() + budget.mFinalAnswers;
  view.mFlushUntil = aContext.Now() + budget.mFlush;
  view = WithUpdatedSelf(aContext, std::move(view));
  aContext.Log("entry",
               "event=stop_begun open_requests=" + std::to_string(OpenRequests(aContext.mBoard)) +
                 " limit_ms=" + MsText(budget.mFinalAnswers) +
                 " flush_ms=" + MsText(budget.mFlush) + " grace_ms=" + MsText(budget.mGrace));
  ++view.mSelf.mBeat;
  SendToAll(aContext, view);
  aContext.mBoard.Write(kFleetKey, std::move(view));
  aContext.After(kStopCheck, kFleetKey, stop_check{ aContext.Now() });
}

void AnswerOpenRequests(core_context& aContext)
{
  for (const auto& [key, state] : aContext.mBoard.List<forward_state>()) {
    aContext.mBoard.Post(key, answer_now{});
  }
}

// Lets the process exit. It waits for what clients are still sending, which is forwarded as before.
void EndStop(core_context& aContext, std::size_t aOpenRequests)
{
  aContext.Log("entry", "event=stop_done open_requests=" + std::to_string(aOpenRequests));
  const fleet_view view = ReadView(aContext);
  aContext.Emit(exit_process{ view.mFinalAnswersAt, view.mFlushUntil });
}

void OnStopCheck(core_context& aContext, stop_check aFact)
{
  const auto config = aContext.ForwardConfig();
  const micros elapsed = aContext.Now() - aFact.mStopRequestedAt;
  if (elapsed >= config->mStop.mLinger && !aFact.mCallersClosed) {
    aFact.mCallersClosed = true;
    aContext.Log("entry", "event=callers_closed");
    aContext.Emit(close_callers{});
  }
  // Requests that were read before their connection was closed have arrived by the next check.
  const bool settled = aFact.mUnusedClosed;
  if (!settled && elapsed >= config->mStop.mLinger + kReadGrace) {
    aFact.mUnusedClosed = true;
    aContext.Emit(close_callers{ true });
  }
  const std::size_t open = OpenRequests(aContext.mBoard);
  const bool due = aContext.Now() >= ReadView(aContext).mFinalAnswersAt;
  if (due && open > 0) {
    // Also after the first check: a request that was admitted before it may be written after it.
    aContext.Log("entry", "event=final_answers open_requests=" + std::to_string(open));
    AnswerOpenRequests(aContext);
  }
  if (!aFact.mEnding && (due || (settled && open == 0))) {
    aFact.mEnding = true;
    EndStop(aContext, open);
  }
  aContext.After(kStopCheck, kFleetKey, aFact);
}

} // namespace

void AddFleetController(core_context& aContext)
{
  blackboard& board = aContext.mBoard;
  board.OnFact<heartbeat_due>(
    [&aContext](const std::string&, const heartbeat_due&) { OnHeartbeatDue(aContext); });
  board.OnFact<heartbeat_received>(
    [&aContext](const std::string&, const heartbeat_received& aFact) {
      OnHeartbeat(aContext, aFact.mHeartbeat);
    });
  board.OnFact<entry_requested>([&aContext](const std::string&, const entry_requested& aFact) {
    OnEntryRequested(aContext, aFact);
  });
  // stop_requested and catalog changes arrive under other keys and are posted to kFleetKey, so that
  // they are processed in order with the other facts of the fleet.
  board.OnFact<stop_requested>([&aContext](const std::string& aKey, const stop_requested& aFact) {
    if (aKey == kFleetKey) {
      OnStopRequested(aContext);
    } else {
      aContext.mBoard.Post(kFleetKey, aFact);
    }
  });
  board.OnChange<catalog>(
    [&aContext](const std::string&) { aContext.mBoard.Post(kFleetKey, catalog_changed{}); });
  board.OnFact<catalog_changed>(
    [&aContext](const std::string&, const catalog_changed&) { OnCatalogChanged(aContext); });
  board.OnFact<stop_check>(
    [&aContext](const std::string&, const stop_check& aFact) { OnStopCheck(aContext, aFact); });
  aContext.After(micros(0), kFleetKey, heartbeat_due{});
}

} // namespace redwingdock
