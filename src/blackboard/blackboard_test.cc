#include "blackboard/blackboard.h"

#include <atomic>
#include <gtest/gtest.h>
#include <stdexcept>
#include <thread>

namespace redwingdock {
namespace {

struct number_fact
{
  int mNumber = 0;

  auto operator<=>(const number_fact&) const = default;
};

struct sum
{
  int mSum = 0;
  int mLast = -1;

  auto operator<=>(const sum&) const = default;
};

struct workers_row
{
  const char* mGuardsAgainst;
  std::size_t mShards;
  std::size_t mWorkers;
  int mKeys;
};

class workers_test : public testing::TestWithParam<workers_row>
{};

constexpr int kFactsPerKey = 200;

TEST_P(workers_test, FactsOfAKeyRunOnceInOrder)
{
  const workers_row& row = GetParam();
  blackboard board(row.mShards);
  std::atomic<int> left = row.mKeys * kFactsPerKey;
  std::atomic<int> outOfOrder = 0;
  std::atomic<int> concurrent = 0;
  std::vector<std::atomic<int>> inside(static_cast<std::size_t>(row.mKeys));
  board.OnFact<number_fact>([&](const std::string& aKey, const number_fact& aFact) {
    std::atomic<int>& own = inside[static_cast<std::size_t>(std::stoi(aKey))];
    concurrent += own.fetch_add(1) == 0 ? 0 : 1;
    const auto before = board.Read<sum>(aKey);
    outOfOrder += aFact.mNumber == (before ? before->mLast : -1) + 1 ? 0 : 1;
    board.Write(aKey, sum{ (before ? before->mSum : 0) + 1, aFact.mNumber });
    board.Update<sum>("total", [](const sum* aOld) {
      return std::optional(sum{ (aOld != nullptr ? aOld->mSum : 0) + 1, 0 });
    });
    own.fetch_sub(1);
    if (left.fetch_sub(1) == 1) {
      board.Stop();
    }
  });
  std::vector<std::thread> workers;
  for (std::size_t i = 0; i < row.mWorkers; ++i) {
    workers.emplace_back([&board] { board.RunUntilStopped(); });
  }
  for (int number = 0; number < kFactsPerKey; ++number) {
    for (int key = 0; key < row.mKeys; ++key) {
      board.Post(std::to_string(key), number_fact{ number });
    }
  }
  for (std::thread& worker : workers) {
    worker.join();
  }
  EXPECT_EQ(outOfOrder, 0) << row.mGuardsAgainst;
  EXPECT_EQ(concurrent, 0) << row.mGuardsAgainst;
  EXPECT_EQ(board.Read<sum>("total")->mSum, row.mKeys * kFactsPerKey) << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  workers_test,
  testing::Values(workers_row{ "two workers process one shard at the same time", 1, 4, 8 },
                  workers_row{ "facts are lost between shards", 16, 4, 8 },
                  workers_row{ "a waiting worker misses a fact", 64, 8, 1 }));

struct change_row
{
  const char* mGuardsAgainst;
  std::vector<int> mWrites; // a negative value erases the entry
  int mChanges;
};

class change_test : public testing::TestWithParam<change_row>
{};

TEST_P(change_test, CallsHooksOncePerChange)
{
  blackboard board(4);
  int changes = 0;
  board.OnChange<sum>([&changes](const std::string&) { ++changes; });
  for (const int value : GetParam().mWrites) {
    if (value < 0) {
      board.Erase<sum>("key");
    } else {
      board.Write("key", sum{ value, 0 });
    }
    board.RunUntilIdle();
  }
  EXPECT_EQ(changes, GetParam().mChanges) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  change_test,
  testing::Values(
    change_row{ "controllers are notified of equal values", { 1, 1, 1 }, 1 },
    change_row{ "controllers are not notified of a new value", { 1, 2 }, 2 },
    change_row{ "controllers are not notified of an erased entry", { 1, -1 }, 2 },
    change_row{ "controllers are notified when a missing entry is erased", { -1, -1 }, 0 }));

struct error_row
{
  const char* mGuardsAgainst;
  bool mHasHook;
  int mProcessed; // of three facts, the second of which makes its hook throw
  int mErrors;
};

class error_test : public testing::TestWithParam<error_row>
{};

TEST_P(error_test, DoesNotStopTheShard)
{
  blackboard board(1);
  int processed = 0;
  int errors = 0;
  board.OnFact<int>([&processed](const std::string&, const int& aFact) {
    if (aFact == 2) {
      throw std::runtime_error("unexpected");
    }
    ++processed;
  });
  if (GetParam().mHasHook) {
    board.OnUnexpectedError([&errors](const std::string&) { ++errors; });
  }
  for (const int fact : { 1, 2, 3 }) {
    board.Post("key", fact);
  }
  if (GetParam().mHasHook) {
    board.RunUntilIdle();
  } else {
    EXPECT_THROW(board.RunUntilIdle(), std::runtime_error);
  }
  EXPECT_EQ(processed, GetParam().mProcessed) << GetParam().mGuardsAgainst;
  EXPECT_EQ(errors, GetParam().mErrors) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  error_test,
  testing::Values(
    error_row{ "one unexpected input ends the process or the work on its shard", true, 2, 1 },
    error_row{ "an error that nobody handles is hidden", false, 1, 0 }));

} // namespace
} // namespace redwingdock
