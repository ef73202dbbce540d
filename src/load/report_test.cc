#include "load/plot.h"
#include "load/report_json.h"

#include <gtest/gtest.h>

namespace redwingdock::load {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns calls every 10 ms with latencies of 1 to aCount milliseconds.
std::vector<sample> Ramp(int aCount, urgency aUrgency, outcome aOutcome)
{
  std::vector<sample> samples;
  for (int i = 1; i <= aCount; ++i) {
    samples.push_back({ .mAt = milliseconds(10 * i),
                        .mLatency = milliseconds(i),
                        .mDeadline = milliseconds(500),
                        .mUrgency = aUrgency,
                        .mOutcome = aOutcome,
                        .mRoute = "r",
                        .mZone = "z",
                        .mAttempts = 1,
                        .mCovered = aOutcome == outcome::Partial ? 2048U : 4096U,
                        .mTotal = 4096 });
  }
  return samples;
}

std::vector<sample> Join(std::vector<sample> aLeft, const std::vector<sample>& aRight)
{
  aLeft.insert(aLeft.end(), aRight.begin(), aRight.end());
  return aLeft;
}

struct summary_row
{
  const char* mGuardsAgainst;
  std::vector<sample> mSamples;
  micros mWarmUp;
  std::uint64_t mCalls;
  double mMinP99Ms;
  double mMaxP99Ms;
  double mCoverage;
  double mInTimeShare;
};

class summary_test : public testing::TestWithParam<summary_row>
{};

load_report Report(const summary_row& aRow)
{
  experiment planned;
  planned.mName = "e";
  planned.mWarmUp = aRow.mWarmUp;
  planned.mEvents = { { seconds(3), event_kind::Mark, "close_zone <z>" } };
  return Summarize(planned, aRow.mSamples);
}

TEST_P(summary_test, Counts)
{
  const summary_row& row = GetParam();
  load_report report = Report(row);
  EXPECT_EQ(report.mTotal.mCalls, row.mCalls) << row.mGuardsAgainst;
  EXPECT_GE(report.mTotal.mLatency.mP99, row.mMinP99Ms) << row.mGuardsAgainst;
  EXPECT_LE(report.mTotal.mLatency.mP99, row.mMaxP99Ms) << row.mGuardsAgainst;
  EXPECT_NEAR(report.mTotal.mCoverage, row.mCoverage, 1e-9) << row.mGuardsAgainst;
  EXPECT_NEAR(report.mInTimeShare, row.mInTimeShare, 1e-9) << row.mGuardsAgainst;
  EXPECT_TRUE(Passed(report));
}

TEST_P(summary_test, SurvivesJson)
{
  load_report report = Report(GetParam());
  report.mServers = server_counts{ 100, 105, 104, 1, 2, 3, 4, 5 };
  AddViolations(report, { { violation_kind::Cut, 7, "r of c: \"cut\"" } });
  EXPECT_FALSE(Passed(report));
  result<load_report> read = ParseReport(WriteReport(report), "e.json");
  ASSERT_TRUE(read) << Describe(read.mReason);
  EXPECT_EQ(*read, report);
  EXPECT_NE(ToText(report, *read).find("p99 ms"), std::string::npos);
  std::string plot = ToSvg(report, *read);
  EXPECT_NE(plot.find("close_zone &lt;z>"), std::string::npos) << "the label is not escaped";
  EXPECT_EQ(plot.find("nan"), std::string::npos);
  EXPECT_EQ(plot.find("inf"), std::string::npos);
}

// The bounds of p99 allow for histogram bins that are 2% wide.
INSTANTIATE_TEST_SUITE_P(
  rows,
  summary_test,
  testing::Values(
    summary_row{ "the p99 is taken at the wrong rank",
                 Ramp(900, urgency::Normal, outcome::Complete),
                 micros(0),
                 900,
                 891,
                 910,
                 1,
                 500.0 / 900 },
    summary_row{ "calls in the warm-up count in the totals",
                 Ramp(900, urgency::Normal, outcome::Complete),
                 seconds(8),
                 101,
                 899,
                 918,
                 1,
                 0 },
    summary_row{ "missing positions count as covered",
                 Ramp(100, urgency::Normal, outcome::Partial),
                 micros(0),
                 100,
                 99,
                 101,
                 0.5,
                 1 },
    summary_row{ "the latency includes calls without an answer",
                 Join(Ramp(100, urgency::Normal, outcome::Complete),
                      Ramp(100, urgency::Normal, outcome::NotRun)),
                 micros(0),
                 200,
                 99,
                 101,
                 0.5,
                 0.5 },
    summary_row{ "background calls have the same weight as urgent ones",
                 Join(Ramp(100, urgency::Urgent, outcome::Complete),
                      Ramp(100, urgency::Background, outcome::NotRun)),
                 micros(0),
                 200,
                 99,
                 101,
                 0.5,
                 0.8 },
    summary_row{ "a report without calls divides by zero", {}, micros(0), 0, 0, 0, 0, 0 }));

} // namespace
} // namespace redwingdock::load
