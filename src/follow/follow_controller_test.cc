#include "testing/forwarding_rig.h"

#include <gtest/gtest.h>

namespace redwingdock::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::size_t Replicas(const forwarding_rig& aRig)
{
  std::size_t count = 0;
  if (const auto known = aRig.Board().Read<catalog>(kCatalogKey)) {
    for (const auto& [service, replicas] : known->mReplicas) {
      count += replicas.size();
    }
  }
  return count;
}

std::uint64_t VersionOf(const forwarding_rig& aRig)
{
  const auto known = aRig.Board().Read<catalog>(kCatalogKey);
  return known ? known->mVersion : 0;
}

store_item StartedReplica(std::int64_t aBornMs, std::uint64_t aSequence, bool aDraining)
{
  store_item item = ReplicaItem("a-1", "a", "zone-1");
  auto& entry = std::get<replica_entry>(item.mValue);
  entry.mBornMs = aBornMs;
  entry.mSequence = aSequence;
  entry.mDraining = aDraining;
  return item;
}

bool Draining(const forwarding_rig& aRig)
{
  const auto known = aRig.Board().Read<catalog>(kCatalogKey);
  return known && known->mReplicas.contains("a") && known->mReplicas.at("a").front()->mDraining;
}

struct follow_row
{
  const char* mGuardsAgainst;
  std::function<void(forwarding_rig&)> mSchedule;
  std::uint64_t mVersion;
  std::size_t mReplicas;
};

class follow_test : public ::testing::TestWithParam<follow_row>
{};

// Each case starts with version 7 and two replicas.
TEST_P(follow_test, KeepsACopyOfWhatIsPublished)
{
  forwarding_rig rig({});
  rig.Publish(ReplicaItem("a-1", "a", "zone-1"));
  rig.Publish(ReplicaItem("a-2", "a", "zone-2"));
  rig.Publish(ConfigurationItem(7, { PlainRoute("a", true) }));
  rig.RunFor(seconds(1));
  ASSERT_EQ(VersionOf(rig), 7U);
  GetParam().mSchedule(rig);
  EXPECT_EQ(VersionOf(rig), GetParam().mVersion) << GetParam().mGuardsAgainst;
  EXPECT_EQ(Replicas(rig), GetParam().mReplicas) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  follow_test,
  ::testing::Values(
    follow_row{ "a change is not seen",
                [](forwarding_rig& aRig) {
                  aRig.Publish(ConfigurationItem(9, { PlainRoute("a", true) }));
                  aRig.RunFor(milliseconds(600));
                },
                9,
                2 },
    follow_row{ "an older version replaces a newer one",
                [](forwarding_rig& aRig) {
                  aRig.Publish(ConfigurationItem(3, { PlainRoute("a", true) }));
                  aRig.RunFor(seconds(1));
                },
                7,
                2 },
    follow_row{ "an unreadable configuration replaces a good one",
                [](forwarding_rig& aRig) {
                  aRig.Publish({ "configuration", 0, unreadable_value{} });
                  aRig.RunFor(seconds(1));
                },
                7,
                2 },
    follow_row{ "an outage of the store removes replicas",
                [](forwarding_rig& aRig) {
                  aRig.FailStore(true);
                  aRig.Publish(ConfigurationItem(8, { PlainRoute("a", true) }));
                  aRig.RunFor(seconds(20));
                },
                7,
                2 },
    follow_row{ "changes during an outage of the store are missed",
                [](forwarding_rig& aRig) {
                  aRig.FailStore(true);
                  aRig.Publish(ConfigurationItem(8, { PlainRoute("a", true) }));
                  aRig.RunFor(seconds(20));
                  aRig.FailStore(false);
                  aRig.RunFor(seconds(2));
                },
                8,
                2 },
    follow_row{ "entries that expired during an outage are removed before they can be renewed",
                [](forwarding_rig& aRig) {
                  aRig.FailStore(true);
                  aRig.Delete("replicas/a-1");
                  aRig.RunFor(seconds(5));
                  aRig.FailStore(false);
                  aRig.RunFor(seconds(2));
                },
                7,
                2 },
    follow_row{ "entries that expired during an outage are never removed",
                [](forwarding_rig& aRig) {
                  aRig.FailStore(true);
                  aRig.Delete("replicas/a-1");
                  aRig.RunFor(seconds(5));
                  aRig.FailStore(false);
                  aRig.RunFor(seconds(4));
                },
                7,
                1 },
    follow_row{ "an entry that was renewed after an outage is removed",
                [](forwarding_rig& aRig) {
                  aRig.FailStore(true);
                  aRig.Delete("replicas/a-1");
                  aRig.RunFor(seconds(5));
                  aRig.FailStore(false);
                  aRig.RunFor(seconds(1));
                  aRig.Publish(ReplicaItem("a-1", "a", "zone-1"));
                  aRig.RunFor(seconds(10));
                },
                7,
                2 },
    follow_row{ "a deletion is delayed although the store was available",
                [](forwarding_rig& aRig) {
                  aRig.Delete("replicas/a-1");
                  aRig.RunFor(seconds(1));
                },
                7,
                1 },
    // scale-1 --seed 775651856022: a watch that starts while the store drops its
    // history returns no changes until its wait time is over.
    follow_row{ "a change is missed after the connection of a watch was cut",
                [](forwarding_rig& aRig) {
                  aRig.SuppressWatchEvents(true);
                  aRig.Publish(ConfigurationItem(9, { PlainRoute("a", true) }));
                  aRig.RunFor(seconds(1));
                  aRig.FailWatch();
                  aRig.RunFor(seconds(1));
                },
                9,
                2 },
    follow_row{ "a gap in the history hides a new replica",
                [](forwarding_rig& aRig) {
                  aRig.FailStore(true);
                  aRig.Publish(ReplicaItem("a-3", "a", "zone-1"));
                  aRig.DropHistory();
                  aRig.RunFor(seconds(2));
                  aRig.FailStore(false);
                  aRig.RunFor(seconds(3));
                },
                7,
                3 }));

