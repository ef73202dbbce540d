#include "forward/forward_state.h"
#include "testing/forwarding_rig.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace redwingdock::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

using replica_script = std::function<replica_action(int)>;

replica_script Always(const replica_action& aAction)
{
  return [aAction](int) { return aAction; };
}

replica_script AfterMs(int aMs)
{
  return Always({ attempt_end::Answered, milliseconds(aMs) });
}

replica_script Ends(attempt_end aEnd)
{
  return Always({ aEnd, milliseconds(2) });
}

replica_script Status(unsigned aStatus)
{
  return Always({ attempt_end::Answered, milliseconds(2), aStatus });
}

const replica_script kSilent = Always({ attempt_end::Answered, milliseconds(0), 200, "", true });

// Publishes two replicas of each service; "-1" is in the daemon's zone.
void PublishReplicas(forwarding_rig& aRig, const std::vector<std::string>& aServices)
{
  for (const std::string& service : aServices) {
    aRig.Publish(ReplicaItem(service + "-1", service, "zone-1"));
    aRig.Publish(ReplicaItem(service + "-2", service, "zone-2"));
  }
}

struct request_row
{
  const char* mGuardsAgainst;
  route_rule mRoute;
  std::map<std::string, replica_script> mScripts;
  answer_kind mKind;
  std::uint32_t mMissing; // parts
  milliseconds mMaxTime;  // limit on the time until the answer
  std::size_t mMaxSends;  // over all parts
};

class request_test : public ::testing::TestWithParam<request_row>
{};

TEST_P(request_test, GetsOneAnswer)
{
  const request_row& row = GetParam();
  forwarding_rig rig({});
  PublishReplicas(rig, { "a", "b", "c", "d" });
  rig.Publish(ConfigurationItem(7, { row.mRoute }));
  for (const auto& [replica, script] : row.mScripts) {
    rig.Script(replica, script);
  }
  rig.RunFor(seconds(1));
  const instant asked = rig.Now();
  rig.SendRequest(1, "/q/x");
  rig.RunFor(seconds(3));
  ASSERT_EQ(rig.mAnswers[1].size(), 1U) << row.mGuardsAgainst;
  const sent_answer& given = rig.mAnswers[1].front();
  EXPECT_EQ(ToString(given.mAnswer.mKind), std::string(ToString(row.mKind))) << row.mGuardsAgainst;
  EXPECT_EQ(given.mAnswer.mMissing, row.mMissing) << row.mGuardsAgainst;
  EXPECT_LE(given.mAt - asked, row.mMaxTime) << row.mGuardsAgainst;
  EXPECT_LE(rig.mSent.size(), row.mMaxSends) << row.mGuardsAgainst;
  EXPECT_EQ(rig.Board().List<forward_state>().size(), 0U) << "state that is never removed";
}

const std::vector<std::string> kFour = { "a", "b", "c", "d" };

