#include "follow/follow_state.h"
#include "testing/forwarding_rig.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <tuple>

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
    follow_row{ "entries that expired during an outage that only a check of the store noticed are "
                "removed before they can be renewed",
                [](forwarding_rig& aRig) {
                  aRig.SilenceWatch();
                  aRig.FailStore(true);
                  aRig.Delete("replicas/a-1");
                  const int before = aRig.mChecks;
                  while (aRig.mChecks == before) {
                    aRig.RunFor(milliseconds(1));
                  }
                  aRig.RunFor(milliseconds(6)); // the check has failed
                  aRig.FailStore(false);
                  aRig.RunFor(milliseconds(1500));
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

// A disturbance of the reads. mBegin and, after mLasts, mEnd run once, mRepeat after each
// mInterval.
struct disturbance_case
{
  const char* mName;
  std::function<void(forwarding_rig&)> mBegin;
  std::function<void(forwarding_rig&)> mRepeat;
  micros mInterval = seconds(60);
  std::function<void(forwarding_rig&)> mEnd = [](forwarding_rig&) {};
  micros mLasts{ 0 };
};

void DoNothing(forwarding_rig&) {}

void FailWatch(forwarding_rig& aRig)
{
  aRig.FailWatch();
}

void SilenceWatch(forwarding_rig& aRig)
{
  aRig.SilenceWatch();
}

void PublishOther(forwarding_rig& aRig)
{
  aRig.Publish({ "operator/other", 0, closed_zone{ "zone-9" } });
}

const disturbance_case kDisturbances[] = {
  { "none", DoNothing, DoNothing },
  { "silent watch", SilenceWatch, DoNothing },
  { "silent watch before a series of changes", SilenceWatch, PublishOther, milliseconds(330) },
  { "cut watch", FailWatch, DoNothing },
  { "watch cut each second", FailWatch, FailWatch, seconds(1) },
  { "series of changes", PublishOther, PublishOther, milliseconds(330) },
  { "cut watch before a series of changes", FailWatch, PublishOther, milliseconds(330) },
  { "cut watch at each of a series of changes",
    FailWatch,
    [](forwarding_rig& aRig) {
      aRig.FailWatch();
      PublishOther(aRig);
    },
    milliseconds(330) },
  { "store refuses for 200 ms",
    [](forwarding_rig& aRig) {
      aRig.FailStore(true);
      aRig.FailWatch();
    },
    DoNothing,
    seconds(60),
    [](forwarding_rig& aRig) { aRig.FailStore(false); },
    milliseconds(200) },
  { "store refuses for 200 ms before a series of changes",
    [](forwarding_rig& aRig) {
      aRig.FailStore(true);
      aRig.FailWatch();
    },
    PublishOther,
    milliseconds(330),
    [](forwarding_rig& aRig) { aRig.FailStore(false); },
    milliseconds(200) },
  { "history gone",
    [](forwarding_rig& aRig) {
      aRig.DropHistory();
      aRig.FailWatch();
    },
    DoNothing },
};

// A change, and whether it is in effect.
struct change_case
{
  const char* mName;
  std::function<void(forwarding_rig&)> mMake;
  std::function<bool(const forwarding_rig&)> mInEffect;
};

const change_case kChanges[] = {
  { "configuration",
    [](forwarding_rig& aRig) { aRig.Publish(ConfigurationItem(9, { PlainRoute("a", true) })); },
    [](const forwarding_rig& aRig) { return VersionOf(aRig) == 9; } },
  { "drain",
    [](forwarding_rig& aRig) { aRig.Publish(StartedReplica(200, 5, true)); },
    [](const forwarding_rig& aRig) { return Draining(aRig); } },
  { "removal",
    [](forwarding_rig& aRig) { aRig.Delete("replicas/a-1"); },
    [](const forwarding_rig& aRig) { return Replicas(aRig) == 0; } },
  { "closed zone",
    [](forwarding_rig& aRig) {
      aRig.Publish({ "operator/z", 0, closed_zone{ "zone-1" } });
    },
    [](const forwarding_rig& aRig) {
      const auto known = aRig.Board().Read<catalog>(kCatalogKey);
      return known && known->mClosedZones.contains("zone-1");
    } },
};

class change_in_time_test
  : public ::testing::TestWithParam<std::tuple<disturbance_case, change_case>>
{};

// Guards against waits that add up: of a watch that went silent, of the pause in a series of
// changes, and of delayed deletions. A change must be in effect within the bound on changes or, if
// that is later, at the end of the time in which the bound does not hold after a disturbance.
TEST_P(change_in_time_test, IsInEffectWithinTheBound)
{
  const auto& [disturbance, change] = GetParam();
  constexpr micros kDisturbanceTime = seconds(4);
  constexpr micros kBound = seconds(3);
  for (int moment = 0; moment < 80; ++moment) {
    rig_options options;
    options.mForward.mChangeBound = kBound;
    options.mForward.mDisturbanceTime = kDisturbanceTime;
    forwarding_rig rig(options);
    rig.Publish(StartedReplica(200, 1, false));
    rig.Publish(ConfigurationItem(7, { PlainRoute("a", true) }));
    // The phase of the check timer differs from row to row.
    rig.RunFor(seconds(6) + milliseconds(370 * moment % 3000));
    ASSERT_EQ(VersionOf(rig), 7U);
    const instant began = rig.Now();
    const instant changesAt = began + milliseconds(50 * moment);
    const bool disturbed = std::string(disturbance.mName) != "none";
    const instant due =
      std::max(changesAt + kBound, began + (disturbed ? kDisturbanceTime : micros(0)));
    instant repeatAt = began + disturbance.mInterval;
    instant endAt = began + disturbance.mLasts;
    bool made = false;
    disturbance.mBegin(rig);
    while (rig.Now() < due) {
      if (rig.Now() >= endAt) {
        disturbance.mEnd(rig);
        endAt = kNever;
      }
      if (rig.Now() >= repeatAt) {
        disturbance.mRepeat(rig);
        repeatAt += disturbance.mInterval;
      }
      if (!made && rig.Now() >= changesAt) {
        change.mMake(rig);
        made = true;
      }
      rig.RunFor(milliseconds(10));
    }
    EXPECT_TRUE(change.mInEffect(rig))
      << disturbance.mName << ", " << change.mName << " " << 50 * moment << " ms after it";
  }
}

INSTANTIATE_TEST_SUITE_P(cases,
                         change_in_time_test,
                         ::testing::Combine(::testing::ValuesIn(kDisturbances),
                                            ::testing::ValuesIn(kChanges)),
                         [](const auto& aInfo) {
                           std::string name = std::string(std::get<0>(aInfo.param).mName) + " " +
                                              std::get<1>(aInfo.param).mName;
                           std::replace(name.begin(), name.end(), ' ', '_');
                           return name;
                         });

struct outage_row
{
  const char* mGuardsAgainst;
  std::function<void(forwarding_rig&)> mBegin;
  std::function<void(forwarding_rig&)> mEnd;
};

class outage_test : public ::testing::TestWithParam<outage_row>
{};

// A replica is removed while the store cannot be read, at many moments of the retries.
TEST_P(outage_test, RemovalsAreInEffectInTimeAfterwards)
{
  for (int moment = 0; moment < 400; ++moment) {
    forwarding_rig rig({});
    rig.Publish(StartedReplica(200, 1, false));
    // The random numbers of the retries differ from moment to moment.
    rig.RunFor(seconds(1) + seconds(moment % 40));
    GetParam().mBegin(rig);
    rig.RunFor(seconds(4));
    rig.Delete("replicas/a-1");
    rig.RunFor(milliseconds(10 * moment));
    GetParam().mEnd(rig);
    rig.RunFor(seconds(4)); // the time after a disturbance in which the bounds do not hold
    EXPECT_EQ(Replicas(rig), 0U) << GetParam().mGuardsAgainst << ", moment " << moment;
  }
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  outage_test,
  ::testing::Values(outage_row{ "the delay of deletions adds to the time of a read without answer",
                                [](forwarding_rig& aRig) { aRig.CutOff(true); },
                                [](forwarding_rig& aRig) { aRig.CutOff(false); } },
                    outage_row{ "the delay of deletions adds to the retry delay",
                                [](forwarding_rig& aRig) {
                                  aRig.FailStore(true);
                                  aRig.FailWatch();
                                },
                                [](forwarding_rig& aRig) { aRig.FailStore(false); } }));

struct check_row
{
  const char* mGuardsAgainst;
  milliseconds mChangeBound;
  milliseconds mDisturbance;
  milliseconds mMinGap; // between checks, from the 1 s that a check may take and its spread
  milliseconds mMaxGap;
};

class check_test : public ::testing::TestWithParam<check_row>
{};

TEST_P(check_test, FollowsTheBoundsOfChanges)
{
  rig_options options;
  options.mForward.mChangeBound = GetParam().mChangeBound;
  options.mForward.mDisturbanceTime = GetParam().mDisturbance;
  forwarding_rig rig(options);
  rig.RunFor(seconds(1));
  int checks = rig.mChecks;
  instant checkedAt = rig.Now();
  const instant end = rig.Now() + seconds(25); // before the watch is renewed
  while (rig.Now() < end) {
    rig.RunFor(milliseconds(10));
    if (rig.mChecks == checks) {
      EXPECT_LE(rig.Now() - checkedAt, GetParam().mMaxGap) << GetParam().mGuardsAgainst;
      continue;
    }
    if (checks > 0) {
      EXPECT_GE(rig.Now() - checkedAt, GetParam().mMinGap) << GetParam().mGuardsAgainst;
    }
    checks = rig.mChecks;
    checkedAt = rig.Now();
  }
  EXPECT_EQ(rig.mWatches.size(), 1U) << "the watch is renewed without need";
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  check_test,
  ::testing::Values(check_row{ "a watch that went silent is noticed after the bound of a change",
                               milliseconds(3000),
                               milliseconds(4000),
                               milliseconds(1700),
                               milliseconds(3100) },
                    check_row{ "hundreds of daemons check more often than the bounds need",
                               milliseconds(5000),
                               milliseconds(6000),
                               milliseconds(2900),
                               milliseconds(5100) },
                    check_row{ "tight bounds make the daemon check without pause",
                               milliseconds(100),
                               milliseconds(100),
                               milliseconds(250),
                               milliseconds(600) }));

heartbeat CopyOf(const std::string& aVm, const store_copy& aCopy)
{
  heartbeat sent{ { aVm, 5, "127.0.0.9:7380", "call", "zone-2", true } };
  sent.mStore = aCopy;
  return sent;
}

struct shared_check_row
{
  const char* mGuardsAgainst;
  // The heartbeat of another daemon after some number of intervals of 400 ms.
  std::function<heartbeat(std::uint64_t aRevision, std::uint64_t aInterval)> mHeartbeat;
  int mMinChecks; // in 20 s
  int mMaxChecks;
};

class shared_check_test : public ::testing::TestWithParam<shared_check_row>
{};

TEST_P(shared_check_test, ChecksOnlyWhatNoDaemonHasConfirmed)
{
  forwarding_rig rig({});
  rig.RunFor(seconds(1));
  const auto copy = rig.Board().Read<follow_state>(kStoreKey);
  ASSERT_TRUE(copy);
  for (std::uint64_t i = 1; i <= 50; ++i) {
    rig.Post(heartbeat_received{ GetParam().mHeartbeat(copy->mAsOf.mRevision, i) });
    rig.RunFor(milliseconds(400));
  }
  EXPECT_GE(rig.mChecks, GetParam().mMinChecks) << GetParam().mGuardsAgainst;
  EXPECT_LE(rig.mChecks, GetParam().mMaxChecks) << GetParam().mGuardsAgainst;
}

// Alone, a daemon checks at ages of 1.8 to 3 s.
INSTANTIATE_TEST_SUITE_P(
  cases,
  shared_check_test,
  ::testing::Values(
    shared_check_row{ "each daemon checks the store although another one just did",
                      [](std::uint64_t aRevision, std::uint64_t aInterval) {
                        return CopyOf("vm-2", { { 0, aRevision }, aInterval });
                      },
                      0,
                      0 },
    shared_check_row{ "a daemon that hears nothing from the store confirms the copies of others",
                      [](std::uint64_t aRevision, std::uint64_t) {
                        return CopyOf("vm-2", { { 0, aRevision }, 3 });
                      },
                      6,
                      11 },
    shared_check_row{ "a copy of another revision confirms this one",
                      [](std::uint64_t aRevision, std::uint64_t aInterval) {
                        return CopyOf("vm-2", { { 0, aRevision - 1 }, aInterval });
                      },
                      6,
                      11 },
    shared_check_row{ "a daemon that does not state its copy confirms this one",
                      [](std::uint64_t, std::uint64_t) { return CopyOf("vm-2", {}); },
                      6,
                      11 },
    shared_check_row{ "a daemon that restarts again and again confirms copies",
                      [](std::uint64_t aRevision, std::uint64_t aInterval) {
                        heartbeat sent = CopyOf("vm-2", { { 0, aRevision }, aInterval });
                        sent.mSender.mIncarnation = aInterval;
                        return sent;
                      },
                      6,
                      11 }));

TEST(follow, ANewerCopyOfAnotherDaemonEndsASilentWatch)
{
  // Guards against a daemon that waits for its own check although others have read the change.
  forwarding_rig rig({});
  rig.Publish(ConfigurationItem(7, { PlainRoute("a", true) }));
  rig.RunFor(seconds(6));
  rig.SilenceWatch();
  rig.Publish(ConfigurationItem(9, { PlainRoute("a", true) }));
  const auto copy = rig.Board().Read<follow_state>(kStoreKey);
  rig.Post(heartbeat_received{ CopyOf("vm-2", { { 0, copy->mAsOf.mRevision + 1 }, 9 }) });
  rig.RunFor(milliseconds(600));
  EXPECT_EQ(VersionOf(rig), 9U);
}

std::uint64_t Counted(const forwarding_rig& aRig, const std::string& aName)
{
  const auto found = aRig.Board().Read<counter>(aName);
  return found ? found->mCount : 0;
}

struct noticed_row
{
  const char* mGuardsAgainst;
  bool mStatesEra;
  int mLost; // changes since the copy, which are gone
  std::function<void(forwarding_rig&)> mAfterwards;
  std::uint64_t mNoticed;
};

class noticed_test : public ::testing::TestWithParam<noticed_row>
{};

// The store returns from a copy while a watch waits.
TEST_P(noticed_test, ANewHistoryIsCounted)
{
  rig_options options;
  options.mStoreStatesEra = GetParam().mStatesEra;
  forwarding_rig rig(options);
  rig.Publish(ConfigurationItem(7, { PlainRoute("a", true) }));
  rig.RunFor(seconds(1));
  rig.TakeCopy();
  for (int i = 0; i < GetParam().mLost; ++i) {
    PublishOther(rig);
    rig.RunFor(milliseconds(300));
  }
  rig.RunFor(seconds(1));
  rig.Restore();
  GetParam().mAfterwards(rig);
  EXPECT_EQ(Counted(rig, "follow.history_changes"), GetParam().mNoticed)
    << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  noticed_test,
  ::testing::Values(
    noticed_row{ "a listing of a new era is not told from one of the old history",
                 true,
                 0,
                 [](forwarding_rig& aRig) {
                   aRig.FailWatch();
                   aRig.RunFor(seconds(1));
                 },
                 1 },
    noticed_row{ "a listing with a lower revision is not told from one of the old history",
                 false,
                 3,
                 [](forwarding_rig& aRig) {
                   aRig.FailWatch();
                   aRig.RunFor(seconds(1));
                 },
                 1 },
    noticed_row{ "changes of a new era are not told from those of the old history",
                 true,
                 0,
                 [](forwarding_rig& aRig) {
                   PublishOther(aRig);
                   aRig.RunFor(milliseconds(200));
                 },
                 1 },
    noticed_row{ "a check that finds a new era confirms the copy without a word",
                 true,
                 3,
                 [](forwarding_rig& aRig) {
                   const int before = aRig.mChecks;
                   while (aRig.mChecks == before) {
                     aRig.RunFor(milliseconds(10));
                   }
                   aRig.RunFor(milliseconds(100));
                 },
                 1 },
    noticed_row{ "a return without any loss counts as a new history when no era is stated",
                 false,
                 0,
                 [](forwarding_rig& aRig) {
                   aRig.FailWatch();
                   aRig.RunFor(seconds(5));
                 },
                 0 }));

} // namespace
} // namespace redwingdock::testing
