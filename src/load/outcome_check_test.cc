#include "load/outcome_check.h"

#include "base/hash.h"

#include <gtest/gtest.h>

namespace redwingdock::load {
namespace {

const record kA{ "a", { { "office", "x" } } };   // at position 3675
const record kOld{ "b", { { "office", "x" } } }; // in versions up to 3 only
const record kOther{ "c", { { "office", "y" } } };

record_list Records()
{
  return { { kA, PositionOf("a"), 0 },
           { kOld, PositionOf("b"), 0, 3 },
           { kOther, PositionOf("c"), 0 } };
}

struct answer_row
{
  const char* mGuardsAgainst;
  outcome mOutcome;
  std::uint64_t mVersion;
  std::uint32_t mCovered;
  position_ranges mMissing;
  std::vector<record> mRecords;
  std::vector<violation_kind> mFound;
};

class answer_test : public testing::TestWithParam<answer_row>
{};

TEST_P(answer_test, FindsViolations)
{
  const answer_row& row = GetParam();
  planned_call call;
  call.mRequest.mFilter = { { "office", "x" } };
  call_result result;
  result.mAnswer.mOutcome = row.mOutcome;
  result.mAnswer.mVersion = row.mVersion;
  result.mAnswer.mCoverage = { row.mCovered, kPositions, {} };
  if (!row.mMissing.empty()) {
    result.mAnswer.mCoverage.mMissing.push_back({ "p", "s", row.mMissing, {} });
  }
  result.mAnswer.mRecords = row.mRecords;
  std::vector<violation_kind> found;
  for (const violation& each : CheckAnswer(call, result, Records())) {
    found.push_back(each.mKind);
  }
  EXPECT_EQ(found, row.mFound) << row.mGuardsAgainst;
}

using enum violation_kind;

INSTANTIATE_TEST_SUITE_P(
  rows,
  answer_test,
  testing::Values(
    answer_row{ "a correct answer is reported as a violation",
                outcome::Complete,
                4,
                4096,
                {},
                { kA },
                {} },
    answer_row{ "an answer is compared with another index version",
                outcome::Complete,
                3,
                4096,
                {},
                { kA, kOld },
                {} },
    answer_row{ "records in a missing range are reported as lost",
                outcome::Partial,
                4,
                3996,
                { { 3600, 3700 } },
                {},
                {} },
    answer_row{ "an answer without results is compared with the records",
                outcome::NotRun,
                0,
                0,
                {},
                {},
                {} },
    answer_row{ "a lost record goes undetected", outcome::Complete, 4, 4096, {}, {}, { Lost } },
    answer_row{ "a late part returns a record twice",
                outcome::Complete,
                4,
                4096,
                {},
                { kA, kA },
                { Doubled, WrongRecord } },
    answer_row{ "an answer mixes parts of two versions",
                outcome::Complete,
                4,
                4096,
                {},
                { kA, kOld },
                { WrongRecord } },
    answer_row{ "a record does not match the filter",
                outcome::Complete,
                4,
                4096,
                {},
                { kA, kOther },
                { WrongRecord } },
    answer_row{ "a complete answer has a missing range",
                outcome::Complete,
                4,
                3996,
                { { 3600, 3700 } },
                {},
                { WrongCoverage } },
    answer_row{ "covered and missing positions do not add up",
                outcome::Partial,
                4,
                3000,
                { { 3600, 3700 } },
                {},
                { WrongCoverage } },
    answer_row{ "a record lies in a range that is reported as missing",
                outcome::Partial,
                4,
                3996,
                { { 3600, 3700 } },
                { kA },
                { WrongCoverage } }));

struct submit_row
{
  const char* mGuardsAgainst;
  outcome mOutcome;
  std::uint64_t mRuns;
  std::vector<violation_kind> mFound;
};

class submit_test : public testing::TestWithParam<submit_row>
{};

TEST_P(submit_test, ComparesWithRuns)
{
  const submit_row& row = GetParam();
  planned_call call;
  call.mOperation = operation::Submit;
  call_result result;
  result.mRequestKey = "vm.1.k";
  result.mAnswer.mOutcome = row.mOutcome;
  std::vector<violation_kind> found;
  for (const violation& each : CheckSubmit(call, result, { { "vm.1.k", row.mRuns } })) {
    found.push_back(each.mKind);
  }
  EXPECT_EQ(found, row.mFound) << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  submit_test,
  testing::Values(
    submit_row{ "a correct answer is reported as a violation", outcome::Complete, 1, {} },
    submit_row{ "a completed submit ran twice", outcome::Complete, 2, { Doubled } },
    submit_row{ "a submit with unknown outcome ran twice", outcome::Unknown, 2, { Doubled } },
    submit_row{ "a completed submit never ran", outcome::Complete, 0, { Lost } },
    submit_row{ "a submit answered as not_run did run", outcome::NotRun, 1, { FalseNotRun } },
    submit_row{ "an unknown outcome is reported as a violation", outcome::Unknown, 0, {} }));

} // namespace
} // namespace redwingdock::load
