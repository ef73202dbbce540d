#include "load/outcome_check.h"

#include "base/hash.h"

#include <gtest/gtest.h>

namespace redwingdock::load {
namespace {

const record kA{ "a", { { "office", "x" } } };   // position 3675
const record kOld{ "b", { { "office", "x" } } }; // only in versions up to 3
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
    answer_row{ "a right answer is reported", outcome::Complete, 4, 4096, {}, { kA }, {} },
    answer_row{ "another version is compared", outcome::Complete, 3, 4096, {}, { kA, kOld }, {} },
    answer_row{ "a gap is reported as loss",
                outcome::Partial,
                4,
                3996,
                { { 3600, 3700 } },
                {},
                {} },
    answer_row{ "a refusal is compared with records", outcome::NotRun, 0, 0, {}, {}, {} },
    answer_row{ "a lost record", outcome::Complete, 4, 4096, {}, {}, { Lost } },
    answer_row{ "a record doubled by a late part",
                outcome::Complete,
                4,
                4096,
                {},
                { kA, kA },
                { Doubled, WrongRecord } },
    answer_row{ "parts of two versions",
                outcome::Complete,
                4,
                4096,
                {},
                { kA, kOld },
                { WrongRecord } },
    answer_row{ "a record that does not match",
                outcome::Complete,
                4,
                4096,
                {},
                { kA, kOther },
                { WrongRecord } },
    answer_row{ "a gap in a complete answer",
                outcome::Complete,
                4,
                3996,
                { { 3600, 3700 } },
                {},
                { WrongCoverage } },
    answer_row{ "too low a coverage",
                outcome::Partial,
                4,
                3000,
                { { 3600, 3700 } },
                {},
                { WrongCoverage } },
    answer_row{ "a record in a range named as missing",
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
    submit_row{ "a right answer is reported", outcome::Complete, 1, {} },
    submit_row{ "a request ran twice", outcome::Complete, 2, { Doubled } },
    submit_row{ "an unknown request ran twice", outcome::Unknown, 2, { Doubled } },
    submit_row{ "a request said to be done never ran", outcome::Complete, 0, { Lost } },
    submit_row{ "not_run of a request that ran", outcome::NotRun, 1, { FalseNotRun } },
    submit_row{ "unknown is reported", outcome::Unknown, 0, {} }));

} // namespace
} // namespace redwingdock::load