struct restart_row
{
  const char* mGuardsAgainst;
  store_item mFirst;
  store_item mThen;
  bool mDraining;
};

class restart_test : public ::testing::TestWithParam<restart_row>
{};

TEST_P(restart_test, TheLatestStartWins)
{
  forwarding_rig rig({});
  rig.Publish(GetParam().mFirst);
  rig.RunFor(seconds(1));
  rig.Publish(GetParam().mThen);
  rig.RunFor(seconds(1));
  EXPECT_EQ(Draining(rig), GetParam().mDraining) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(cases,
                         restart_test,
                         ::testing::Values(restart_row{ "a late write of an earlier start",
                                                        StartedReplica(200, 1, true),
                                                        StartedReplica(100, 9, false),
                                                        true },
                                           restart_row{ "a late write of the same start",
                                                        StartedReplica(200, 5, true),
                                                        StartedReplica(200, 4, false),
                                                        true },
                                           restart_row{ "a restart under the same id",
                                                        StartedReplica(100, 9, true),
                                                        StartedReplica(200, 1, false),
                                                        false }));

struct burst_row
{
  const char* mGuardsAgainst;
  int mChanges;
  milliseconds mGap;
  std::size_t mMaxCalls;
};

class burst_test : public ::testing::TestWithParam<burst_row>
{};

TEST_P(burst_test, IsReadWithFewCallsAndInTime)
{
  const burst_row& row = GetParam();
  forwarding_rig rig({});
  rig.RunFor(seconds(1));
  const std::size_t before = rig.mWatches.size();
  for (int i = 0; i < row.mChanges; ++i) {
    rig.Publish(ReplicaItem("a-" + std::to_string(i), "a", "zone-1"));
    rig.RunFor(row.mGap);
  }
  // A third of the tightest limit for a change to take effect, plus the duration of the call.
  rig.RunFor(milliseconds(1100));
  EXPECT_EQ(Replicas(rig), static_cast<std::size_t>(row.mChanges)) << row.mGuardsAgainst;
  EXPECT_LE(rig.mWatches.size() - before, row.mMaxCalls) << row.mGuardsAgainst;
}

// Most calls: the first one, one after each pause of 0.25, 0.5 and then 1 s, and the one that
// waits.
INSTANTIATE_TEST_SUITE_P(
  cases,
  burst_test,
  ::testing::Values(
    burst_row{ "one call for each of many changes in quick succession", 40, milliseconds(20), 5 },
    burst_row{ "three calls per second during a long burst of changes", 30, milliseconds(330), 14 },
    burst_row{ "the longer pause of a burst still applies to later changes",
               3,
               milliseconds(1500),
               7 }));

struct wait_row
{
  const char* mGuardsAgainst;
  milliseconds mChangeBound;
  milliseconds mDisturbance;
  milliseconds mWait; // of a watch
};

class wait_test : public ::testing::TestWithParam<wait_row>
{};

TEST_P(wait_test, FollowsTheBoundsOfChanges)
{
  rig_options options;
  options.mForward.mChangeBound = GetParam().mChangeBound;
  options.mForward.mDisturbanceTime = GetParam().mDisturbance;
  forwarding_rig rig(options);
  rig.RunFor(seconds(1));
  ASSERT_FALSE(rig.mWatches.empty());
  EXPECT_EQ(rig.mWatches.front().mWait, GetParam().mWait) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  wait_test,
  ::testing::Values(wait_row{ "a watch that went silent is noticed after the bound of a change",
                              milliseconds(3000),
                              milliseconds(4000),
                              milliseconds(5000) },
                    wait_row{
                      "hundreds of daemons renew their watches more often than the bounds need",
                      milliseconds(5000),
                      milliseconds(6000),
                      milliseconds(9000) },
                    wait_row{ "tight bounds make the daemon read without pause",
                              milliseconds(100),
                              milliseconds(100),
                              milliseconds(1000) },
                    wait_row{ "the store refuses the wait",
                              milliseconds(60'000),
                              milliseconds(60'000),
                              milliseconds(30'000) }));

} // namespace
} // namespace redwingdock::testing
