#include "ctl/log_trace.h"

#include <gtest/gtest.h>
#include <sstream>

namespace redwingdock::ctl {
namespace {

const std::string kPrefix = "2026-04-02T12:40:38.073Z info forward: ";

struct trace_row
{
  const char* mGuardsAgainst;
  std::vector<std::string> mLines; // after the prefix
  std::size_t mMatchingLines;
  const char* mCause;
};

class trace_test : public testing::TestWithParam<trace_row>
{};

TEST_P(trace_test, NamesTheCause)
{
  std::string log;
  for (const std::string& line : GetParam().mLines) {
    log += kPrefix + line + "\n";
  }
  std::istringstream input(log);
  const std::vector<trace_line> lines = ReadRequestLines(input, "vm-1.log", "9c");
  EXPECT_EQ(lines.size(), GetParam().mMatchingLines) << GetParam().mGuardsAgainst;
  EXPECT_EQ(DetermineCause(lines), GetParam().mCause) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  trace_test,
  testing::Values(
    trace_row{ "a request with another ID as prefix is included",
               { R"(event=answer request="9cc" outcome=failed)" },
               0,
               "no line names this request: it reached none of these daemons" },
    trace_row{
      "the cause does not name a missing shard",
      { R"(event=routed request="9c" route=r)",
        R"(event=attempt_failed request="9c" part=1 replica=i-1 end=lost reason="read reply i-1: timed out")",
        R"(event=answer request="9c" outcome=gathered after_ms=183 parts=19/20 missing="s7:lost")" },
      3,
      "answered after 183 ms with 19/20 parts; without reply: s7:lost; failed attempts: 1 "
      "lost (last: read reply i-1: timed out)" },
    trace_row{
      "the cause of a refusal lacks its reason",
      { R"(event=answer request="9c" host="h" path="/x" outcome=not_run reason="route h: no configuration is known yet")" },
      1,
      "refused as not run: route h: no configuration is known yet" },
    trace_row{
      "the cause of a timeout does not name the shards without reply",
      { R"(event=answer request="9c" outcome=timed_out after_ms=1195 parts=0/1 missing="s1:open")" },
      1,
      "the deadline passed after 1195 ms; without reply: s1:open; no attempt failed" },
    trace_row{ "a closed client connection is reported as a failure",
               { R"(event=abandoned request="9c" after_ms=99)" },
               1,
               "the client closed its connection after 99 ms; no attempt failed" },
    trace_row{ "a request without an answer line is reported as answered",
               { R"(event=routed request="9c" route=r)" },
               1,
               "there is no answer: the process ended, or lines were left out "
               "(event=lines_omitted); no attempt failed" }));

TEST(log_trace, TheWordBeforeTheTimeNamesTheSource)
{
  // Guards against lines of several daemons in one stream that cannot be told apart by source.
  const auto line = ParseLine("  0.0734 front-a-1 " + kPrefix + "event=routed request=\"9c\"", "-");
  ASSERT_TRUE(line);
  EXPECT_EQ(line->mSource, "front-a-1");
  EXPECT_EQ(line->mComponent, "forward");
  EXPECT_FALSE(ParseLine("no time here", "-"));
}

} // namespace
} // namespace redwingdock::ctl