INSTANTIATE_TEST_SUITE_P(
  cases,
  request_test,
  ::testing::Values(
    request_row{ "the usual case",
                 GatherRoute(kFour, 0.75),
                 {},
                 answer_kind::Gathered,
                 0,
                 milliseconds(12),
                 4 },
    request_row{ "a paused replica makes the answer late",
                 GatherRoute(kFour, 1.0),
                 { { "b-1", AfterMs(300) } },
                 answer_kind::Gathered,
                 0,
                 milliseconds(200),
                 5 },
    request_row{ "a silent shard delays the answer beyond the target",
                 GatherRoute(kFour, 0.75),
                 { { "b-1", kSilent }, { "b-2", kSilent } },
                 answer_kind::Gathered,
                 1,
                 milliseconds(200),
                 5 },
    request_row{ "an answer with less than the minimum share counts as a success",
                 GatherRoute(kFour, 1.0),
                 { { "b-1", kSilent }, { "b-2", kSilent } },
                 answer_kind::TimedOut,
                 0,
                 milliseconds(1200),
                 5 },
    request_row{ "a gather that can no longer succeed keeps the client waiting",
                 GatherRoute(kFour, 1.0),
                 { { "b-1", Ends(attempt_end::Lost) }, { "b-2", Ends(attempt_end::Lost) } },
                 answer_kind::Failed,
                 0,
                 milliseconds(20),
                 5 },
    request_row{ "a failure reply counts as a part",
                 GatherRoute(kFour, 0.75),
                 { { "b-1", Status(500) }, { "b-2", Status(500) } },
                 answer_kind::Gathered,
                 1,
                 milliseconds(20),
                 5 },
    request_row{ "an idempotent request fails with its first replica",
                 PlainRoute("a", true),
                 { { "a-1", Ends(attempt_end::Lost) } },
                 answer_kind::Relayed,
                 0,
                 milliseconds(20),
                 2 },
    request_row{ "a request that may have run is sent again",
                 PlainRoute("a", false),
                 { { "a-1", Ends(attempt_end::Lost) } },
                 answer_kind::Failed,
                 0,
                 milliseconds(20),
                 1 },
    request_row{ "a request that did not run is given up",
                 PlainRoute("a", false),
                 { { "a-1", Ends(attempt_end::Rejected) } },
                 answer_kind::Relayed,
                 0,
                 milliseconds(20),
                 2 },
    request_row{ "a request that is not idempotent is hedged",
                 PlainRoute("a", false),
                 { { "a-1", AfterMs(600) } },
                 answer_kind::Relayed,
                 0,
                 milliseconds(605),
                 1 },
    request_row{ "a request that may have run is answered as not run",
                 PlainRoute("a", false),
                 { { "a-1", kSilent } },
                 answer_kind::TimedOut,
                 0,
                 milliseconds(1200),
                 1 },
    // The attempt expires 5 ms before the timer of the deadline.
    request_row{ "a request without a reply is answered as failed instead of timed out",
                 PlainRoute("a", false),
                 { { "a-1", Always({ attempt_end::Expired, milliseconds(1190) }) } },
                 answer_kind::TimedOut,
                 0,
                 milliseconds(1200),
                 1 },
    request_row{ "a request that no replica ran is answered as failed",
                 PlainRoute("a", false),
                 { { "a-1", Ends(attempt_end::NotSent) }, { "a-2", Ends(attempt_end::NotSent) } },
                 answer_kind::NotRun,
                 0,
                 milliseconds(20),
                 2 },
    request_row{ "a request that may have run is sent again or answered as not run",
                 PlainRoute("a", false),
                 { { "a-1", Ends(attempt_end::Ambiguous) } },
                 answer_kind::Failed,
                 0,
                 milliseconds(20),
                 1 },
    request_row{ "an idempotent request fails with a reply that leaves open whether it ran",
                 PlainRoute("a", true),
                 { { "a-1", Ends(attempt_end::Ambiguous) } },
                 answer_kind::Relayed,
                 0,
                 milliseconds(20),
                 2 },
    request_row{
      "an idempotent request that may have run is answered as not run",
      PlainRoute("a", true),
      { { "a-1", Ends(attempt_end::Ambiguous) }, { "a-2", Ends(attempt_end::Ambiguous) } },
      answer_kind::Failed,
      0,
      milliseconds(20),
      2 },
    request_row{ "a failure is not relayed after a reply that leaves open whether it ran",
                 PlainRoute("a", true),
                 { { "a-1", Status(500) }, { "a-2", Ends(attempt_end::Ambiguous) } },
                 answer_kind::Relayed,
                 0,
                 milliseconds(20),
                 2 },
    request_row{
      "a reply that leaves open whether the request ran counts as a part",
      GatherRoute(kFour, 0.75),
      { { "b-1", Ends(attempt_end::Ambiguous) }, { "b-2", Ends(attempt_end::Ambiguous) } },
      answer_kind::Gathered,
      1,
      milliseconds(20),
      5 },
    request_row{ "more replicas run a request than the route allows",
                 PlainRoute("a", true),
                 { { "a-1", Status(500) }, { "a-2", Status(500) } },
                 answer_kind::Relayed,
                 0,
                 milliseconds(20),
                 2 }));

struct address_row
{
  const char* mGuardsAgainst;
  attempt_end mEnd;
};

class address_test : public ::testing::TestWithParam<address_row>
{};

// Guards against requests to an address that another service has taken over, where they count as
// repeats.
TEST_P(address_test, IsNotUsedAgainAfterAReplicaLeftIt)
{
  forwarding_rig rig({});
  PublishReplicas(rig, { "a" });
  rig.Publish(ConfigurationItem(7, { PlainRoute("a", true) }));
  rig.Script("a-1", Ends(GetParam().mEnd));
  rig.RunFor(seconds(1));
  for (std::uint64_t i = 1; i <= 60; ++i) {
    rig.SendRequest(i, "/q/x");
    rig.RunFor(milliseconds(100));
    EXPECT_EQ(rig.mAnswers[i].size(), 1U);
  }
  const auto wrong = std::count_if(rig.mSent.begin(), rig.mSent.end(), [](const auto& aSent) {
    return aSent.mCommand.mReplica->mId == "a-1";
  });
  EXPECT_LE(wrong, GetParam().mEnd == attempt_end::Misplaced ? 1 : 5) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  ends,
  address_test,
  ::testing::Values(address_row{ "another process has the address", attempt_end::Misplaced },
                    address_row{ "the process ended a moment ago", attempt_end::NotSent }));

struct avoid_row
{
  const char* mGuardsAgainst;
  std::function<void(forwarding_rig&)> mChange;
  micros mGracePeriod; // time until nothing more may be sent there
};

class avoid_test : public ::testing::TestWithParam<avoid_row>
{};

TEST_P(avoid_test, SendsNoRequests)
{
  forwarding_rig rig({});
  PublishReplicas(rig, { "a" });
  rig.Publish(ConfigurationItem(7, { PlainRoute("a", true) }));
  rig.RunFor(seconds(1));
  GetParam().mChange(rig);
  rig.RunFor(GetParam().mGracePeriod);
  rig.mSent.clear();
  for (std::uint64_t i = 1; i <= 20; ++i) {
    rig.SendRequest(i, "/q/x");
    rig.RunFor(milliseconds(30));
  }
  EXPECT_EQ(rig.mSent.size(), 20U);
  for (const sent_attempt& each : rig.mSent) {
    EXPECT_EQ(each.mCommand.mReplica->mId, "a-2") << GetParam().mGuardsAgainst;
  }
}

