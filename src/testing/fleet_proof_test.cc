#include "testing/fault_schedule.h"

#include <gtest/gtest.h>

// Each row injects one kind of fault. The checks pass with the default behaviour and must fail when
// the hook of the protecting mechanism is replaced, which shows that the row can detect the
// failure.

namespace redwingdock::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct proof_row
{
  const char* mGuardsAgainst;
  std::uint64_t mSeed;
  std::vector<fault> mFaults;
  std::function<void(fault_schedule&)> mAdjust; // adjusts load and fleet; may be empty
  std::function<void(record_search_hooks&)> mDisableMechanism;
};

fault_schedule MakeSchedule(const proof_row& aRow)
{
  fault_schedule schedule;
  schedule.mFleet.mSeed = aRow.mSeed;
  schedule.mFaults = aRow.mFaults;
  if (aRow.mAdjust) {
    aRow.mAdjust(schedule);
  }
  return schedule;
}

std::string Join(const std::vector<std::string>& aLines)
{
  std::string text;
  for (const std::string& line : aLines) {
    text += line + "\n";
  }
  return text;
}

std::string Summarize(const schedule_result& aResult)
{
  const fleet_totals& totals = aResult.mTotals;
  return std::to_string(totals.mQueries) + " queries, " + std::to_string(totals.mComplete) +
         " complete, " + std::to_string(totals.mPartial) + " partial, " +
         std::to_string(totals.mNotRun) + " not run, " + std::to_string(totals.mUnknown) +
         " unknown, coverage " + std::to_string(totals.mCoverage) + ", p99 " +
         std::to_string(LatencyQuantile(totals, 0.99).count()) + " us";
}

class fleet_proof : public ::testing::TestWithParam<proof_row>
{};

TEST_P(fleet_proof, Holds)
{
  const schedule_result result = RunSchedule(MakeSchedule(GetParam()));
  EXPECT_TRUE(result.mViolations.empty()) << GetParam().mGuardsAgainst << "\n"
                                          << Join(result.mViolations);
  EXPECT_GT(result.mTotals.mComplete, 0U);
  std::cout << GetParam().mGuardsAgainst << ": " << Summarize(result) << "\n";
}

TEST_P(fleet_proof, FailsWithoutTheMechanism)
{
  fault_schedule schedule = MakeSchedule(GetParam());
  GetParam().mDisableMechanism(schedule.mFleet.mHooks);
  const schedule_result result = RunSchedule(schedule);
  EXPECT_FALSE(result.mViolations.empty()) << GetParam().mGuardsAgainst;
  std::cout << GetParam().mGuardsAgainst << ", mechanism replaced: " << Join(result.mViolations);
}

void UseNewestOfEachServer(record_search_hooks& aHooks)
{
  aHooks.mQuery.mChooseSnapshot = [](const std::vector<shard_info>& aShards) {
    return snapshot{ 0, ChooseSnapshot(aShards).mMap };
  };
  aHooks.mQuery.mCheckReply = [](const query_state&, const part_state&, const part_reply&) {
    return std::optional<reason>();
  };
}

void RepeatAnySubmit(record_search_hooks& aHooks)
{
  aHooks.mQuery.mMayRepeatSubmit = [](part_result) { return true; };
}

void RunEveryKeyLocally(record_search_hooks& aHooks)
{
  aHooks.mQuery.mIsHome = [](const request_key&, const core_config&) { return true; };
}

void IgnoreConfirmation(record_search_hooks& aHooks)
{
  aHooks.mGate.mMayUse = [](const permit& aPermit, const member_view& aView, instant) {
    return aPermit.mHolder == aView.mSelf;
  };
}

void AlwaysTopStage(record_search_hooks& aHooks)
{
  aHooks.mGate.mStage = [](const ramp_state&, instant, const core_config&) { return 9U; };
}

void ForgetSilentConnections(record_search_hooks& aHooks)
{
  aHooks.mGate.mAbandonedUntil = [](instant aNow, const core_config&) { return aNow; };
  aHooks.mGate.mConnectionCap = [](const pool_spec& aPool) {
    return aPool.mConnections / aPool.mSlots;
  };
}

void IgnoreClosedZones(record_search_hooks& aHooks)
{
  aHooks.mTables.mParsePools = [](const std::string& aText, const std::string& aFile) {
    result<pools_table> parsed = ParsePools(aText, aFile);
    if (parsed) {
      parsed.mValue->mClosedZones.clear();
    }
    return parsed;
  };
}

void IgnoreDrains(record_search_hooks& aHooks)
{
  aHooks.mTables.mParsePools = [](const std::string& aText, const std::string& aFile) {
    result<pools_table> parsed = ParsePools(aText, aFile);
    if (parsed) {
      for (pool_spec& pool : parsed.mValue->mPools) {
        for (server_spec& server : pool.mServers) {
          server.mDraining = false;
        }
      }
    }
    return parsed;
  };
}

