#include "testing/fault_schedule.h"

#include <cstdio>

// Compares hedging rules on the manual clock: latency and coverage as callers see them, and the
// extra load on servers. Prints a table for docs/proofs.md. The results are deterministic.

namespace redwingdock::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct rule_row
{
  const char* mName;
  hedge_rule mRule;
  double mQuantile;
};

struct case_row
{
  const char* mName;
  double mStragglers;       // share of requests that take 200 ms longer
  std::size_t mSlowServers; // this many servers take 40 ms longer on every request
  bool mSlowZone;           // all servers of zone-0 take 20 ms longer
};

fault_schedule MakeSchedule(std::uint32_t aFanOut, const rule_row& aRule)
{
  fault_schedule schedule;
  schedule.mFleet.mSeed = 5;
  schedule.mFleet.mShards = aFanOut;
  schedule.mFleet.mHooks.mQuery.mHedgeDelay = aRule.mRule;
  schedule.mFleet.mConfigure = [&aRule](core_config& aConfig) {
    aConfig.mHedgeQuantile = aRule.mQuantile;
  };
  schedule.mLoadDuration = seconds(20);
  schedule.mMeanInterval = milliseconds(20);
  schedule.mSubmitPercent = 0;
  return schedule;
}

void ApplyCase(fake_fleet& aFleet, const case_row& aCase)
{
  std::size_t slow = aCase.mSlowServers;
  for (const auto& server : aFleet.Servers()) {
    server->Faults().mStragglerShare = aCase.mStragglers;
    if (slow > 0) {
      server->Faults().mExtraServiceTime = milliseconds(40);
      --slow;
    }
    if (aCase.mSlowZone && server->Options().mZone == aFleet.ZoneOf(0)) {
      server->Faults().mExtraServiceTime = milliseconds(20);
    }
  }
}

void PrintRow(std::uint32_t aFanOut, const case_row& aCase, const rule_row& aRule)
{
  fault_schedule schedule = MakeSchedule(aFanOut, aRule);
  schedule.mPrepare = [&aCase](fake_fleet& aFleet) { ApplyCase(aFleet, aCase); };
  const schedule_result result = RunSchedule(schedule);
  const fleet_totals& totals = result.mTotals;
  const double needed = static_cast<double>(totals.mQueries) * aFanOut;
  std::printf("| %u | %s | %s | %.1f | %.1f | %.1f | %.3f%% | %+.2f%% |\n",
              aFanOut,
              aCase.mName,
              aRule.mName,
              static_cast<double>(LatencyQuantile(totals, 0.50).count()) / 1000.0,
              static_cast<double>(LatencyQuantile(totals, 0.99).count()) / 1000.0,
              static_cast<double>(LatencyQuantile(totals, 0.999).count()) / 1000.0,
              totals.mCoverage * 100.0,
              (static_cast<double>(totals.mRuns) / needed - 1.0) * 100.0);
}

} // namespace
} // namespace redwingdock::testing

int main()
{
  using namespace redwingdock;
  using namespace redwingdock::testing;
  const rule_row rules[] = {
    { "none", [](std::optional<micros>) { return std::optional<micros>(); }, 0.5 },
    { "after 10 ms",
      [](std::optional<micros>) { return std::optional<micros>(milliseconds(10)); },
      0.5 },
    { "after the 95th percentile",
      [](std::optional<micros> aQuantile) { return aQuantile; },
      0.95 },
    { "after twice the median", HedgeDelayFromQuantile, 0.5 },
  };
  const case_row cases[] = {
    { "1% stragglers", 0.01, 0, false },  { "5% stragglers", 0.05, 0, false },
    { "10% stragglers", 0.10, 0, false }, { "one slow replica", 0.0, 1, false },
    { "one slow zone", 0.0, 0, true },
  };
  std::printf("| fan-out | case | hedge | p50 ms | p99 ms | p99.9 ms | coverage | extra runs |\n");
  std::printf("|---|---|---|---|---|---|---|---|\n");
  for (const std::uint32_t fanOut : { 20U, 53U }) {
    for (const case_row& each : cases) {
      for (const rule_row& rule : rules) {
        PrintRow(fanOut, each, rule);
      }
    }
  }
  return 0;
}
