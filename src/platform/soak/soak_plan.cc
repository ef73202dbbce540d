#include "platform/soak/soak_plan.h"

#include "base/log_text.h"

#include <algorithm>
#include <random>

namespace redwingdock::platform {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kFirstEvent{ 800 };
constexpr std::size_t kReplicas = 8; // that events drain or remove

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

const char* ToString(soak_action aAction)
{
  switch (aAction) {
    case soak_action::Terminate:
      return "terminate";
    case soak_action::TerminateTwice:
      return "terminate_twice";
    case soak_action::Kill:
      return "kill";
    case soak_action::Reload:
      return "reload";
    case soak_action::LowerLimits:
      return "lower_limits";
    case soak_action::RaiseLimits:
      return "raise_limits";
    case soak_action::DropRoute:
      return "drop_route";
    case soak_action::RestoreRoute:
      return "restore_route";
    case soak_action::DrainReplica:
      return "drain_replica";
    case soak_action::RemoveReplica:
      return "remove_replica";
    case soak_action::StoreDown:
      return "store_down";
    case soak_action::StoreUp:
      return "store_up";
  }
  return "";
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
  std::stable_sort(
    plan.mEvents.begin(),
    plan.mEvents.end(),
    [](const soak_event& aLeft, const soak_event& aRight) { return aLeft.mAt < aRight.mAt; });
  return plan;
}

std::string Describe(const soak_plan& aPlan)
{
  std::string text =
    "seed=" + std::to_string(aPlan.mOptions.mSeed) + " deployment=" + aPlan.mDeployment.mName +
    " daemons=" + std::to_string(aPlan.mOptions.mDaemons) +
    " reply_bytes=" + std::to_string(aPlan.mReplyBytes) + " quota_ms=" + MsText(aPlan.mQuota) +
    " lost_replies=" + std::to_string(aPlan.mFaults.mLostReplies) +
    " stalls=" + std::to_string(aPlan.mFaults.mStalls) +
    " resets=" + std::to_string(aPlan.mFaults.mResets) +
    " slow=" + std::to_string(aPlan.mFaults.mSlow) + " events=";
  for (const soak_event& each : aPlan.mEvents) {
    text += std::string(ToString(each.mAction)) + ":" + std::to_string(each.mTarget) + "@" +
            MsText(each.mAt) + ",";
  }
  return text;
}

} // namespace redwingdock::platform
