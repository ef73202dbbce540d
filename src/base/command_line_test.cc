#include "base/command_line.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

constexpr char kUsage[] = R"(Test.

Usage:
  test run FILE [--daemon ADDRESS]... [--wait SECONDS] [--json]
  test (-h | --help | --version)

Options:
  --daemon ADDRESS  Any number.
  --wait SECONDS    Longest wait [default: 60].
  --json            JSON.
)";

struct arguments_row
{
  const char* mGuardsAgainst;
  std::vector<std::string> mArguments;
  std::optional<int> mExitCode;
  std::vector<std::string> mDaemons;
  std::string mWait;
  bool mJson;
};

class arguments_test : public testing::TestWithParam<arguments_row>
{};

TEST_P(arguments_test, Parses)
{
  const arguments_row& row = GetParam();
  std::vector<std::string> texts = row.mArguments;
  texts.insert(texts.begin(), "test");
  std::vector<char*> pointers;
  pointers.reserve(texts.size());
  for (std::string& each : texts) {
    pointers.push_back(each.data());
  }
  parsed_arguments parsed =
    ParseArguments(kUsage, static_cast<int>(pointers.size()), pointers.data());
  EXPECT_EQ(parsed.mExitCode, row.mExitCode) << row.mGuardsAgainst;
  if (!parsed.mExitCode) {
    EXPECT_TRUE(parsed.Has("run")) << row.mGuardsAgainst;
    EXPECT_EQ(parsed.Text("FILE"), "f") << row.mGuardsAgainst;
    EXPECT_EQ(parsed.List("--daemon"), row.mDaemons) << row.mGuardsAgainst;
    EXPECT_EQ(parsed.Text("--wait"), row.mWait) << row.mGuardsAgainst;
    EXPECT_EQ(parsed.Has("--json"), row.mJson) << row.mGuardsAgainst;
  }
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  arguments_test,
  testing::Values(
    arguments_row{ "a flag that was not given is reported as given",
                   { "run", "f" },
                   {},
                   {},
                   "60",
                   false },
    arguments_row{ "only the last address of several is kept",
                   { "run", "f", "--daemon", "a", "--daemon", "b" },
                   {},
                   { "a", "b" },
                   "60",
                   false },
    arguments_row{ "the default replaces a given value",
                   { "run", "f", "--wait", "5", "--json" },
                   {},
                   {},
                   "5",
                   true },
    arguments_row{ "a misspelt option is ignored", { "run", "f", "--jsn5" }, 64, {}, "", false },
    arguments_row{ "a missing argument is ignored", { "run" }, 64, {}, "", false },
    arguments_row{ "--help exits with an error", { "--help" }, 0, {}, "", false },
    arguments_row{ "--version exits with an error", { "--version" }, 0, {}, "", false }));

} // namespace
} // namespace redwingdock
