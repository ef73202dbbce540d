#include "membership/test_fleet.h"
#include "tables/readers.h"

#include <algorithm>
#include <gtest/gtest.h>

// Publishes tables to simulated daemons while parts of the system fail. Each case runs twice:
// with the real hooks, and with the hook under test replaced, where the same checks must fail.

namespace redwingdock {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr micros kInForceLimit = seconds(9);

// Checks after every event that no daemon returns to an older table and that every pair in force is
// consistent.
class table_observer
{
public:
  explicit table_observer(const test_fleet& aFleet)
    : mFleet(aFleet)
  {
  }

  void Check()
  {
    for (std::size_t i = 0; i < mFleet.Size(); ++i) {
      const test_process& process = mFleet.Process(static_cast<int>(i));
      if (!process.mRunning) {
        continue;
      }
      const auto tables = process.mCore->mBoard.Read<tables_in_force>(kTablesKey);
      const auto view = process.mCore->mBoard.Read<member_view>(kMembersKey);
      revisions_seen& last = mLast[process.mCore->mConfig.mIncarnation];
      const revisions_seen now{ tables ? tables->RoutesRevision() : table_revision{},
                                tables ? tables->PoolsRevision() : table_revision{},
                                view ? view->mVms.mRevision : table_revision{} };
      if (now == last) {
        continue;
      }
      if (now.mRoutes < last.mRoutes || now.mPools < last.mPools || now.mVms < last.mVms) {
        Report(process, "returned to an older table");
      }
      if (tables && CheckConsistency(*tables->mRoutes, *tables->mPools)) {
        Report(process, "has an inconsistent pair in force");
      }
      last = now;
    }
  }

  std::vector<std::string> mErrors;

private:
  struct revisions_seen
  {
    table_revision mRoutes;
    table_revision mPools;
    table_revision mVms;

    auto operator<=>(const revisions_seen&) const = default;
  };

  void Report(const test_process& aProcess, const std::string& aText)
  {
    if (mErrors.size() < 5) {
      mErrors.push_back(aProcess.mAddress + " " + aText);
    }
  }