INSTANTIATE_TEST_SUITE_P(
  changes,
  avoid_test,
  ::testing::Values(avoid_row{ "requests are sent to a draining replica",
                               [](forwarding_rig& aRig) {
                                 store_item item = ReplicaItem("a-1", "a", "zone-1");
                                 std::get<replica_entry>(item.mValue).mDraining = true;
                                 std::get<replica_entry>(item.mValue).mSequence = 1;
                                 aRig.Publish(std::move(item));
                               },
                               seconds(1) },
                    avoid_row{ "requests are sent to a deleted replica",
                               [](forwarding_rig& aRig) { aRig.Delete("replicas/a-1"); },
                               seconds(1) },
                    avoid_row{ "requests are sent to a closed zone",
                               [](forwarding_rig& aRig) {
                                 aRig.Publish({ "closed", 0, closed_zone{ "zone-1" } });
                               },
                               seconds(1) },
                    avoid_row{ "requests are sent to a replica whose entry is unreadable",
                               [](forwarding_rig& aRig) {
                                 aRig.Publish({ "replicas/a-1", 0, unreadable_value{} });
                               },
                               seconds(1) },
                    avoid_row{ "requests are sent to a replica that stopped replying",
                               [](forwarding_rig& aRig) {
                                 aRig.Script("a-1", kSilent);
                                 aRig.SendRequest(100, "/q/x");
                               },
                               milliseconds(100) }));

TEST(forwarding, RepeatsStayWithinTheShareOfTheBudget)
{
  // Guards against daemons that together exceed the ratio and the slack of the repeat budget.
  forwarding_rig rig({});
  PublishReplicas(rig, { "a" });
  rig.Publish(ConfigurationItem(7, { PlainRoute("a", true) }));
  rig.Script("a-1", Ends(attempt_end::Rejected));
  rig.Script("a-2", Ends(attempt_end::Rejected));
  rig.RunFor(seconds(1));
  constexpr std::uint64_t kRequests = 500;
  for (std::uint64_t i = 1; i <= kRequests; ++i) {
    rig.SendRequest(i, "/q/x");
    rig.RunFor(milliseconds(10));
  }
  rig.RunFor(seconds(2));
  const forward_config config;
  const double allowed =
    config.mRepeatRatio * kRequests + config.mRepeatSlack / config.mMostDaemons;
  EXPECT_LE(static_cast<double>(rig.mSent.size() - kRequests), allowed);
  EXPECT_GE(static_cast<double>(rig.mSent.size() - kRequests), 0.5 * allowed);
}

TEST(forwarding, HedgesLeaveBudgetForLostAttempts)
{
  // Guards against hedges that use up the budget. While replicas lost answers, half of the repeats
  // were hedges, and searches failed because the lost parts could not be retried.
  forwarding_rig rig({});
  PublishReplicas(rig, { "a" });
  rig.Publish(ConfigurationItem(7, { PlainRoute("a", true) }));
  bool losing = false;
  for (const char* replica : { "a-1", "a-2" }) {
    rig.Script(replica, [&losing](int aCount) {
      if (losing && aCount % 2 == 0) {
        return replica_action{ attempt_end::Lost, milliseconds(2) };
      }
      return replica_action{ attempt_end::Answered, milliseconds(aCount % 3 == 0 ? 190 : 10) };
    });
  }
  rig.RunFor(seconds(1));
  std::uint64_t request = 0;
  for (int i = 0; i < 400; ++i) {
    rig.SendRequest(++request, "/q/x");
    rig.RunFor(milliseconds(20));
  }
  losing = true;
  const std::uint64_t first = request + 1;
  for (int i = 0; i < 30; ++i) {
    rig.SendRequest(++request, "/q/x");
    rig.RunFor(milliseconds(20));
  }
  rig.RunFor(milliseconds(300));
  int unanswered = 0;
  for (std::uint64_t i = first; i <= request; ++i) {
    unanswered += rig.mAnswers[i].empty() ? 1 : 0;
  }
  EXPECT_EQ(unanswered, 0);
}

TEST(forwarding, AbandonedRequestIsCancelled)
{
  // Guards against replicas that keep working for a client that has closed its connection.
  forwarding_rig rig({});
  PublishReplicas(rig, { "a", "b" });
  rig.Publish(ConfigurationItem(7, { GatherRoute({ "a", "b" }, 1.0) }));
  rig.Script("a-1", kSilent);
  rig.RunFor(seconds(1));
  rig.SendRequest(1, "/q/x");
  rig.RunFor(milliseconds(20));
  rig.Post(request_abandoned{ 1 });
  EXPECT_EQ(rig.mCancelled.size(), 1U);
  rig.RunFor(seconds(2));
  EXPECT_TRUE(rig.mAnswers.empty());
  EXPECT_EQ(rig.mSent.size(), 2U);
}

TEST(forwarding, AbandonedAttemptsAreNoEvidence)
{
  // Guards against attempts whose clients left being counted as answers, which raise the connection
  // limit of a silent replica and lower its latency ratio.
  forwarding_rig rig({});
  PublishReplicas(rig, { "a" });
  rig.Publish(ConfigurationItem(7, { PlainRoute("a", true) }));
  rig.Script("a-1", kSilent);
  rig.Script("a-2", kSilent);
  rig.RunFor(seconds(1));
  for (std::uint64_t i = 1; i <= 20; ++i) {
    rig.SendRequest(i, "/q/x");
    rig.RunFor(milliseconds(5));
    rig.Post(request_abandoned{ i });
  }
  for (const auto& [id, load] : rig.Board().List<replica_load>()) {
    EXPECT_EQ(load->mConnections, kInitialConnections) << id;
    EXPECT_EQ(load->mLastAnswerAt, instant{}) << id;
    EXPECT_TRUE(load->mOpen.empty()) << id;
  }
}

