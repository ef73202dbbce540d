#include "tables/table_history.h"

#include <gtest/gtest.h>
#include <vector>

namespace redwingdock {
namespace {

constexpr std::uint64_t kText = 100;
constexpr std::uint64_t kOtherText = 200;

struct answer_row
{
  const char* mGuardsAgainst;
  std::vector<table_revision> mKnown; // with kText
  std::uint64_t mNumber;
  std::uint64_t mTextHash;
  table_revision mExpected;
};

class answer_test : public testing::TestWithParam<answer_row>
{};

TEST_P(answer_test, BelongsToAHistory)
{
  table_history history;
  for (const table_revision& each : GetParam().mKnown) {
    history = WithTable(history, each, kText, instant{});
  }
  EXPECT_EQ(RevisionOfAnswer(history, GetParam().mNumber, GetParam().mTextHash),
            GetParam().mExpected)
    << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  answer_test,
  testing::Values(answer_row{ "the first table is of a later history", {}, 31, kText, 31 },
                  answer_row{ "a newer table is of a later history", { 31 }, 32, kOtherText, 32 },
                  answer_row{ "a stale service starts a history", { 30, 31 }, 30, kText, 30 },
                  answer_row{ "a stale service starts a history with a table that was missed",
                              { 29, 31 },
                              30,
                              kOtherText,
                              30 },
                  answer_row{ "a restored service goes unnoticed below the revision that is known",
                              { 30, 31 },
                              30,
                              kOtherText,
                              { 1, 30 } },
                  answer_row{ "a restored service goes unnoticed at the revision that is known",
                              { 31 },
                              31,
                              kOtherText,
                              { 1, 31 } },
                  answer_row{ "tables of the lost history start the history after the next",
                              { 30, 31, { 1, 30 } },
                              31,
                              kOtherText,
                              { 1, 31 } },
                  answer_row{ "a service that is restored again goes unnoticed",
                              { 31, { 1, 30 } },
                              30,
                              kOtherText,
                              { 2, 30 } },
                  answer_row{ "a late table of an earlier history counts in the later one",
                              { { 1, 30 }, 31 },
                              31,
                              kOtherText,
                              { 1, 31 } }));

} // namespace
} // namespace redwingdock
