#include "forward/crash_record.h"
#include "testing/forwarding_rig.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace redwingdock::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kCrashing = 77;

// Replicas of service "a". Each one that runs the crashing request ends at once, its entry is
// removed, and another one starts with a new id.
class crashing_service
{
public:
  struct behaviour
  {
    int mReplicas = 24;
    milliseconds mEntryRemovedAfter{ 3600 };
    milliseconds mBackAfter{ 4000 };
    // What a connection attempt to an ended replica shows.
    replica_status mEndedStatus = replica_status::Ended;
    bool mKeepsId = false; // the new process has the id of the old one
  };

  crashing_service(forwarding_rig& aRig, const behaviour& aBehaviour)
    : mRig(aRig)
    , mBehaviour(aBehaviour)
  {
    for (int i = 0; i < aBehaviour.mReplicas; ++i) {
      Start("a-" + std::to_string(++mStarted));
    }
  }

  void Start(const std::string& aId)
  {
    mEnded[aId] = false;
    store_item item = ReplicaItem(aId, "a", "zone-1");
    std::get<replica_entry>(item.mValue).mBornMs = ++mBorn;
    mRig.Publish(std::move(item));
    mRig.Script(aId, [this, aId](int) {
      if (mEnded[aId]) {
        return replica_action{ attempt_end::NotSent, milliseconds(1) };
      }
      if (!mCrashingRequestRuns) {
        return replica_action{};
      }
      ++mCrashes;
      mEnded[aId] = true;
      mChanges.emplace_back(mRig.Now() + mBehaviour.mEntryRemovedAfter,
                            [this, aId] { mRig.Delete("replicas/" + aId); });
      mChanges.emplace_back(mRig.Now() + mBehaviour.mBackAfter, [this, aId] {
        Start(mBehaviour.mKeepsId ? aId : "a-" + std::to_string(++mStarted));
      });
      return replica_action{ attempt_end::Lost, milliseconds(2) };
    });
    mRig.ScriptCheck(
      aId, [this, aId] { return mEnded[aId] ? mBehaviour.mEndedStatus : replica_status::Running; });
  }

  // Sends a request and runs the clock on. Returns the answer's kind.
  answer_kind Ask(std::uint64_t aFingerprint, micros aDuration)
  {
    mCrashingRequestRuns = aFingerprint == kCrashing;
    const std::uint64_t request = ++mRequests;
    mRig.Post(
      request_arrived{ request, { "id", "search.example", "/q/x", micros(0), aFingerprint } });
    mRig.RunFor(milliseconds(50));
    mCrashingRequestRuns = false;
    RunFor(aDuration - milliseconds(50));
    return mRig.mAnswers[request].empty() ? answer_kind::TimedOut
                                          : mRig.mAnswers[request].front().mAnswer.mKind;
  }

  void RunFor(micros aDuration)
  {
    const instant end = mRig.Now() + aDuration;
    while (mRig.Now() < end) {
      mRig.RunFor(std::min<micros>(milliseconds(10), end - mRig.Now()));
      for (std::size_t i = 0; i < mChanges.size();) {
        if (mChanges[i].first > mRig.Now()) {
          ++i;
          continue;
        }
        const auto change = std::move(mChanges[i].second);
        mChanges.erase(mChanges.begin() + static_cast<std::ptrdiff_t>(i));
        change();
      }
    }
  }

  int mCrashes = 0;

private:
  forwarding_rig& mRig;
  const behaviour mBehaviour;
  int mStarted = 0;
  std::int64_t mBorn = 0;
  std::uint64_t mRequests = 0;
  bool mCrashingRequestRuns = false;
  std::map<std::string, bool> mEnded;
  std::vector<std::pair<instant, std::function<void()>>> mChanges;
};

heartbeat HeartbeatOf(const std::string& aVm)
{
  return { { aVm, 5, "127.0.0.9:7380", "call", "zone-2", true } };
}

