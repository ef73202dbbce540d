#include "daemon/line_limiter.h"

#include <gtest/gtest.h>
#include <vector>

namespace redwingdock {
namespace {

using std::chrono::milliseconds;

struct limit_row
{
  const char* mGuardsAgainst;
  std::vector<int> mAtMs;
  int mAdmitted;
  std::uint64_t mOmitted; // sum of the reported counts
};

class limit_test : public testing::TestWithParam<limit_row>
{};

TEST_P(limit_test, LinesOfASecond)
{
  line_limiter limiter{ 2 };
  int admitted = 0;
  std::uint64_t omitted = 0;
  for (const int at : GetParam().mAtMs) {
    const line_limiter::verdict verdict = limiter.Admit(milliseconds(at));
    admitted += verdict.mAdmitted ? 1 : 0;
    omitted += verdict.mOmitted;
  }
  EXPECT_EQ(admitted, GetParam().mAdmitted) << GetParam().mGuardsAgainst;
  EXPECT_EQ(omitted, GetParam().mOmitted) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  limit_test,
  testing::Values(
    limit_row{ "lines within the limit are omitted", { 0, 500, 1000, 1500 }, 4, 0 },
    limit_row{ "a burst exceeds the limit", { 0, 1, 2, 3, 4 }, 2, 0 },
    limit_row{ "omitted lines are not reported", { 0, 1, 2, 3, 1000 }, 3, 2 },
    limit_row{ "a count of omitted lines is reported twice", { 0, 1, 2, 1000, 2000 }, 4, 1 }));

} // namespace
} // namespace redwingdock
