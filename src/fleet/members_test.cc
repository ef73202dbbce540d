#include "fleet/members.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <optional>
#include <set>

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

// Runs the views of a fleet on a manual clock: each daemon sends the heartbeats of an interval, and
// datagrams that are not lost arrive at once.
class simulated_fleet
{
public:
  simulated_fleet(std::size_t aDaemons, std::size_t aZones, double aLoss)
    : mLoss(aLoss)
  {
    for (std::size_t i = 0; i < aDaemons; ++i) {
      const std::string number = std::to_string(100 + i);
      fleet_view view;
      view.mSelf = { "vm-" + number,
                     1,
                     "peer-" + number,
                     "call-" + number,
                     "zone-" + std::to_string(i % aZones),
                     true,
                     mConfig.mMaxHeartbeatInterval };
      mDaemons.push_back({ view, true });
    }
    for (daemon& each : mDaemons) {
      SendToAll(each);
    }
  }

  void Kill(std::size_t aDaemon) { mDaemons[aDaemon].mAlive = false; }
  void Suspend(std::size_t aDaemon, micros aTime)
  {
    mDaemons[aDaemon].mClockOffset -= aTime;
    mDaemons[aDaemon].mSuspendedUntil = mNow + aTime;
  }

  void RunFor(micros aDuration)
  {
    const instant until = mNow + aDuration;
    for (; mNow < until; mNow += kStep) {
      for (std::size_t i = 0; i < mDaemons.size(); ++i) {
        // Daemons start their intervals at different times.
        const micros phase = mConfig.mMaxHeartbeatInterval * static_cast<int>(i) /
                             static_cast<int>(mDaemons.size()) / kStep * kStep;
        if ((mNow.time_since_epoch() - phase) % mConfig.mMaxHeartbeatInterval == micros(0) &&
            IsRunning(mDaemons[i])) {
          SendInterval(mDaemons[i]);
        }
      }
    }
  }

  // Running daemons whose callers get the address of the daemon. Those that were suspended are left
  // out: their clocks have not counted that time.
  std::size_t NamedBy(std::size_t aDaemon) const
  {
    return static_cast<std::size_t>(
      std::count_if(mDaemons.begin(), mDaemons.end(), [&](const daemon& aEach) {
        const std::vector<std::string> named = CallAddresses(aEach.mView, Clock(aEach));
        return aEach.mAlive && aEach.mClockOffset == micros(0) &&
               std::find(named.begin(), named.end(), mDaemons[aDaemon].mView.mSelf.mCallAddress) !=
                 named.end();
      }));
  }

  std::size_t mSentBetweenZones = 0;

private:
  struct daemon
  {
    fleet_view mView;
    bool mAlive = true;
    micros mClockOffset{ 0 };
    instant mSuspendedUntil{};
  };

  static constexpr micros kStep = milliseconds(20);

  bool IsRunning(const daemon& aDaemon) const
  {
    return aDaemon.mAlive && mNow >= aDaemon.mSuspendedUntil;
  }
  instant Clock(const daemon& aDaemon) const { return mNow + aDaemon.mClockOffset; }
  std::uint64_t Random(std::uint64_t aBelow)
  {
    mSeed = mSeed * 6364136223846793005U + 1442695040888963407U;
    return (mSeed >> 33U) % aBelow;
  }

  void Send(const daemon& aFrom, const std::string& aAddress, std::vector<member_report> aMembers)
  {
    const heartbeat sent{ aFrom.mView.mSelf, {}, {}, std::move(aMembers), {} };
    for (daemon& to : mDaemons) {
      if (to.mView.mSelf.mPeerAddress != aAddress) {
        continue;
      }
      mSentBetweenZones += to.mView.mSelf.mZone != aFrom.mView.mSelf.mZone ? 1 : 0;
      if (IsRunning(to) && static_cast<double>(Random(1000)) / 1000 >= mLoss) {
        to.mView = WithHeartbeat(to.mView, sent, mConfig, Clock(to));
      }
    }
  }

