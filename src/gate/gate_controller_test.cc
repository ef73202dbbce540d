#include "gate/gate_test_rig.h"

#include <gtest/gtest.h>
#include <numeric>

namespace redwingdock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Number of attempts whose result is missing, repeated or wrong, or that ran more than once.
int WrongResults(const gate_rig& aRig)
{
  int failures = 0;
  for (const auto& [attempt, request] : aRig.mRequests) {
    const auto results = aRig.ResultsOf(attempt);
    const auto runs = aRig.mServer.mRuns.find(attempt);
    const int runCount = runs == aRig.mServer.mRuns.end() ? 0 : runs->second;
    if (results.size() != 1 || runCount > 1 ||
        (results.front().mResult == part_result::NotRun && runCount > 0) ||
        (results.front().mResult == part_result::Answered && runCount == 0)) {
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

// Number of urgent parts without an answer.
int UnansweredUrgent(const gate_rig& aRig)
{
  int failures = 0;
  for (const auto& [attempt, request] : aRig.mRequests) {
    const auto results = aRig.ResultsOf(attempt);
    if (request.mUrgency == urgency::Urgent &&
        (results.empty() || results.front().mResult != part_result::Answered)) {
      ++failures;
    }
  }
  return failures;
}

// Number of parts that failed only at their deadline.
int FailedAtDeadline(const gate_rig& aRig)
{
  int failures = 0;
  for (const auto& [attempt, results] : aRig.mResults) {
    failures += results.front().mFailure == part_failure::DeadlinePassed ? 1 : 0;
  }
  return failures;
}

// Number of attempts that the server ran.
int Runs(const gate_rig& aRig)
{
  return static_cast<int>(aRig.mServer.mRuns.size());
}

// A failure that one hook prevents: a script, the count that must stay 0, and a replacement of the
// hook with which it does not.
struct protection_row
{
  const char* mName;
  const char* mGuardsAgainst;
  rig_options mOptions;
  std::function<void(gate_rig&)> mScript;
  int (*mFailures)(const gate_rig&);
  std::function<void(gate_hooks&)> mReplace;
  int mMinAnswered; // a gate that sends nothing must not pass
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
  EXPECT_EQ(WrongResults(rig), 0);
  EXPECT_EQ(rig.mServer.mOverSlots, 0);
  EXPECT_EQ(rig.mServer.mOverConnections, 0);
  EXPECT_GE(rig.mServer.mAnswered, row.mMinAnswered);
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

void UseAnyPermit(gate_hooks& aHooks)
{
  aHooks.mMayUse = [](const permit&, const member_view&, instant) { return true; };
}

void IgnoreConfirmation(gate_hooks& aHooks)
{
  aHooks.mMayUse = [](const permit& aPermit, const member_view& aView, instant aNow) {
    return aPermit.mHolder == aView.mSelf && aPermit.mUsableFrom <= aNow;
  };
  // The default send limit also depends on the confirmation.
  aHooks.mSendLimit = [](const part_request& aRequest, const member_view&, instant, instant) {
    return aRequest.mDeadline;
  };
}

void AlwaysTopStage(gate_hooks& aHooks)
{
  aHooks.mStage = [](const ramp_state&, instant, const core_config&) { return 99U; };
}

void IgnoreEvidenceAge(gate_hooks& aHooks)
{
  aHooks.mStage = [](const ramp_state& aRamp, instant, const core_config&) { return aRamp.mStage; };
  // The default send limit also depends on the age of the evidence.
  aHooks.mSendLimit = [](const part_request& aRequest, const member_view&, instant, instant) {
    return aRequest.mDeadline;
  };
}

void RaiseOnEveryReply(gate_hooks& aHooks)
{
  aHooks.mMayRaiseStage = [](const ramp_state&, instant, const core_config&) { return true; };
}

void NeverSlow(gate_hooks& aHooks)
{
  aHooks.mIsSlow = [](micros, micros) { return false; };
}

void ReleaseAtOnce(gate_hooks& aHooks)
{
  aHooks.mReleaseAt = [](const part_request&, instant aNow, const core_config&) { return aNow; };
}

void ExpireAtOnce(gate_hooks& aHooks)
{
  aHooks.mAbandonedUntil = [](instant aNow, const core_config&) { return aNow; };
}

void UseWholeShare(gate_hooks& aHooks)
{
  aHooks.mConnectionCap = [](const pool_spec& aPool) { return aPool.mConnections / aPool.mSlots; };
}

void SendAnyTime(gate_hooks& aHooks)
{
  aHooks.mSendLimit = [](const part_request&, const member_view&, instant, instant) {
    return kNever;
  };
}

// Partitions gate 0, which keeps the old permits. Gate 1 takes the only permit after the take delay
// of 10 s.
void PartitionAndMovePermit(gate_rig& aRig)
{
  aRig.SetPartitioned(0, true);
  aRig.SetUnconfirmed(0, true);
  aRig.SetPermits(1, { { 0, "vm-1", aRig.Now() + seconds(10) } });
}

void FirstComeFirstServed(gate_hooks& aHooks)
{
  aHooks.mDispatchBefore = [](const part_request&, const part_request&) { return false; };
}

void ShedNothing(gate_hooks& aHooks)
{
  aHooks.mShouldShed = [](const part_request&, instant, micros) { return false; };
}

void NeverSilent(gate_hooks& aHooks)
{
  aHooks.mSilenceTimeout = [](micros, const core_config&) { return seconds(100); };
}

const protection_row kProtections[] = {
  { "five_gates",
    "the daemons together exceed the slots of a server",
    { .mGates = 5, .mWarmServer = true, .mHooks = {}, .mConfig = {} },
    [](gate_rig& aRig) {
      aRig.Load(seconds(5), milliseconds(1));
      aRig.RunFor(seconds(5));
    },
    OverSlots,
    UseAnyPermit,
    1000 },
  { "moved_permit",
    "a partitioned daemon keeps sending under a permit that has a new holder",
    { .mGates = 2, .mSlots = 1, .mWarmServer = true, .mHooks = {}, .mConfig = {} },
    [](gate_rig& aRig) {
      aRig.Load(seconds(16), milliseconds(2));
      aRig.RunFor(seconds(2));
      PartitionAndMovePermit(aRig);
      aRig.RunFor(seconds(14));
    },
    OverSlots,
    IgnoreConfirmation,
    700 },
  { "long_pause",
    "after a pause of 10 s, a daemon sends its queued parts under a moved permit",
    { .mGates = 2, .mSlots = 1, .mWarmServer = true, .mHooks = {}, .mConfig = {} },
    [](gate_rig& aRig) {
      aRig.Load(seconds(14), milliseconds(2), seconds(5));
      aRig.RunFor(seconds(2));
      PartitionAndMovePermit(aRig);
      aRig.Pause(0, seconds(10) + milliseconds(200));
      aRig.RunFor(seconds(12));
    },
    OverSlots,
    IgnoreConfirmation,
    500 },
  { "stalled_front_end",
    "a front end executes a send that was decided before the permit moved",
    { .mGates = 2, .mSlots = 1, .mWarmServer = true, .mHooks = {}, .mConfig = {} },
    [](gate_rig& aRig) {
      aRig.Request(0);
      aRig.RunFor(seconds(1));
      aRig.StallFrontEnd(0, seconds(11));
      aRig.Request(0);
      aRig.RunFor(milliseconds(1));
      PartitionAndMovePermit(aRig);
      aRig.mServer.mService = milliseconds(40);
      aRig.RunFor(seconds(10));
      for (int i = 0; i < 60; ++i) {
        aRig.Request(1, seconds(3));
      }
      aRig.RunFor(seconds(3));
    },
    OverSlots,
    SendAnyTime,
    10 },
  { "broken_connections",
    "a permit is reused while the server still runs the part of a lost connection",
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
    "a permit is reused while the server still runs the part of a silent connection",
    { .mGates = 3, .mWarmServer = true, .mHooks = {}, .mConfig = {} },
    [](gate_rig& aRig) {
      aRig.Load(seconds(8), milliseconds(5), seconds(1));
      aRig.RunFor(seconds(4));
      aRig.mServer.mService = milliseconds(900);
      aRig.mServer.mHonorsCancel = false;
      aRig.RunFor(milliseconds(10));
      aRig.SilenceConnections();
      aRig.RunFor(seconds(4));
    },
    OverSlots,
    ReleaseAtOnce,
    200 },
  { "silent_connections",
    "silent connections that the server still counts are ignored and it exceeds its limit",
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
    ExpireAtOnce,
    100 },
  { "previous_holder",
    "silent connections of a permit's previous and new holder together exceed the limit",
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
    UseWholeShare,
    100 },
  { "cold_start",
    "a cold server gets more requests than it can handle",
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
    AlwaysTopStage,
    1200 },
  { "cold_without_warning",
    "a server turns cold, still reports that it is warm, and keeps its full load",
    { .mGates = 5, .mHooks = {}, .mConfig = {} },
    [](gate_rig& aRig) {
      aRig.mServer.mColdService = milliseconds(60);
      aRig.Load(seconds(14), milliseconds(2));
      aRig.RunFor(seconds(6));
      aRig.mServer.mLevel = 0;
      aRig.mServer.mReplies = 0;
      aRig.mServer.mLevelSince = aRig.Now();
      aRig.mServer.mGraceUntil = aRig.Now() + milliseconds(80); // parts in flight
      aRig.RunFor(seconds(8));
    },
    Overload,
    NeverSlow,
    800 },
  { "cold_mode",
    "a server reports in its replies that it is cold, and keeps its full load",
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
    AlwaysTopStage,
    1200 },
  { "shed_by_server",
    "a server sheds requests and keeps its full load",
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
    AlwaysTopStage,
    1200 },
  { "stale_stage",
    "a holder partitioned from the leader uses a stage from before the server turned cold",
    { .mGates = 2, .mSlots = 2, .mHooks = {}, .mConfig = {} },
    [](gate_rig& aRig) {
      aRig.Load(seconds(4), milliseconds(2));
      aRig.RunFor(seconds(5));
      aRig.SetPartitioned(1, true);
      aRig.mServer.mLevel = 0;
      aRig.mServer.mReplies = 0;
      aRig.RunFor(seconds(3));
      aRig.mServer.mLevelSince = aRig.Now();
      for (int i = 0; i < 100; ++i) {
        aRig.At(milliseconds(2 * i), [&aRig] {
          aRig.Request(0);
          aRig.Request(1);
        });
      }
      aRig.RunFor(milliseconds(300));
    },
    Overload,
    IgnoreEvidenceAge,
    500 },
  { "dispatch_order",
    "urgent parts wait behind less urgent ones while the gate is overloaded",
    { .mSlots = 1, .mWarmServer = true, .mHooks = {}, .mConfig = {} },
    [](gate_rig& aRig) {
      for (int i = 0; i < 400; ++i) {
        aRig.Request(0, milliseconds(200), urgency::Background);
        if (i % 8 == 0) {
          aRig.Request(0, milliseconds(100), urgency::Urgent);
        }
        aRig.RunFor(milliseconds(3));
      }
    },
    UnansweredUrgent,
    FirstComeFirstServed,
    150 },
  { "shedding",
    "an overloaded gate refuses parts only at their deadlines",
    { .mSlots = 1, .mWarmServer = true, .mHooks = {}, .mConfig = {} },
    [](gate_rig& aRig) { aRig.Load(seconds(3), milliseconds(3), milliseconds(100)); },
    FailedAtDeadline,
    ShedNothing,
    400 },
  { "silence",
    "parts on silent connections are given up only at their deadlines",
    { .mGates = 3, .mWarmServer = true, .mHooks = {}, .mConfig = {} },
    [](gate_rig& aRig) {
      aRig.Load(seconds(3), milliseconds(10), seconds(1));
      aRig.RunFor(seconds(1));
      aRig.SilenceConnections();
    },
    FailedAtDeadline,
    NeverSilent,
    70 },
  { "short_pause",
    "parts are sent after a pause under a view that was confirmed before it",
    { .mSlots = 1, .mWarmServer = true, .mHooks = {}, .mConfig = {} },
    [](gate_rig& aRig) {
      aRig.RunFor(milliseconds(10));
      aRig.SetUnconfirmed(0, true);
      aRig.Pause(0, seconds(2));
      aRig.RunFor(milliseconds(2010));
      aRig.Request(0);
    },
    Runs,
    IgnoreConfirmation,
    0 },
  { "reopened_zone",
    "the servers of a reopened zone get their full load immediately",
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
    AlwaysTopStage,
    1200 },
};

INSTANTIATE_TEST_SUITE_P(rows,
                         protection_test,
                         testing::ValuesIn(kProtections),
                         [](const auto& aInfo) { return aInfo.param.mName; });

using final_result = std::pair<part_result, part_failure>;

constexpr final_result kAnswered{ part_result::Answered, part_failure::None };

final_result NotRun(part_failure aFailure)
{
  return { part_result::NotRun, aFailure };
}

final_result Unknown(part_failure aFailure)
{
  return { part_result::Unknown, aFailure };
}

// Each attempt of a script must get exactly one final result, the expected one.
struct result_row
{
  const char* mName;
  const char* mGuardsAgainst;
  rig_options mOptions;
  std::function<std::vector<attempt_id>(gate_rig&)> mScript;
  std::vector<final_result> mExpected;
};

void PrintTo(const result_row& aRow, std::ostream* aOut)
{
  *aOut << aRow.mName;
}

class result_test : public testing::TestWithParam<result_row>
{};

TEST_P(result_test, IsGivenOnce)
{
  const result_row& row = GetParam();
  gate_rig rig(row.mOptions);
  const std::vector<attempt_id> attempts = row.mScript(rig);
  rig.RunFor(seconds(12));
  ASSERT_EQ(attempts.size(), row.mExpected.size());
  for (std::size_t i = 0; i < attempts.size(); ++i) {
    const auto results = rig.ResultsOf(attempts[i]);
    ASSERT_EQ(results.size(), 1U) << "attempt " << i << ": " << row.mGuardsAgainst;
    EXPECT_EQ(results.front().mResult, row.mExpected[i].first)
      << "attempt " << i << ": " << Describe(results.front().mReason);
    EXPECT_STREQ(ToString(results.front().mFailure), ToString(row.mExpected[i].second))
      << "attempt " << i << ": " << row.mGuardsAgainst;
    if (results.front().mResult != part_result::Answered) {
      EXPECT_EQ(results.front().mReason.mStep, "gate");
      EXPECT_EQ(results.front().mReason.mPeer, kRigServer);
    }
  }
  EXPECT_EQ(WrongResults(rig), 0) << row.mGuardsAgainst;
  EXPECT_EQ(rig.mServer.mOverSlots, 0);
}

rig_options OneSlotOptions(std::uint32_t aGates = 1)
{
  return { .mGates = aGates, .mSlots = 1, .mWarmServer = true, .mHooks = {}, .mConfig = {} };
}

rig_options ShortQueueOptions()
{
  rig_options options = OneSlotOptions();
  options.mConfig.mQueueLimit = 1;
  return options;
}

rig_options NeverSilentOptions()
{
  rig_options options = OneSlotOptions();
  options.mConfig.mSilenceLimit = seconds(10);
  return options;
}

const result_row kResults[] = {
  { "answered",
    "nothing is sent",
    OneSlotOptions(),
    [](gate_rig& aRig) {
      return std::vector{ aRig.Request(0), aRig.Request(0) };
    },
    { kAnswered, kAnswered } },
  { "forwarded",
    "the reply to a forwarded part is lost or goes to the gate's own queries",
    OneSlotOptions(2),
    [](gate_rig& aRig) {
      part_request request;
      request.mAttempt = { "vm-1.x", 9U << kAttemptBits };
      request.mServer = kRigServer;
      aRig.mRequests[request.mAttempt] = request;
      aRig.Post(0,
                kRigServer,
                received<forward_part_message>{ "vm-1", "x", { request, milliseconds(100) } });
      return std::vector{ request.mAttempt };
    },
    { kAnswered } },
  { "no_permit",
    "a daemon without a permit queues the part",
    OneSlotOptions(2),
    [](gate_rig& aRig) { return std::vector{ aRig.Request(1) }; },
    { NotRun(part_failure::NotSent) } },
  { "unconfirmed",
    "parts stay queued when the view is no longer confirmed",
    NeverSilentOptions(),
    [](gate_rig& aRig) {
      aRig.mServer.mService = seconds(4);
      aRig.SetUnconfirmed(0, true);
      std::vector attempts{ aRig.Request(0, seconds(5)), aRig.Request(0, seconds(5)) };
      aRig.RunFor(seconds(5));
      attempts.push_back(aRig.Request(0));
      return attempts;
    },
    { kAnswered, NotRun(part_failure::NotSent), NotRun(part_failure::NotSent) } },
  { "draining_in_tables",
    "a server marked as draining in the tables gets new parts",
    OneSlotOptions(),
    [](gate_rig& aRig) {
      aRig.SetPools([](pools_table& aPools) { aPools.mPools[0].mServers[0].mDraining = true; });
      return std::vector{ aRig.Request(0) };
    },
    { NotRun(part_failure::Draining) } },
  { "draining_in_reply",
    "a server that reports that it is draining gets new parts",
    OneSlotOptions(),
    [](gate_rig& aRig) {
      aRig.mServer.mMode = server_mode::Draining;
      std::vector attempts{ aRig.Request(0) };
      aRig.RunFor(milliseconds(50));
      attempts.push_back(aRig.Request(0));
      return attempts;
    },
    { kAnswered, NotRun(part_failure::Draining) } },
  { "drained_and_replaced",
    "the successor of a drained process gets no parts",
    OneSlotOptions(),
    [](gate_rig& aRig) {
      aRig.mServer.mMode = server_mode::Draining;
      std::vector attempts{ aRig.Request(0) };
      aRig.RunFor(milliseconds(50));
      aRig.mServer.mMode = server_mode::Warm;
      aRig.CrashServer("s-1-2");
      aRig.RunFor(milliseconds(50));
      attempts.push_back(aRig.Request(0));
      return attempts;
    },
    { kAnswered, kAnswered } },
  { "closed_zone",
    "parts that wait for a server are sent after its zone was closed",
    OneSlotOptions(),
    [](gate_rig& aRig) {
      aRig.mServer.mService = milliseconds(100);
      std::vector attempts{ aRig.Request(0), aRig.Request(0) };
      aRig.RunFor(milliseconds(50));
      aRig.SetPools([](pools_table& aPools) { aPools.mClosedZones = { kRigZone }; });
      aRig.RunFor(milliseconds(1));
      attempts.push_back(aRig.Request(0));
      return attempts;
    },
    { kAnswered, NotRun(part_failure::Draining), NotRun(part_failure::Draining) } },
  { "removed_server",
    "a server that left the tables gets new parts",
    OneSlotOptions(),
    [](gate_rig& aRig) {
      aRig.SetPools([](pools_table& aPools) { aPools.mPools[0].mServers.clear(); });
      return std::vector{ aRig.Request(0) };
    },
    { NotRun(part_failure::WrongTarget) } },
  { "quarantined",
    "a quarantined request is sent, on arrival or from the queue",
    OneSlotOptions(),
    [](gate_rig& aRig) {
      aRig.mServer.mService = milliseconds(50);
      std::vector attempts{ aRig.Request(0), aRig.Request(0, seconds(1), urgency::Normal, 13) };
      aRig.RunFor(milliseconds(5));
      aRig.Board(0).Write(SuspectKey(13),
                          suspect{ 13, suspicion::Quarantined, {}, aRig.Now() + seconds(60) });
      attempts.push_back(aRig.Request(0, seconds(1), urgency::Normal, 13));
      return attempts;
    },
    { kAnswered, NotRun(part_failure::Shed), NotRun(part_failure::Shed) } },
  { "expired",
    "a part is sent after its deadline",
    OneSlotOptions(),
    [](gate_rig& aRig) {
      aRig.mServer.mService = milliseconds(200);
      std::vector attempts{ aRig.Request(0), aRig.Request(0, milliseconds(0)) };
      aRig.RunFor(milliseconds(300));
      attempts.push_back(aRig.Request(0, milliseconds(90)));
      return attempts;
    },
    { kAnswered, NotRun(part_failure::DeadlinePassed), Unknown(part_failure::DeadlinePassed) } },
  { "repeated_request",
    "a repeated attempt is sent or answered twice",
    OneSlotOptions(),
    [](gate_rig& aRig) {
      const attempt_id attempt = aRig.Request(0);
      const part_request request = aRig.mRequests[attempt];
      aRig.RepeatRequest(0, request, "vm-0");
      aRig.RunFor(milliseconds(3));
      aRig.RepeatRequest(0, request, "vm-0");
      aRig.RunFor(milliseconds(50));
      aRig.RepeatRequest(0, request, "vm-0");
      for (int i = 0; i < 100; ++i) {
        aRig.Request(0);
        aRig.RunFor(milliseconds(10));
      }
      aRig.RepeatRequest(0, request, "vm-0");
      return std::vector{ attempt };
    },
    { kAnswered } },
  { "repeated_reply",
    "a repeated reply gives a second result",
    OneSlotOptions(),
    [](gate_rig& aRig) {
      const attempt_id attempt = aRig.Request(0);
      aRig.RunFor(milliseconds(50));
      part_reply reply = aRig.ResultsOf(attempt).front();
      aRig.Post(0, kRigServer, part_replied{ kRigServer, 1, reply });
      return std::vector{ attempt };
    },
    { kAnswered } },
  { "cancelled",
    "a cancelled part gets two results, or its late reply gives one",
    OneSlotOptions(),
    [](gate_rig& aRig) {
      aRig.mServer.mService = milliseconds(50);
      std::vector attempts{ aRig.Request(0), aRig.Request(0), aRig.Request(0) };
      aRig.RunFor(milliseconds(10));
      aRig.Cancel(0, attempts[0]);
      aRig.Cancel(0, attempts[1]);
      aRig.Cancel(0, attempts[1]);
      aRig.RunFor(milliseconds(100));
      aRig.Cancel(0, attempts[2]);
      return attempts;
    },
    { Unknown(part_failure::Cancelled), NotRun(part_failure::Cancelled), kAnswered } },
  { "cancelled_without_reply",
    "a permit is reused while the server ignores the cancellation of its part",
    OneSlotOptions(),
    [](gate_rig& aRig) {
      aRig.mServer.mService = milliseconds(200);
      aRig.mServer.mHonorsCancel = false;
      std::vector attempts{ aRig.Request(0) };
      aRig.RunFor(milliseconds(10));
      aRig.Cancel(0, attempts[0]);
      attempts.push_back(aRig.Request(0, seconds(5)));
      return attempts;
    },
    { Unknown(part_failure::Cancelled), kAnswered } },
  { "cancelled_before_arrival",
    "a request that arrives after its cancellation is sent",
    OneSlotOptions(),
    [](gate_rig& aRig) {
      const attempt_id attempt{ "vm-0.x", 5U << kAttemptBits };
      aRig.Cancel(0, attempt);
      part_request request;
      request.mAttempt = attempt;
      request.mServer = kRigServer;
      request.mDeadline = aRig.Now() + seconds(1);
      aRig.mRequests[attempt] = request;
      aRig.RepeatRequest(0, request, "vm-0");
      return std::vector{ attempt };
    },
    { NotRun(part_failure::Cancelled) } },
  { "cancelled_by_another",
    "a daemon cancels the part of another daemon",
    OneSlotOptions(),
    [](gate_rig& aRig) {
      const attempt_id attempt = aRig.Request(0);
      aRig.Post(
        0, kRigServer, received<cancel_part_message>{ "vm-9", "x", { attempt, kRigServer } });
      return std::vector{ attempt };
    },
    { kAnswered } },
  { "silent",
    "a part on a silent connection waits until its deadline, or its late reply counts",
    OneSlotOptions(),
    [](gate_rig& aRig) {
      std::vector attempts{ aRig.Request(0) };
      aRig.RunFor(milliseconds(50));
      aRig.SilenceConnections();
      attempts.push_back(aRig.Request(0));
      aRig.RunFor(milliseconds(300));
      attempts.push_back(aRig.Request(0, seconds(3)));
      return attempts;
    },
    { kAnswered, Unknown(part_failure::Silent), kAnswered } },
  { "straggling_parts",
    "connections of slow parts are abandoned as silent until the permit has none left",
    OneSlotOptions(),
    [](gate_rig& aRig) {
      std::vector<attempt_id> attempts;
      for (int i = 0; i < 20; ++i) {
        aRig.mServer.mService = milliseconds(400);
        aRig.Request(0);
        aRig.RunFor(milliseconds(300));
        aRig.mServer.mService = milliseconds(5);
        attempts.push_back(aRig.Request(0));
        aRig.RunFor(milliseconds(100));
      }
      return attempts;
    },
    std::vector(20, kAnswered) },
  { "expired_parts",
    "connections of expired parts are abandoned until the permit has none left",
    OneSlotOptions(),
    [](gate_rig& aRig) {
      std::vector<attempt_id> attempts;
      for (int i = 0; i < 20; ++i) {
        aRig.mServer.mService = milliseconds(200);
        aRig.Request(0, milliseconds(100));
        aRig.RunFor(milliseconds(150));
        aRig.mServer.mService = milliseconds(5);
        attempts.push_back(aRig.Request(0));
        aRig.RunFor(milliseconds(100));
      }
      return attempts;
    },
    std::vector(20, kAnswered) },
  { "slow_submit",
    "a submit is given up while the server still works on it",
    OneSlotOptions(),
    [](gate_rig& aRig) {
      aRig.mServer.mService = milliseconds(400);
      part_request request;
      request.mAttempt = { "vm-0.x", 9U << kAttemptBits };
      request.mServer = kRigServer;
      request.mOperation = operation::Submit;
      request.mDeadline = aRig.Now() + seconds(1);
      aRig.mRequests[request.mAttempt] = request;
      aRig.RepeatRequest(0, request, "vm-0");
      return std::vector{ request.mAttempt };
    },
    { kAnswered } },
  { "hung_server",
    "a server whose process hangs is reported as lost",
    OneSlotOptions(),
    [](gate_rig& aRig) {
      std::vector attempts{ aRig.Request(0) };
      aRig.RunFor(milliseconds(50));
      aRig.mServer.mHung = true;
      attempts.push_back(aRig.Request(0, seconds(1)));
      aRig.RunFor(milliseconds(900));
      EXPECT_TRUE(aRig.mLost.empty());
      return attempts;
    },
    { kAnswered, Unknown(part_failure::DeadlinePassed) } },
  { "check_refused",
    "a silent process that has ended is not reported as lost",
    OneSlotOptions(),
    [](gate_rig& aRig) {
      std::vector attempts{ aRig.Request(0) };
      aRig.RunFor(milliseconds(50));
      aRig.SilenceConnections();
      attempts.push_back(aRig.Request(0));
      aRig.RunFor(milliseconds(10));
      aRig.mServer.mDown = true;
      aRig.RunFor(milliseconds(300));
      EXPECT_EQ(aRig.mLost.size(), 1U);
      return attempts;
    },
    { kAnswered, Unknown(part_failure::ConnectionLost) } },
  { "lost_server",
    "requests in flight on a lost server are not all reported, or reported twice",
    { .mSlots = 2, .mWarmServer = true, .mHooks = {}, .mConfig = {} },
    [](gate_rig& aRig) {
      aRig.Load(seconds(1), milliseconds(20));
      aRig.RunFor(seconds(1) + milliseconds(50));
      aRig.mServer.mService = milliseconds(15);
      std::vector attempts{ aRig.Request(0, milliseconds(500), urgency::Normal, 21),
                            aRig.Request(0, milliseconds(500), urgency::Normal, 22) };
      aRig.RunFor(milliseconds(5));
      aRig.CrashServer("s-1-2");
      aRig.RunFor(milliseconds(10));
      std::multiset<std::uint64_t> lost;
      for (const server_lost& each : aRig.mLost) {
        lost.insert(each.mFingerprints.begin(), each.mFingerprints.end());
      }
      EXPECT_EQ(lost, (std::multiset<std::uint64_t>{ 21, 22 }));
      return attempts;
    },
    { Unknown(part_failure::ConnectionLost), Unknown(part_failure::ConnectionLost) } },
  { "server_down",
    "parts wait for a server that refuses connections",
    OneSlotOptions(),
    [](gate_rig& aRig) {
      aRig.mServer.mDown = true;
      std::vector attempts{ aRig.Request(0) };
      aRig.RunFor(milliseconds(10));
      attempts.push_back(aRig.Request(0));
      aRig.RunFor(milliseconds(100));
      aRig.mServer.mDown = false;
      attempts.push_back(aRig.Request(0));
      return attempts;
    },
    { NotRun(part_failure::NotSent), NotRun(part_failure::NotSent), kAnswered } },
  { "shed_by_server",
    "a refusal by the server counts as a run, or keeps the permit in use",
    OneSlotOptions(),
    [](gate_rig& aRig) {
      aRig.mServer.mSheds = true;
      aRig.mServer.mRunning[{ "other", 1 }] = 0;
      std::vector attempts{ aRig.Request(0) };
      aRig.RunFor(milliseconds(10));
      aRig.mServer.mRunning.clear();
      aRig.mServer.mOverSlots = 0;
      attempts.push_back(aRig.Request(0));
      return attempts;
    },
    { NotRun(part_failure::Shed), kAnswered } },
  { "full_queue",
    "an urgent part is shed in favour of a background part",
    ShortQueueOptions(),
    [](gate_rig& aRig) {
      aRig.mServer.mService = milliseconds(50);
      std::vector attempts{ aRig.Request(0) };
      aRig.RunFor(milliseconds(10));
      attempts.push_back(aRig.Request(0, milliseconds(500), urgency::Background));
      attempts.push_back(aRig.Request(0, milliseconds(500), urgency::Urgent));
      attempts.push_back(aRig.Request(0, milliseconds(500), urgency::Normal));
      return attempts;
    },
    { kAnswered, NotRun(part_failure::Shed), kAnswered, NotRun(part_failure::Shed) } },
  { "long_wait",
    "a part that cannot be answered in time waits until its deadline",
    OneSlotOptions(),
    [](gate_rig& aRig) {
      aRig.mServer.mService = milliseconds(50);
      std::vector attempts{ aRig.Request(0) };
      aRig.RunFor(milliseconds(60));
      attempts.push_back(aRig.Request(0));
      attempts.push_back(aRig.Request(0, milliseconds(160)));
      attempts.push_back(aRig.Request(0, milliseconds(170)));
      attempts.push_back(aRig.Request(0, milliseconds(900)));
      aRig.RunFor(milliseconds(1));
      EXPECT_EQ(aRig.ResultsOf(attempts[3]).size(), 1U);
      return attempts;
    },
    { kAnswered, kAnswered, kAnswered, NotRun(part_failure::Shed), kAnswered } },
  { "pause_before_reply",
    "a reply that waited during a pause of 10 s is lost or counted twice",
    OneSlotOptions(),
    [](gate_rig& aRig) {
      std::vector attempts{ aRig.Request(0) };
      aRig.RunFor(milliseconds(3));
      aRig.Pause(0, seconds(10));
      aRig.RunFor(seconds(11));
      attempts.push_back(aRig.Request(0));
      return attempts;
    },
    { kAnswered, kAnswered } },
  { "short_pause",
    "a part is sent after a pause with a view that was confirmed before it",
    OneSlotOptions(),
    [](gate_rig& aRig) {
      aRig.RunFor(milliseconds(10));
      aRig.Pause(0, seconds(2));
      aRig.SetUnconfirmed(0, true);
      aRig.RunFor(milliseconds(2010));
      std::vector attempts{ aRig.Request(0) };
      aRig.RunFor(milliseconds(10));
      aRig.SetUnconfirmed(0, false);
      aRig.RunFor(milliseconds(500));
      attempts.push_back(aRig.Request(0));
      return attempts;
    },
    { NotRun(part_failure::NotSent), kAnswered } },
};

INSTANTIATE_TEST_SUITE_P(rows, result_test, testing::ValuesIn(kResults), [](const auto& aInfo) {
  return aInfo.param.mName;
});

// Expected stage of the server at each gate after a script.
struct stage_row
{
  const char* mName;
  const char* mGuardsAgainst;
  rig_options mOptions;
  std::function<void(gate_rig&)> mScript;
  std::vector<std::uint32_t> mExpected; // at gates 0, 1, ...
};

void PrintTo(const stage_row& aRow, std::ostream* aOut)
{
  *aOut << aRow.mName;
}

class stage_test : public testing::TestWithParam<stage_row>
{};

TEST_P(stage_test, IsReached)
{
  const stage_row& row = GetParam();
  gate_rig rig(row.mOptions);
  rig.Load(seconds(60), milliseconds(4));
  rig.RunFor(seconds(4));
  for (std::size_t i = 0; i < row.mOptions.mGates; ++i) {
    ASSERT_EQ(rig.StageAt(i), row.mOptions.mSlots - 1);
  }
  row.mScript(rig);
  for (std::size_t i = 0; i < row.mExpected.size(); ++i) {
    EXPECT_EQ(rig.StageAt(i), row.mExpected[i]) << "gate " << i << ": " << row.mGuardsAgainst;
  }
  EXPECT_EQ(rig.mServer.mOverload, 0);
}

rig_options ThreeGatesOptions()
{
  return { .mGates = 3, .mHooks = {}, .mConfig = {} };
}

const stage_row kStages[] = {
  { "leader_restarted",
    "a leader that restarts without state restarts the ramp of a warm server",
    ThreeGatesOptions(),
    [](gate_rig& aRig) {
      aRig.Restart(0);
      aRig.RunFor(milliseconds(600));
    },
    { 2, 2, 2 } },
  { "leader_unreachable",
    "holders with replies of their own lose the stage when the leader is partitioned",
    ThreeGatesOptions(),
    [](gate_rig& aRig) {
      aRig.SetPartitioned(0, true);
      aRig.RunFor(seconds(6));
    },
    { 2, 2, 2 } },
  { "new_instance",
    "a holder keeps the stage of a replaced process",
    ThreeGatesOptions(),
    [](gate_rig& aRig) {
      aRig.CrashServer("s-1-2");
      aRig.RunFor(milliseconds(20));
    },
    { 0, 0, 0 } },
  { "ramp_after_replacement",
    "the ramp of a new process stops below the top stage",
    ThreeGatesOptions(),
    [](gate_rig& aRig) {
      aRig.CrashServer("s-1-2");
      aRig.RunFor(seconds(4));
    },
    { 2, 2, 2 } },
  { "remote_evidence",
    "a new instance that another gate has seen does not reset the stage",
    ThreeGatesOptions(),
    [](gate_rig& aRig) {
      aRig.Post(
        0, kRigServer, server_evidence_received{ kRigServer, { "s-1-9", server_mode::Warm, {} } });
      aRig.RunFor(milliseconds(3));
    },
    { 0, 0, 0 } },
  { "late_remote_evidence",
    "a late report of an earlier process keeps a holder from its permit for good",
    ThreeGatesOptions(),
    [](gate_rig& aRig) {
      aRig.Post(
        2, kRigServer, server_evidence_received{ kRigServer, { "s-1-0", server_mode::Warm, {} } });
      aRig.RunFor(seconds(6));
    },
    { 2, 2, 2 } },
  { "straggler",
    "one slow reply restarts the ramp",
    ThreeGatesOptions(),
    [](gate_rig& aRig) {
      aRig.mServer.mService = milliseconds(100);
      aRig.RunFor(milliseconds(6));
      aRig.mServer.mService = milliseconds(5);
      aRig.RunFor(milliseconds(300));
    },
    { 2, 2, 2 } },
  { "slower_for_good",
    "a server that became permanently slower stays at stage 0",
    ThreeGatesOptions(),
    [](gate_rig& aRig) {
      aRig.mServer.mService = milliseconds(40);
      aRig.mServer.mColdService = milliseconds(40);
      aRig.RunFor(seconds(6));
    },
    { 2, 2, 2 } },
  { "reopened_zone",
    "the servers of a reopened zone keep their stage",
    ThreeGatesOptions(),
    [](gate_rig& aRig) {
      aRig.SetPools([](pools_table& aPools) { aPools.mClosedZones = { kRigZone }; });
      aRig.RunFor(milliseconds(100));
      aRig.SetPools([](pools_table& aPools) { aPools.mClosedZones.clear(); });
      aRig.RunFor(milliseconds(100));
    },
    { 0, 0, 0 } },
  { "successful_liveness_checks",
    "successful liveness checks raise the stage of a cold server",
    ThreeGatesOptions(),
    [](gate_rig& aRig) {
      aRig.mServer.mMode = server_mode::Cold;
      aRig.RunFor(milliseconds(50));
      for (int i = 0; i < 50; ++i) {
        aRig.Post(0, kRigServer, check_answered{ kRigServer, true });
        aRig.RunFor(milliseconds(20));
      }
    },
    { 0, 0, 0 } },
};

INSTANTIATE_TEST_SUITE_P(rows, stage_test, testing::ValuesIn(kStages), [](const auto& aInfo) {
  return aInfo.param.mName;
});

// Injects random faults for a minute. Guards against combinations of faults that no row covers.
class random_faults_test : public testing::TestWithParam<std::uint64_t>
{};

TEST_P(random_faults_test, KeepCapsAndResults)
{
  rig_options options{ .mGates = 5, .mHooks = {}, .mConfig = {} };
  gate_rig rig(options);
  core_config seeded;
  seeded.mRandomSeed = GetParam();
  core_context random(seeded, 1);
  rig.Load(seconds(60), milliseconds(3));
  std::uint32_t instance = 1;
  for (int i = 0; i < 120; ++i) {
    rig.RunFor(milliseconds(100 + random.Random(800)));
    const std::size_t gate = random.Random(options.mGates);
    switch (random.Random(9)) {
      case 0:
        rig.BreakConnections();
        break;
      case 1:
        rig.SilenceConnections();
        break;
      case 2:
        rig.CrashServer("s-1-" + std::to_string(++instance));
        break;
      case 3:
        rig.Pause(gate, milliseconds(200 + random.Random(6000)));
        break;
      case 4:
        rig.SetPartitioned(gate, random.Random(2) == 0);
        break;
      case 5:
        rig.mServer.mService = milliseconds(1 + random.Random(80));
        break;
      case 6:
        rig.mServer.mDown = random.Random(3) == 0;
        break;
      case 7:
        rig.StallFrontEnd(gate, milliseconds(random.Random(3000)));
        break;
      default: {
        const attempt_id attempt = rig.Request(gate);
        if (random.Random(2) == 0) {
          rig.RepeatRequest(gate, rig.mRequests[attempt], rig.NameOf(gate));
        }
        rig.RunFor(milliseconds(random.Random(10)));
        rig.Cancel(gate, attempt);
      }
    }
  }
  rig.mServer.mDown = false;
  rig.mServer.mService = milliseconds(5);
  for (std::size_t i = 0; i < options.mGates; ++i) {
    rig.SetPartitioned(i, false);
  }
  rig.RunFor(options.mConfig.mSilentHold + seconds(10)); // the last silent connections expire
  rig.Load(seconds(8), milliseconds(3));
  rig.RunFor(seconds(6));
  const int before = rig.mServer.mAnswered;
  rig.RunFor(seconds(10));
  EXPECT_EQ(rig.mServer.mOverSlots, 0);
  EXPECT_EQ(rig.mServer.mOverConnections, 0);
  EXPECT_EQ(WrongResults(rig), 0);
  // Three of five gates hold a permit and get 200 of 333 requests/s.
  EXPECT_GT(rig.mServer.mAnswered - before, 380) << "no full service after the faults";
}

INSTANTIATE_TEST_SUITE_P(seeds, random_faults_test, testing::Range<std::uint64_t>(1, 13));

} // namespace
} // namespace redwingdock
