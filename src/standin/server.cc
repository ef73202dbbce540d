#include "standin/server.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace redwingdock::standin {

namespace {

// The next state and the commands while an event is processed.
struct step_context
{
  server_state mState;
  std::vector<server_command> mCommands;
  instant mNow;
};

// Returns the next number of a splitmix64 generator, uniform in [0, 1).
double NextUniform(server_state& aState)
{
  aState.mRandomState += 0x9e3779b97f4a7c15ULL;
  std::uint64_t bits = aState.mRandomState;
  bits = (bits ^ (bits >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  bits = (bits ^ (bits >> 27U)) * 0x94d049bb133111ebULL;
  bits ^= bits >> 31U;
  return static_cast<double>(bits >> 11U) * 0x1.0p-53;
}

// Returns true with the probability aShare; draws no number for 0.
bool NextBernoulli(server_state& aState, double aShare)
{
  return aShare > 0 && NextUniform(aState) < aShare;
}

// Draws the time from receipt to reply, as described in behaviour.
micros ServiceTime(server_state& aState, const std::string& aCallerZone)
{
  const behaviour& config = aState.mBehaviour;
  const double normal = std::sqrt(-2 * std::log(1 - NextUniform(aState))) *
                        std::cos(2 * std::numbers::pi * NextUniform(aState));
  double service = static_cast<double>(config.mServiceMedian.count()) *
                   std::exp(config.mServiceSigma * normal) *
                   (aState.mWarm ? 1 : config.mColdFactor) *
                   (1 + config.mLoadFactor * static_cast<double>(aState.mParts.size()));
  // One hour: no setting can overflow the integer of microseconds.
  service = std::min(service, 3.6e9);
  micros total = micros(static_cast<micros::rep>(service)) + config.mLatency;
  if (NextBernoulli(aState, config.mStragglerShare)) {
    total += config.mStragglerLatency;
  }
  if (!aCallerZone.empty() && aCallerZone != aState.mSpec.mZone) {
    total += 2 * config.mZoneLatency;
  }
  return total;
}

server_evidence Evidence(const server_state& aState)
{
  server_mode mode = server_mode::Warm;
  if (aState.mBehaviour.mDrain != drain_mode::Off) {
    mode = server_mode::Draining;
  } else if (!aState.mWarm && aState.mBehaviour.mReportsCold) {
    mode = server_mode::Cold;
  }
  return { InstanceName(aState), mode, aState.mBehaviour.mVersions };
}

bool IsSilent(const step_context& aContext, std::uint64_t aConnection)
{
  const auto found = aContext.mState.mConnections.find(aConnection);
  return found != aContext.mState.mConnections.end() && found->second.mSilent;
}

// Returns whether the request reaches the server, and counts it when it is lost. A request on an
// unknown connection was sent before a crash reset that connection.
bool ReceiveRequest(step_context& aContext, std::uint64_t aConnection)
{
  if (aContext.mState.mConnections.count(aConnection) == 0) {
    return false;
  }
  if (IsSilent(aContext, aConnection) &&
      aContext.mState.mBehaviour.mSilence == silence_mode::Requests) {
    ++aContext.mState.mCounts.mSwallowed;
    return false;
  }
  return true;
}

// Sends a reply unless its connection is closed or silent.
template<typename T>
void Send(step_context& aContext, T aReply)
{
  if (IsSilent(aContext, aReply.mConnection)) {
    ++aContext.mState.mCounts.mSwallowed;
  } else if (aContext.mState.mConnections.count(aReply.mConnection) != 0) {
    aContext.mCommands.emplace_back(std::move(aReply));
  }
}

void StopServing(step_context& aContext, server_phase aPhase, std::string aCause)
{
  aContext.mState.mPhase = aPhase;
  aContext.mState.mConnections.clear();
  aContext.mState.mParts.clear();
  aContext.mCommands.emplace_back(
    stop_listening{ InstanceName(aContext.mState), std::move(aCause) });
}

void Crash(step_context& aContext, std::string aCause)
{
  ++aContext.mState.mCounts.mCrashes;
  StopServing(aContext, server_phase::Restarting, std::move(aCause));
  aContext.mCommands.emplace_back(schedule_event{
    aContext.mState.mBehaviour.mRestartDelay, restart_timer_expired{ aContext.mState.mInstance } });
}

void BecomeCold(step_context& aContext)
{
  aContext.mState.mWarm = false;
  aContext.mState.mColdSince = aContext.mNow;
  aContext.mState.mColdReplies = 0;
}

void Start(step_context& aContext)
{
  ++aContext.mState.mInstance;
  aContext.mState.mPhase = server_phase::Up;
  BecomeCold(aContext);
  aContext.mCommands.emplace_back(start_listening{});
}

void MakeSilent(step_context& aContext, std::uint64_t aConnection)
{
  aContext.mState.mConnections[aConnection].mSilent = true;
  aContext.mCommands.emplace_back(
    schedule_event{ aContext.mState.mBehaviour.mSilentHold, silence_timer_expired{ aConnection } });
}

void Handle(step_context& aContext, const connection_opened& aEvent)
{
  server_state& state = aContext.mState;
  if (state.mPhase != server_phase::Up) {
    aContext.mCommands.emplace_back(drop_connection{ aEvent.mConnection });
    return;
  }
  const auto requested = static_cast<std::uint32_t>(state.mConnections.size() + 1);
  state.mCounts.mPeakConnections = std::max(state.mCounts.mPeakConnections, requested);
  if (requested > state.mBehaviour.mConnectionLimit) {
    ++state.mCounts.mConnectionsRefused;
    aContext.mCommands.emplace_back(drop_connection{ aEvent.mConnection });
    return;
  }
  ++state.mCounts.mConnectionsOpened;
  state.mConnections[aEvent.mConnection] = {};
  if (NextBernoulli(state, state.mBehaviour.mSilentShare)) {
    MakeSilent(aContext, aEvent.mConnection);
  }
  aContext.mCommands.emplace_back(
    serve_connection{ aEvent.mConnection, state.mBehaviour.mConnectCost });
}

void Handle(step_context& aContext, const connection_closed& aEvent)
{
  // The server does not see the close of a silent connection, so it stays counted.
  if (!IsSilent(aContext, aEvent.mConnection)) {
    aContext.mState.mConnections.erase(aEvent.mConnection);
  }
}

void Handle(step_context& aContext, const silence_timer_expired& aEvent)
{
  if (aContext.mState.mConnections.erase(aEvent.mConnection) != 0) {
    aContext.mCommands.emplace_back(drop_connection{ aEvent.mConnection });
  }
}

void Refuse(step_context& aContext,
            const part_arrived& aPart,
            std::string aRefusal,
            std::string aText)
{
  ++(aRefusal == "shed" ? aContext.mState.mCounts.mShed : aContext.mState.mCounts.mRefused);
  Send(aContext,
       reply_refusal{ aPart.mConnection,
                      aPart.mCall.mAttempt,
                      aContext.mState.mSpec.mName,
                      aContext.mState.mSpec.mShard,
                      true,
                      std::move(aRefusal),
                      std::move(aText),
                      Evidence(aContext.mState) });
}

// Returns the requested index version, or the newest one for 0.
std::optional<index_version> FindVersion(const server_state& aState, std::uint64_t aVersion)
{
  const std::vector<index_version>& versions = aState.mBehaviour.mVersions;
  if (aVersion == 0 && !versions.empty()) {
    return versions.back();
  }
  const auto found = std::find_if(versions.begin(), versions.end(), [&](const auto& aStored) {
    return aStored.mVersion == aVersion;
  });
  return found == versions.end() ? std::nullopt : std::optional(*found);
}

// Returns whether the shard owns the positions that the call needs in the partition map: any for a
// search, that of the record id for a submit.
bool OwnsPositions(const server_state& aState,
                   const received_part_request& aCall,
                   std::uint32_t aMap)
{
  const auto ranges = aState.mShard.mRanges.find(aMap);
  if (ranges == aState.mShard.mRanges.end()) {
    return false;
  }
  const auto id = aCall.mFilter.find("id");
  if (aCall.mOperation == operation::Search || id == aCall.mFilter.end()) {
    return aCall.mOperation == operation::Search;
  }
  const std::uint32_t position = PositionOf(id->second);
  return std::any_of(ranges->second.begin(), ranges->second.end(), [&](const auto& aRange) {
    return aRange.mFrom <= position && position < aRange.mTo;
  });
}

void Run(step_context& aContext, const part_arrived& aPart, index_version aVersion)
{
  server_state& state = aContext.mState;
  ++state.mCounts.mRun;
  aContext.mCommands.emplace_back(report_run{ aPart.mCall.mAttempt, aPart.mCall.mRequestKey });
  const auto crashValue = aPart.mCall.mFilter.find(state.mBehaviour.mCrashField);
  if (!state.mBehaviour.mCrashField.empty() && crashValue != aPart.mCall.mFilter.end() &&
      crashValue->second == state.mBehaviour.mCrashValue) {
    Crash(aContext,
          "crashed on attempt " + aPart.mCall.mAttempt +
            ", which matches crash_field and crash_value");
    return;
  }
  const micros service = ServiceTime(state, aPart.mCall.mCallerZone);
  const std::uint64_t partNumber = state.mNextPart++;
  state.mParts[partNumber] = {
    aPart.mConnection, aPart.mCall, aVersion, service > aPart.mCall.mRemaining
  };
  aContext.mCommands.emplace_back(schedule_event{
    std::min(service, aPart.mCall.mRemaining), part_timer_expired{ state.mInstance, partNumber } });
}

void Handle(step_context& aContext, const part_arrived& aPart)
{
  server_state& state = aContext.mState;
  const received_part_request& call = aPart.mCall;
  if (!ReceiveRequest(aContext, aPart.mConnection)) {
    return;
  }
  ++state.mCounts.mRequests;
  state.mCounts.mLastRequest = aContext.mNow;
  if (state.mBehaviour.mDrain != drain_mode::Off) {
    ++state.mCounts.mRequestsInDrain;
  }
  const auto requested = static_cast<std::uint32_t>(state.mParts.size() + 1);
  state.mCounts.mPeakParts = std::max(state.mCounts.mPeakParts, requested);
  if (call.mServer != state.mSpec.mName || call.mPool != state.mSpec.mPool ||
      call.mShard != state.mSpec.mShard) {
    Refuse(aContext, aPart, "wrong_target", "this server is " + state.mSpec.mName);
    return;
  }
  if (state.mBehaviour.mDrain == drain_mode::Refuse) {
    Refuse(aContext, aPart, "draining", "the server is draining");
    return;
  }
  const std::optional<index_version> version = FindVersion(state, call.mVersion);
  if (!version) {
    Refuse(aContext, aPart, "version_gone", "no index version " + std::to_string(call.mVersion));
    return;
  }
  if (!OwnsPositions(state, call, version->mMap)) {
    Refuse(aContext,
           aPart,
           "wrong_target",
           "the shard does not own the positions in partition map " +
             std::to_string(version->mMap));
    return;
  }
  if (call.mRemaining <= micros(0)) {
    Refuse(aContext, aPart, "deadline_passed", "the deadline has passed");
    return;
  }
  if (requested > Capacity(state, aContext.mNow)) {
    if (!state.mWarm) {
      ++state.mCounts.mColdOverloads;
      Crash(aContext,
            "crashed: overloaded while cold, capacity " +
              std::to_string(Capacity(state, aContext.mNow)) + " parts, received " +
              std::to_string(requested));
    } else {
      Refuse(aContext,
             aPart,
             "shed",
             std::to_string(requested) + " of " + std::to_string(state.mBehaviour.mSlots) +
               " slots");
    }
    return;
  }
  Run(aContext, aPart, *version);
}

// Refuses a part that was stopped while it ran.
void ReplyAborted(step_context& aContext,
                  const running_part& aPart,
                  const char* aRefusal,
                  const char* aText)
{
  Send(aContext,
       reply_refusal{ aPart.mConnection,
                      aPart.mCall.mAttempt,
                      aContext.mState.mSpec.mName,
                      aContext.mState.mSpec.mShard,
                      false,
                      aRefusal,
                      aText,
                      Evidence(aContext.mState) });
}

void Handle(step_context& aContext, const part_timer_expired& aEvent)
{
  server_state& state = aContext.mState;
  const auto found = state.mParts.find(aEvent.mPart);
  if (aEvent.mInstance != state.mInstance || found == state.mParts.end()) {
    return;
  }
  const running_part part = std::move(found->second);
  state.mParts.erase(found);
  if (part.mMissesDeadline) {
    ++state.mCounts.mLate;
    ReplyAborted(
      aContext, part, "deadline_passed", "the deadline passed while the part was running");
    return;
  }
  if (!state.mWarm) {
    ++state.mColdReplies;
    state.mWarm = Capacity(state, aContext.mNow) >= state.mBehaviour.mSlots;
  }
  std::optional<bad_reply> fault;
  if (NextBernoulli(state, state.mBehaviour.mBadReplyShare)) {
    ++state.mCounts.mBadReplies;
    fault = state.mBehaviour.mBadReply;
  }
  const auto ranges = state.mShard.mRanges.find(part.mVersion.mMap);
  Send(aContext,
       reply_records{ part.mConnection,
                      part.mCall,
                      part.mVersion,
                      ranges == state.mShard.mRanges.end() ? position_ranges{} : ranges->second,
                      Evidence(state),
                      fault });
}

void Handle(step_context& aContext, const cancel_arrived& aEvent)
{
  if (!ReceiveRequest(aContext, aEvent.mConnection)) {
    return;
  }
  auto& parts = aContext.mState.mParts;
  for (auto it = parts.begin(); it != parts.end();) {
    if (it->second.mCall.mAttempt == aEvent.mAttempt) {
      ++aContext.mState.mCounts.mCancelled;
      const running_part part = std::move(it->second);
      it = parts.erase(it);
      ReplyAborted(aContext, part, "cancelled", "the part was cancelled while running");
    } else {
      ++it;
    }
  }
  Send(aContext, reply_cancel{ aEvent.mConnection });
}

void Handle(step_context& aContext, const health_requested& aEvent)
{
  const server_state& state = aContext.mState;
  if (!ReceiveRequest(aContext, aEvent.mConnection) ||
      state.mBehaviour.mHealth == health_report::Silent) {
    return;
  }
  if (state.mBehaviour.mHealth == health_report::Misleading) {
    Send(aContext,
         reply_health{ aEvent.mConnection, InstanceName(state), server_mode::Warm, 0, 0 });
    return;
  }
  Send(aContext,
       reply_health{ aEvent.mConnection,
                     InstanceName(state),
                     Evidence(state).mMode,
                     state.mParts.size(),
                     state.mConnections.size() });
}

void Handle(step_context& aContext, const restart_timer_expired& aEvent)
{
  if (aContext.mState.mPhase == server_phase::Restarting &&
      aEvent.mInstance == aContext.mState.mInstance) {
    Start(aContext);
  }
}

void Handle(step_context& aContext, const change_behaviour& aEvent)
{
  aContext.mState.mBehaviour = aEvent.mBehaviour;
}

void Handle(step_context& aContext, const perform_action& aEvent)
{
  server_state& state = aContext.mState;
  switch (aEvent.mAction) {
    case server_action::Crash:
      if (state.mPhase == server_phase::Up) {
        Crash(aContext, "crashed by an operator");
      }
      break;
    case server_action::Stop:
      StopServing(aContext, server_phase::Stopped, "stopped by an operator");
      break;
    case server_action::Start:
      if (state.mPhase != server_phase::Up) {
        Start(aContext);
      }
      break;
    case server_action::MakeCold:
      BecomeCold(aContext);
      break;
    case server_action::MakeWarm:
      state.mWarm = true;
      break;
    case server_action::Silence: {
      const auto connections = state.mConnections;
      for (const auto& [connection, connectionState] : connections) {
        if (!connectionState.mSilent) {
          MakeSilent(aContext, connection);
        }
      }
      break;
    }
    case server_action::Reset:
      state.mCounts = {};
      break;
  }
}

} // namespace

server_step Step(const server_state& aState, const server_event& aEvent, instant aNow)
{
  step_context context{ aState, {}, aNow };
  std::visit([&](const auto& aAlternative) { Handle(context, aAlternative); }, aEvent);
  return { std::move(context.mState), std::move(context.mCommands) };
}

std::uint32_t Capacity(const server_state& aState, instant aNow)
{
  const behaviour& config = aState.mBehaviour;
  if (aState.mWarm) {
    return config.mSlots;
  }
  const std::uint64_t byReplies =
    config.mColdReplies == 0 ? config.mSlots : aState.mColdReplies / config.mColdReplies;
  const std::uint64_t byTime =
    config.mColdStep <= micros(0)
      ? config.mSlots
      : static_cast<std::uint64_t>((aNow - aState.mColdSince) / config.mColdStep);
  return static_cast<std::uint32_t>(
    std::min<std::uint64_t>(config.mSlots, 1 + std::min(byReplies, byTime)));
}

std::string InstanceName(const server_state& aState)
{
  return aState.mSpec.mName + "-" + std::to_string(aState.mInstance);
}

} // namespace redwingdock::standin
