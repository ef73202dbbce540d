#include "platform/soak/soak_plan.h"

#include <algorithm>
#include <random>

namespace redwingdock::platform {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kFirstEvent{ 800 };
constexpr std::size_t kReplicas = 8; // that events drain or remove
constexpr std::size_t kZones = 4;

// std::uniform_int_distribution differs between standard libraries, and the plan of a seed must
// not.
class plan_random
{
public:
  explicit plan_random(std::uint64_t aSeed)
    : mEngine(aSeed)
  {
  }
  std::uint64_t Below(std::uint64_t aBound) { return mEngine() % aBound; }
  bool OneIn(std::uint64_t aBound) { return Below(aBound) == 0; }
  micros Between(milliseconds aFirst, milliseconds aLast)
  {
    return aFirst + milliseconds(Below(static_cast<std::uint64_t>((aLast - aFirst).count()) + 1));
  }

private:
  std::mt19937_64 mEngine;
};

std::vector<soak_client_profile> Profiles(std::size_t aReplyBytes)
{
  std::vector<soak_client_profile> profiles = {
    { .mName = "kept", .mCount = 30, .mPause = milliseconds(60) },
    { .mName = "pipelined", .mCount = 6, .mPipelined = 4, .mPause = milliseconds(150) },
    { .mName = "unused",
      .mCount = 16,
      .mFirstUse = milliseconds(1700),
      .mPause = milliseconds(900) },
    { .mName = "halves",
      .mCount = 6,
      .mHalfDelay = milliseconds(250),
      .mPause = milliseconds(200) },
    { .mName = "old_list", .mCount = 6, .mPause = milliseconds(100), .mDirectoryAge = seconds(6) },
  };
  if (aReplyBytes >= 100'000) {
    profiles.push_back({ .mName = "slow_reader",
                         .mCount = 6,
                         .mPipelined = 2,
                         .mReadBytesPerS = 800'000,
                         .mPause = milliseconds(200) });
  }
  return profiles;
}

replica_faults DrawFaults(plan_random& aRandom)
{
  replica_faults faults;
  faults.mLostReplies = aRandom.OneIn(2) ? 0.1 : 0;
  faults.mStalls = aRandom.OneIn(3) ? 0.05 : 0;
  faults.mResets = aRandom.OneIn(4) ? 0.03 : 0;
  faults.mSlow = aRandom.OneIn(2) ? 0.2 : 0;
  return faults;
}

// Restarts in turn, as the operator rolls a release out, or stops that overlap.
void AddStops(plan_random& aRandom, const soak_options& aOptions, std::vector<soak_event>& aEvents)
{
  const bool overlapping = aRandom.OneIn(2);
  const milliseconds gap = overlapping ? milliseconds(700) : milliseconds(3300);
  micros at = kFirstEvent + aRandom.Between(milliseconds(0), milliseconds(1200));
  for (std::size_t i = 0; at < aOptions.mDuration - seconds(3); ++i) {
    const soak_action action =
      aRandom.OneIn(4) ? soak_action::TerminateTwice : soak_action::Terminate;
    // The last daemon stays, so that callers have an address while the stops overlap.
    aEvents.push_back({ at, action, i % (aOptions.mDaemons - 1) });
    at += gap + aRandom.Between(milliseconds(0), milliseconds(600));
    if (overlapping && i + 2 >= aOptions.mDaemons) {
      break;
    }
  }
}

void AddOthers(plan_random& aRandom, const soak_options& aOptions, std::vector<soak_event>& aEvents)
{
  const auto time = [&] {
    return aRandom.Between(kFirstEvent,
                           std::chrono::duration_cast<milliseconds>(aOptions.mDuration));
  };
  const auto pair = [&](soak_action aFirst, soak_action aSecond, milliseconds aLater) {
    const micros at = time();
    aEvents.push_back({ at, aFirst });
    aEvents.push_back({ at + aLater, aSecond });
  };
  for (std::uint64_t i = aRandom.Below(3); i > 0; --i) {
    aEvents.push_back({ time(), soak_action::Reload, aRandom.Below(aOptions.mDaemons) });
  }
  if (aRandom.OneIn(3)) {
    aEvents.push_back({ time(), soak_action::Kill, aRandom.Below(aOptions.mDaemons - 1) });
  }
  if (aRandom.OneIn(2)) {
    pair(soak_action::LowerLimits, soak_action::RaiseLimits, milliseconds(4000));
  }
  if (aRandom.OneIn(2)) {
    pair(soak_action::DropRoute, soak_action::RestoreRoute, milliseconds(3500));
  }
  if (aRandom.OneIn(2)) {
    aEvents.push_back({ time(), soak_action::DrainReplica, aRandom.Below(kReplicas) });
  }
  if (aRandom.OneIn(3)) {
    aEvents.push_back({ time(), soak_action::RemoveReplica, aRandom.Below(kReplicas) });
  }
  if (aRandom.OneIn(4)) {
    pair(soak_action::StoreDown, soak_action::StoreUp, milliseconds(2500));
  }
}

// Two configurations that are in force for different times, the second soon after the first.
void AddOverlappingConfigurations(plan_random& aRandom,
                                  const soak_options& aOptions,
                                  std::vector<soak_event>& aEvents)
{
  micros at =
    aRandom.Between(kFirstEvent, std::chrono::duration_cast<milliseconds>(aOptions.mDuration));
  for (const soak_action action : { soak_action::LowerLimits, soak_action::DropRoute }) {
    aEvents.push_back({ at, action });
    at += aRandom.Between(milliseconds(0), milliseconds(200));
  }
  at += milliseconds(2500);
  for (const soak_action action : { soak_action::RestoreRoute, soak_action::RaiseLimits }) {
    aEvents.push_back({ at, action });
    at += aRandom.Between(milliseconds(0), milliseconds(200));
  }
}

// Half of them come in the first 30 ms, while a daemon without load still opens its addresses.
std::vector<early_signal> DrawEarlySignals(plan_random& aRandom, const soak_options& aOptions)
{
  std::vector<early_signal> signals;
  for (std::uint64_t i = aRandom.Below(4); i > 0; --i) {
    signals.push_back({ aRandom.Below(aOptions.mDaemons - 1),
                        aRandom.Below(2),
                        aRandom.Between(milliseconds(0), milliseconds(aRandom.OneIn(2) ? 30 : 300)),
                        aRandom.OneIn(2) ? soak_action::Terminate : soak_action::Reload });
  }
  return signals;
}

void AddProfiles(plan_random& aRandom, std::vector<soak_client_profile>& aProfiles)
{
  if (aRandom.OneIn(2)) {
    aProfiles.push_back({ .mName = "large_behind",
                          .mCount = 3,
                          .mPipelined = 3,
                          .mPause = milliseconds(300),
                          .mBodyBytesBehind = 200'000 });
  }
  if (aRandom.OneIn(2)) {
    aProfiles.push_back({ .mName = "leaves",
                          .mCount = 4,
                          .mPipelined = 2,
                          .mPause = milliseconds(200),
                          .mLeaveAfter = aRandom.Between(milliseconds(5), milliseconds(300)) });
    aProfiles.push_back({ .mName = "leaves_in_request",
                          .mCount = 2,
                          .mHalfDelay = milliseconds(400),
                          .mPause = milliseconds(200),
                          .mLeaveAfter = aRandom.Between(milliseconds(5), milliseconds(300)) });
  }
  aProfiles.push_back(
    { .mName = "during_stop", .mCount = 6, .mPause = milliseconds(250), .mSeeksStopping = true });
  for (soak_client_profile& each : aProfiles) {
    each.mCount += static_cast<std::uint32_t>(aRandom.Below(each.mCount / 3 + 2));
  }
}

// Draws what no earlier plan had; the draws before it stay as they were, so that a seed keeps them.
void Widen(plan_random& aRandom, soak_plan& aPlan)
{
  const soak_options& options = aPlan.mOptions;
  if (aRandom.OneIn(2)) {
    AddOverlappingConfigurations(aRandom, options, aPlan.mEvents);
  }
  if (aRandom.OneIn(3)) {
    const micros at = aRandom.Between(
      kFirstEvent, std::chrono::duration_cast<milliseconds>(options.mDuration) - milliseconds(800));
    const std::size_t zone = aRandom.Below(kZones);
    aPlan.mEvents.push_back({ at, soak_action::EvacuateZone, zone });
    aPlan.mEvents.push_back({ at + milliseconds(4000), soak_action::RestoreZone, zone });
  }
  aPlan.mEarlySignals = DrawEarlySignals(aRandom, options);
  constexpr log_sink kSinks[] = { log_sink::File, log_sink::File,       log_sink::File,
                                  log_sink::File, log_sink::UnreadPipe, log_sink::ClosedPipe };
  aPlan.mLogSink = kSinks[aRandom.Below(std::size(kSinks))];
  AddProfiles(aRandom, aPlan.mClients);
}

// Something that is to be in effect at the daemons, or several things.
void AddChanges(plan_random& aRandom, milliseconds aFirst, milliseconds aLast, soak_plan& aPlan)
{
  const auto add = [&](soak_action aAction, std::size_t aTarget = 0) {
    aPlan.mEvents.push_back({ aRandom.Between(aFirst, aLast), aAction, aTarget });
  };
  add(soak_action::MoveRoute);
  if (aRandom.OneIn(2)) {
    add(soak_action::DrainReplica, aRandom.Below(kReplicas));
  }
  if (aRandom.OneIn(2)) {
    add(soak_action::RemoveReplica, aRandom.Below(kReplicas));
  }
  if (aRandom.OneIn(3)) {
    add(soak_action::DropRoute);
    aPlan.mEvents.push_back(
      { aPlan.mEvents.back().mAt + milliseconds(4500), soak_action::RestoreRoute });
  }
  if (aRandom.OneIn(3)) {
    add(soak_action::EvacuateZone, aRandom.Below(kZones));
    aPlan.mEvents.push_back({ aPlan.mEvents.back().mAt + milliseconds(7500),
                              soak_action::RestoreZone,
                              aPlan.mEvents.back().mTarget });
  }
}

// Returns of the store from a copy, with changes that the copy lacks and changes that follow. They
// come early, so that a time without disturbance is left.
void AddReturns(plan_random& aRandom, soak_plan& aPlan)
{
  constexpr milliseconds kCalmTime{ 6000 };
  // Nothing but the era tells that revisions were given out twice once the counter has passed the
  // known one. A store that does not state it must have lost more than a seed writes afterwards.
  constexpr std::uint64_t kMaxWrites = 150;
  constexpr waiting_watches kWaiting[] = { waiting_watches::Cut,
                                           waiting_watches::WaitOn,
                                           waiting_watches::Silent };
  if (aRandom.OneIn(2)) {
    return;
  }
  aPlan.mStatesEra = !aRandom.OneIn(4);
  const milliseconds duration = std::chrono::duration_cast<milliseconds>(aPlan.mOptions.mDuration);
  milliseconds at = std::chrono::duration_cast<milliseconds>(
    aRandom.Between(2 * kFirstEvent, std::max(2 * kFirstEvent, duration - kCalmTime)));
  for (std::size_t i = 0, count = aRandom.OneIn(3) ? 2 : 1; i < count; ++i) {
    const milliseconds copied =
      std::max(milliseconds(0), at - milliseconds(200 + aRandom.Below(2500)));
    const milliseconds away(aRandom.OneIn(2) ? 0 : aRandom.Below(1200));
    const milliseconds back = at + away;
    aPlan.mEvents.push_back({ copied, soak_action::CopyStore, i });
    aPlan.mEvents.push_back({ at, soak_action::ReturnStore, i });
    const waiting_watches waiting = kWaiting[aRandom.Below(std::size(kWaiting))];
    const std::uint64_t writes = aRandom.OneIn(3) ? 0 : aRandom.Below(kMaxWrites);
    aPlan.mReturns.push_back({ waiting,
                               static_cast<std::uint32_t>(aPlan.mStatesEra ? writes : kMaxWrites),
                               away,
                               aRandom.Between(milliseconds(0), milliseconds(1300)),
                               aRandom.Between(milliseconds(100), milliseconds(2500)) });
    AddChanges(aRandom, copied, at, aPlan);
    AddChanges(aRandom, back, back + milliseconds(1500), aPlan);
    at = back + milliseconds(300 + aRandom.Below(2500));
  }
}

} // namespace

const std::vector<soak_deployment>& SoakDeployments()
{
  // Time limits, targets and work of the kinds of requests of the users' deployments. The last
  // route, which must not be repeated, is the one that is dropped and restored.
  static const std::vector<soak_deployment> kDeployments = {
    { "bdc-stitchfind",
      { { "motif-match", "safe", true, milliseconds(1500), milliseconds(100), milliseconds(11) },
        { "thread-hint", "safe", true, milliseconds(800), milliseconds(50), milliseconds(4) },
        { "file-fetch", "safe", false, milliseconds(6000), milliseconds(400), milliseconds(90) },
        { "order", "unsafe", false, milliseconds(6000), milliseconds(400), milliseconds(90), 3000 },
        { "upload",
          "unsafe",
          false,
          milliseconds(3000),
          milliseconds(400),
          milliseconds(30),
          600 } } },
    { "hao-redwing",
      { { "case-lookup", "safe", true, milliseconds(1200), milliseconds(200), milliseconds(28) },
        { "intake-check", "safe", true, milliseconds(500), milliseconds(80), milliseconds(9) },
        { "ledger-fetch", "safe", false, milliseconds(5000), milliseconds(800), milliseconds(220) },
        { "submit",
          "unsafe",
          false,
          milliseconds(5000),
          milliseconds(800),
          milliseconds(220),
          3000 },
        { "note",
          "unsafe",
          false,
          milliseconds(3000),
          milliseconds(400),
          milliseconds(30),
          600 } } }
  };
  return kDeployments;
}

soak_plan MakeSoakPlan(const soak_options& aOptions)
{
  constexpr std::size_t kReplySizes[] = { 200, 200, 20'000, 300'000 };
  plan_random random(aOptions.mSeed);
  soak_plan plan;
  plan.mOptions = aOptions;
  plan.mDeployment = SoakDeployments()[aOptions.mSeed % SoakDeployments().size()];
  plan.mFaults = DrawFaults(random);
  const std::size_t drawnBytes = kReplySizes[random.Below(std::size(kReplySizes))];
  plan.mReplyBytes = aOptions.mReplyBytes > 0 ? aOptions.mReplyBytes : drawnBytes;
  plan.mQuota = random.OneIn(4) ? milliseconds(25) : milliseconds(0);
  plan.mClients = Profiles(plan.mReplyBytes);
  AddStops(random, aOptions, plan.mEvents);
  AddOthers(random, aOptions, plan.mEvents);
  Widen(random, plan);
  AddReturns(random, plan);
  plan.mFaults.mFailures = random.OneIn(2) ? 0.08 : 0;
  std::stable_sort(
    plan.mEvents.begin(),
    plan.mEvents.end(),
    [](const soak_event& aLeft, const soak_event& aRight) { return aLeft.mAt < aRight.mAt; });
  return plan;
}

soak_plan Without(soak_plan aPlan, const std::set<std::string>& aNames)
{
  std::erase_if(aPlan.mClients, [&aNames](const soak_client_profile& aProfile) {
    return aNames.contains(aProfile.mName);
  });
  if (aNames.contains("log_pipes")) {
    aPlan.mLogSink = log_sink::File;
  }
  if (aNames.contains("early_signals")) {
    aPlan.mEarlySignals.clear();
  }
  if (aNames.contains("stops")) {
    std::erase_if(aPlan.mEvents, [](const soak_event& aEvent) {
      return aEvent.mAction == soak_action::Terminate ||
             aEvent.mAction == soak_action::TerminateTwice || aEvent.mAction == soak_action::Kill;
    });
  }
  if (aNames.contains("quota")) {
    aPlan.mQuota = micros(0);
  }
  return aPlan;
}

} // namespace redwingdock::platform
