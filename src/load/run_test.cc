#include "load/run.h"

#include "client/fake_daemon.h"

#include <gtest/gtest.h>
#include <mutex>
#include <thread>

namespace redwingdock::load {
namespace {

struct run_row
{
  const char* mGuardsAgainst;
  bool mReachable;
  int mStallMs; // the daemon sends no answers for this long after the start
  const char* mAnswer;
  double mMinP99Ms; // minimum p99 latency, ms
  std::uint64_t mLost;
  const char* mError; // expected step of the error; empty for success
};

class run_test : public testing::TestWithParam<run_row>
{};

constexpr char kWithRecord[] =
  R"({"outcome": "complete", "version": 1, "map": 1, "coverage": {"covered": 4096, "total": 4096,
      "missing": []}, "count": 1, "records": [{"id": "a", "fields": {}}]})";
constexpr char kEmpty[] =
  R"({"outcome": "complete", "version": 1, "map": 1, "coverage": {"covered": 4096, "total": 4096,
      "missing": []}, "count": 0, "records": []})";

TEST_P(run_test, MeasuresFromTheIntendedArrival)
{
  const run_row& row = GetParam();
  std::mutex lock;
  std::string address;
  auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(row.mStallMs);
  fake_daemon daemon([&](const std::string& aTarget, const std::string&) {
    if (aTarget.starts_with("/v1/entry")) {
      std::lock_guard guard(lock);
      return fake_reply{ .mBody = R"({"vm": "vm-1", "address": ")" + address +
                                  R"(", "lifetime_ms": 60000, "key_prefix": ""})" };
    }
    std::this_thread::sleep_until(until);
    return fake_reply{ .mBody = row.mAnswer };
  });
  {
    std::lock_guard guard(lock);
    address = daemon.Address();
  }
  experiment planned;
  planned.mName = "e";
  planned.mDuration = std::chrono::seconds(1);
  planned.mRate = 50;
  planned.mMix = { { .mRoute = "r", .mDeadline = std::chrono::seconds(2) } };
  run_config config{
    .mDaemons = { row.mReachable ? daemon.Address() : UnusedAddress() },
    .mRecords = { { "r",
                    std::make_shared<const record_list>(record_list{ { { "a", {} }, 3675, 0 } }) } }
  };
  result<load_report> report = load::Run(planned, config);
  EXPECT_EQ(report ? "" : report.mReason.mStep, row.mError) << row.mGuardsAgainst;
  if (report) {
    EXPECT_GE(report->mTotal.mLatency.mP99, row.mMinP99Ms) << row.mGuardsAgainst;
    EXPECT_EQ(report->mTotal.mCalls, PlanCalls(planned, config.mRecords).size());
    EXPECT_EQ(report->mViolations.at("lost") > 0, row.mLost > 0) << row.mGuardsAgainst;
  }
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  run_test,
  testing::Values(
    run_row{ "correct answers are reported as violations", true, 0, kWithRecord, 0, 0, "" },
    run_row{ "latency leaves out the time that calls wait during a stall",
             true,
             500,
             kWithRecord,
             400,
             0,
             "" },
    run_row{ "lost records go undetected", true, 0, kEmpty, 0, 1, "" },
    run_row{ "unreachable daemons are reported as slow ones",
             false,
             0,
             kEmpty,
             0,
             0,
             kReachDaemonsStep }));

} // namespace
} // namespace redwingdock::load
