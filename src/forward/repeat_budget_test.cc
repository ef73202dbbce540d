#include "forward/repeat_budget.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <vector>

namespace redwingdock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const instant kStart{ seconds(1000) };
const repeat_limits kLimits{ 0.2, 5, seconds(10) };

struct budget_row
{
  const char* mGuardsAgainst;
  micros mInterval;          // between requests
  micros mLength;            // of the load
  double mRepeatsPerRequest; // repeats asked for each request
};

class budget_test : public testing::TestWithParam<budget_row>
{};

// Guards against windows, whatever their start, in which the repeats exceed ratio * requests +
// slack of the window itself.
TEST_P(budget_test, RepeatsStayWithinTheLimitInEveryWindow)
{
  repeat_budget budget;
  std::vector<instant> requests;
  std::vector<instant> repeats;
  double asked = 0;
  for (instant now = kStart; now < kStart + GetParam().mLength; now += GetParam().mInterval) {
    budget = WithRequest(budget, now);
    requests.push_back(now);
    for (asked += GetParam().mRepeatsPerRequest; asked >= 1; asked -= 1) {
      if (MayRepeat(budget, kLimits, now)) {
        budget = WithRepeat(budget, now);
        repeats.push_back(now);
      }
    }
  }
  EXPECT_GT(repeats.size(), 0U);
  for (const instant first : repeats) {
    const auto in = [first](const std::vector<instant>& aTimes) {
      return std::count_if(aTimes.begin(), aTimes.end(), [first](instant aTime) {
        return aTime >= first && aTime < first + kLimits.mWindow;
      });
    };
    const auto before = std::count_if(requests.begin(), requests.end(), [first](instant aTime) {
      return aTime >= first - kLimits.mWindow && aTime < first;
    });
    // The limit counts the requests of the window or of the previous one, whichever are more.
    const double most = static_cast<double>(std::max<std::int64_t>(in(requests), before));
    EXPECT_LE(static_cast<double>(in(repeats)), kLimits.mRatio * most + kLimits.mSlack)
      << GetParam().mGuardsAgainst;
  }
}

INSTANTIATE_TEST_SUITE_P(
  loads,
  budget_test,
  testing::Values(
    budget_row{ "a steady load that repeats every request", milliseconds(50), seconds(60), 1 },
    budget_row{ "a load with several repeats per request", milliseconds(50), seconds(60), 3 },
    budget_row{ "a load with few requests", seconds(2), seconds(60), 1 },
    budget_row{ "a short burst", milliseconds(5), seconds(3), 1 }));

TEST(repeat_budget, OldCountsExpire)
{
  // Guards against a budget that stays used up, or that counts requests outside the window.
  repeat_budget budget;
  for (int i = 0; i < 5; ++i) {
    budget = WithRepeat(budget, kStart);
  }
  EXPECT_FALSE(MayRepeat(budget, kLimits, kStart + seconds(1)));
  EXPECT_TRUE(MayRepeat(budget, kLimits, kStart + seconds(12)));
  EXPECT_TRUE(MayRepeat(budget, kLimits, kStart + seconds(10'000)));
}

} // namespace
} // namespace redwingdock
