#include "fleet/members.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace redwingdock {
namespace {

using std::chrono::milliseconds;

struct interval_row
{
  const char* mGuardsAgainst;
  std::size_t mPeers;
  milliseconds mInterval;
};

class interval_test : public testing::TestWithParam<interval_row>
{};

TEST_P(interval_test, GrowsWithThePeerCount)
{
  EXPECT_EQ(HeartbeatInterval(GetParam().mPeers, {}), GetParam().mInterval)
    << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  interval_test,
  testing::Values(
    interval_row{ "a daemon without peers sends without an interval", 0, milliseconds(400) },
    interval_row{ "a small fleet detects a loss late", 4, milliseconds(400) },
    interval_row{ "33 daemons send 2,640 datagrams a second", 32, milliseconds(800) },
    interval_row{ "callers get the address of a lost daemon of a large fleet for more than 7 s",
                  299,
                  milliseconds(1200) }));

struct silence_row
{
  const char* mGuardsAgainst;
  milliseconds mStated; // time to the next heartbeat, as sent
  milliseconds mAfter;
  bool mIncluded;
};

class silence_test : public testing::TestWithParam<silence_row>
{};

TEST_P(silence_test, FollowsTheIntervalOfTheSender)
{
  const silence_row& row = GetParam();
  const instant heard{ std::chrono::seconds(10) };
  const heartbeat received{ { "vm-2", 5, "127.0.0.9:7380", "call", "zone", true, row.mStated },
                            {},
                            {} };
  const fleet_view view = WithHeartbeat({}, received, {}, heard);
  EXPECT_EQ(CallAddresses(view, heard + row.mAfter).size(), row.mIncluded ? 1U : 0U)
    << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  silence_test,
  testing::Values(silence_row{ "three lost datagrams hide a daemon",
                               milliseconds(400),
                               milliseconds(1500),
                               true },
                  silence_row{ "callers still get the address of a dead daemon",
                               milliseconds(400),
                               milliseconds(1700),
                               false },
                  silence_row{ "a daemon of a large fleet is hidden between its heartbeats",
                               milliseconds(800),
                               milliseconds(3000),
                               true },
                  silence_row{ "a wrong interval keeps a dead daemon in the answers",
                               milliseconds(60'000),
                               milliseconds(4900),
                               false },
                  silence_row{ "a heartbeat without an interval hides its sender at once",
                               milliseconds(0),
                               milliseconds(1500),
                               true }));

struct sample_row
{
  const char* mGuardsAgainst;
  std::size_t mAddresses;
  std::size_t mLimit;
  std::size_t mTaken;
};

class sample_test : public testing::TestWithParam<sample_row>
{};

TEST_P(sample_test, TakesEachAddressOnce)
{
  const sample_row& row = GetParam();
  std::vector<std::string> addresses;
  for (std::size_t i = 0; i < row.mAddresses; ++i) {
    addresses.push_back(std::to_string(i));
  }
  std::vector<std::string> taken =
    RandomSample(addresses, row.mLimit, [](std::uint64_t aBelow) { return aBelow - 1; });
  std::sort(taken.begin(), taken.end());
  EXPECT_EQ(taken.size(), row.mTaken) << row.mGuardsAgainst;
  EXPECT_EQ(std::unique(taken.begin(), taken.end()), taken.end()) << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  sample_test,
  testing::Values(sample_row{ "a daemon without peers", 0, 3, 0 },
                  sample_row{ "fewer peers than the limit are read out of bounds", 2, 3, 2 },
                  sample_row{ "heartbeats grow with the fleet", 40, 3, 3 }));

} // namespace
} // namespace redwingdock
