#include "testing/fault_schedule.h"

#include <gtest/gtest.h>

namespace redwingdock::testing {
namespace {

constexpr std::uint64_t kSeedsPerRow = 50;

struct seed_row
{
  std::uint64_t mFirst;
};

class random_schedules : public ::testing::TestWithParam<seed_row>
{};

// Guards against violations by combinations of faults that no other test covers. To run a failing
// seed alone: "fault_schedules --first SEED --count 1 --log".
TEST_P(random_schedules, Hold)
{
  for (std::uint64_t seed = GetParam().mFirst; seed < GetParam().mFirst + kSeedsPerRow; ++seed) {
    const fault_schedule schedule = MakeRandomSchedule(seed);
    const schedule_result result = RunSchedule(schedule);
    for (const std::string& violation : result.mViolations) {
      ADD_FAILURE() << Describe(schedule) << "\n  " << violation << "\n  fault_schedules --first "
                    << seed << " --count 1 --log";
    }
    EXPECT_GT(result.mTotals.mComplete, 0U) << Describe(schedule);
  }
}

std::vector<seed_row> Rows()
{
  std::vector<seed_row> rows;
  for (std::uint64_t row = 0; row < 20; ++row) {
    rows.push_back({ 1 + row * kSeedsPerRow });
  }
  return rows;
}

INSTANTIATE_TEST_SUITE_P(seeds_1_to_1000, random_schedules, ::testing::ValuesIn(Rows()));

} // namespace
} // namespace redwingdock::testing
