#include "forward/admission.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

struct admission_row
{
  const char* mGuardsAgainst;
  int mLate;              // gathers
  std::size_t mLateParts; // of the 20 parts of each of them
  int mInTime;            // gathers after those
  bool mUrgent;
  double mMinAdmitted; // admitted share
  double mMaxAdmitted;
};

class admission_test : public testing::TestWithParam<admission_row>
{};

TEST_P(admission_test, AdaptsToLateGathers)
{
  const admission_row& row = GetParam();
  admission_level level;
  for (int i = 0; i < row.mLate + row.mInTime; ++i) {
    level = WithGather(level, i < row.mLate ? row.mLateParts : 0, 20);
  }
  constexpr int kSamples = 1000;
  int admitted = 0;
  for (int i = 0; i < kSamples; ++i) {
    admitted += IsAdmitted(level, row.mUrgent, static_cast<double>(i) / kSamples) ? 1 : 0;
  }
  EXPECT_GE(static_cast<double>(admitted) / kSamples, row.mMinAdmitted) << row.mGuardsAgainst;
  EXPECT_LE(static_cast<double>(admitted) / kSamples, row.mMaxAdmitted) << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  admission_test,
  testing::Values(
    admission_row{ "requests are refused without an overload", 0, 0, 0, false, 1, 1 },
    admission_row{ "one late gather causes many refusals", 1, 10, 0, false, 0.8, 0.9 },
    admission_row{ "a single late gather causes refusals for long", 1, 10, 4, false, 1, 1 },
    // One shard was down and others were slow, without an overload.
    admission_row{ "requests are refused because a few shards are slow", 50, 3, 0, false, 1, 1 },
    admission_row{ "an overload makes all requests late", 50, 10, 0, true, 0.3, 0.6 },
    admission_row{ "urgent requests are refused as often as others", 50, 10, 0, false, 0.05, 0.2 },
    admission_row{ "requests are refused long after an overload", 50, 10, 25, true, 1, 1 }));

} // namespace
} // namespace redwingdock
