#include "platform/stop_report.h"

#include <gtest/gtest.h>

namespace redwingdock::platform {
namespace {

using std::chrono::milliseconds;

const instant kNow{ std::chrono::seconds(100) };

struct report_row
{
  const char* mGuardsAgainst;
  stop_summary mSummary;
  std::vector<unfinished_connection> mOpen;
  std::vector<std::string> mLines;
};

class report_test : public testing::TestWithParam<report_row>
{};

TEST_P(report_test, TellsHowRequestsEnd)
{
  const report_row& row = GetParam();
  std::vector<std::string> lines;
  for (const log_line& each : StopReport(row.mSummary, row.mOpen, kNow)) {
    lines.push_back(each.mText);
  }
  EXPECT_EQ(lines, row.mLines) << row.mGuardsAgainst;
}

const std::vector<unsent_reply> kTwoReplies{ { "id-2", 400, kNow - milliseconds(700) },
                                             { "id-3", 2000, kNow - milliseconds(20) } };

INSTANTIATE_TEST_SUITE_P(
  cases,
  report_test,
  testing::Values(
    report_row{ "an end without a reason",
                { milliseconds(2750), false, 0 },
                {},
                { "event=process_end reason=clients_closed after_signal_ms=2750 connections=0 "
                  "unanswered=0 partly_read=0 unsent_replies=0 unsent_bytes=0" } },
    report_row{ "idle connections at the end look like lost requests",
                { milliseconds(5600), true, 3 },
                {},
                { "event=process_end reason=time_limit after_signal_ms=5600 connections=3 "
                  "unanswered=0 partly_read=0 unsent_replies=0 unsent_bytes=0" } },
    report_row{ "a request without a reply cannot be told from one whose reply was not sent",
                { milliseconds(5600), true, 2 },
                { { true, "id-1", false, 12, {} }, { false, "", false, 0, kTwoReplies } },
                { "event=request_unanswered request=\"id-1\" pipelined_bytes=12",
                  "event=reply_unsent request=\"id-2\" unsent_bytes=400 handed_ms_ago=700",
                  "event=reply_unsent request=\"id-3\" unsent_bytes=2000 handed_ms_ago=20",
                  "event=process_end reason=time_limit after_signal_ms=5600 connections=2 "
                  "unanswered=1 partly_read=0 unsent_replies=2 unsent_bytes=2400" } },
    report_row{ "a request that was read in part is not mentioned",
                { milliseconds(5600), true, 1 },
                { { false, "", true, 0, {} } },
                { "event=request_partly_read",
                  "event=process_end reason=time_limit after_signal_ms=5600 connections=1 "
                  "unanswered=0 partly_read=1 unsent_replies=0 unsent_bytes=0" } },
    report_row{ "a request's id forges a field",
                { milliseconds(5600), true, 1 },
                { { true, "a\" unsent_bytes=0\n", false, 0, {} } },
                { "event=request_unanswered request=\"a\\\" unsent_bytes=0\\x0a\" "
                  "pipelined_bytes=0",
                  "event=process_end reason=time_limit after_signal_ms=5600 connections=1 "
                  "unanswered=1 partly_read=0 unsent_replies=0 unsent_bytes=0" } }));

TEST(stop_report, IsBounded)
{
  // Guards against a line for each of thousands of clients at the end of the process.
  const std::vector<unfinished_connection> open(5000, { true, "id", false, 0, {} });
  const std::vector<log_line> lines = StopReport({ milliseconds(5600), true, 5000 }, open, kNow);
  ASSERT_EQ(lines.size(), kMaxOpenLines + 2);
  EXPECT_EQ(lines[kMaxOpenLines].mText, "event=open_lines_omitted count=4980");
  EXPECT_NE(lines.back().mText.find("unanswered=5000"), std::string::npos);
}

struct signal_row
{
  std::size_t mNumber;
  const char* mLine;
};

class signal_test : public testing::TestWithParam<signal_row>
{};

TEST_P(signal_test, TellsWhetherItIsIgnored)
{
  // Guards against a second signal that cannot be seen in the log.
  EXPECT_EQ(StopSignalLine(GetParam().mNumber).mText, GetParam().mLine);
}

INSTANTIATE_TEST_SUITE_P(cases,
                         signal_test,
                         testing::Values(signal_row{ 1, "event=stop_signal number=1 ignored=no" },
                                         signal_row{ 2,
                                                     "event=stop_signal number=2 ignored=yes" }));

} // namespace
} // namespace redwingdock::platform