heartbeat RefusalOf(std::uint64_t aFingerprint, micros aTimeLeft)
{
  return { { "vm-2", 5, "127.0.0.9:7380", "call", "zone-2", true },
           {},
           { { aFingerprint, aTimeLeft } } };
}

TEST(forwarding, ARefusalEndsWhereItEndsAtTheSender)
{
  // Guards against daemons that tell each other of a refusal again and again, so that it never
  // ends.
  forwarding_rig rig({});
  PublishReplicas(rig, { "a" });
  rig.Publish(ConfigurationItem(7, { PlainRoute("a", true) }));
  rig.RunFor(seconds(1));
  for (int left = 10; left > 0; --left) {
    rig.Post(heartbeat_received{ RefusalOf(77, seconds(left)) });
    rig.RunFor(seconds(1));
  }
  rig.RunFor(milliseconds(100));
  rig.mHeartbeats.clear();
  rig.Post(request_arrived{ 1, { "id", "search.example", "/q/x", micros(0), 77 } });
  rig.RunFor(seconds(1));
  ASSERT_EQ(rig.mAnswers[1].size(), 1U);
  EXPECT_EQ(rig.mAnswers[1].front().mAnswer.mKind, answer_kind::Relayed);
  for (const heartbeat& each : rig.mHeartbeats) {
    EXPECT_TRUE(each.mRefused.empty());
  }
}

TEST(forwarding, ClientTimeoutsOfOtherDaemonsAreUsed)
{
  // Guards against a daemon of a large fleet that gets too few requests to know how long their
  // clients have waited already, and answers after their target.
  forwarding_rig rig({});
  PublishReplicas(rig, { "a", "b" });
  rig.Publish(ConfigurationItem(7, { GatherRoute({ "a", "b" }, 0.5) }));
  rig.Script("b-1", kSilent);
  rig.Script("b-2", kSilent);
  rig.RunFor(seconds(1));
  heartbeat report = RefusalOf(1, micros(0));
  report.mTimeouts = { { "r", milliseconds(1000), seconds(60) },
                       { "unknown", milliseconds(1), seconds(60) } };
  rig.Post(heartbeat_received{ report });
  const instant asked = rig.Now();
  rig.SendRequest(1, "/q/x", milliseconds(940));
  rig.RunFor(seconds(1));
  ASSERT_EQ(rig.mAnswers[1].size(), 1U);
  EXPECT_LE(rig.mAnswers[1].front().mAt - asked, milliseconds(200 - 60));
}

TEST(forwarding, RequestsFollowTheWeights)
{
  // Guards against a service that gets more or less than its weight of a traffic split.
  forwarding_rig rig({});
  PublishReplicas(rig, { "a", "b" });
  route_rule route = PlainRoute("a", true);
  route.mServices = { { "a", 3 }, { "b", 1 } };
  rig.Publish(ConfigurationItem(7, { route }));
  rig.RunFor(seconds(1));
  for (std::uint64_t i = 1; i <= 200; ++i) {
    rig.SendRequest(i, "/q/x");
    rig.RunFor(milliseconds(20));
  }
  const auto toA = std::count_if(rig.mSent.begin(), rig.mSent.end(), [](const auto& aSent) {
    return aSent.mCommand.mReplica->mService == "a";
  });
  EXPECT_NEAR(static_cast<double>(toA) / 200, 0.75, 0.03);
}

struct crash_row
{
  const char* mGuardsAgainst;
  bool mCrashes;          // the replicas crash and refuse connections for 3 s
  std::uint64_t mRepeats; // of the suspected request by its client
  std::size_t mMaxRuns;   // attempts of it, over all repeats
  std::size_t mMinRuns;
};

class crash_test : public ::testing::TestWithParam<crash_row>
{};

// Guards against a request that crashes one replica after the other. Its client repeats it every
// two seconds, among other requests.
TEST_P(crash_test, IsRefusedOnlyWhenReplicasCrash)
{
  forwarding_rig rig({});
  PublishReplicas(rig, { "a" });
  rig.Publish(ConfigurationItem(7, { PlainRoute("a", true) }));
  rig.RunFor(seconds(1));
  std::map<std::string, instant> downUntil;
  std::uint64_t asked = 0; // the request that is being sent
  for (const char* replica : { "a-1", "a-2" }) {
    rig.Script(replica, [&, replica](int) {
      if (rig.Now() < downUntil[replica]) {
        return replica_action{ attempt_end::NotSent, milliseconds(1) };
      }
      if (asked % 10 != 0) {
        return replica_action{};
      }
      if (GetParam().mCrashes) {
        downUntil[replica] = rig.Now() + seconds(3);
      }
      return replica_action{ attempt_end::Lost, milliseconds(2) };
    });
    rig.ScriptCheck(replica, [&, replica] {
      return rig.Now() < downUntil[replica] ? replica_status::Ended : replica_status::Running;
    });
  }
  std::size_t runs = 0;
  for (asked = 1; asked <= GetParam().mRepeats * 10; ++asked) {
    const std::size_t before = rig.mSent.size();
    const bool crashing = asked % 10 == 0;
    rig.Post(request_arrived{
      asked, { "id", "search.example", "/q/x", micros(0), crashing ? 77U : 1000 + asked } });
    rig.RunFor(milliseconds(200));
    if (crashing) {
      runs += rig.mSent.size() - before;
    }
  }
  EXPECT_LE(runs, GetParam().mMaxRuns) << GetParam().mGuardsAgainst;
  EXPECT_GE(runs, GetParam().mMinRuns) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  crash_test,
  ::testing::Values(
    crash_row{ "a request that crashes every replica is forwarded indefinitely", true, 8, 4, 2 },
    crash_row{ "a request whose answers were lost without a crash is refused", false, 8, 16, 8 }));

