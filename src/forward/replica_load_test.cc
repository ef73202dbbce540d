#include "forward/replica_load.h"

#include <gtest/gtest.h>
#include <vector>

namespace redwingdock {
namespace {

const instant kNow{ std::chrono::seconds(100) };
constexpr micros kTypicalLatency = std::chrono::milliseconds(20);

struct connections_row
{
  const char* mGuardsAgainst;
  std::vector<attempt_outcome> mOutcomes;
  std::uint32_t mConnections;
};

class connections_test : public testing::TestWithParam<connections_row>
{};

TEST_P(connections_test, AdaptToAcceptedConnections)
{
  replica_load load;
  std::uint32_t number = 0;
  for (const attempt_outcome& outcome : GetParam().mOutcomes) {
    const attempt_key key{ ++number, 0, 0 };
    load = WithEnd(WithSend(load, key, kNow, kTypicalLatency), key, outcome, kNow);
  }
  EXPECT_EQ(load.mConnections, GetParam().mConnections) << GetParam().mGuardsAgainst;
}

constexpr attempt_outcome kAnswered{ attempt_end::Answered };
constexpr attempt_outcome kNewLost{ attempt_end::Lost, true };
constexpr attempt_outcome kNewNotSent{ attempt_end::NotSent, true };

INSTANTIATE_TEST_SUITE_P(
  cases,
  connections_test,
  testing::Values(
    // After a power loss the replicas still counted the connections of the previous daemons and
    // reset 4,014 new ones.
    connections_row{ "a daemon that has just started opens its whole share", {}, 2 },
    connections_row{ "the limit stays at its initial value although the replica accepts all",
                     std::vector<attempt_outcome>(8, kAnswered),
                     4 },
    connections_row{ "reset connections are reopened without limit",
                     { kNewLost, kNewNotSent, kNewLost },
                     1 },
    connections_row{ "a lost answer on a reused connection lowers the limit",
                     { { attempt_end::Lost, false } },
                     2 },
    connections_row{ "answers before a reset raise the limit after it",
                     { kAnswered, kAnswered, kAnswered, kNewLost, kAnswered },
                     1 }));

TEST(replica_load, ConnectionLimitDoesNotBlockAnAnsweringReplica)
{
  // Guards against blocking a replica for half a second because it is at its connection limit.
  const attempt_key key{ 1, 0, 0 };
  const attempt_key next{ 2, 0, 0 };
  replica_load load = WithEnd(WithSend({}, key, kNow, kTypicalLatency), key, kAnswered, kNow);
  load = WithEnd(WithSend(load, next, kNow, kTypicalLatency), next, kNewNotSent, kNow);
  EXPECT_LE(load.mBlockedUntil, kNow);
}

TEST(replica_load, RestartResetsLoad)
{
  // Guards against attributing failures of the previous process to a new one.
  replica_entry replica;
  replica.mBornMs = 2;
  replica_load load;
  load.mBornMs = 1;
  load.mAddressTaken = true;
  EXPECT_FALSE(LoadOf(&load, replica).mAddressTaken);
  replica.mBornMs = 1;
  EXPECT_TRUE(LoadOf(&load, replica).mAddressTaken);
}

} // namespace
} // namespace redwingdock
