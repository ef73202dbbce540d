#include "forward/client_timeout.h"

#include <gtest/gtest.h>
#include <vector>

namespace redwingdock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kNow{ seconds(1000) };

struct client_timeout_row
{
  const char* mGuardsAgainst;
  std::vector<int> mBefore; // stated by earlier requests, ms
  int mStated;              // by this one, ms
  int mSpent;               // ms
};

class client_timeout_test : public testing::TestWithParam<client_timeout_row>
{};

TEST_P(client_timeout_test, EstimatesTimeBeforeArrival)
{
  client_timeout_record record;
  for (const int each : GetParam().mBefore) {
    record = WithClientTimeout(record, milliseconds(each));
  }
  EXPECT_EQ(TimeBeforeArrival(record, milliseconds(GetParam().mStated), kNow),
            milliseconds(GetParam().mSpent))
    << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  client_timeout_test,
  testing::Values(
    client_timeout_row{ "the first request counts as late", {}, 785, 0 },
    client_timeout_row{ "a single sample is taken as the full timeout", { 800 }, 785, 0 },
    client_timeout_row{ "the time to open a connection is ignored", { 800, 800 }, 785, 15 },
    client_timeout_row{ "a second attempt gets the whole target",
                        { 800, 785, 800, 784 },
                        410,
                        390 },
    client_timeout_row{ "a request with all of its time counts as late",
                        { 800, 785, 800 },
                        800,
                        0 },
    client_timeout_row{ "one client with a long timeout makes all others late",
                        { 800, 9000, 800, 785, 800, 800, 786, 800 },
                        785,
                        15 },
    client_timeout_row{ "a client that states nothing counts as late", { 800, 800 }, 0, 0 },
    client_timeout_row{ "a timeout that clients no longer use still counts",
                        { 900, 900, 900, 900, 800, 800, 800, 800, 800, 800,
                          800, 800, 800, 800, 800, 800, 800, 800, 800, 800 },
                        785,
                        15 }));

struct report_row
{
  const char* mGuardsAgainst;
  std::vector<int> mOwn; // samples of this daemon, ms
  observed_timeout mReport;
  seconds mAfter; // from the report until the request
  int mSpent;     // by a request that states 785 ms, ms
};

class report_test : public testing::TestWithParam<report_row>
{};

TEST_P(report_test, IsUsedWhileOwnSamplesAreMissing)
{
  client_timeout_record record;
  for (const int each : GetParam().mOwn) {
    record = WithClientTimeout(record, milliseconds(each));
  }
  record = WithReport(record, GetParam().mReport, kNow);
  EXPECT_EQ(TimeBeforeArrival(record, milliseconds(785), kNow + GetParam().mAfter),
            milliseconds(GetParam().mSpent))
    << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  report_test,
  testing::Values(report_row{ "a daemon with few requests answers late",
                              { 785 },
                              { "r", milliseconds(800), seconds(60) },
                              seconds(1),
                              15 },
                  // Two clients of a daemon with few requests had both opened a connection.
                  report_row{ "two equal samples of late requests hide the full timeout",
                              { 785, 785 },
                              { "r", milliseconds(800), seconds(60) },
                              seconds(1),
                              15 },
                  report_row{
                    "two equal samples of late requests of another daemon hide the full timeout",
                    { 800, 800 },
                    { "r", milliseconds(785), seconds(60) },
                    seconds(1),
                    15 },
                  report_row{ "a report replaces many samples of the daemon",
                              { 800, 800, 800, 800, 800, 800, 800, 800 },
                              { "r", milliseconds(5000), seconds(60) },
                              seconds(1),
                              15 },
                  report_row{ "a report is used without end",
                              {},
                              { "r", milliseconds(800), seconds(10) },
                              seconds(11),
                              0 },
                  report_row{ "a wrong time left is used without end",
                              {},
                              { "r", milliseconds(800), seconds(3600) },
                              seconds(61),
                              0 },
                  report_row{ "an old report is taken over",
                              {},
                              { "r", milliseconds(800), milliseconds(100) },
                              seconds(0),
                              0 }));

TEST(client_timeout, ReportsDoNotExtendEachOther)
{
  // Guards against an observation that daemons tell each other again and again after it has ended.
  client_timeout_record first = WithReport({}, { "r", milliseconds(800), seconds(60) }, kNow);
  client_timeout_record second;
  instant now = kNow;
  for (int i = 0; i < 100; ++i) {
    now += seconds(1);
    // Each report is on its way for 5 ms.
    second = WithReport(second, ReportOf("r", first, now), now + milliseconds(5));
    first = WithReport(first, ReportOf("r", second, now), now + milliseconds(5));
  }
  EXPECT_EQ(ReportOf("r", first, now).mTimeout, micros(0));
  EXPECT_EQ(ReportOf("r", second, now).mTimeout, micros(0));
}

} // namespace
} // namespace redwingdock