// Slows servers enough that about one in three crashes hits a server with a submit in flight.
void SubmitLoad(fault_schedule& aSchedule)
{
  aSchedule.mSubmitPercent = 100;
  aSchedule.mMeanInterval = milliseconds(8);
  aSchedule.mLoadDuration = seconds(14);
  aSchedule.mPrepare = [](fake_fleet& aFleet) {
    for (const auto& server : aFleet.Servers()) {
      server->Faults().mExtraServiceTime = milliseconds(30);
    }
  };
}

void HighLoad(fault_schedule& aSchedule)
{
  aSchedule.mMeanInterval = milliseconds(4);
}

void FewConnectionsLoad(fault_schedule& aSchedule)
{
  aSchedule.mFleet.mConnections = 6;
  aSchedule.mMeanInterval = milliseconds(4);
}

std::vector<fault> CrashEveryServerOnce()
{
  std::vector<fault> faults;
  for (std::size_t server = 0; server < 12; ++server) {
    faults.push_back(
      { fault_kind::CrashServer, milliseconds(1000 + 1000 * server), {}, server, 1 });
  }
  return faults;
}

std::vector<fault> Concatenate(std::vector<fault> aFaults, const std::vector<fault>& aMore)
{
  aFaults.insert(aFaults.end(), aMore.begin(), aMore.end());
  return aFaults;
}

std::vector<fault> SilenceRepeatedly()
{
  std::vector<fault> faults;
  for (std::size_t round = 0; round < 8; ++round) {
    for (std::size_t daemon = 0; daemon < 5; ++daemon) {
      faults.push_back(
        { fault_kind::SilenceConnections, milliseconds(500 + 1000 * round), {}, 0, daemon });
    }
  }
  return faults;
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  fleet_proof,
  ::testing::Values(
    proof_row{ "answer mixed from two index versions while one rolls out",
               11,
               { { fault_kind::NewVersion, seconds(2), {}, 0, 1 },
                 { fault_kind::Repartition, seconds(6), {}, 0, 1 } },
               HighLoad,
               UseNewestOfEachServer },
    proof_row{ "submit run twice after servers were lost",
               12,
               CrashEveryServerOnce(),
               SubmitLoad,
               RepeatAnySubmit },
    proof_row{ "submit run twice after daemons restarted with empty state, one paused for 10 s, "
               "one partitioned",
               13,
               Concatenate(CrashEveryServerOnce(),
                           { { fault_kind::RestartDaemon, seconds(2), {}, 0, 1 },
                             { fault_kind::PauseDaemon, seconds(3), seconds(10), 1, 1 },
                             { fault_kind::PartitionDaemons, seconds(5), seconds(4), 2, 2 },
                             { fault_kind::RestartDaemon, seconds(7), {}, 3, 1 } }),
               SubmitLoad,
               RunEveryKeyLocally },
    proof_row{ "slots exceeded while a replaced VM keeps running, cut off, beside its replacement",
               14,
               { { fault_kind::ReplaceVm, seconds(2), seconds(16), 1, 1 } },
               [](fault_schedule& aSchedule) {
                 aSchedule.mLoadDuration = seconds(20);
                 aSchedule.mMeanInterval = milliseconds(3);
                 aSchedule.mFleet.mShards = 3;
               },
               IgnoreConfirmation },
    proof_row{ "load on cold servers above their capacity",
               15,
               { { fault_kind::CrashServer, seconds(2), {}, 0, 1 },
                 { fault_kind::TurnServerCold, seconds(5), {}, 3, 1 },
                 { fault_kind::CrashServer, seconds(7), {}, 5, 1 } },
               [](fault_schedule& aSchedule) {
                 aSchedule.mMeanInterval = milliseconds(3);
                 aSchedule.mFleet.mShards = 3;
               },
               AlwaysTopStage },
    proof_row{ "connection limit exceeded while the server still counts silent connections",
               16,
               SilenceRepeatedly(),
               FewConnectionsLoad,
               ForgetSilentConnections },
    proof_row{ "new work in a closed zone after 5 s",
               17,
               { { fault_kind::CloseZone, seconds(1), {}, 1, 1 } },
               {},
               IgnoreClosedZones },
    proof_row{ "new work on a draining server after 5 s",
               18,
               { { fault_kind::DrainServer, seconds(1), {}, 4, 1 } },
               {},
               IgnoreDrains }));

struct first_submit_row
{
  const char* mGuardsAgainst;
  std::uint32_t mSubmitPercent;
};

class first_submit : public ::testing::TestWithParam<first_submit_row>
{};

