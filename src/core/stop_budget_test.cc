#include "core/stop_budget.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct budget_row
{
  const char* mGuardsAgainst;
  micros mGrace;
  micros mLinger;
  micros mLastForward;
  micros mFinalAnswers;
  micros mFlush;
};

class budget_test : public testing::TestWithParam<budget_row>
{};

TEST_P(budget_test, DividesTheGrace)
{
  const budget_row& row = GetParam();
  const stop_budget expected{
    row.mLinger, row.mLastForward, row.mFinalAnswers, row.mFlush, row.mGrace
  };
  EXPECT_TRUE(StopBudget(row.mGrace) == expected) << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  budget_test,
  testing::Values(budget_row{ "a short grace is used up by the fixed times of a long one",
                              milliseconds(1200),
                              milliseconds(500),
                              milliseconds(980),
                              milliseconds(1000),
                              milliseconds(1150) },
                  budget_row{ "final answers are due as the process is killed",
                              seconds(6),
                              milliseconds(2300),
                              milliseconds(4900),
                              milliseconds(5000),
                              milliseconds(5800) },
                  budget_row{ "callers are kept for as long as requests may run",
                              seconds(30),
                              milliseconds(2300),
                              milliseconds(24'900),
                              milliseconds(25'000),
                              seconds(29) },
                  budget_row{ "a long grace is wasted on sending replies",
                              seconds(3600),
                              milliseconds(2300),
                              milliseconds(3'589'900),
                              milliseconds(3'590'000),
                              seconds(3599) }));

class order_test : public testing::TestWithParam<int>
{};

TEST_P(order_test, KeepsItsPartsInOrder)
{
  // Guards against a part without time, and against an end later than the grace.
  const micros grace = milliseconds(GetParam());
  const stop_budget budget = StopBudget(grace);
  EXPECT_LT(micros(0), budget.mLinger);
  EXPECT_LT(budget.mLinger, budget.mLastForward);
  EXPECT_LT(budget.mLastForward, budget.mFinalAnswers);
  EXPECT_LT(budget.mFinalAnswers, budget.mFlush);
  EXPECT_LT(budget.mFlush, budget.mGrace);
  EXPECT_EQ(budget.mGrace, grace);
  EXPECT_GE(budget.mFinalAnswers, grace * 5 / 6) << "answers sooner than the last sixth";
  EXPECT_GE(grace - budget.mFlush, milliseconds(50)) << "no time to end";
}

INSTANTIATE_TEST_SUITE_P(cases,
                         order_test,
                         testing::Values(1000, 1500, 2500, 6000, 8000, 60'000, 600'000, 3'600'000));

struct changed_row
{
  const char* mGuardsAgainst;
  milliseconds mFinalAnswers;
  milliseconds mLinger;
  stop_budget mExpected;
};

class changed_test : public testing::TestWithParam<changed_row>
{};

TEST_P(changed_test, MovesThePartsBeside)
{
  const changed_row& row = GetParam();
  const stop_budget budget =
    WithLinger(WithFinalAnswers(StopBudget(seconds(6)), row.mFinalAnswers), row.mLinger);
  EXPECT_TRUE(budget == row.mExpected) << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  changed_test,
  testing::Values(
    changed_row{ "an early end waits for the whole grace",
                 milliseconds(1500),
                 milliseconds(400),
                 { milliseconds(400),
                   milliseconds(1400),
                   milliseconds(1500),
                   milliseconds(2300),
                   seconds(6) } },
    changed_row{ "a late end leaves no time to exit",
                 milliseconds(5600),
                 milliseconds(2300),
                 { milliseconds(2300),
                   milliseconds(5500),
                   milliseconds(5600),
                   milliseconds(5800),
                   seconds(6) } },
    changed_row{ "replies are flushed before they are due",
                 milliseconds(9000),
                 milliseconds(9000),
                 { milliseconds(4500),
                   milliseconds(8900),
                   milliseconds(9000),
                   milliseconds(9200),
                   milliseconds(9200) } },
    changed_row{ "a part lies before the signal",
                 milliseconds(1),
                 milliseconds(1),
                 { micros(500), micros(500), milliseconds(1), milliseconds(801), seconds(6) } }));

} // namespace
} // namespace redwingdock
