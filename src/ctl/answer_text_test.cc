#include "ctl/answer_text.h"

#include <gtest/gtest.h>

namespace redwingdock::ctl {
namespace {

struct exit_row
{
  const char* mGuardsAgainst;
  outcome mOutcome;
  int mCode;
};

class exit_test : public testing::TestWithParam<exit_row>
{};

TEST_P(exit_test, TellsOutcomesApart)
{
  EXPECT_EQ(ExitCode(GetParam().mOutcome), GetParam().mCode) << GetParam().mGuardsAgainst;
  call_result result;
  result.mAnswer.mOutcome = GetParam().mOutcome;
  result.mAnswer.mRecords = { { "a", { { "office", "Solol\"a" } } } };
  result.mAnswer.mCoverage = { 10, 12, { { "p", "s", { { 0, 2 } }, { "send", "s-a", "lost" } } } };
  std::string name = ToString(GetParam().mOutcome);
  EXPECT_TRUE(FormatCall(result).starts_with(name)) << FormatCall(result);
  std::string json = CallToJson(result);
  EXPECT_NE(json.find("\"outcome\":\"" + name + "\""), std::string::npos) << json;
  EXPECT_NE(PrettyJson(json).find("\n  \"outcome\": "), std::string::npos) << PrettyJson(json);
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  exit_test,
  testing::Values(
    exit_row{ "a complete answer has an exit code of failure", outcome::Complete, 0 },
    exit_row{ "a partial answer has the exit code of a complete one", outcome::Partial, 1 },
    exit_row{ "a request that did not run cannot be told apart and is not retried",
              outcome::NotRun,
              75 },
    exit_row{ "a submit that may have run is retried", outcome::Unknown, 76 },
    exit_row{ "a malformed request is retried", outcome::Rejected, 65 }));

} // namespace
} // namespace redwingdock::ctl