replica_crash CrashOf(const std::string& aReplica)
{
  return { kCrashing, aReplica, 1, seconds(30) };
}

struct repeated_crash_row
{
  const char* mGuardsAgainst;
  crashing_service::behaviour mBehaviour;
  std::uint32_t mMaxAttempts;
  std::vector<replica_crash> mReported; // by other daemons, before the first request
  int mMinCrashes;
  int mMaxCrashes; // in twelve requests, one each two seconds
};

class repeated_crash_test : public ::testing::TestWithParam<repeated_crash_row>
{};

TEST_P(repeated_crash_test, IsRefusedSoon)
{
  const repeated_crash_row& row = GetParam();
  forwarding_rig rig({});
  crashing_service service(rig, row.mBehaviour);
  route_rule route = PlainRoute("a", true);
  route.mMaxAttempts = row.mMaxAttempts;
  rig.Publish(ConfigurationItem(7, { route }));
  rig.RunFor(seconds(1));
  heartbeat reports = HeartbeatOf("vm-2");
  reports.mCrashes = row.mReported;
  rig.Post(heartbeat_received{ reports });
  for (int i = 0; i < 12; ++i) {
    service.Ask(kCrashing, seconds(2));
  }
  EXPECT_LE(service.mCrashes, row.mMaxCrashes) << row.mGuardsAgainst;
  EXPECT_GE(service.mCrashes, row.mMinCrashes) << row.mGuardsAgainst;
  EXPECT_EQ(service.Ask(kCrashing, seconds(1)), answer_kind::NotRun) << row.mGuardsAgainst;
  EXPECT_EQ(service.Ask(1, seconds(1)), answer_kind::Relayed) << "another request is refused";
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  repeated_crash_test,
  ::testing::Values(
    repeated_crash_row{ "a crashing request is forwarded as long as the service has other replicas",
                        {},
                        2,
                        {},
                        2,
                        2 },
    repeated_crash_row{ "a route with one attempt for each request hides the crashes",
                        {},
                        1,
                        {},
                        2,
                        2 },
    // Two requests of two runs each pass before the first entry is removed.
    repeated_crash_row{ "the removal of the entry does not count as the end of a replica",
                        { .mEndedStatus = replica_status::Unknown },
                        2,
                        {},
                        2,
                        4 },
    repeated_crash_row{ "a new start under the same id does not count as the end of a replica",
                        { .mEntryRemovedAfter = milliseconds(60'000),
                          .mBackAfter = milliseconds(1500),
                          .mEndedStatus = replica_status::Unknown,
                          .mKeepsId = true },
                        1,
                        {},
                        2,
                        3 },
    repeated_crash_row{ "daemons that saw one crash each do not add them up",
                        {},
                        1,
                        { CrashOf("b-1") },
                        1,
                        1 },
    repeated_crash_row{ "a crash that is reported repeatedly counts repeatedly",
                        {},
                        1,
                        { CrashOf("b-1"), CrashOf("b-1") },
                        1,
                        1 },
    repeated_crash_row{ "crashes that two other daemons saw are not added up",
                        {},
                        1,
                        { CrashOf("b-1"), CrashOf("b-2") },
                        0,
                        0 }));

TEST(crash, EvidenceIsReportedInHeartbeats)
{
  // Guards against daemons that never learn of the crashes that others saw.
  forwarding_rig rig({});
  crashing_service service(rig, {});
  route_rule route = PlainRoute("a", true);
  route.mMaxAttempts = 1;
  rig.Publish(ConfigurationItem(7, { route }));
  rig.Post(heartbeat_received{ HeartbeatOf("vm-2") });
  rig.RunFor(seconds(1));
  service.Ask(kCrashing, seconds(1));
  ASSERT_FALSE(rig.mHeartbeats.empty());
  ASSERT_EQ(rig.mHeartbeats.back().mCrashes.size(), 1U);
  EXPECT_EQ(rig.mHeartbeats.back().mCrashes.front().mFingerprint, kCrashing);
  EXPECT_GT(rig.mHeartbeats.back().mCrashes.front().mTimeLeft, seconds(50));
  service.Ask(kCrashing, seconds(1));
  EXPECT_TRUE(rig.mHeartbeats.back().mCrashes.empty());
  ASSERT_EQ(rig.mHeartbeats.back().mRefused.size(), 1U);
  EXPECT_EQ(rig.mHeartbeats.back().mRefused.front().mFingerprint, kCrashing);
}

TEST(crash, ARefusalEndsWhileTheRequestIsRepeated)
{
  // Guards against repeats that renew a refusal, so that it never ends, and against a refusal that
  // ends with the same number of crashes each minute.
  forwarding_rig rig({});
  crashing_service service(rig, {});
  rig.Publish(ConfigurationItem(7, { PlainRoute("a", true) }));
  rig.RunFor(seconds(1));
  for (int i = 0; i < 25; ++i) {
    service.Ask(kCrashing, seconds(2));
  }
  EXPECT_EQ(service.mCrashes, 2);
  for (int i = 0; i < 75; ++i) {
    service.Ask(kCrashing, seconds(2));
  }
  // One trial after 60 s with a single attempt, which crashes one replica. The next refusal lasts
  // 240 s.
  EXPECT_EQ(service.mCrashes, 3);
}

struct refusal_length_row
{
  const char* mGuardsAgainst;
  int mAtOnce;         // requests that are sent at the same time
  milliseconds mApart; // time between the crashes that become known
  bool mLearnt;        // another daemon's refusal arrives after the first crash
};

class refusal_length_test : public ::testing::TestWithParam<refusal_length_row>
{};

TEST_P(refusal_length_test, CountsTheCrashesOfOneWaveOnce)
{
  const refusal_length_row& row = GetParam();
  forwarding_rig rig({});
  rig.Post(heartbeat_received{ HeartbeatOf("vm-2") });
  for (int i = 0; i < 8; ++i) {
    const std::string id = "a-" + std::to_string(i);
    rig.Publish(ReplicaItem(id, "a", "zone-1"));
    rig.Script(id, [&row, i](int) {
      return replica_action{ attempt_end::Lost, milliseconds(2) + i * row.mApart };
    });
    rig.ScriptCheck(id, [] { return replica_status::Ended; });
  }
  route_rule route = PlainRoute("a", true);
  route.mMaxAttempts = 1;
  rig.Publish(ConfigurationItem(7, { route }));
  rig.RunFor(seconds(1));
  for (int i = 1; i <= row.mAtOnce; ++i) {
    rig.Post(request_arrived{ static_cast<std::uint64_t>(i),
                              { "id", "search.example", "/q/x", micros(0), kCrashing } });
  }
  if (row.mLearnt) {
    rig.RunFor(milliseconds(200));
    heartbeat refusal = HeartbeatOf("vm-2");
    refusal.mRefused = { { kCrashing, seconds(50) } };
    rig.Post(heartbeat_received{ refusal });
  }
  rig.RunFor(seconds(5));
  rig.mHeartbeats.clear();
  rig.RunFor(seconds(1));
  ASSERT_FALSE(rig.mHeartbeats.empty());
  ASSERT_EQ(rig.mHeartbeats.front().mRefused.size(), 1U) << row.mGuardsAgainst;
  EXPECT_LE(rig.mHeartbeats.front().mRefused.front().mTimeLeft, kCrashRecordTtl)
    << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  refusal_length_test,
  ::testing::Values(
    refusal_length_row{ "each crash of several runs at the same time lengthens the refusal",
                        6,
                        milliseconds(0),
                        false },
    refusal_length_row{ "crashes that become known during a refusal lengthen it",
                        6,
                        milliseconds(120),
                        false },
    refusal_length_row{ "a crash seen here lengthens the refusal of another daemon",
                        1,
                        milliseconds(0),
                        true }));

TEST(crash, AnAnsweredTrialEndsTheSuspicion)
{
  // Guards against a harmless request that is refused again after its refusal has ended.
  forwarding_rig rig({});
  crashing_service service(rig, {});
  rig.Publish(ConfigurationItem(7, { PlainRoute("a", true) }));
  rig.RunFor(seconds(1));
  heartbeat refusal = HeartbeatOf("vm-2");
  refusal.mRefused = { { 5, seconds(10) } };
  rig.Post(heartbeat_received{ refusal });
  EXPECT_EQ(service.Ask(5, seconds(11)), answer_kind::NotRun);
  EXPECT_EQ(service.Ask(5, seconds(1)), answer_kind::Relayed);
  rig.Post(heartbeat_received{ refusal });
  EXPECT_EQ(service.Ask(5, seconds(1)), answer_kind::Relayed)
    << "a refusal of another daemon counts more than an answer seen here";
}

struct innocent_row
{
  const char* mGuardsAgainst;
  route_rule mRoute;
  replica_status mStatus; // of a replica that lost a run
  bool mPublishedAgain;   // the replica starts again under its id
};

class innocent_test : public ::testing::TestWithParam<innocent_row>
{};

TEST_P(innocent_test, IsNotRefused)
{
  // A search that is repeated while replicas of each shard end for other reasons.
  const innocent_row& row = GetParam();
  forwarding_rig rig({});
  bool ends = false;
  std::int64_t born = 1;
  const auto publish =
    [&rig](const std::string& aId, const std::string& aService, std::int64_t aBornMs) {
      store_item item = ReplicaItem(aId, aService, "zone-1");
      std::get<replica_entry>(item.mValue).mBornMs = aBornMs;
      rig.Publish(std::move(item));
    };
  for (const char* service : { "a", "b", "c" }) {
    for (const char* number : { "-1", "-2" }) {
      const std::string id = std::string(service) + number;
      publish(id, service, born);
      rig.Script(id, [&ends, id](int) {
        return ends && id.ends_with("-1") ? replica_action{ attempt_end::Lost, milliseconds(1) }
                                          : replica_action{};
      });
      rig.ScriptCheck(id, [&row] { return row.mStatus; });
    }
  }
  rig.Publish(ConfigurationItem(7, { row.mRoute }));
  rig.RunFor(seconds(1));
  for (std::uint64_t i = 1; i <= 60; ++i) {
    ends = i % 5 == 0;
    rig.Post(request_arrived{ i, { "id", "search.example", "/q/x", micros(0), 5 } });
    rig.RunFor(milliseconds(500));
    if (ends && row.mPublishedAgain) {
      ++born;
      for (const char* service : { "a", "b", "c" }) {
        publish(std::string(service) + "-1", service, born);
      }
    }
    ASSERT_EQ(rig.mAnswers[i].size(), 1U);
    EXPECT_NE(rig.mAnswers[i].front().mAnswer.mKind, answer_kind::NotRun) << row.mGuardsAgainst;
  }
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  innocent_test,
  ::testing::Values(
    innocent_row{ "a repeated search is refused because replicas ended while they ran it",
                  GatherRoute({ "a", "b", "c" }, 0.6),
                  replica_status::Ended,
                  true },
    innocent_row{ "a repeated search is refused because its answers were lost",
                  GatherRoute({ "a", "b", "c" }, 0.6),
                  replica_status::Running,
                  false },
    innocent_row{ "a repeated request for one replica is refused because replicas ended",
                  PlainRoute("a", true),
                  replica_status::Ended,
                  true }));

const replica_action kRunLost{ attempt_end::Lost, milliseconds(2) };
const replica_action kRunFailed{ attempt_end::Answered, milliseconds(2), 500 };
const replica_action kRunAmbiguous{ attempt_end::Ambiguous, milliseconds(2) };

struct ended_replica_row
{
  const char* mGuardsAgainst;
  std::vector<replica_action> mActions; // in turn, each by a replica that ends soon after it
  bool mIsRefused;
};

class ended_replica_test : public ::testing::TestWithParam<ended_replica_row>
{};

TEST_P(ended_replica_test, CountsOnlyAfterALostRun)
{
  const std::vector<replica_action>& actions = GetParam().mActions;
  forwarding_rig rig({});
  std::size_t sends = 0;
  for (const char* id : { "a-1", "a-2", "a-3", "a-4" }) {
    rig.Publish(ReplicaItem(id, "a", "zone-1"));
    rig.Script(id, [&actions, &sends](int) { return actions[sends++ % actions.size()]; });
    rig.ScriptCheck(id, [] { return replica_status::Ended; });
  }
  rig.Publish(ConfigurationItem(7, { PlainRoute("a", false) }));
  rig.RunFor(seconds(1));
  bool refused = false;
  for (std::uint64_t i = 1; i <= 8; ++i) {
    rig.Post(request_arrived{ i, { "id", "search.example", "/q/x", micros(0), kCrashing } });
    rig.RunFor(milliseconds(500));
    ASSERT_EQ(rig.mAnswers[i].size(), 1U);
    refused = refused || rig.mAnswers[i].front().mAnswer.mKind == answer_kind::NotRun;
  }
  EXPECT_EQ(refused, GetParam().mIsRefused) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  actions,
  ended_replica_test,
  ::testing::Values(
    ended_replica_row{ "a request that ends its replicas is not refused", { kRunLost }, true },
    ended_replica_row{ "a request is refused although replicas answered it with a failure",
                       { kRunFailed },
                       false },
    ended_replica_row{ "a request is refused although some replicas answered it with a failure",
                       { kRunFailed, kRunLost },
                       false },
    ended_replica_row{ "a request is refused although replicas answered it, with a status that "
                       "leaves open whether it ran",
                       { kRunAmbiguous },
                       false },
    ended_replica_row{ "a request is refused although some replicas answered it, with a status "
                       "that leaves open whether it ran",
                       { kRunAmbiguous, kRunLost },
                       false }));

struct record_bound_row
{
  const char* mGuardsAgainst;
  std::uint64_t mFingerprints;
};

class record_bound_test : public ::testing::TestWithParam<record_bound_row>
{};

TEST_P(record_bound_test, KeepsRefusalsAndLimitsTheRest)
{
  const instant now{ seconds(100) };
  crash_suspects suspects;
  crash_record refused = WithRefusal({ 7 }, now);
  suspects = WithRecord(suspects, refused);
  for (std::uint64_t i = 100; i < 100 + GetParam().mFingerprints; ++i) {
    suspects = WithRecord(suspects, WithLoss({ i }, "a", "a-1", 1, now));
  }
  EXPECT_TRUE(suspects.mRecords.contains(7)) << GetParam().mGuardsAgainst;
  EXPECT_LE(suspects.mRecords.size(), 64U) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  record_bound_test,
  ::testing::Values(record_bound_row{ "requests that are all different fill the memory", 1000 },
                    record_bound_row{ "a refusal is dropped for evidence about others", 64 }));

TEST(crash_record, EvidenceExpires)
{
  // Guards against two losses that lie an hour apart and count together.
  const instant now{ seconds(100) };
  crash_record record = WithLoss({ 7 }, "a", "a-1", 1, now);
  record = WithEnded(record, "a-1", 1, now + kCrashRecordTtl);
  EXPECT_FALSE(IsRefusalDue(record));
  EXPECT_EQ(NextExpiry(record), now + kCrashRecordTtl);
  EXPECT_FALSE(WithoutExpired(record, now + kCrashRecordTtl));
  record = WithEnded(record, "a-2", 1, now + kCrashRecordTtl);
  EXPECT_TRUE(IsRefusalDue(record));
}

} // namespace
} // namespace redwingdock::testing
