#include "testing/store_schedule.h"

#include <gtest/gtest.h>

namespace redwingdock::testing {
namespace {

constexpr std::uint64_t kSeedsPerRow = 10;

struct seed_row
{
  std::uint64_t mFirst;
};

class store_schedules : public ::testing::TestWithParam<seed_row>
{};

// Guards against combinations of returns from a copy and other faults that no row of a table
// covers. To run a failing seed alone: "store_schedules --first SEED --count 1 --log".
TEST_P(store_schedules, Hold)
{
  for (std::uint64_t seed = GetParam().mFirst; seed < GetParam().mFirst + kSeedsPerRow; ++seed) {
    const store_schedule_result result = RunStoreSchedule(seed);
    for (const std::string& violation : result.mViolations) {
      ADD_FAILURE() << result.mDescription << "\n  " << violation << "\n  store_schedules --first "
                    << seed << " --count 1 --log";
    }
    EXPECT_GT(result.mTotals.mWrites, 0U) << result.mDescription;
  }
}

std::vector<seed_row> Rows()
{
  std::vector<seed_row> rows;
  for (std::uint64_t row = 0; row < 5; ++row) {
    rows.push_back({ 1 + row * kSeedsPerRow });
  }
  return rows;
}

INSTANTIATE_TEST_SUITE_P(seeds_1_to_50, store_schedules, ::testing::ValuesIn(Rows()));

} // namespace
} // namespace redwingdock::testing