TEST(forwarding, ARequestRefusedElsewhereIsRefusedHere)
{
  // Guards against a crashing request that each daemon forwards before it refuses it.
  forwarding_rig rig({});
  PublishReplicas(rig, { "a" });
  rig.Publish(ConfigurationItem(7, { PlainRoute("a", true) }));
  rig.RunFor(seconds(1));
  rig.Post(heartbeat_received{ RefusalOf(77, seconds(30)) });
  rig.Post(request_arrived{ 1, { "id", "search.example", "/q/x", micros(0), 77 } });
  EXPECT_TRUE(rig.mSent.empty());
  ASSERT_EQ(rig.mAnswers[1].size(), 1U);
  EXPECT_EQ(rig.mAnswers[1].front().mAnswer.mKind, answer_kind::NotRun);
  rig.RunFor(seconds(70));
  rig.Post(request_arrived{ 2, { "id", "search.example", "/q/x", micros(0), 77 } });
  EXPECT_EQ(rig.mSent.size(), 1U) << "a refusal that never ends";
}

// Replies of which size came before a request that arrives with little memory left.
struct room_row
{
  const char* mGuardsAgainst;
  std::size_t mReplyBytes;
  client_room mRoom;
  bool mSent;
};

class room_test : public ::testing::TestWithParam<room_row>
{};