  void SendToAll(const daemon& aFrom)
  {
    for (const daemon& to : mDaemons) {
      if (&to != &aFrom) {
        Send(aFrom, to.mView.mSelf.mPeerAddress, {});
      }
    }
  }

  void SendInterval(daemon& aFrom)
  {
    ++aFrom.mView.mSelf.mBeat;
    const instant now = Clock(aFrom);
    const heartbeat_targets targets =
      ZoneTargets(aFrom.mView, now, [this](std::uint64_t aBelow) { return Random(aBelow); });
    const std::vector<member_report> relayed = ReportsToRelay(aFrom.mView, now);
    const std::vector<member_report> ownZone = ReportsOfOwnZone(aFrom.mView, now);
    for (const std::string& address : targets.mOwnZone) {
      Send(aFrom, address, relayed);
    }
    for (const std::string& address : targets.mOtherZones) {
      Send(aFrom, address, ownZone);
    }
    aFrom.mView = WithRelayed(aFrom.mView, relayed);
  }

  forward_config mConfig;
  double mLoss;
  instant mNow{ std::chrono::seconds(100) };
  std::uint64_t mSeed = 1;
  std::vector<daemon> mDaemons;
};

struct zone_report_row
{
  const char* mGuardsAgainst;
  std::size_t mDaemons;
  std::size_t mZones;
  double mLoss;            // of datagrams
  micros mSuspension{ 0 }; // of another daemon, from just before the loss
};

class zone_report_test : public testing::TestWithParam<zone_report_row>
{};

// A daemon that ended may be named for 7 s, the tightest bound of the deployments (3 s after 4 s).
TEST_P(zone_report_test, NamesLiveDaemonsOnly)
{
  const zone_report_row& row = GetParam();
  simulated_fleet fleet(row.mDaemons, row.mZones, row.mLoss);
  std::size_t missing = 0;
  for (int second = 0; second < 30; ++second) {
    fleet.RunFor(std::chrono::seconds(1));
    missing += row.mDaemons - fleet.NamedBy(1);
  }
  EXPECT_LE(missing, row.mDaemons * 30 / 100) << row.mGuardsAgainst;
  if (row.mSuspension > micros(0)) {
    fleet.Suspend(2, row.mSuspension);
  }
  fleet.Kill(1);
  fleet.RunFor(std::chrono::seconds(7));
  for (int second = 0; second < 15; ++second) {
    EXPECT_EQ(fleet.NamedBy(1), 0U) << row.mGuardsAgainst << " after " << 7 + second << " s";
    fleet.RunFor(std::chrono::seconds(1));
  }
}

INSTANTIATE_TEST_SUITE_P(
  fleets,
  zone_report_test,
  testing::Values(zone_report_row{ "a large fleet names dead daemons", 78, 7, 0 },
                  zone_report_row{ "lost datagrams hide live daemons", 78, 7, 0.05 },
                  zone_report_row{ "zones with few daemons are not reported", 20, 10, 0.02 },
                  zone_report_row{ "one zone hides its daemons", 30, 1, 0 },
                  zone_report_row{ "a daemon that was suspended brings a dead one back",
                                   78,
                                   7,
                                   0,
                                   std::chrono::seconds(8) }));

// A state of the daemon vm-2 of another zone, as the daemon itself or a daemon of the own zone
// sends it. A restart after the clock was set back has a lower incarnation.
struct sent_state
{
  micros mArrivesAt{};
  std::uint64_t mIncarnation = 0;
  std::uint64_t mBeat = 0;
  bool mServing = false;
  std::optional<micros> mRelayedAge;
};

struct restart_row
{
  const char* mGuardsAgainst;
  std::vector<sent_state> mStates;
  std::uint64_t mKnown;                // incarnation that counts in the end
  std::vector<std::uint64_t> mToRelay; // incarnations that the own zone has yet to be told of
};

class restart_test : public testing::TestWithParam<restart_row>
{};

