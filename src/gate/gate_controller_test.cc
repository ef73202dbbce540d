#include "gate/gate_test_rig.h"

#include <gtest/gtest.h>
#include <numeric>

namespace redwingdock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A part whose result is missing, repeated or untrue, or that ran more than once.
int FalseResults(const gate_rig& aRig)
{
  int failures = 0;
  for (const auto& [attempt, request] : aRig.mAsked) {
    const auto results = aRig.ResultsOf(attempt);
    const auto runs = aRig.mServer.mRuns.find(attempt);
    const int ran = runs == aRig.mServer.mRuns.end() ? 0 : runs->second;
    if (results.size() != 1 || ran > 1 ||
        (results.front().mResult == part_result::NotRun && ran > 0) ||
        (results.front().mResult == part_result::Answered && ran == 0)) {
      ++failures;
    }
  }
  return failures;
}

int Overload(const gate_rig& aRig)
{
  return aRig.mServer.mOverload;
}

int OverSlots(const gate_rig& aRig)
{
  return aRig.mServer.mOverSlots;
}

int OverConnections(const gate_rig& aRig)
{
  return aRig.mServer.mOverConnections;
}

// One protection: a script, the figure that must stay 0, and the hook without which it does not.
struct protection_row
{
  const char* mName;
  const char* mGuardsAgainst;
  rig_options mOptions;
  std::function<void(gate_rig&)> mScript;
  int (*mFailures)(const gate_rig&);
  std::function<void(gate_hooks&)> mReplace;
  int mLeastAnswered; // so that a gate that sends nothing does not pass
};

void PrintTo(const protection_row& aRow, std::ostream* aOut)
{
  *aOut << aRow.mName;
}

class protection_test : public testing::TestWithParam<protection_row>
{};

TEST_P(protection_test, HoldsWithTheHook)
{
  const protection_row& row = GetParam();
  gate_rig rig(row.mOptions);
  row.mScript(rig);
  rig.RunFor(seconds(12));
  EXPECT_EQ(row.mFailures(rig), 0) << row.mGuardsAgainst;
  EXPECT_EQ(FalseResults(rig), 0);
  EXPECT_EQ(rig.mServer.mOverSlots, 0);
  EXPECT_EQ(rig.mServer.mOverConnections, 0);
  EXPECT_GE(rig.mServer.mAnswered, row.mLeastAnswered);
  EXPECT_TRUE(rig.mServer.mRunning.empty());
  RecordProperty("answered", rig.mServer.mAnswered);
}

TEST_P(protection_test, FailsWithoutTheHook)
{
  const protection_row& row = GetParam();
  rig_options options = row.mOptions;
  row.mReplace(options.mHooks);
  gate_rig rig(options);
  row.mScript(rig);
  rig.RunFor(seconds(12));
  EXPECT_GT(row.mFailures(rig), 0) << row.mGuardsAgainst;
  RecordProperty("failures", row.mFailures(rig));
}

void AnyHolder(gate_hooks& aHooks)
{
  aHooks.mMayUse = [](const permit&, const member_view&, instant) { return true; };
}

void NoConfirmation(gate_hooks& aHooks)
{
  aHooks.mMayUse = [](const permit& aPermit, const member_view& aView, instant aNow) {
    return aPermit.mHolder == aView.mSelf && aPermit.mUsableFrom <= aNow;
  };
  // The limit of each send ends with the confirmation too.
  aHooks.mSendLimit = [](const part_request& aRequest, const member_view&, instant) {
    return aRequest.mDeadline;
  };
}

void TopStageAlways(gate_hooks& aHooks)
{
  aHooks.mStage = [](const ramp_state&, instant, const core_config&) { return 99U; };
}

void StageWithoutAge(gate_hooks& aHooks)
{
  aHooks.mStage = [](const ramp_state& aRamp, instant, const core_config&) { return aRamp.mStage; };
}

void RaiseOnEveryReply(gate_hooks& aHooks)
{
  aHooks.mMayRaise = [](const ramp_state&, instant, const core_config&) { return true; };
}

void NeverSlow(gate_hooks& aHooks)
{
  aHooks.mIsSlow = [](micros, micros) { return false; };
}

void ReleaseAtOnce(gate_hooks& aHooks)
{
  aHooks.mReleaseAt = [](const part_request&, instant aNow, const core_config&) { return aNow; };
}

void HoldNothing(gate_hooks& aHooks)
{
  aHooks.mHoldUntil = [](instant aNow, const core_config&) { return aNow; };
}

void WholeShare(gate_hooks& aHooks)
{
  aHooks.mConnectionCap = [](const pool_spec& aPool) { return aPool.mConnections / aPool.mSlots; };
}

void SendAnyTime(gate_hooks& aHooks)
{
  aHooks.mSendLimit = [](const part_request&, const member_view&, instant) { return kNever; };
}