// Guards against a first submit that ends unknown. The tables already list partition map 4 while
// the servers serve map 3: a server that picks the version itself runs the submit on a map that the
// plan did not use.
TEST_P(first_submit, IsAnsweredAfterAStart)
{
  fault_schedule schedule;
  schedule.mFleet.mSeed = 41;
  schedule.mSubmitPercent = GetParam().mSubmitPercent;
  schedule.mLoadDuration = seconds(3);
  const schedule_result result = RunSchedule(schedule);
  EXPECT_TRUE(result.mViolations.empty()) << Join(result.mViolations);
  EXPECT_EQ(result.mTotals.mUnknown, 0U) << GetParam().mGuardsAgainst;
  EXPECT_EQ(result.mTotals.mComplete, result.mTotals.mQueries) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  first_submit,
  ::testing::Values(first_submit_row{ "first submit without any search before it", 100 },
                    first_submit_row{ "first submits between searches", 50 }));

struct crash_row
{
  const char* mGuardsAgainst;
  std::uint32_t mShards;
  std::uint32_t mReplicas;
};

class crash_request : public ::testing::TestWithParam<crash_row>
{};

// Upper bound of servers lost when a caller sends the crashing request to each of the five daemons
// in turn: one server per shard in the first scatter, the hedges of one query, and one canary part.
std::uint64_t MaxServersLost(const crash_row& aRow)
{
  return aRow.mShards + (1 + aRow.mShards / 10) + 1;
}

fault_schedule MakeCrashSchedule(const crash_row& aRow)
{
  fault_schedule schedule;
  schedule.mFleet.mSeed = 21;
  schedule.mFleet.mShards = aRow.mShards;
  schedule.mFleet.mReplicas = aRow.mReplicas;
  schedule.mFaults = { { fault_kind::CrashRequest, seconds(2), {}, 0, 1 } };
  return schedule;
}

TEST_P(crash_request, LosesAtMostTheBound)
{
  const schedule_result result = RunSchedule(MakeCrashSchedule(GetParam()));
  EXPECT_TRUE(result.mViolations.empty()) << Join(result.mViolations);
  EXPECT_GT(result.mServersLost, 0U) << "the request crashed no server";
  EXPECT_LE(result.mServersLost, MaxServersLost(GetParam())) << GetParam().mGuardsAgainst;
  std::cout << GetParam().mGuardsAgainst << ": " << result.mServersLost << " servers lost, bound "
            << MaxServersLost(GetParam()) << "; " << Summarize(result) << "\n";
}

TEST_P(crash_request, LosesMoreWithoutTheMechanism)
{
  fault_schedule schedule = MakeCrashSchedule(GetParam());
  schedule.mFleet.mHooks.mQuery.mDeferLostParts = false;
  schedule.mFleet.mHooks.mQuery.mCanary = false;
  schedule.mFleet.mConfigure = [](core_config& aConfig) {
    aConfig.mQuarantineTime = milliseconds(1);
    aConfig.mSuspectTime = milliseconds(1);
  };
  EXPECT_GT(RunSchedule(schedule).mServersLost, MaxServersLost(GetParam()));
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  crash_request,
  ::testing::Values(crash_row{ "crashing request sent to each daemon, 6 shards", 6, 2 },
                    crash_row{ "crashing request sent to each daemon, 20 shards", 20, 2 }));

struct stop_row
{
  const char* mGuardsAgainst;
  fault_kind mKind;
  micros mExtraServiceTime; // added to the service time of every server
  bool mInterrupts;
};

class planned_stop : public ::testing::TestWithParam<stop_row>
{};

// A planned stop must interrupt no request: the daemon serves until the longest entry lifetime is
// over. The kill row shows that the count of interrupted requests can be above zero.
TEST_P(planned_stop, CutRequests)
{
  fault_schedule schedule;
  schedule.mFleet.mSeed = 31;
  schedule.mLoadDuration = seconds(18);
  schedule.mMeanInterval = milliseconds(5);
  schedule.mPrepare = [](fake_fleet& aFleet) {
    for (const auto& server : aFleet.Servers()) {
      server->Faults().mExtraServiceTime = GetParam().mExtraServiceTime;
    }
  };
  schedule.mFaults = { { GetParam().mKind, seconds(2), {}, 2, 1 } };
  const schedule_result result = RunSchedule(schedule);
  EXPECT_TRUE(result.mViolations.empty()) << Join(result.mViolations);
  EXPECT_EQ(result.mTotals.mDaemonLost > 0, GetParam().mInterrupts) << GetParam().mGuardsAgainst;
  EXPECT_EQ(result.mDaemonsStopped, GetParam().mInterrupts ? 0U : 1U) << GetParam().mGuardsAgainst;
  std::cout << GetParam().mGuardsAgainst << ": " << result.mTotals.mDaemonLost << " interrupted; "
            << Summarize(result) << "\n";
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  planned_stop,
  ::testing::Values(
    stop_row{ "planned stop interrupts requests", fault_kind::StopDaemon, micros(0), false },
    stop_row{ "planned stop never ends while other daemons forward parts",
              fault_kind::StopDaemon,
              milliseconds(30),
              false },
    stop_row{ "the count of interrupted requests is always zero",
              fault_kind::KillDaemon,
              micros(0),
              true }));

} // namespace
} // namespace redwingdock::testing
