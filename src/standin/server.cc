#include "standin/server.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace redwingdock::standin {

namespace {

// State and commands while an event is processed.
struct work
{
  server_state mState;
  std::vector<server_command> mCommands;
  instant mNow;
};

// splitmix64, uniform in [0, 1).
double Random(server_state& aState)
{
  aState.mRandom += 0x9e3779b97f4a7c15ULL;
  std::uint64_t mixed = aState.mRandom;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  mixed ^= mixed >> 31U;
  return static_cast<double>(mixed >> 11U) * 0x1.0p-53;
}

bool Chance(server_state& aState, double aShare)
{
  return aShare > 0 && Random(aState) < aShare;
}

micros ServiceTime(server_state& aState, const std::string& aCallerZone)
{
  const behaviour& how = aState.mBehaviour;
  const double normal =
    std::sqrt(-2 * std::log(1 - Random(aState))) * std::cos(2 * std::numbers::pi * Random(aState));
  double service = static_cast<double>(how.mServiceMedian.count()) *
                   std::exp(how.mServiceSigma * normal) * (aState.mWarm ? 1 : how.mColdFactor) *
                   (1 + how.mLoadFactor * static_cast<double>(aState.mParts.size()));
  // Keeps the time well below the range of the integer for any setting.
  service = std::min(service, 3.6e9);
  micros total = micros(static_cast<micros::rep>(service)) + how.mLatency;
  if (Chance(aState, how.mStragglerShare)) {
    total += how.mStragglerLatency;
  }
  if (!aCallerZone.empty() && aCallerZone != aState.mSpec.mZone) {
    total += 2 * how.mZoneLatency;
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

bool IsSilent(const work& aWork, std::uint64_t aConnection)
{
  const auto found = aWork.mState.mConnections.find(aConnection);
  return found != aWork.mState.mConnections.end() && found->second.mSilent;
}

// Whether the request reached the server; requests on unknown connections were sent before a
// crash that dropped the connection.
bool Reached(work& aWork, std::uint64_t aConnection)
{
  if (aWork.mState.mConnections.count(aConnection) == 0) {
    return false;
  }
  if (IsSilent(aWork, aConnection) && aWork.mState.mBehaviour.mSilence == silence::Requests) {
    ++aWork.mState.mCounts.mSwallowed;
    return false;
  }
  return true;
}

// Sends a reply unless its connection is gone or silent.
template<typename T>
void Send(work& aWork, T aReply)
{
  if (IsSilent(aWork, aReply.mConnection)) {
    ++aWork.mState.mCounts.mSwallowed;
  } else if (aWork.mState.mConnections.count(aReply.mConnection) != 0) {
    aWork.mCommands.emplace_back(std::move(aReply));
  }
}

void GoDown(work& aWork, server_phase aPhase, std::string aWhy)
{
  aWork.mState.mPhase = aPhase;
  aWork.mState.mConnections.clear();
  aWork.mState.mParts.clear();
  aWork.mCommands.emplace_back(stop_listening{ InstanceName(aWork.mState), std::move(aWhy) });
}

void Crash(work& aWork, std::string aWhy)
{
  ++aWork.mState.mCounts.mCrashes;
  GoDown(aWork, server_phase::Restarting, std::move(aWhy));
  aWork.mCommands.emplace_back(
    post_later{ aWork.mState.mBehaviour.mRestartDelay, restart_due{ aWork.mState.mInstance } });
}

void BecomeCold(work& aWork)
{
  aWork.mState.mWarm = false;
  aWork.mState.mColdSince = aWork.mNow;
  aWork.mState.mColdReplies = 0;
}

void Start(work& aWork)
{
  ++aWork.mState.mInstance;
  aWork.mState.mPhase = server_phase::Up;
  BecomeCold(aWork);
  aWork.mCommands.emplace_back(listen{});
}

void MakeSilent(work& aWork, std::uint64_t aConnection)
{
  aWork.mState.mConnections[aConnection].mSilent = true;
  aWork.mCommands.emplace_back(
    post_later{ aWork.mState.mBehaviour.mSilentHold, silence_over{ aConnection } });
}

void On(work& aWork, const connection_opened& aEvent)
{
  server_state& state = aWork.mState;
  if (state.mPhase != server_phase::Up) {
    aWork.mCommands.emplace_back(drop_connection{ aEvent.mConnection });
    return;
  }
  const auto wanted = static_cast<std::uint32_t>(state.mConnections.size() + 1);
  state.mCounts.mMostConnections = std::max(state.mCounts.mMostConnections, wanted);
  if (wanted > state.mBehaviour.mConnections) {
    ++state.mCounts.mConnectionsRefused;
    aWork.mCommands.emplace_back(drop_connection{ aEvent.mConnection });
    return;
  }
  ++state.mCounts.mConnectionsOpened;
  state.mConnections[aEvent.mConnection] = {};
  if (Chance(state, state.mBehaviour.mSilentShare)) {
    MakeSilent(aWork, aEvent.mConnection);
  }
  aWork.mCommands.emplace_back(
    serve_connection{ aEvent.mConnection, state.mBehaviour.mConnectCost });
}

void On(work& aWork, const connection_closed& aEvent)
{
  // The close of a silent connection is lost like everything else on it.
  if (!IsSilent(aWork, aEvent.mConnection)) {
    aWork.mState.mConnections.erase(aEvent.mConnection);
  }
}

void On(work& aWork, const silence_over& aEvent)
{
  if (aWork.mState.mConnections.erase(aEvent.mConnection) != 0) {
    aWork.mCommands.emplace_back(drop_connection{ aEvent.mConnection });
  }
}

void Refuse(work& aWork, const part_arrived& aPart, std::string aRefusal, std::string aText)
{
  ++(aRefusal == "shed" ? aWork.mState.mCounts.mShed : aWork.mState.mCounts.mRefused);
  Send(aWork,
       reply_refusal{ aPart.mConnection,
                      aPart.mCall.mAttempt,
                      aWork.mState.mSpec.mName,
                      aWork.mState.mSpec.mShard,
                      true,
                      std::move(aRefusal),
                      std::move(aText),
                      Evidence(aWork.mState) });
}

// The version that the call asks for, the newest for 0.
std::optional<index_version> FindVersion(const server_state& aState, std::uint64_t aVersion)
{
  const std::vector<index_version>& versions = aState.mBehaviour.mVersions;
  if (aVersion == 0 && !versions.empty()) {
    return versions.back();
  }
  const auto found = std::find_if(versions.begin(), versions.end(), [&](const auto& aHeld) {
    return aHeld.mVersion == aVersion;
  });
  return found == versions.end() ? std::nullopt : std::optional(*found);
}

// Whether the shard owns the positions that the call needs.
bool Owns(const server_state& aState, const part_call& aCall, std::uint32_t aMap)
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

void Run(work& aWork, const part_arrived& aPart, index_version aVersion)
{
  server_state& state = aWork.mState;
  ++state.mCounts.mRun;
  aWork.mCommands.emplace_back(count_run{ aPart.mCall.mAttempt, aPart.mCall.mRequestKey });
  const auto marked = aPart.mCall.mFilter.find(state.mBehaviour.mCrashField);
  if (!state.mBehaviour.mCrashField.empty() && marked != aPart.mCall.mFilter.end() &&
      marked->second == state.mBehaviour.mCrashValue) {
    Crash(aWork, "crashed on attempt " + aPart.mCall.mAttempt + ", a marked request");
    return;
  }
  const micros service = ServiceTime(state, aPart.mCall.mCallerZone);
  const std::uint64_t number = state.mNextPart++;
  state.mParts[number] = {
    aPart.mConnection, aPart.mCall, aVersion, service > aPart.mCall.mRemaining
  };
  aWork.mCommands.emplace_back(
    post_later{ std::min(service, aPart.mCall.mRemaining), part_due{ state.mInstance, number } });
}

void On(work& aWork, const part_arrived& aPart)
{
  server_state& state = aWork.mState;
  const part_call& call = aPart.mCall;
  if (!Reached(aWork, aPart.mConnection)) {
    return;
  }
  ++state.mCounts.mRequests;
  state.mCounts.mLastRequest = aWork.mNow;
  if (state.mBehaviour.mDrain != drain_mode::Off) {
    ++state.mCounts.mRequestsInDrain;
  }
  const auto wanted = static_cast<std::uint32_t>(state.mParts.size() + 1);
  state.mCounts.mMostParts = std::max(state.mCounts.mMostParts, wanted);
  if (call.mServer != state.mSpec.mName || call.mPool != state.mSpec.mPool ||
      call.mShard != state.mSpec.mShard) {
    Refuse(aWork, aPart, "wrong_target", "this is " + state.mSpec.mName);
    return;
  }
  if (state.mBehaviour.mDrain == drain_mode::Refuse) {
    Refuse(aWork, aPart, "draining", "draining");
    return;
  }
  const std::optional<index_version> version = FindVersion(state, call.mVersion);
  if (!version) {
    Refuse(aWork, aPart, "version_gone", "version " + std::to_string(call.mVersion));
    return;
  }
  if (!Owns(state, call, version->mMap)) {
    Refuse(aWork,
           aPart,
           "wrong_target",
           "no such positions in partition map " + std::to_string(version->mMap));
    return;
  }
  if (call.mRemaining <= micros(0)) {
    Refuse(aWork, aPart, "deadline_passed", "no time left");
    return;
  }
  if (wanted > Capacity(state, aWork.mNow)) {
    if (!state.mWarm) {
      ++state.mCounts.mColdOverloads;
      Crash(aWork,
            "crashed: cold, bears " + std::to_string(Capacity(state, aWork.mNow)) +
              " parts at once, received " + std::to_string(wanted));
    } else {
      Refuse(aWork,
             aPart,
             "shed",
             std::to_string(wanted) + " of " + std::to_string(state.mBehaviour.mSlots) + " slots");
    }
    return;
  }
  Run(aWork, aPart, *version);
}

void Stopped(work& aWork, const running_part& aPart, const char* aRefusal, const char* aText)
{
  Send(aWork,
       reply_refusal{ aPart.mConnection,
                      aPart.mCall.mAttempt,
                      aWork.mState.mSpec.mName,
                      aWork.mState.mSpec.mShard,
                      false,
                      aRefusal,
                      aText,
                      Evidence(aWork.mState) });
}

void On(work& aWork, const part_due& aEvent)
{
  server_state& state = aWork.mState;
  const auto found = state.mParts.find(aEvent.mPart);
  if (aEvent.mInstance != state.mInstance || found == state.mParts.end()) {
    return;
  }
  const running_part part = std::move(found->second);
  state.mParts.erase(found);
  if (part.mLate) {
    ++state.mCounts.mLate;
    Stopped(aWork, part, "deadline_passed", "deadline passed while running");
    return;
  }
  if (!state.mWarm) {
    ++state.mColdReplies;
    state.mWarm = Capacity(state, aWork.mNow) >= state.mBehaviour.mSlots;
  }
  std::optional<bad_reply> fault;
  if (Chance(state, state.mBehaviour.mBadReplyShare)) {
    ++state.mCounts.mBadReplies;
    fault = state.mBehaviour.mBadReply;
  }
  const auto ranges = state.mShard.mRanges.find(part.mVersion.mMap);
  Send(aWork,
       reply_records{ part.mConnection,
                      part.mCall,
                      part.mVersion,
                      ranges == state.mShard.mRanges.end() ? position_ranges{} : ranges->second,
                      Evidence(state),
                      fault });
}

void On(work& aWork, const cancel_arrived& aEvent)
{
  if (!Reached(aWork, aEvent.mConnection)) {
    return;
  }
  auto& parts = aWork.mState.mParts;
  for (auto at = parts.begin(); at != parts.end();) {
    if (at->second.mCall.mAttempt == aEvent.mAttempt) {
      ++aWork.mState.mCounts.mCancelled;
      const running_part part = std::move(at->second);
      at = parts.erase(at);
      Stopped(aWork, part, "cancelled", "cancelled while running");
    } else {
      ++at;
    }
  }
  Send(aWork, reply_cancel{ aEvent.mConnection });
}

void On(work& aWork, const health_asked& aEvent)
{
  const server_state& state = aWork.mState;
  if (!Reached(aWork, aEvent.mConnection) || state.mBehaviour.mHealth == health_report::Silent) {
    return;
  }
  if (state.mBehaviour.mHealth == health_report::Misleading) {
    Send(aWork, reply_health{ aEvent.mConnection, InstanceName(state), server_mode::Warm, 0, 0 });
    return;
  }
  Send(aWork,
       reply_health{ aEvent.mConnection,
                     InstanceName(state),
                     Evidence(state).mMode,
                     state.mParts.size(),
                     state.mConnections.size() });
}

void On(work& aWork, const restart_due& aEvent)
{
  if (aWork.mState.mPhase == server_phase::Restarting &&
      aEvent.mInstance == aWork.mState.mInstance) {
    Start(aWork);
  }
}

void On(work& aWork, const change_behaviour& aEvent)
{
  aWork.mState.mBehaviour = aEvent.mBehaviour;
}

void On(work& aWork, const act& aEvent)
{
  server_state& state = aWork.mState;
  switch (aEvent.mAction) {
    case server_action::Crash:
      if (state.mPhase == server_phase::Up) {
        Crash(aWork, "crashed by an operator");
      }
      break;
    case server_action::Stop:
      GoDown(aWork, server_phase::Stopped, "stopped by an operator");
      break;
    case server_action::Start:
      if (state.mPhase != server_phase::Up) {
        Start(aWork);
      }
      break;
    case server_action::MakeCold:
      BecomeCold(aWork);
      break;
    case server_action::MakeWarm:
      state.mWarm = true;
      break;
    case server_action::Silence: {
      const auto connections = state.mConnections;
      for (const auto& [connection, present] : connections) {
        if (!present.mSilent) {
          MakeSilent(aWork, connection);
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
  work next{ aState, {}, aNow };
  std::visit([&](const auto& aOne) { On(next, aOne); }, aEvent);
  return { std::move(next.mState), std::move(next.mCommands) };
}

std::uint32_t Capacity(const server_state& aState, instant aNow)
{
  const behaviour& how = aState.mBehaviour;
  if (aState.mWarm) {
    return how.mSlots;
  }
  const std::uint64_t byReplies =
    how.mColdReplies == 0 ? how.mSlots : aState.mColdReplies / how.mColdReplies;
  const std::uint64_t byTime =
    how.mColdStep <= micros(0)
      ? how.mSlots
      : static_cast<std::uint64_t>((aNow - aState.mColdSince) / how.mColdStep);
  return static_cast<std::uint32_t>(
    std::min<std::uint64_t>(how.mSlots, 1 + std::min(byReplies, byTime)));
}

std::string InstanceName(const server_state& aState)
{
  return aState.mSpec.mName + "-" + std::to_string(aState.mInstance);
}

} // namespace redwingdock::standin
