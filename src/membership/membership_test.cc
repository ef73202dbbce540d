#include "membership/test_fleet.h"

#include <gtest/gtest.h>
#include <random>

// Runs fault schedules on simulated daemons and guards against two daemons that use one permit at
// the same time and against daemons that stop without need. Each case runs twice: with the real
// hooks, where it must find no fault, and with one rule replaced, where it must find one.

namespace redwingdock {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr micros kWorkTime = seconds(6); // longest deadline plus its slack

// Reads the state of all processes and records a violation when two may use a permit at the same
// time. With work in flight, a process counts as using a permit until kWorkTime after it last was
// allowed to.
class permit_observer
{
public:
  permit_observer(const test_fleet& aFleet, bool aWork)
    : mFleet(aFleet)
    , mWorkInFlight(aWork)
  {
  }

  void Check()
  {
    mUsable.assign(mFleet.Size(), 0);
    for (std::size_t i = 0; i < mFleet.Size(); ++i) {
      const test_process& process = mFleet.Process(static_cast<int>(i));
      if (process.mRunning && !process.mPaused) {
        CheckProcess(static_cast<int>(i), *process.mCore);
      }
    }
  }

  std::size_t Usable(int aProcess) const { return mUsable[aProcess]; }
  const std::vector<std::string>& Violations() const { return mViolations; }

private:
  void CheckProcess(int aProcess, const core_context& aCore)
  {
    const instant now = mFleet.Now();
    const auto view = aCore.mBoard.Read<member_view>(kMembersKey);
    if (!view) {
      return;
    }
    for (const auto& [server, permits] : aCore.mBoard.List<server_permits>()) {
      for (const permit& each : permits->mPermits) {
        if (!MayUsePermit(each, *view, now)) {
          continue;
        }
        ++mUsable[aProcess];
        const std::string slot = server + "/" + std::to_string(each.mIndex);
        const auto last = mLastUse.find(slot);
        if (last != mLastUse.end() && last->second.first != Identity(aProcess) &&
            now <=
              last->second.second + (mWorkInFlight ? kWorkTime - milliseconds(1) : micros(0)) &&
            mViolations.size() < 5) {
          mViolations.push_back(slot + " used by " + Identity(aProcess) + " and " +
                                last->second.first + " at " +
                                std::to_string(ToMs(now.time_since_epoch()) - 1000000) + " ms");
        }
        mLastUse[slot] = { Identity(aProcess), now };
      }
    }
  }

  std::string Identity(int aProcess) const
  {
    return mFleet.Process(aProcess).mCore->mConfig.mIncarnation;
  }