  const test_fleet& mFleet;
  std::map<std::string, revisions_seen> mLast;
};

struct table_case
{
  const char* mName; // the failure that the case guards against
  int mZones;
  std::set<int> mLate; // processes that mSchedule starts
  micros mCheckAt;
  std::function<void(test_fleet&)> mSchedule;
  std::vector<pair_revisions> mExpected; // at the end, all daemons have the same one of these
  std::function<void(fleet_options&)> mReplaceRules;
  std::set<std::string> mExpectedPools{}; // in force at the end
  std::size_t mExpectedVms = 5;           // in the VM list at the end
};

void PublishRoutes(test_fleet& aFleet, std::uint64_t aRevision, const std::set<std::string>& aPools)
{
  aFleet.Publish(table_kind::Routes, aRevision, aFleet.RoutesTable(aRevision, aPools));
}

void PublishPools(test_fleet& aFleet, std::uint64_t aRevision, const std::set<std::string>& aPools)
{
  aFleet.Publish(table_kind::Pools, aRevision, aFleet.PoolsTable(aRevision, aPools));
}

std::vector<std::string> RunCase(const table_case& aCase, bool aReplaceHooks)
{
  fleet_options options;
  options.mZones = aCase.mZones;
  if (aReplaceHooks) {
    aCase.mReplaceRules(options);
  }
  test_fleet fleet(options);
  table_observer observer(fleet);
  fleet.SetCheck([&observer] { observer.Check(); });
  fleet.Publish(table_kind::Vms, 1, fleet.VmTable(1, { 0, 1, 2, 3, 4 }));
  PublishRoutes(fleet, 1, { "main" });
  PublishPools(fleet, 1, { "main" });
  for (int i = 0; i < 5; ++i) {
    if (!aCase.mLate.contains(i)) {
      fleet.Start(i);
    }
  }
  aCase.mSchedule(fleet);
  fleet.RunUntil(aCase.mCheckAt);
  std::vector<std::string> errors = observer.mErrors;
  std::set<pair_revisions> found;
  for (std::size_t i = 0; i < fleet.Size(); ++i) {
    const test_process& process = fleet.Process(static_cast<int>(i));
    if (process.mRunning) {
      const auto tables = process.mCore->mBoard.Read<tables_in_force>(kTablesKey);
      found.insert(tables ? pair_revisions{ tables->RoutesRevision(), tables->PoolsRevision() }
                          : pair_revisions{});
      const auto view = process.mCore->mBoard.Read<member_view>(kMembersKey);
      if (!view || view->mVms.mVms.size() != aCase.mExpectedVms) {
        errors.push_back(process.mAddress + " has another VM list");
      }
      for (const std::string& pool : aCase.mExpectedPools) {
        if (!tables || tables->FindPool(pool) == nullptr) {
          errors.push_back(process.mAddress + " has no pool " + pool);
        }
      }
    }
  }
  if (found.size() != 1 ||
      std::find(aCase.mExpected.begin(), aCase.mExpected.end(), *found.begin()) ==
        aCase.mExpected.end()) {
    for (const pair_revisions& pair : found) {
      errors.push_back("in force: routes " + ToString(pair.mRoutes) + ", pools " +
                       ToString(pair.mPools));
    }
  }
  return errors;
}

class table_controller_test : public testing::TestWithParam<table_case>
{};

TEST_P(table_controller_test, AreInForceAtAllDaemons)
{
  SCOPED_TRACE(GetParam().mName);
  EXPECT_EQ(RunCase(GetParam(), false), std::vector<std::string>());
}

TEST_P(table_controller_test, FailWithReplacedHook)
{
  SCOPED_TRACE(GetParam().mName);
  EXPECT_NE(RunCase(GetParam(), true), std::vector<std::string>());
}

void KillReaders(test_fleet& aFleet)
{
  const auto view = aFleet.Process(0).mCore->mBoard.Read<member_view>(kMembersKey);
  for (const std::string& reader : SelectReaders(view->mVms, "z0", 2)) {
    aFleet.Kill(reader.back() - '0');
  }
}

void NeverReadAsFallback(fleet_options& aOptions)
{
  aOptions.mReplaceRules = [](record_search_hooks& aHooks) {
    aHooks.mTables.mMayReadAsFallback = [](micros, micros) { return false; };
  };
}

void AcceptAnyPair(fleet_options& aOptions)
{
  aOptions.mReplaceRules = [](record_search_hooks& aHooks) {
    aHooks.mTables.mCheckConsistency = [](const auto&, const auto&) {
      return std::optional<reason>();
    };
  };
}

// Accepts an invalid pools table as an empty one.
void AcceptAnyText(fleet_options& aOptions)
{
  aOptions.mReplaceRules = [](record_search_hooks& aHooks) {
    const auto parse = aHooks.mTables.mParsePools;
    aHooks.mTables.mParsePools = [parse](const std::string& aText, const std::string& aFile) {
      const auto table = parse(aText, aFile);
      return table ? table : Success(pools_table{ 2, {}, {} });
    };
  };
}

void ReplaceByOlder(fleet_options& aOptions)
{
  aOptions.mReplaceRules = [](record_search_hooks& aHooks) {
    aHooks.mTables.mMayReplace = [](const pair_revisions& aNext, const pair_revisions& aNow) {
      return aNext != aNow;
    };
  };
}

void ReplaceByOlderList(fleet_options& aOptions)
{
  aOptions.mReplaceRules = [](record_search_hooks& aHooks) {
    aHooks.mTables.mMayReplaceVmList = std::not_equal_to<>();
    aHooks.mMembership.mMayReplaceList = std::not_equal_to<>();
  };
}

void NeverStartAHistory(fleet_options& aOptions)
{
  aOptions.mReplaceRules = [](record_search_hooks& aHooks) {
    aHooks.mTables.mRevisionOfAnswer =
      [](const table_history& aHistory, std::uint64_t aNumber, std::uint64_t) {
        return table_revision{ aHistory.mNumber, aNumber };
      };
  };
}

// Takes any older table for one of a later history.
void StartAHistoryWithOlder(fleet_options& aOptions)
{
  aOptions.mReplaceRules = [](record_search_hooks& aHooks) {
    aHooks.mTables.mRevisionOfAnswer =
      [](const table_history& aHistory, std::uint64_t aNumber, std::uint64_t) {
        const bool older = !aHistory.mTexts.empty() && aHistory.mTexts.rbegin()->first > aNumber;
        return table_revision{ aHistory.mNumber + (older ? 1 : 0), aNumber };
      };
  };
}

void AskNoPeers(fleet_options& aOptions)
{
  aOptions.mConfigure = [](core_config& aConfig) { aConfig.mSeeds.clear(); };
}

// The service returns from a copy of 10 s and loses two revisions of the pools table.
void RestoreService(test_fleet& aFleet)
{
  aFleet.At(seconds(10), [&] { PublishPools(aFleet, 2, { "main", "extra" }); });
  aFleet.At(seconds(12), [&] { PublishPools(aFleet, 3, { "main", "extra" }); });
  aFleet.At(seconds(20), [&] {
    aFleet.SetServiceUp(false);
    PublishPools(aFleet, 1, { "main" });
  });
  aFleet.At(seconds(21), [&] { aFleet.SetServiceUp(true); });
}

const table_case kTableCases[] = {
  { "a table published after the readers died is not in force within 9 s",
    1,
    {},
    seconds(20) + kInForceLimit,
    [](test_fleet& aFleet) {
      aFleet.At(seconds(20), [&] {
        KillReaders(aFleet);
        PublishRoutes(aFleet, 2, { "main" });
      });
    },
    { { 2, 1 } },
    NeverReadAsFallback },
  { "tables are not in force after the readers die between two publications",
    1,
    {},
    seconds(20) + kInForceLimit,
    [](test_fleet& aFleet) {
      aFleet.At(seconds(20), [&] { PublishRoutes(aFleet, 2, { "main" }); });
      aFleet.At(seconds(20) + milliseconds(3), [&] {
        KillReaders(aFleet);
        PublishPools(aFleet, 2, { "main", "extra" });
      });
    },
    { { 2, 2 } },
    NeverReadAsFallback },
  { "routes that name a missing pool block valid pools published at the same time",
    2,
    {},
    seconds(20) + kInForceLimit,
    [](test_fleet& aFleet) {
      aFleet.At(seconds(20), [&] {
        PublishRoutes(aFleet, 2, { "main", "missing" });
        PublishPools(aFleet, 2, { "main", "extra" });
      });
    },
    { { 1, 2 } },
    AcceptAnyPair },
  { "routes that name a missing pool block valid pools published 5 ms earlier",
    2,
    {},
    seconds(20) + kInForceLimit,
    [](test_fleet& aFleet) {
      aFleet.At(seconds(20), [&] { PublishPools(aFleet, 2, { "main", "extra" }); });
      aFleet.At(milliseconds(20005), [&] { PublishRoutes(aFleet, 2, { "main", "missing" }); });
    },
    { { 1, 2 } },
    AcceptAnyPair },
  { "an invalid pools table blocks valid routes",
    2,
    {},
    seconds(20) + kInForceLimit,
    [](test_fleet& aFleet) {
      aFleet.At(seconds(20), [&] {
        aFleet.Publish(table_kind::Pools, 2, aFleet.BrokenTable(2));
        PublishRoutes(aFleet, 2, { "main" });
      });
    },
    { { 2, 1 } },
    [](fleet_options& aOptions) {
      AcceptAnyText(aOptions);
      const auto text = aOptions.mReplaceRules;
      AcceptAnyPair(aOptions);
      const auto join = aOptions.mReplaceRules;
      aOptions.mReplaceRules = [text, join](record_search_hooks& aHooks) {
        text(aHooks);
        join(aHooks);
      };
    } },
  { "routes go into force before the new pools that they need",
    2,
    {},
    seconds(21) + kInForceLimit,
    [](test_fleet& aFleet) {
      aFleet.At(seconds(20), [&] { PublishRoutes(aFleet, 2, { "main", "extra" }); });
      aFleet.At(seconds(21), [&] { PublishPools(aFleet, 2, { "main", "extra" }); });
    },
    { { 2, 2 } },
    AcceptAnyPair },
  { "daemons end with different pairs after two conflicting changes",
    2,
    {},
    seconds(40) + kInForceLimit,
    [](test_fleet& aFleet) {
      aFleet.At(seconds(10), [&] { PublishPools(aFleet, 2, { "main", "extra" }); });
      aFleet.At(seconds(40), [&] { PublishRoutes(aFleet, 2, { "main", "extra" }); });
      aFleet.At(milliseconds(40002), [&] { PublishPools(aFleet, 3, { "main" }); });
    },
    { { 1, 2 }, { 2, 2 }, { 1, 3 } },
    AcceptAnyPair },
  { "a daemon that starts while the service is down gets no tables",
    4,
    { 4 },
    seconds(45),
    [](test_fleet& aFleet) {
      aFleet.At(seconds(20), [&] { aFleet.SetServiceUp(false); });
      aFleet.At(seconds(30), [&] { aFleet.Start(4); });
    },
    { { 1, 1 } },
    AskNoPeers },
  { "a service with older tables after an outage reverts the tables in force",
    4,
    { 4 },
    seconds(100),
    [](test_fleet& aFleet) {
      aFleet.At(seconds(10), [&] {
        PublishRoutes(aFleet, 2, { "main" });
        PublishPools(aFleet, 2, { "main", "extra" });
      });
      aFleet.At(seconds(20), [&] { aFleet.SetServiceUp(false); });
      aFleet.At(seconds(30), [&] { aFleet.Start(4); });
      aFleet.At(seconds(60), [&] {
        PublishRoutes(aFleet, 1, { "main" });
        PublishPools(aFleet, 1, { "main" });
        aFleet.SetServiceUp(true);
      });
    },
    { { 2, 2 } },
    ReplaceByOlder },
  { "a service with an older VM list after an outage reverts the list",
    4,
    {},
    seconds(100),
    [](test_fleet& aFleet) {
      aFleet.At(seconds(10), [&] {
        aFleet.Publish(table_kind::Vms, 2, aFleet.VmTable(2, { 0, 1, 2, 3, 4 }));
      });
      aFleet.At(seconds(20), [&] { aFleet.SetServiceUp(false); });
      aFleet.At(seconds(60), [&] {
        aFleet.Publish(table_kind::Vms, 1, aFleet.VmTable(1, { 0, 1, 2, 3, 4 }));
        aFleet.SetServiceUp(true);
      });
      // The isolated daemon gets no confirmation by probes, so it reads the list.
      aFleet.At(seconds(62), [&] { aFleet.Partition({ { 0 }, { 1, 2, 3, 4 } }); });
      aFleet.At(seconds(75), [&] { aFleet.Partition({ { 0, 1, 2, 3, 4 } }); });
    },
    { { 1, 1 } },
    ReplaceByOlderList },
  { "a table below the revision in force, published after the service returned from an older copy, "
    "is missed",
    4,
    {},
    seconds(25) + kInForceLimit,
    [](test_fleet& aFleet) {
      RestoreService(aFleet);
      aFleet.At(seconds(25), [&] { PublishPools(aFleet, 2, { "main", "other" }); });
    },
    { { 1, { 1, 2 } } },
    NeverStartAHistory,
    { "other" } },
  { "a table at the revision in force, published after the service returned from an older copy, is "
    "missed",
    4,
    {},
    seconds(26) + kInForceLimit,
    [](test_fleet& aFleet) {
      RestoreService(aFleet);
      aFleet.At(seconds(25), [&] { PublishPools(aFleet, 2, { "main", "extra" }); });
      aFleet.At(seconds(26), [&] { PublishPools(aFleet, 3, { "main", "other" }); });
    },
    { { 1, { 1, 3 } } },
    NeverStartAHistory,
    { "other" } },
  { "a daemon that starts after the service returned from an older copy has other tables",
    4,
    { 4 },
    seconds(25) + kInForceLimit,
    [](test_fleet& aFleet) {
      RestoreService(aFleet);
      aFleet.At(seconds(23), [&] { aFleet.Start(4); });
      aFleet.At(seconds(25), [&] { PublishPools(aFleet, 2, { "main", "other" }); });
    },
    { { 1, { 1, 2 } } },
    NeverStartAHistory,
    { "other" } },
  { "a VM list below the known one, published after the service returned from an older copy, is "
    "missed",
    4,
    {},
    seconds(25) + kInForceLimit,
    [](test_fleet& aFleet) {
      aFleet.At(seconds(10), [&] {
        aFleet.Publish(table_kind::Vms, 2, aFleet.VmTable(2, { 0, 1, 2, 3, 4 }));
      });
      aFleet.At(seconds(12), [&] {
        aFleet.Publish(table_kind::Vms, 3, aFleet.VmTable(3, { 0, 1, 2, 3, 4 }));
      });
      aFleet.At(seconds(20), [&] {
        aFleet.SetServiceUp(false);
        aFleet.Publish(table_kind::Vms, 1, aFleet.VmTable(1, { 0, 1, 2, 3, 4 }));
      });
      aFleet.At(seconds(21), [&] { aFleet.SetServiceUp(true); });
      aFleet.At(seconds(25), [&] {
        aFleet.Publish(table_kind::Vms, 2, aFleet.VmTable(2, { 0, 1, 2, 3 }));
      });
    },
    { { 1, 1 } },
    NeverStartAHistory,
    {},
    4 },
  { "a stale service that catches up reverts the tables in force",
    4,
    {},
    seconds(60),
    [](test_fleet& aFleet) {
      RestoreService(aFleet);
      aFleet.At(seconds(30), [&] { PublishPools(aFleet, 2, { "main", "extra" }); });
      aFleet.At(seconds(40), [&] { PublishPools(aFleet, 3, { "main", "extra" }); });
    },
    { { 1, 3 } },
    StartAHistoryWithOlder },
};

INSTANTIATE_TEST_SUITE_P(tables, table_controller_test, testing::ValuesIn(kTableCases));

// Bounds on the control traffic of a fleet without failures or changes.
struct traffic_case
{
  const char* mName;
  int mDaemons;
  double mFleetReads; // upper bound, per second, all daemons
  double mBytes;      // upper bound, per second and daemon
  std::function<void(record_search_hooks&)> mReplaceRules;
};

class idle_traffic_test : public testing::TestWithParam<traffic_case>
{};

struct traffic_rates
{
  double mFleetReads;
  double mMaxReads; // highest number in one second of the first 4 s
  double mBytes;
};

traffic_rates Measure(const traffic_case& aCase, bool aReplaceHooks)
{
  fleet_options options;
  options.mProcesses = aCase.mDaemons;
  options.mZones = aCase.mDaemons < 50 ? 4 : 10;
  if (aReplaceHooks) {
    options.mReplaceRules = aCase.mReplaceRules;
  }
  test_fleet fleet(options);
  std::vector<int> all(aCase.mDaemons);
  for (int i = 0; i < aCase.mDaemons; ++i) {
    all[i] = i;
  }
  fleet.Publish(table_kind::Vms, 1, fleet.VmTable(1, all));
  PublishRoutes(fleet, 1, { "main" });
  PublishPools(fleet, 1, { "main" });
  fleet.StartAll();
  const auto bytes = [&] {
    std::uint64_t sum = 0;
    for (const int i : all) {
      sum += fleet.Process(i).mTraffic.mBytes;
    }
    return static_cast<double>(sum);
  };
  const int length = aCase.mDaemons > 100 ? 4 : 20;
  fleet.RunUntil(seconds(4));
  const double bytesBefore = bytes();
  const std::size_t readsBefore = fleet.ReadTimes().size();
  std::map<std::int64_t, int> perSecond;
  for (const instant at : fleet.ReadTimes()) {
    ++perSecond[ToMs(at.time_since_epoch()) / 1000];
  }
  int most = 0;
  for (const auto& [second, reads] : perSecond) {
    most = std::max(most, reads);
  }
  fleet.RunUntil(seconds(4 + length));
  return { static_cast<double>(fleet.ReadTimes().size() - readsBefore) / length,
           static_cast<double>(most),
           (bytes() - bytesBefore) / length / aCase.mDaemons };
}

bool Within(const traffic_rates& aTraffic, const traffic_case& aCase)
{
  return aTraffic.mFleetReads <= aCase.mFleetReads && aTraffic.mBytes <= aCase.mBytes &&
         aTraffic.mMaxReads < 2000;
}

TEST_P(idle_traffic_test, StaysWithinItsBounds)
{
  SCOPED_TRACE(GetParam().mName);
  const traffic_rates cost = Measure(GetParam(), false);
  EXPECT_TRUE(Within(cost, GetParam()))
    << cost.mFleetReads << " reads/s, at most " << cost.mMaxReads << " in one second of the start, "
    << cost.mBytes << " bytes/s";
  RecordProperty("cost",
                 std::to_string(cost.mFleetReads) + " reads/s, start " +
                   std::to_string(cost.mMaxReads) + ", bytes/s " + std::to_string(cost.mBytes));
}

TEST_P(idle_traffic_test, FailsWithReplacedHook)
{
  SCOPED_TRACE(GetParam().mName);
  EXPECT_FALSE(Within(Measure(GetParam(), true), GetParam()));
}

void AllDaemonsRead(record_search_hooks& aHooks)
{
  aHooks.mTables.mMayReadAsFallback = [](micros, micros) { return true; };
}

void AllDaemonsConfirmByReads(record_search_hooks& aHooks)
{
  aHooks.mMembership.mAnsweredSince = [](const auto&, const auto&, const auto&) {
    return instant{};
  };
}

void SendViewsToAll(record_search_hooks& aHooks)
{
  aHooks.mMembership.mViewTargets = [](const auto& aNames, std::size_t, std::uint64_t) {
    return aNames;
  };
}

INSTANTIATE_TEST_SUITE_P(
  tables,
  idle_traffic_test,
  testing::Values(
    traffic_case{ "daemons confirm the VM list by reads although probes confirm it",
                  5,
                  2,
                  5000,
                  AllDaemonsConfirmByReads },
    traffic_case{ "daemons that are no readers read the service", 50, 8, 5000, AllDaemonsRead },
    traffic_case{ "each view is sent to all daemons", 50, 8, 5000, SendViewsToAll },
    traffic_case{ "the number of reads grows with the fleet", 710, 8, 5000, AllDaemonsRead }));

} // namespace

} // namespace redwingdock