TEST_P(restart_test, LatestStartCounts)
{
  const restart_row& row = GetParam();
  fleet_view view;
  view.mSelf = { "vm-1", 1, "peer-1", "call-1", "own", false };
  instant now{};
  for (const sent_state& each : row.mStates) {
    now = instant(each.mArrivesAt);
    const daemon_state state{ "vm-2",  each.mIncarnation, "peer-2",           "call-2",
                              "other", each.mServing,     milliseconds(1200), each.mBeat };
    heartbeat sent{ state };
    if (each.mRelayedAge) {
      sent = { { "vm-3", 1, "peer-3", "call-3", "own", false, milliseconds(1200), each.mBeat } };
      sent.mMembers = { { state, *each.mRelayedAge } };
    }
    view = WithHeartbeat(view, sent, {}, now);
  }
  ASSERT_TRUE(view.mMembers.contains("vm-2")) << row.mGuardsAgainst;
  EXPECT_EQ(view.mMembers.at("vm-2").mState.mIncarnation, row.mKnown) << row.mGuardsAgainst;
  std::vector<std::uint64_t> relayed;
  for (const member_report& each : ReportsToRelay(view, now)) {
    relayed.push_back(each.mState.mIncarnation);
  }
  EXPECT_EQ(relayed, row.mToRelay) << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  restart_test,
  testing::Values(
    restart_row{ "the zone is not told of a new start, because of a late report of the earlier one",
                 { { milliseconds(100'000), 5, 1, true, {} },
                   { milliseconds(100'200), 4, 900, true, milliseconds(900) } },
                 5,
                 { 5 } },
    restart_row{ "a start is passed on again and again within the zone that knows it",
                 { { milliseconds(100'000), 5, 1, true, {} },
                   { milliseconds(100'200), 5, 1, true, milliseconds(200) } },
                 5,
                 {} },
    restart_row{ "a report of the earlier start hides a start after the clock was set back",
                 { { milliseconds(100'000), 9, 40, false, {} },
                   { milliseconds(102'000), 5, 1, true, {} },
                   { milliseconds(102'200), 9, 40, false, milliseconds(2200) } },
                 5,
                 { 5 } },
    restart_row{ "a start after the clock was set back does not count",
                 { { milliseconds(100'000), 9, 40, true, {} },
                   { milliseconds(102'200), 5, 1, true, milliseconds(200) } },
                 5,
                 {} },
    restart_row{ "a new start does not count while the earlier one was heard just before",
                 { { milliseconds(100'000), 4, 40, true, {} },
                   { milliseconds(100'400), 5, 1, true, milliseconds(900) } },
                 5,
                 {} }));

TEST(members, ReportsThatDoNotFitAHeartbeatFollowInTheNext)
{
  // Guards against daemons of a large fleet that are never passed on, because others come first by
  // their names.
  constexpr std::size_t kMembers = 300;
  const instant now{ std::chrono::seconds(100) };
  fleet_view view;
  view.mSelf.mZone = "own";
  for (std::size_t i = 0; i < kMembers; ++i) {
    const std::string vm = "vm-" + std::to_string(i);
    const heartbeat received{ { vm, 1, "peer-" + vm, "call-" + vm, "other", true }, {}, {} };
    view = WithHeartbeat(view, received, {}, now);
  }
  std::set<std::string> reported;
  for (int i = 0; i < 3; ++i) {
    const std::vector<member_report> relayed = ReportsToRelay(view, now);
    EXPECT_LE(relayed.size(), 128U);
    view = WithRelayed(view, relayed);
    for (const member_report& each : relayed) {
      reported.insert(each.mState.mVm);
    }
  }
  EXPECT_EQ(reported.size(), kMembers);
  EXPECT_TRUE(ReportsToRelay(view, now).empty());
}

TEST(members, HeartbeatsBetweenZonesGrowWithTheZonesOnly)
{
  // Guards against heartbeats of each daemon to all daemons of other zones, which were half of the
  // bytes between zones at 78 daemons.
  simulated_fleet fleet(78, 7, 0);
  fleet.mSentBetweenZones = 0;
  fleet.RunFor(std::chrono::seconds(12));
  // Ten intervals; two reports for each ordered pair of zones, rounded up for each daemon.
  EXPECT_LE(fleet.mSentBetweenZones, 10U * 78 * 2);
}

} // namespace
} // namespace redwingdock
