#include "platform/soak/soak_changes.h"

#include <gtest/gtest.h>

namespace redwingdock::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Times are counted from the acknowledgement of the change.
constexpr instant kChangedAt{ seconds(100) };
constexpr int kLongBefore = -20'000;

instant At(int aMs)
{
  return kChangedAt + milliseconds(aMs);
}

// Version 2 moves a route to service b, drops one and adds one. Version 3 moves it to service c.
const std::map<std::uint64_t, version_routes> kVersions = {
  { 1, { { "moved", "a" }, { "dropped", "d" }, { "gathers", "" } } },
  { 2, { { "moved", "b" }, { "added", "d" }, { "gathers", "" } } },
  { 3, { { "moved", "c" }, { "added", "d" }, { "gathers", "" } } }
};
const std::map<std::string, replica_place> kReplicas = { { "i-a", { "a", "zone-0" } },
                                                         { "i-b", { "b", "zone-1" } },
                                                         { "i-c", { "c", "zone-1" } },
                                                         { "i-d", { "d", "zone-0" } } };

acknowledged_change Version(std::uint64_t aVersion, int aAtMs)
{
  return { change_kind::Version, "", aVersion, At(aAtMs) };
}

acknowledged_change Change(change_kind aKind, const std::string& aName, int aAtMs)
{
  return { aKind, aName, 0, At(aAtMs) };
}

acknowledged_change LostAt(acknowledged_change aChange, int aMs)
{
  aChange.mLostAt = At(aMs);
  return aChange;
}

// A request that a replica ran 5 ms after it was sent; without a replica, it got 404.
struct handled_request
{
  int mSentMs = 0;
  std::string mRoute;
  std::string mReplica;
  int mRanAfterMs = 5;
};

handled_request Moved(int aSentMs, const std::string& aReplica)
{
  return { aSentMs, "moved", aReplica };
}

struct changes_row
{
  const char* mName;
  std::vector<acknowledged_change> mChanges;
  std::vector<handled_request> mRequests;
  std::vector<finding> mExpected;
  std::vector<time_span> mStoreDisturbances = {};
  process_record mProcess = { .mStartedAt = At(kLongBefore) };
  bool mSlowed = false;
};

class soak_changes_test : public testing::TestWithParam<changes_row>
{};

// Guards against a soak that passes although a change was not in effect, or fails although it had
// not to be.
TEST_P(soak_changes_test, FollowsTheRules)
{
  const changes_row& row = GetParam();
  soak_ledger ledger;
  ledger.mProcessRecords = { row.mProcess };
  ledger.mWritten = { kVersions, row.mChanges, kReplicas, row.mStoreDisturbances, row.mSlowed };
  for (const handled_request& each : row.mRequests) {
    request_record request;
    request.mId = std::to_string(ledger.mRequests.size());
    request.mRoute = each.mRoute;
    request.mSentAt = At(each.mSentMs);
    request.mEndedAt = At(each.mSentMs + each.mRanAfterMs + 1);
    request.mStatus = each.mReplica.empty() ? 404 : 200;
    if (!each.mReplica.empty()) {
      ledger.mRuns.push_back({ .mRequestId = request.mId,
                               .mReplica = each.mReplica,
                               .mStartedAt = At(each.mSentMs + each.mRanAfterMs),
                               .mEndedAt = request.mEndedAt,
                               .mStatus = 200 });
    }
    ledger.mRequests.push_back(std::move(request));
  }
  const soak_result result = JudgeAll(ledger, soak_bounds{});
  std::vector<finding> found;
  for (const finding each : { finding::OlderVersion,
                              finding::WentBack,
                              finding::ReachedLeaving,
                              finding::ReachedClosedZone }) {
    found.insert(found.end(), result.Count(each), each);
  }
  EXPECT_EQ(found, row.mExpected);
  EXPECT_EQ(result.IsClean(), row.mExpected.empty());
  EXPECT_EQ(result.mLines.size(), row.mExpected.size());
}

std::string NameOf(const testing::TestParamInfo<changes_row>& aInfo)
{
  return aInfo.param.mName;
}