TEST_P(room_test, RefusesWhatCannotBeAnsweredBeforeItIsSent)
{
  const room_row& row = GetParam();
  forwarding_rig rig({});
  PublishReplicas(rig, { "a" });
  rig.Publish(ConfigurationItem(7, { PlainRoute("a", true) }));
  for (const char* replica : { "a-1", "a-2" }) {
    rig.Script(replica, [&row](int) {
      replica_action action;
      action.mBody = std::string(row.mReplyBytes, 'x');
      return action;
    });
  }
  rig.RunFor(seconds(1));
  rig.SendRequest(1, "/q/x");
  rig.RunFor(seconds(1));
  ASSERT_EQ(rig.mSent.size(), 1U);
  rig.Post(
    request_arrived{ 2, { "id-2", "search.example", "/q/x", micros(0), 0, {}, {}, row.mRoom } });
  ASSERT_EQ(rig.mSent.size(), row.mSent ? 2U : 1U) << row.mGuardsAgainst;
  if (row.mSent) {
    EXPECT_EQ(rig.mSent.back().mCommand.mReplyBytes,
              row.mReplyBytes >= 16'384 ? row.mReplyBytes : 0)
      << "the memory for the reply is not reserved";
    return;
  }
  ASSERT_EQ(rig.mAnswers[2].size(), 1U) << row.mGuardsAgainst;
  EXPECT_EQ(rig.mAnswers[2].front().mAnswer.mKind, answer_kind::NotRun) << row.mGuardsAgainst;
  EXPECT_GT(rig.mAnswers[2].front().mAnswer.mRetryAfter, micros(0)) << row.mGuardsAgainst;
}

constexpr std::size_t kRoomLimit = 10'000'000;

INSTANTIATE_TEST_SUITE_P(
  cases,
  room_test,
  ::testing::Values(
    room_row{ "a request without limits is refused", 2'000'000, {}, true },
    room_row{ "a replica works for a long reply that there is no memory for",
              2'000'000,
              { .mReplyBytes = kRoomLimit / 2, .mReplyLimit = kRoomLimit },
              false },
    room_row{ "a short reply is refused beside long ones",
              500,
              { .mReplyBytes = kRoomLimit - 1, .mReplyLimit = kRoomLimit },
              true },
    room_row{ "a long reply is refused while there is memory",
              2'000'000,
              { .mReplyBytes = kRoomLimit / 8, .mReplyLimit = kRoomLimit },
              true },
    room_row{ "a request is refused although there are connections left",
              500,
              { .mOpenRequests = 100, .mConnections = 150, .mMaxConnections = 200 },
              true },
    room_row{ "a request of another route is refused beside a crowd",
              500,
              { .mOpenRequests = 199, .mConnections = 200, .mMaxConnections = 200 },
              true },
    room_row{ "a request is sent although the answer to it would take the last connection",
              500,
              { .mOpenRequests = 201, .mConnections = 201, .mMaxConnections = 200 },
              false },
    room_row{
      "a large request is sent although open ones fill the memory",
      500,
      { .mOpenBytes = kRoomLimit / 2, .mOpenLimit = kRoomLimit, .mRequestBytes = 2'000'000 },
      false }));

struct unrouted_row
{
  const char* mGuardsAgainst;
  bool mConfigured;
  std::string mPath;
  answer_kind mKind;
};

class unrouted_test : public ::testing::TestWithParam<unrouted_row>
{};

TEST_P(unrouted_test, IsAnsweredAtOnce)
{
  forwarding_rig rig({});
  if (GetParam().mConfigured) {
    rig.Publish(ConfigurationItem(7, { PlainRoute("a", true) }));
  }
  rig.RunFor(seconds(1));
  rig.SendRequest(1, GetParam().mPath);
  ASSERT_EQ(rig.mAnswers[1].size(), 1U) << GetParam().mGuardsAgainst;
  EXPECT_EQ(rig.mAnswers[1].front().mAnswer.mKind, GetParam().mKind) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  unrouted_test,
  ::testing::Values(unrouted_row{ "a daemon without a configuration answers that there is no route",
                                  false,
                                  "/q/x",
                                  answer_kind::NotRun },
                    unrouted_row{ "a client is told to retry a path without a route",
                                  true,
                                  "/other/",
                                  answer_kind::NoRoute },
                    unrouted_row{ "a request to a service without replicas is answered as failed",
                                  true,
                                  "/q/x",
                                  answer_kind::NotRun }));

// The entry that a start of the replica "a-1" publishes.
store_item Entry(std::int64_t aBornMs, std::uint64_t aSequence)
{
  store_item item = ReplicaItem("a-1", "a", "zone-1");
  std::get<replica_entry>(item.mValue).mBornMs = aBornMs;
  std::get<replica_entry>(item.mValue).mSequence = aSequence;
  return item;
}

struct notice_row
{
  const char* mGuardsAgainst;
  replica_action mAction; // of the replica "a-1", for each attempt
  std::function<void(forwarding_rig&)> mThen;
  milliseconds mFrom; // after the notice, the times between which a-1 gets mSends requests
  milliseconds mUntil;
  std::size_t mMinSends;
  std::size_t mMaxSends;
};

class notice_test : public ::testing::TestWithParam<notice_row>
{};

TEST_P(notice_test, IsFollowed)
{
  const notice_row& row = GetParam();
  forwarding_rig rig({});
  rig.Publish(Entry(1000, 1));
  rig.Publish(ReplicaItem("a-2", "a", "zone-2"));
  rig.Publish(ConfigurationItem(7, { PlainRoute("a", true) }));
  rig.Script("a-1", Always(row.mAction));
  rig.RunFor(seconds(1));
  const instant noticed = rig.Now();
  rig.SendRequest(1, "/q/x");
  rig.RunFor(milliseconds(100));
  row.mThen(rig);
  for (std::uint64_t i = 2; i <= 100; ++i) {
    rig.SendRequest(i, "/q/x");
    rig.RunFor(milliseconds(50));
    EXPECT_EQ(rig.mAnswers[i].size(), 1U) << row.mGuardsAgainst;
  }
  const auto sends = std::count_if(rig.mSent.begin(), rig.mSent.end(), [&](const auto& aSent) {
    return aSent.mCommand.mReplica->mId == "a-1" && aSent.mAt >= noticed + row.mFrom &&
           aSent.mAt < noticed + row.mUntil;
  });
  EXPECT_GE(static_cast<std::size_t>(sends), row.mMinSends) << row.mGuardsAgainst;
  EXPECT_LE(static_cast<std::size_t>(sends), row.mMaxSends) << row.mGuardsAgainst;
}

replica_action Leaving(attempt_end aEnd, unsigned aStatus = 200)
{
  return { aEnd, milliseconds(5), aStatus, "", false, { true, micros(0) } };
}

replica_action RetryAfter(milliseconds aTime)
{
  return { attempt_end::Rejected, milliseconds(5), 503, "", false, { false, aTime } };
}

void Nothing(forwarding_rig&) {}

constexpr milliseconds kAll(100'000);

INSTANTIATE_TEST_SUITE_P(
  cases,
  notice_test,
  ::testing::Values(notice_row{ "a replica that is leaving gets further requests",
                                Leaving(attempt_end::Answered),
                                Nothing,
                                milliseconds(100),
                                kAll,
                                0,
                                0 },
                    notice_row{ "a notice on a failure is ignored",
                                Leaving(attempt_end::Answered, 500),
                                Nothing,
                                milliseconds(100),
                                kAll,
                                0,
                                0 },
                    notice_row{ "a notice on a rejection is ignored",
                                Leaving(attempt_end::Rejected),
                                Nothing,
                                milliseconds(100),
                                kAll,
                                0,
                                0 },
                    notice_row{ "a later entry of the same start ends the notice",
                                Leaving(attempt_end::Answered),
                                [](forwarding_rig& aRig) { aRig.Publish(Entry(1000, 2)); },
                                milliseconds(100),
                                kAll,
                                0,
                                0 },
                    notice_row{ "a new listing of the store ends the notice",
                                Leaving(attempt_end::Answered),
                                [](forwarding_rig& aRig) {
                                  aRig.DropHistory();
                                  aRig.FailWatch();
                                },
                                milliseconds(100),
                                kAll,
                                0,
                                0 },
                    notice_row{ "an entry of an earlier start ends the notice",
                                Leaving(attempt_end::Answered),
                                [](forwarding_rig& aRig) {
                                  aRig.Delete("replicas/a-1");
                                  aRig.RunFor(seconds(4));
                                  aRig.Publish(Entry(900, 9));
                                },
                                milliseconds(100),
                                kAll,
                                0,
                                0 },
                    notice_row{ "a replica that was started again gets no requests",
                                Leaving(attempt_end::Answered),
                                [](forwarding_rig& aRig) {
                                  aRig.Publish(Entry(2000, 1));
                                  aRig.Script("a-1", AfterMs(5));
                                },
                                milliseconds(500),
                                kAll,
                                50,
                                100 },
                    notice_row{ "requests arrive before the time that a replica asked to wait for",
                                RetryAfter(seconds(3)),
                                Nothing,
                                milliseconds(100),
                                milliseconds(3000),
                                0,
                                0 },
                    notice_row{
                      "a replica gets no requests after the time that it asked to wait for",
                      RetryAfter(seconds(2)),
                      [](forwarding_rig& aRig) { aRig.Script("a-1", AfterMs(5)); },
                      milliseconds(2000),
                      kAll,
                      10,
                      100 },
                    notice_row{ "a notice of an earlier start holds for the next one",
                                RetryAfter(seconds(3000)),
                                [](forwarding_rig& aRig) {
                                  aRig.Publish(Entry(2000, 1));
                                  aRig.Script("a-1", AfterMs(5));
                                },
                                milliseconds(500),
                                kAll,
                                50,
                                100 }));

// Route over all services, with which a request gets the notices of their replicas.
route_rule PrimeRoute()
{
  route_rule route = GatherRoute(kFour, 0.01);
  route.mName = "prime";
  route.mPrefix = "/prime/";
  return route;
}

struct deferred_row
{
  const char* mGuardsAgainst;
  route_rule mRoute;
  std::vector<std::string> mDeferred; // services whose replicas have asked for 2 s
  answer_kind mKind;
  std::uint32_t mMissing;
  milliseconds mMaxTime; // until the answer
  std::size_t mMaxSends;
  milliseconds mMinRetryAfter;
  milliseconds mMaxRetryAfter;
};

class deferred_test : public ::testing::TestWithParam<deferred_row>
{};

// Guards against requests that wait for replicas which have asked for more time than the request
// has.
TEST_P(deferred_test, IsAnsweredWithoutWaiting)
{
  const deferred_row& row = GetParam();
  forwarding_rig rig({});
  PublishReplicas(rig, { "a", "b", "c", "d" });
  rig.Publish(ConfigurationItem(7, { row.mRoute, PrimeRoute() }));
  rig.RunFor(seconds(1));
  for (const std::string& service : row.mDeferred) {
    for (const char* replica : { "-1", "-2" }) {
      rig.Script(service + replica, Always(RetryAfter(seconds(2))));
    }
  }
  rig.SendRequest(1, "/prime/x");
  rig.RunFor(milliseconds(500));
  rig.mSent.clear();
  const instant asked = rig.Now();
  rig.SendRequest(2, "/q/x");
  rig.RunFor(seconds(1));
  ASSERT_EQ(rig.mAnswers[2].size(), 1U);
  const sent_answer& given = rig.mAnswers[2].front();
  EXPECT_EQ(ToString(given.mAnswer.mKind), std::string(ToString(row.mKind))) << row.mGuardsAgainst;
  EXPECT_EQ(given.mAnswer.mMissing, row.mMissing) << row.mGuardsAgainst;
  EXPECT_LE(given.mAt - asked, row.mMaxTime) << row.mGuardsAgainst;
  EXPECT_LE(rig.mSent.size(), row.mMaxSends) << row.mGuardsAgainst;
  EXPECT_GE(given.mAnswer.mRetryAfter, row.mMinRetryAfter) << row.mGuardsAgainst;
  EXPECT_LE(given.mAnswer.mRetryAfter, row.mMaxRetryAfter) << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  deferred_test,
  ::testing::Values(deferred_row{ "a request waits although no replica takes it in time",
                                  PlainRoute("a", true),
                                  { "a" },
                                  answer_kind::NotRun,
                                  0,
                                  milliseconds(1),
                                  0,
                                  milliseconds(1000),
                                  milliseconds(2000) },
                    deferred_row{ "a gather is refused although enough parts can be had",
                                  GatherRoute(kFour, 0.75),
                                  { "a" },
                                  answer_kind::Gathered,
                                  1,
                                  milliseconds(20),
                                  3,
                                  milliseconds(0),
                                  milliseconds(0) },
                    deferred_row{ "parts of a gather that cannot succeed are sent",
                                  GatherRoute(kFour, 0.75),
                                  { "c", "d" },
                                  answer_kind::NotRun,
                                  0,
                                  milliseconds(1),
                                  0,
                                  milliseconds(1000),
                                  milliseconds(2000) }));

TEST(forwarding, PartsWithoutReplicaRefuseTheGatherBeforeAnythingIsSent)
{
  // Guards against work for a gather that cannot succeed because too many services have no replica.
  forwarding_rig rig({});
  PublishReplicas(rig, { "a", "b" });
  rig.Publish(ConfigurationItem(7, { GatherRoute(kFour, 0.75) }));
  rig.RunFor(seconds(1));
  rig.SendRequest(1, "/q/x");
  EXPECT_TRUE(rig.mSent.empty());
  ASSERT_EQ(rig.mAnswers[1].size(), 1U);
  EXPECT_EQ(rig.mAnswers[1].front().mAnswer.mKind, answer_kind::NotRun);
}

struct client_row
{
  const char* mGuardsAgainst;
  milliseconds mSpent;
  milliseconds mRoundTrip;
};

class client_test : public ::testing::TestWithParam<client_row>
{};

TEST_P(client_test, ThePartialAnswerReachesTheClientWithinTheTarget)
{
  const client_row& row = GetParam();
  forwarding_rig rig({});
  PublishReplicas(rig, kFour);
  const route_rule route = GatherRoute(kFour, 0.75);
  rig.Publish(ConfigurationItem(7, { route }));
  rig.Script("b-1", kSilent);
  rig.Script("b-2", kSilent);
  rig.RunFor(seconds(1));
  constexpr milliseconds kClientTimeout(800);
  for (std::uint64_t request : { 1, 2 }) {
    rig.SendRequest(request, "/q/x", kClientTimeout);
  }
  rig.RunFor(seconds(1));
  const instant asked = rig.Now();
  rig.Post(request_arrived{
    3, { "id-3", "search.example", "/q/x", kClientTimeout - row.mSpent, 0, row.mRoundTrip } });
  rig.RunFor(seconds(1));
  ASSERT_EQ(rig.mAnswers[3].size(), 1U);
  EXPECT_EQ(rig.mAnswers[3].front().mAnswer.mMissing, 1U);
  EXPECT_LT(row.mSpent + row.mRoundTrip + (rig.mAnswers[3].front().mAt - asked),
            route.mTargetLatency)
    << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  client_test,
  ::testing::Values(
    client_row{ "the usual case", milliseconds(0), milliseconds(0) },
    client_row{ "a distant client gets its answer late", milliseconds(0), milliseconds(40) },
    client_row{ "a client that had to connect gets its answer late",
                milliseconds(60),
                milliseconds(10) },
    client_row{ "the second attempt of a client gets the whole target again",
                milliseconds(120),
                milliseconds(2) }));

struct once_row
{
  const char* mGuardsAgainst;
  bool mIdempotent;
  bool mFresh; // only a connection that answered recently may be reused
};

class once_test : public ::testing::TestWithParam<once_row>
{};

TEST_P(once_test, SilentReplicaIsAnsweredInTime)
{
  const once_row& row = GetParam();
  forwarding_rig rig({});
  PublishReplicas(rig, { "a" });
  rig.Publish(ConfigurationItem(7, { PlainRoute("a", row.mIdempotent) }));
  rig.Script("a-1", kSilent);
  rig.Script("a-2", kSilent);
  rig.RunFor(seconds(1));
  const instant asked = rig.Now();
  constexpr milliseconds kClientTimeout(500);
  constexpr milliseconds kRoundTrip(40);
  rig.Post(
    request_arrived{ 1, { "id-1", "search.example", "/q/x", kClientTimeout, 0, kRoundTrip } });
  rig.RunFor(seconds(1));
  ASSERT_EQ(rig.mAnswers[1].size(), 1U);
  EXPECT_LT(rig.mAnswers[1].front().mAt + kRoundTrip - asked, kClientTimeout) << row.mGuardsAgainst;
  EXPECT_EQ(rig.mSent.front().mCommand.mMaxIdleAge > micros(0), row.mFresh) << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  once_test,
  ::testing::Values(
    once_row{ "each request opens a connection, or the answer misses the client's deadline",
              true,
              false },
    // Requests were sent on idle connections to replicas that had become unreachable.
    once_row{ "a request that cannot be repeated is lost on a dead connection", false, true }));

forward_hooks AdmitAll()
{
  forward_hooks hooks;
  hooks.mIsAdmitted = [](const admission_level&, bool, double) { return true; };
  return hooks;
}

struct overload_row
{
  const char* mGuardsAgainst;
  forward_hooks mHooks;
  int mServiceMs; // latency of each replica
  std::size_t mMinRefused;
  std::size_t mMaxRefused;
};

class overload_test : public ::testing::TestWithParam<overload_row>
{};

TEST_P(overload_test, RefusesBeforeAnythingRuns)
{
  const overload_row& row = GetParam();
  forwarding_rig rig({ row.mHooks });
  PublishReplicas(rig, kFour);
  rig.Publish(ConfigurationItem(7, { GatherRoute(kFour, 0.75) }));
  for (const std::string& service : kFour) {
    rig.Script(service + "-1", AfterMs(row.mServiceMs));
    rig.Script(service + "-2", AfterMs(row.mServiceMs));
  }
  rig.RunFor(seconds(1));
  constexpr std::uint64_t kRequests = 60;
  for (std::uint64_t request = 1; request <= kRequests; ++request) {
    rig.SendRequest(request, "/q/x");
    rig.RunFor(milliseconds(600));
  }
  std::size_t refused = 0;
  for (std::uint64_t request = 1; request <= kRequests; ++request) {
    ASSERT_EQ(rig.mAnswers[request].size(), 1U);
    const forward_answer& answer = rig.mAnswers[request].front().mAnswer;
    if (answer.mKind == answer_kind::NotRun) {
      ++refused;
      EXPECT_TRUE(rig.SentTo(request).empty()) << "a request answered as not run was sent";
      EXPECT_GT(answer.mRetryAfter, micros(0));
    }
  }
  EXPECT_GE(refused, row.mMinRefused) << row.mGuardsAgainst;
  EXPECT_LE(refused, row.mMaxRefused) << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  overload_test,
  ::testing::Values(overload_row{ "requests are refused without an overload", {}, 20, 0, 0 },
                    // At 1.3 times the load that the services could handle, all gathers were late.
                    overload_row{ "all requests are admitted and all are late", {}, 400, 15, 45 },
                    overload_row{ "requests are refused by something other than admission control",
                                  AdmitAll(),
                                  400,
                                  0,
                                  0 }));

} // namespace
} // namespace redwingdock::testing