// Gate 0 is cut off and keeps its old list; gate 1 takes its only permit after the take delay.
void MovePermit(gate_rig& aRig)
{
  aRig.Cut(0, true);
  aRig.Unconfirm(0, true);
  aRig.SetPermits(1, { { 0, "vm-1", aRig.Now() + seconds(10) } });
}

const protection_row kProtections[] = {
  { "five_gates",
    "all daemons together pass the slots of a server",
    { .mGates = 5, .mWarmServer = true, .mHooks = {}, .mConfig = {} },
    [](gate_rig& aRig) {
      aRig.Load(seconds(5), milliseconds(1));
      aRig.RunFor(seconds(5));
    },
    OverSlots,
    AnyHolder,
    1000 },
  { "moved_permit",
    "a daemon that is cut off keeps sending under a permit that has a new holder",
    { .mGates = 2, .mSlots = 1, .mWarmServer = true, .mHooks = {}, .mConfig = {} },
    [](gate_rig& aRig) {
      aRig.Load(seconds(16), milliseconds(2));
      aRig.RunFor(seconds(2));
      MovePermit(aRig);
      aRig.RunFor(seconds(14));
    },
    OverSlots,
    NoConfirmation,
    700 },
  { "long_pause",
    "a daemon that was paused for 10 s sends what it queued before under a moved permit",
    { .mGates = 2, .mSlots = 1, .mWarmServer = true, .mHooks = {}, .mConfig = {} },
    [](gate_rig& aRig) {
      aRig.Load(seconds(14), milliseconds(2), seconds(5));
      aRig.RunFor(seconds(2));
      MovePermit(aRig);
      aRig.Pause(0, seconds(10) + milliseconds(200));
      aRig.RunFor(seconds(12));
    },
    OverSlots,
    NoConfirmation,
    500 },
  { "stalled_front_end",
    "a front end carries out a send that was decided before the permit moved",
    { .mGates = 2, .mSlots = 1, .mWarmServer = true, .mHooks = {}, .mConfig = {} },
    [](gate_rig& aRig) {
      aRig.Ask(0);
      aRig.RunFor(seconds(1));
      aRig.StallFrontEnd(0, seconds(11));
      aRig.Ask(0);
      aRig.RunFor(milliseconds(1));
      MovePermit(aRig);
      aRig.mServer.mService = milliseconds(40);
      aRig.RunFor(seconds(10));
      for (int i = 0; i < 60; ++i) {
        aRig.Ask(1, seconds(3));
      }
      aRig.RunFor(seconds(3));
    },
    OverSlots,
    SendAnyTime,
    10 },
  { "broken_connections",
    "a permit is used again while the server still runs the part of a lost connection",
    { .mGates = 3, .mWarmServer = true, .mHooks = {}, .mConfig = {} },
    [](gate_rig& aRig) {
      aRig.mServer.mService = milliseconds(200);
      aRig.Load(seconds(8), milliseconds(5));
      aRig.RunFor(seconds(4));
      for (int i = 0; i < 10; ++i) {
        aRig.RunFor(milliseconds(330));
        aRig.BreakConnections();
      }
    },
    OverSlots,
    ReleaseAtOnce,
    30 },
  { "silent_parts",
    "a permit is used again while the server still runs the part of a silent connection",
    { .mGates = 3, .mWarmServer = true, .mHooks = {}, .mConfig = {} },
    [](gate_rig& aRig) {
      aRig.Load(seconds(8), milliseconds(5), seconds(1));
      aRig.RunFor(seconds(4));
      aRig.mServer.mService = milliseconds(900);
      aRig.RunFor(milliseconds(10));
      aRig.SilenceConnections();
      aRig.RunFor(seconds(4));
    },
    OverSlots,
    ReleaseAtOnce,
    200 },
  { "silent_connections",
    "connections that the server still counts are forgotten and it passes its cap",
    { .mGates = 2,
      .mSlots = 2,
      .mConnections = 16,
      .mWarmServer = true,
      .mHooks = {},
      .mConfig = {} },
    [](gate_rig& aRig) {
      aRig.Load(seconds(40), milliseconds(10));
      for (int i = 0; i < 26; ++i) {
        aRig.RunFor(milliseconds(1500));
        aRig.SilenceConnections();
      }
    },
    OverConnections,
    HoldNothing,
    100 },
  { "previous_holder",
    "the silent connections of a permit's previous holder and those of the new one pass the cap",
    { .mGates = 2,
      .mSlots = 1,
      .mConnections = 8,
      .mWarmServer = true,
      .mHooks = {},
      .mConfig = {} },
    [](gate_rig& aRig) {
      aRig.Load(seconds(50), milliseconds(10));
      for (int i = 0; i < 12; ++i) {
        aRig.RunFor(milliseconds(1500));
        aRig.SilenceConnections();
      }
      aRig.SetPermits({ { 0, "vm-1", aRig.Now() + seconds(1) } });
      for (int i = 0; i < 20; ++i) {
        aRig.RunFor(milliseconds(1500));
        aRig.SilenceConnections();
      }
    },
    OverConnections,
    WholeShare,
    100 },
  { "cold_start",
    "a cold server gets more requests than it bears",
    { .mGates = 5, .mHooks = {}, .mConfig = {} },
    [](gate_rig& aRig) {
      aRig.Load(seconds(4), milliseconds(1));
      aRig.RunFor(seconds(4));
    },
    Overload,
    RaiseOnEveryReply,
    800 },
  { "replaced_server",
    "the stage of a replaced process is used for its successor",
    { .mGates = 5, .mHooks = {}, .mConfig = {} },
    [](gate_rig& aRig) {
      aRig.Load(seconds(10), milliseconds(1));
      aRig.RunFor(seconds(4));
      aRig.CrashServer("s-1-2");
      aRig.RunFor(seconds(6));
    },
    Overload,
    TopStageAlways,
    1200 },
  { "cold_without_warning",
    "a server turns cold, says it is warm, and keeps its full load",
    { .mGates = 5, .mHooks = {}, .mConfig = {} },
    [](gate_rig& aRig) {
      aRig.mServer.mColdService = milliseconds(60);
      aRig.Load(seconds(14), milliseconds(2));
      aRig.RunFor(seconds(6));
      aRig.mServer.mLevel = 0;
      aRig.mServer.mReplies = 0;
      aRig.mServer.mLevelSince = aRig.Now();
      aRig.mServer.mGraceUntil = aRig.Now() + milliseconds(80); // parts that run already
      aRig.RunFor(seconds(8));
    },
    Overload,
    NeverSlow,
    800 },
  { "cold_mode",
    "a server says in its replies that it is cold, and keeps its full load",
    { .mGates = 5, .mHooks = {}, .mConfig = {} },
    [](gate_rig& aRig) {
      aRig.Load(seconds(10), milliseconds(1));
      aRig.RunFor(seconds(4));
      aRig.mServer.mMode = server_mode::Cold;
      aRig.mServer.mLevel = 0;
      aRig.mServer.mReplies = 0;
      aRig.mServer.mLevelSince = aRig.Now();
      aRig.mServer.mGraceUntil = aRig.Now() + milliseconds(15);
      aRig.RunFor(seconds(1));
      aRig.mServer.mMode = server_mode::Warm;
      aRig.RunFor(seconds(5));
    },
    Overload,
    TopStageAlways,
    1200 },
  { "shed_by_server",
    "a server sheds, and keeps its full load",
    { .mGates = 5, .mHooks = {}, .mConfig = {} },
    [](gate_rig& aRig) {
      aRig.mServer.mSheds = true;
      aRig.Load(seconds(10), milliseconds(1));
      aRig.RunFor(seconds(4));
      aRig.mServer.mLevel = 0;
      aRig.mServer.mReplies = 0;
      aRig.mServer.mLevelSince = aRig.Now();
      aRig.mServer.mGraceUntil = aRig.Now() + milliseconds(15);
      aRig.RunFor(seconds(6));
    },
    Overload,
    TopStageAlways,
    1200 },
  { "stale_stage",
    "a holder that is cut off from the leader uses a stage from before the server turned cold",
    { .mGates = 2, .mSlots = 2, .mHooks = {}, .mConfig = {} },
    [](gate_rig& aRig) {
      aRig.Load(seconds(4), milliseconds(2));
      aRig.RunFor(seconds(5));
      aRig.Cut(1, true);
      aRig.mServer.mLevel = 0;
      aRig.mServer.mReplies = 0;
      aRig.RunFor(seconds(3));
      aRig.mServer.mLevelSince = aRig.Now();
      for (int i = 0; i < 100; ++i) {
        aRig.At(milliseconds(2 * i), [&aRig] {
          aRig.Ask(0);
          aRig.Ask(1);
        });
      }
      aRig.RunFor(milliseconds(300));
    },
    Overload,
    StageWithoutAge,
    500 },
  { "reopened_zone",
    "the servers of a reopened zone get their full load at once",
    { .mGates = 5, .mHooks = {}, .mConfig = {} },
    [](gate_rig& aRig) {
      aRig.Load(seconds(12), milliseconds(1));
      aRig.RunFor(seconds(4));
      aRig.SetPools([](pools_table& aPools) { aPools.mClosedZones = { kRigZone }; });
      aRig.RunFor(seconds(1));
      aRig.mServer.mLevel = 0;
      aRig.mServer.mReplies = 0;
      aRig.mServer.mLevelSince = aRig.Now();
      aRig.SetPools([](pools_table& aPools) { aPools.mClosedZones.clear(); });
      aRig.RunFor(seconds(7));
    },
    Overload,
    TopStageAlways,
    1200 },
};

INSTANTIATE_TEST_SUITE_P(rows,
                         protection_test,
                         testing::ValuesIn(kProtections),
                         [](const auto& aInfo) { return aInfo.param.mName; });

} // namespace
} // namespace redwingdock