const std::vector<acknowledged_change> kVersion2 = { Version(1, kLongBefore), Version(2, 0) };
const std::vector<finding> kOlder = { finding::OlderVersion };
const process_record kRestarted = { .mStartedAt = At(6500) };

INSTANTIATE_TEST_SUITE_P(
  versions,
  soak_changes_test,
  testing::Values(
    changes_row{ "old_service_within_the_bound", kVersion2, { Moved(3000, "i-a") }, {} },
    changes_row{ "old_service_after_the_bound", kVersion2, { Moved(3001, "i-a") }, kOlder },
    changes_row{ "new_service", kVersion2, { Moved(3001, "i-b") }, {} },
    changes_row{ "newer_service_than_due", kVersion2, { Moved(3001, "i-c") }, {} },
    changes_row{ "added_route_not_found", kVersion2, { { 3001, "added" } }, kOlder },
    changes_row{ "added_route_not_found_in_time", kVersion2, { { 3000, "added" } }, {} },
    changes_row{ "dropped_route_not_found", kVersion2, { { 3001, "dropped" } }, {} },
    changes_row{ "dropped_route_served", kVersion2, { { 3001, "dropped", "i-d" } }, kOlder },
    changes_row{ "kept_route_not_found", kVersion2, { { 3001, "moved" } }, kOlder },
    changes_row{ "any_service_of_a_gather", kVersion2, { { 3001, "gathers", "i-a" } }, {} },
    changes_row{ "store_disturbed_shortly_before",
                 kVersion2,
                 { Moved(6000, "i-a") },
                 {},
                 { { At(1000), At(2000) } } },
    changes_row{ "store_disturbed_longer_before",
                 kVersion2,
                 { Moved(6001, "i-a") },
                 kOlder,
                 { { At(1000), At(2000) } } },
    changes_row{ "store_disturbed_now",
                 kVersion2,
                 { Moved(9000, "i-a") },
                 {},
                 { { At(1000), At(2000) }, { At(2500) } } },
    changes_row{ "process_started_shortly_before",
                 kVersion2,
                 { Moved(10'500, "i-a") },
                 {},
                 {},
                 kRestarted },
    changes_row{ "process_started_longer_before",
                 kVersion2,
                 { Moved(10'501, "i-a") },
                 kOlder,
                 {},
                 kRestarted },
    changes_row{ "process_stopped_shortly_before",
                 kVersion2,
                 { Moved(6000, "i-a") },
                 {},
                 {},
                 { .mStartedAt = At(kLongBefore), .mStopAt = At(2000) } },
    changes_row{ "slowed", kVersion2, { Moved(3001, "i-a") }, {}, {}, {}, true }),
  NameOf);

const std::vector<time_span> kReturned = { { At(5000), At(6000) } };
const std::vector<acknowledged_change> kLost = { Version(1, kLongBefore),
                                                 LostAt(Version(2, 0), 5000) };
const std::vector<acknowledged_change> kLostSoon = { Version(1, kLongBefore),
                                                     LostAt(Version(2, 0), 2900) };
const std::vector<acknowledged_change> kLostAndWritten = { Version(1, kLongBefore),
                                                           LostAt(Version(2, 0), 2900),
                                                           Version(2, 8000) };

INSTANTIATE_TEST_SUITE_P(
  returns_of_the_store,
  soak_changes_test,
  testing::Values(
    changes_row{ "known_before_the_loss", kLost, { Moved(10'001, "i-a") }, kOlder, kReturned },
    changes_row{ "known_but_shortly_after", kLost, { Moved(10'000, "i-a") }, {}, kReturned },
    changes_row{ "not_known_by_a_later_process",
                 kLost,
                 { Moved(10'501, "i-a") },
                 {},
                 kReturned,
                 kRestarted },
    changes_row{ "lost_before_it_was_due",
                 kLostSoon,
                 { Moved(12'000, "i-a") },
                 {},
                 { { At(2900), At(3000) } } },
    changes_row{ "written_again",
                 kLostAndWritten,
                 { Moved(11'001, "i-a") },
                 kOlder,
                 { { At(2900), At(3000) } } },
    changes_row{ "written_again_within_the_bound",
                 kLostAndWritten,
                 { Moved(11'000, "i-a") },
                 {},
                 { { At(2900), At(3000) } } }),
  NameOf);

INSTANTIATE_TEST_SUITE_P(
  seen_versions,
  soak_changes_test,
  testing::Values(changes_row{ "older_after_the_slack",
                               kVersion2,
                               { Moved(100, "i-b"), Moved(606, "i-a") },
                               { finding::WentBack } },
                  changes_row{ "older_within_the_slack",
                               kVersion2,
                               { Moved(100, "i-b"), Moved(605, "i-a") },
                               {} },
                  changes_row{ "older_of_three",
                               { Version(1, kLongBefore), Version(3, 0) },
                               { Moved(0, "i-b"), Moved(100, "i-c"), Moved(700, "i-b") },
                               { finding::WentBack } },
                  changes_row{ "seen_by_an_earlier_process",
                               kVersion2,
                               { Moved(100, "i-b"), Moved(7000, "i-a") },
                               {},
                               {},
                               kRestarted },
                  changes_row{ "while_the_store_is_disturbed",
                               kVersion2,
                               { Moved(100, "i-b"), Moved(606, "i-a") },
                               { finding::WentBack },
                               { { At(0) } } },
                  changes_row{ "slowed_within_its_slack",
                               kVersion2,
                               { Moved(100, "i-b"), Moved(4105, "i-a") },
                               {},
                               {},
                               { .mStartedAt = At(kLongBefore) },
                               true },
                  changes_row{ "slowed_after_its_slack",
                               kVersion2,
                               { Moved(100, "i-b"), Moved(4106, "i-a") },
                               { finding::WentBack },
                               {},
                               { .mStartedAt = At(kLongBefore) },
                               true }),
  NameOf);

const std::vector<acknowledged_change> kLeaves = { Change(change_kind::ReplicaLeaves, "i-a", 0) };
const std::vector<acknowledged_change> kCloses = { Change(change_kind::ZoneCloses, "zone-0", 0) };
const std::vector<acknowledged_change> kOpensAgain = {
  Change(change_kind::ZoneCloses, "zone-0", 0),
  Change(change_kind::ZoneOpens, "zone-0", 4000)
};
const std::vector<finding> kReachedLeaving = { finding::ReachedLeaving };
const std::vector<finding> kReachedClosed = { finding::ReachedClosedZone };

INSTANTIATE_TEST_SUITE_P(
  replicas,
  soak_changes_test,
  testing::Values(
    changes_row{ "leaving_within_the_bound", kLeaves, { Moved(2995, "i-a") }, {} },
    changes_row{ "leaving_after_the_bound", kLeaves, { Moved(2996, "i-a") }, kReachedLeaving },
    changes_row{ "another_leaves", kLeaves, { Moved(2996, "i-b") }, {} },
    changes_row{ "leaving_reached_late",
                 kLeaves,
                 { { 100, "moved", "i-a", 2901 } },
                 kReachedLeaving },
    changes_row{ "leaving_lost_but_known",
                 { LostAt(kLeaves.front(), 5000) },
                 { Moved(10'001, "i-a") },
                 kReachedLeaving,
                 kReturned },
    changes_row{ "leaving_lost_before_a_start",
                 { LostAt(kLeaves.front(), 5000) },
                 { Moved(10'600, "i-a") },
                 {},
                 kReturned,
                 kRestarted },
    changes_row{ "closed_zone_within_the_bound", kCloses, { Moved(4995, "i-a") }, {} },
    changes_row{ "closed_zone_after_the_bound", kCloses, { Moved(4996, "i-a") }, kReachedClosed },
    changes_row{ "another_zone_closed", kCloses, { Moved(4996, "i-b") }, {} },
    changes_row{ "zone_open_again", kOpensAgain, { Moved(4996, "i-a") }, {} }),
  NameOf);

} // namespace
} // namespace redwingdock::platform