  const test_fleet& mFleet;
  const bool mWorkInFlight;
  std::map<std::string, std::pair<std::string, instant>> mLastUse;
  std::vector<std::size_t> mUsable;
  std::vector<std::string> mViolations;
};

void PublishAll(test_fleet& aFleet)
{
  aFleet.Publish(table_kind::Vms, 1, aFleet.VmTable(1, { 0, 1, 2, 3, 4 }));
  aFleet.Publish(table_kind::Routes, 1, aFleet.RoutesTable(1, { "main" }));
  aFleet.Publish(table_kind::Pools, 1, aFleet.PoolsTable(1, { "main" }));
}

// Lets only these processes reach the configuration service.
void LimitServiceTo(test_fleet& aFleet, const std::set<int>& aProcesses)
{
  aFleet.SetServiceReachable([aProcesses](int aProcess) { return aProcesses.contains(aProcess); });
}

// Publishes a VM list of these processes.
void PublishVms(test_fleet& aFleet, std::uint64_t aRevision, const std::vector<int>& aVms)
{
  aFleet.Publish(table_kind::Vms, aRevision, aFleet.VmTable(aRevision, aVms));
}

// The processes that must have usable permits at mAt, and those that must have none.
struct expectation
{
  micros mAt{ 0 };
  std::set<int> mServing;
  std::set<int> mStopped;
};

struct permit_case
{
  const char* mGuardsAgainst; // the failure that the case guards against
  bool mWorkInFlight;         // simulates work in flight, so no permit is released by message
  micros mDuration;
  std::function<void(test_fleet&)> mSchedule;
  std::vector<expectation> mExpected;
  std::function<void(record_search_hooks&)> mReplaceRules;
};

std::vector<std::string> RunCase(const permit_case& aCase, bool aBroken)
{
  fleet_options options;
  options.mIdleGates = !aCase.mWorkInFlight;
  options.mCheckEvents = aCase.mDuration < minutes(10);
  if (aBroken) {
    options.mReplaceRules = aCase.mReplaceRules;
  }
  test_fleet fleet(options);
  permit_observer observer(fleet, aCase.mWorkInFlight);
  std::vector<std::string> faults;
  fleet.SetCheck([&observer] { observer.Check(); });
  PublishAll(fleet);
  aCase.mSchedule(fleet);
  for (const expectation& each : aCase.mExpected) {
    fleet.At(each.mAt, [&] {
      observer.Check();
      const std::string at = " at " + std::to_string(ToMs(each.mAt)) + " ms";
      for (const int process : each.mServing) {
        if (observer.Usable(process) == 0) {
          faults.push_back("process " + std::to_string(process) + " has no usable permit" + at);
        }
      }
      for (const int process : each.mStopped) {
        if (observer.Usable(process) != 0) {
          faults.push_back("process " + std::to_string(process) + " uses permits" + at);
        }
      }
    });
  }
  fleet.RunUntil(aCase.mDuration);
  for (const std::string& each : observer.Violations()) {
    faults.push_back(each);
  }
  if (!aBroken && !faults.empty()) {
    for (const std::string& line : fleet.Log()) {
      std::printf("%s\n", line.c_str());
    }
  }
  return faults;
}

class permits_in_use : public testing::TestWithParam<permit_case>
{};

TEST_P(permits_in_use, ShowNoFault)
{
  SCOPED_TRACE(GetParam().mGuardsAgainst);
  EXPECT_EQ(RunCase(GetParam(), false), std::vector<std::string>());
}

TEST_P(permits_in_use, ShowAFaultWithoutTheRule)
{
  SCOPED_TRACE(GetParam().mGuardsAgainst);
  EXPECT_NE(RunCase(GetParam(), true), std::vector<std::string>());
}

void NeverExpires(record_search_hooks& aHooks)
{
  aHooks.mMembership.mConfirmationEnds = [](instant aSince, micros) {
    return aSince == instant{} ? instant{} : kNever;
  };
}

void AnyAnswerConfirms(record_search_hooks& aHooks)
{
  aHooks.mMembership.mAnsweredSince =
    [](const auto&, const std::string& aSelf, const std::map<std::string, instant>& aAnswered) {
      instant latest{};
      for (const auto& [vm, sent] : aAnswered) {
        latest = vm == aSelf ? latest : std::max(latest, sent);
      }
      return latest;
    };
}

void NoAnswerConfirms(record_search_hooks& aHooks)
{
  aHooks.mMembership.mAnsweredSince = [](const auto&, const auto&, const auto&) {
    return instant{};
  };
}

void NewerListsConfirm(record_search_hooks& aHooks)
{
  aHooks.mMembership.mReplyConfirms = [](const probe_reply_message&, const table_revision&) {
    return true;
  };
}

void ClaimsExpireAtOnce(record_search_hooks& aHooks)
{
  aHooks.mMembership.mClaimExpiry = [](const claim&, const claim_evidence& aEvidence, const auto&) {
    return aEvidence.mNow;
  };
}

void AlwaysWaitsTakeDelay(record_search_hooks& aHooks)
{
  aHooks.mMembership.mClaimExpiry =
    [](const claim& aClaim, const claim_evidence&, const core_config& aConfig) {
      return aClaim.mSeenAt + aConfig.mTakeDelay;
    };
}

void UnrecoveredWitnessAnswers(record_search_hooks& aHooks)
{
  aHooks.mMembership.mMayVote = [](bool) { return true; };
}

void IgnoresPauses(record_search_hooks& aHooks)
{
  aHooks.mMembership.mConfirmableAfterPause = [](instant) { return instant{}; };
}

const permit_case kPermitCases[] = {
  { "a cold start of the fleet takes longer than 2 s",
    false,
    seconds(3),
    [](test_fleet& aFleet) { aFleet.StartAll(); },
    { { seconds(2), { 0, 1, 2, 3, 4 }, {} } },
    AlwaysWaitsTakeDelay },
  { "partition 2|3: the larger side stops when the configuration service is down",
    false,
    seconds(60),
    [](test_fleet& aFleet) {
      aFleet.StartAll();
      aFleet.At(seconds(5), [&] {
        aFleet.SetServiceUp(false);
        aFleet.Partition({ { 0, 1, 2 }, { 3, 4 } });
      });
    },
    { { seconds(59), { 0, 1, 2 }, { 3, 4 } } },
    NoAnswerConfirms },
  { "partition 2|3: the smaller side keeps its permits while one of its VMs is replaced",
    true,
    seconds(60),
    [](test_fleet& aFleet) {
      const int next = aFleet.AddProcess("vm-5");
      aFleet.StartAll();
      aFleet.At(seconds(5), [&aFleet, next] {
        LimitServiceTo(aFleet, { 0, 1, 2, next });
        aFleet.Partition({ { 0, 1, 2, next }, { 3, 4 } });
        PublishVms(aFleet, 2, { 0, 1, 2, 3, next });
        aFleet.Start(next);
      });
    },
    { { seconds(20), { 0, 1, 2, 5 }, { 3, 4 } } },
    AnyAnswerConfirms },
  { "partition 2|3: the side with the new list takes permits from the majority without it",
    true,
    seconds(60),
    [](test_fleet& aFleet) {
      const int next = aFleet.AddProcess("vm-5");
      aFleet.StartAll();
      aFleet.At(seconds(5), [&aFleet, next] {
        LimitServiceTo(aFleet, { 3, 4, next });
        aFleet.Partition({ { 0, 1, 2 }, { 3, 4, next } });
        PublishVms(aFleet, 2, { 1, 2, 3, 4, next });
        aFleet.Start(next);
      });
    },
    { { seconds(55), { 0, 1, 2, 3, 4 }, { 5 } } },
    ClaimsExpireAtOnce },
  { "partition 1|4: an isolated VM that still runs keeps its permits after it was replaced",
    true,
    seconds(60),
    [](test_fleet& aFleet) {
      const int next = aFleet.AddProcess("vm-5");
      aFleet.StartAll();
      aFleet.At(seconds(5), [&aFleet, next] {
        LimitServiceTo(aFleet, { 1, 2, 3, 4, next });
        aFleet.Partition({ { 0 }, { 1, 2, 3, 4, next } });
        PublishVms(aFleet, 2, { 1, 2, 3, 4, next });
        aFleet.Start(next);
      });
    },
    { { seconds(25), { 1, 2, 3, 4, 5 }, { 0 } } },
    NeverExpires },
  { "partition 1|4: a replaced VM has work in flight when its successor uses the permit",
    true,
    seconds(60),
    [](test_fleet& aFleet) {
      const int next = aFleet.AddProcess("vm-5");
      aFleet.StartAll();
      aFleet.At(seconds(5), [&aFleet, next] {
        LimitServiceTo(aFleet, { 1, 2, 3, 4, next });
        aFleet.Partition({ { 0 }, { 1, 2, 3, 4, next } });
        PublishVms(aFleet, 2, { 1, 2, 3, 4, next });
        aFleet.Start(next);
      });
    },
    {},
    ClaimsExpireAtOnce },
  { "partition 1|4: the single VM that reaches the configuration service stops",
    false,
    seconds(30),
    [](test_fleet& aFleet) {
      aFleet.StartAll();
      aFleet.At(seconds(5), [&] {
        LimitServiceTo(aFleet, { 0 });
        aFleet.Partition({ { 0 }, { 1, 2, 3, 4 } });
      });
    },
    { { seconds(29), { 0, 1, 2, 3, 4 }, {} } },
    NoAnswerConfirms },
  { "a removed VM keeps its permits because its peers still answer its probes",
    true,
    seconds(40),
    [](test_fleet& aFleet) {
      const int next = aFleet.AddProcess("vm-5");
      aFleet.StartAll();
      aFleet.At(seconds(5), [&aFleet, next] {
        // Process 0 still exchanges probes with its peers, but it cannot reach the configuration
        // service and is not in the new list. Tables and views from peers do not matter here.
        LimitServiceTo(aFleet, { 1, 2, 3, 4, next });
        PublishVms(aFleet, 2, { 1, 2, 3, 4, next });
        aFleet.Start(next);
      });
    },
    { { seconds(15), {}, { 0 } } },
    [](record_search_hooks& aHooks) {
      NewerListsConfirm(aHooks);
      aHooks.mTables.mMayReplaceVmList = [](const table_revision&, const table_revision& aCurrent) {
        return aCurrent == 0;
      };
    } },
  { "a VM restarts under its name and uses permits while its earlier work is in flight",
    true,
    seconds(30),
    [](test_fleet& aFleet) {
      aFleet.StartAll();
      aFleet.At(seconds(10), [&] { aFleet.Kill(0); });
      aFleet.At(milliseconds(10200), [&] { aFleet.Start(0); });
    },
    { { seconds(18), { 0, 1, 2, 3, 4 }, {} } },
    ClaimsExpireAtOnce },
  { "a restarted witness has lost a list and confirms the VM that the list removed",
    true,
    seconds(70),
    [](test_fleet& aFleet) {
      const int next = aFleet.AddProcess("vm-5");
      aFleet.StartAll();
      aFleet.At(seconds(5), [&aFleet, next] {
        LimitServiceTo(aFleet, { 1, 2, 3, next });
        aFleet.Partition({ { 0, 4 }, { 1, 2, 3, next } });
        PublishVms(aFleet, 2, { 1, 2, 3, 4, next });
        aFleet.Start(next);
      });
      aFleet.At(seconds(30), [&aFleet, next] {
        LimitServiceTo(aFleet, { 1, 2, next });
        aFleet.Partition({ { 0, 3, 4 }, { 1, 2, next } });
        aFleet.Kill(3);
        aFleet.Start(3);
      });
    },
    { { seconds(60), {}, { 0 } } },
    UnrecoveredWitnessAnswers },
  { "a process that was paused for 2 s uses its permits before its view is confirmed again",
    false,
    seconds(15),
    [](test_fleet& aFleet) {
      aFleet.StartAll();
      aFleet.At(seconds(10), [&] { aFleet.Pause(0); });
      aFleet.At(seconds(12), [&] {
        aFleet.Partition({ { 1, 2, 3, 4 } });
        LimitServiceTo(aFleet, { 1, 2, 3, 4 });
        aFleet.Resume(0);
      });
    },
    { { milliseconds(12001), {}, { 0 } } },
    IgnoresPauses },
  { "a process that was paused for 10 s uses permits that moved during the pause",
    true,
    seconds(40),
    [](test_fleet& aFleet) {
      const int next = aFleet.AddProcess("vm-5");
      aFleet.StartAll();
      aFleet.At(seconds(10), [&aFleet, next] {
        aFleet.Pause(0);
        PublishVms(aFleet, 2, { 1, 2, 3, 4, next });
        aFleet.Start(next);
      });
      aFleet.At(seconds(20), [&] {
        aFleet.Resume(0);
        LimitServiceTo(aFleet, { 1, 2, 3, 4, 5 });
        aFleet.Partition({ { 1, 2, 3, 4, 5 } });
      });
    },
    { { seconds(21), {}, { 0 } }, { seconds(39), { 1, 2, 3, 4, 5 }, { 0 } } },
    [](record_search_hooks& aHooks) {
      NeverExpires(aHooks);
      IgnoresPauses(aHooks);
    } },
  { "all daemons are paused for 10 s at once and do not recover",
    false,
    seconds(40),
    [](test_fleet& aFleet) {
      aFleet.StartAll();
      for (int i = 0; i < 5; ++i) {
        aFleet.At(seconds(10), [&aFleet, i] { aFleet.Pause(i); });
        aFleet.At(seconds(20), [&aFleet, i] { aFleet.Resume(i); });
      }
    },
    { { milliseconds(20001), {}, { 0, 1 } }, { seconds(23), { 0, 1, 2, 3, 4 }, {} } },
    [](record_search_hooks& aHooks) {
      NeverExpires(aHooks);
      IgnoresPauses(aHooks);
    } },
  { "a planned move waits for the take delay although the earlier holder answers",
    false,
    seconds(20),
    [](test_fleet& aFleet) {
      const int next = aFleet.AddProcess("vm-5");
      aFleet.StartAll();
      aFleet.At(seconds(5), [&aFleet, next] { aFleet.Start(next); });
      aFleet.At(seconds(8), [&aFleet, next] { PublishVms(aFleet, 2, { 0, 1, 2, 3, next }); });
    },
    { { seconds(10), { 0, 1, 2, 3, 5 }, { 4 } } },
    AlwaysWaitsTakeDelay },
  { "permits move with a list that is below the known one, because the service returned from an "
    "older copy, and their earlier holder is cut off",
    true,
    seconds(60),
    [](test_fleet& aFleet) {
      const int next = aFleet.AddProcess("vm-5");
      aFleet.StartAll();
      aFleet.At(seconds(5), [&] { PublishVms(aFleet, 2, { 0, 1, 2, 3, 4 }); });
      aFleet.At(seconds(6), [&] { PublishVms(aFleet, 3, { 0, 1, 2, 3, 4 }); });
      aFleet.At(seconds(10), [&] {
        aFleet.SetServiceUp(false);
        PublishVms(aFleet, 1, { 0, 1, 2, 3, 4 });
      });
      aFleet.At(seconds(11), [&] { aFleet.SetServiceUp(true); });
      aFleet.At(seconds(20), [&aFleet, next] {
        LimitServiceTo(aFleet, { 1, 2, 3, 4, next });
        aFleet.Partition({ { 1, 2, 3, 4, next } });
        PublishVms(aFleet, 2, { 1, 2, 3, 4, next });
        aFleet.Start(next);
      });
    },
    { { seconds(26), {}, { 0 } }, { seconds(59), { 1, 2, 3, 4, 5 }, { 0 } } },
    ClaimsExpireAtOnce },
  { "the configuration service is down for one hour and the fleet stops",
    false,
    minutes(62),
    [](test_fleet& aFleet) {
      aFleet.StartAll();
      aFleet.At(seconds(30), [&] { aFleet.SetServiceUp(false); });
    },
    { { seconds(40), { 0, 1, 2, 3, 4 }, {} }, { minutes(61), { 0, 1, 2, 3, 4 }, {} } },
    NoAnswerConfirms },
};

INSTANTIATE_TEST_SUITE_P(members, permits_in_use, testing::ValuesIn(kPermitCases));

// Guards against double use of permits under random partitions, message loss, pauses, restarts of
// one process at a time and replaced VMs.
struct random_case
{
  std::uint64_t mSeed;
  double mLoss;
  std::function<void(record_search_hooks&)>
    mReplaceRules; // replaces a rule; the seed must then show a violation
};

class random_schedule : public testing::TestWithParam<random_case>
{};

std::vector<std::string> RunRandom(const random_case& aCase, bool aBroken)
{
  fleet_options options;
  options.mSeed = aCase.mSeed;
  options.mLoss = aCase.mLoss;
  options.mIdleGates = false;
  if (aBroken) {
    options.mReplaceRules = aCase.mReplaceRules;
  }
  test_fleet fleet(options);
  permit_observer observer(fleet, true);
  fleet.SetCheck([&observer] { observer.Check(); });
  PublishAll(fleet);
  fleet.StartAll();
  std::mt19937_64 random(aCase.mSeed);
  std::vector<int> listed{ 0, 1, 2, 3, 4 };
  std::uint64_t revision = 1;
  int last = 4;
  for (int at = 15; at < 300; at += 2 + static_cast<int>(random() % 16)) {
    fleet.RunUntil(seconds(at));
    std::vector<std::set<int>> groups(2);
    std::set<int> reach;
    const bool whole = random() % 3 == 0;
    for (int i = 0; i < static_cast<int>(fleet.Size()) + 1; ++i) {
      groups[whole ? 0 : random() % 2].insert(i);
      if (random() % 3 != 0) {
        reach.insert(i);
      }
    }
    fleet.Partition(groups);
    LimitServiceTo(fleet, reach);
    const int chosen = listed[random() % listed.size()];
    switch (random() % 4) {
      case 0:
        fleet.Pause(chosen);
        fleet.At(seconds(at) + milliseconds(random() % 14000), [&fleet, chosen] {
          if (fleet.Process(chosen).mPaused) {
            fleet.Resume(chosen);
          }
        });
        break;
      case 1:
        fleet.Kill(chosen);
        fleet.Start(chosen);
        break;
      case 2: {
        // The process of the replaced VM keeps running.
        last = fleet.AddProcess(test_fleet::VmName(++last));
        *std::find(listed.begin(), listed.end(), chosen) = last;
        PublishVms(fleet, ++revision, listed);
        fleet.Start(last);
        break;
      }
      default:
        break;
    }
  }
  return observer.Violations();
}

TEST_P(random_schedule, NoPermitIsUsedTwice)
{
  EXPECT_EQ(RunRandom(GetParam(), false), std::vector<std::string>());
}

TEST_P(random_schedule, ShowAFaultWithoutTheRule)
{
  EXPECT_NE(RunRandom(GetParam(), true), std::vector<std::string>());
}

INSTANTIATE_TEST_SUITE_P(members,
                         random_schedule,
                         testing::Values(random_case{ 1, 0, ClaimsExpireAtOnce },
                                         random_case{ 2, 0.2, ClaimsExpireAtOnce },
                                         random_case{ 3, 0, NeverExpires },
                                         random_case{ 4, 0, AlwaysWaitsTakeDelay },
                                         random_case{ 8, 0, AnyAnswerConfirms },
                                         random_case{ 9, 0.05, NeverExpires }));

} // namespace

} // namespace redwingdock
