#include "daemon/connection_places.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <thread>
#include <type_traits>
#include <vector>

namespace redwingdock {
namespace {

static_assert(!std::is_copy_constructible_v<connection_place> &&
                !std::is_copy_assignable_v<connection_place>,
              "a place that is held twice is given up twice");

struct limit_row
{
  const char* mGuardsAgainst;
  std::uint32_t mLimit;
  std::size_t mAsked;
  std::uint32_t mHeld;
};

class limit_test : public testing::TestWithParam<limit_row>
{};

TEST_P(limit_test, IsKept)
{
  const limit_row& row = GetParam();
  const auto places = std::make_shared<connection_places>();
  std::vector<connection_place> held;
  for (std::size_t i = 0; i < row.mAsked; ++i) {
    held.push_back(TakePlace(places, row.mLimit));
    EXPECT_EQ(held.back().IsHeld(), i < row.mHeld) << row.mGuardsAgainst;
  }
  EXPECT_EQ(places->Held(), row.mHeld) << row.mGuardsAgainst;
  for (connection_place& each : held) {
    each.GiveUp();
    each.GiveUp();
  }
  EXPECT_EQ(places->Held(), 0U) << "a place that is given up again is counted off again";
}

INSTANTIATE_TEST_SUITE_P(cases,
                         limit_test,
                         testing::Values(limit_row{ "no connection is allowed", 4, 3, 3 },
                                         limit_row{ "the limit is passed", 4, 9, 4 },
                                         limit_row{ "a limit of 0 allows one", 0, 2, 0 }));

struct threads_row
{
  const char* mGuardsAgainst;
  std::size_t mThreads;
  std::uint32_t mLimit;
};

class threads_test : public testing::TestWithParam<threads_row>
{};

TEST_P(threads_test, TakeNoMoreThanTheLimitAndGiveAllBack)
{
  const threads_row& row = GetParam();
  constexpr int kRounds = 20'000;
  const auto places = std::make_shared<connection_places>();
  std::atomic<std::uint32_t> most{ 0 };
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < row.mThreads; ++i) {
    threads.emplace_back([&] {
      connection_place kept;
      for (int round = 0; round < kRounds; ++round) {
        connection_place taken = TakePlace(places, row.mLimit);
        const std::uint32_t held = places->Held();
        std::uint32_t known = most;
        while (known < held && !most.compare_exchange_weak(known, held)) {
        }
        kept = std::move(taken);
      }
    });
  }
  for (std::thread& each : threads) {
    each.join();
  }
  EXPECT_LE(most, row.mLimit) << row.mGuardsAgainst;
  EXPECT_EQ(places->Held(), 0U) << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  threads_test,
  testing::Values(threads_row{ "threads that take places at once pass the limit", 8, 3 },
                  threads_row{ "threads that give places up at once lose one", 8, 64 }));

} // namespace
} // namespace redwingdock
