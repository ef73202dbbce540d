#include "daemon/line_limiter.h"

#include <gtest/gtest.h>
#include <vector>

namespace redwingdock {
namespace {

using std::chrono::milliseconds;

struct limiter_row
{
  const char* mGuardsAgainst;
  std::vector<int> mAtMs;
  int mAdmitted;
  std::uint64_t mOmitted; // sum of the reported counts
};

class line_limiter_test : public testing::TestWithParam<limiter_row>
{};

TEST_P(line_limiter_test, LinesOfASecond)
{
  line_limiter limiter{ 2 };
  int admitted = 0;
  std::uint64_t omitted = 0;
  for (const int at : GetParam().mAtMs) {
    const line_limiter::decision decision = limiter.Admit(milliseconds(at));
    admitted += decision.mAdmitted ? 1 : 0;
    omitted += decision.mOmitted;
  }
  EXPECT_EQ(admitted, GetParam().mAdmitted) << GetParam().mGuardsAgainst;
  EXPECT_EQ(omitted, GetParam().mOmitted) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  line_limiter_test,
  testing::Values(
    limiter_row{ "lines within the limit are omitted", { 0, 500, 1000, 1500 }, 4, 0 },
    limiter_row{ "a burst exceeds the limit", { 0, 1, 2, 3, 4 }, 2, 0 },
    limiter_row{ "omitted lines are not reported", { 0, 1, 2, 3, 1000 }, 3, 2 },
    limiter_row{ "a count of omitted lines is reported twice", { 0, 1, 2, 1000, 2000 }, 4, 1 }));

} // namespace
} // namespace redwingdock
