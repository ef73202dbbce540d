#include "daemon/client_connections.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

struct shares_row
{
  const char* mGuardsAgainst;
  std::size_t mDescriptors;
  std::size_t mLeastCallers;
  std::size_t mMost; // of all servers together
};

class shares_test : public testing::TestWithParam<shares_row>
{};

TEST_P(shares_test, LeaveDescriptorsForTheProcess)
{
  const shares_row& row = GetParam();
  const connection_shares shares = ConnectionShares({ 0, row.mDescriptors });
  EXPECT_GE(shares.mCallers, row.mLeastCallers) << row.mGuardsAgainst;
  EXPECT_LE(shares.mCallers + shares.mAddresses + shares.mReadiness + shares.mMetrics, row.mMost)
    << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  shares_test,
  testing::Values(
    shares_row{ "2,000 callers with kept connections are too many for a small VM",
                4100,
                2000,
                2600 },
    shares_row{ "a process with few descriptors serves nobody", 64, 16, 48 },
    shares_row{ "callers take what the connections to replicas need", 400, 100, 140 }));

} // namespace
} // namespace redwingdock
