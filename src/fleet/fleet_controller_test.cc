#include "testing/forwarding_rig.h"

#include <algorithm>
#include <gtest/gtest.h>

namespace redwingdock::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

heartbeat From(const std::string& aVm, std::uint64_t aIncarnation, bool aServing)
{
  return { { aVm, aIncarnation, "127.0.0.9:7380", "call-" + aVm, "zone-2", aServing }, {} };
}

std::vector<std::string> EntryAddresses(forwarding_rig& aRig)
{
  aRig.mEntries.clear();
  aRig.Post(entry_requested{ 1, "search.example", "zone-1" });
  return aRig.mEntries.empty() || !aRig.mEntries.front().mAnswer
           ? std::vector<std::string>{}
           : aRig.mEntries.front().mAnswer->mAddresses;
}

constexpr char kOwn[] = "127.0.0.1:8100";

struct entry_row
{
  const char* mGuardsAgainst;
  std::function<void(forwarding_rig&)> mAction;
  std::vector<std::string> mExpected;
};

class entry_test : public ::testing::TestWithParam<entry_row>
{};

TEST_P(entry_test, ReturnsServingDaemons)
{
  forwarding_rig rig({});
  rig.Publish(ReplicaItem("a-1", "a", "zone-1"));
  rig.Publish(ConfigurationItem(7, { PlainRoute("a", true) }));
  rig.RunFor(seconds(1));
  GetParam().mAction(rig);
  EXPECT_EQ(EntryAddresses(rig), GetParam().mExpected) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  entry_test,
  ::testing::Values(
    entry_row{ "a serving daemon leaves out its own address", [](forwarding_rig&) {}, { kOwn } },
    entry_row{ "a live peer is left out",
               [](forwarding_rig& aRig) { aRig.Post(heartbeat_received{ From("vm-2", 5, true) }); },
               { kOwn, "call-vm-2" } },
    entry_row{
      "callers get a peer without a configuration",
      [](forwarding_rig& aRig) { aRig.Post(heartbeat_received{ From("vm-2", 5, false) }); },
      { kOwn } },
    entry_row{ "callers get a silent peer",
               [](forwarding_rig& aRig) {
                 aRig.Post(heartbeat_received{ From("vm-2", 5, true) });
                 aRig.RunFor(seconds(3));
               },
               { kOwn } },
    entry_row{ "a delayed heartbeat of an earlier start brings a stopping peer back",
               [](forwarding_rig& aRig) {
                 aRig.Post(heartbeat_received{ From("vm-2", 5, false) });
                 aRig.Post(heartbeat_received{ From("vm-2", 4, true) });
               },
               { kOwn } },
    entry_row{ "a peer whose clock was set back stays left out",
               [](forwarding_rig& aRig) {
                 aRig.Post(heartbeat_received{ From("vm-2", 5, true) });
                 aRig.RunFor(seconds(3));
                 aRig.Post(heartbeat_received{ From("vm-2", 4, true) });
               },
               { kOwn, "call-vm-2" } },
    entry_row{ "callers get a daemon that is stopping",
               [](forwarding_rig& aRig) {
                 aRig.Post(heartbeat_received{ From("vm-2", 5, true) });
                 aRig.Post(stop_requested{});
               },
               { "call-vm-2" } }));

struct stop_row
{
  const char* mGuardsAgainst;
  std::function<void(forwarding_rig&)> mAction; // after the stop signal
  milliseconds mMinTime;                        // time until the process ends
  milliseconds mMaxTime;
};

class stop_test : public ::testing::TestWithParam<stop_row>
{};

TEST_P(stop_test, EndsWhenTheWorkIsDone)
{
  forwarding_rig rig({});
  rig.Publish(ReplicaItem("a-1", "a", "zone-1"));
  rig.Publish(ConfigurationItem(7, { PlainRoute("a", true) }));
  rig.Script("a-1", [](int aCount) {
    return replica_action{ attempt_end::Answered, milliseconds(aCount == 0 ? 900 : 30) };
  });
  rig.RunFor(seconds(1));
  const instant began = rig.Now();
  rig.Post(stop_requested{});
  GetParam().mAction(rig);
  rig.RunFor(seconds(8));
  ASSERT_TRUE(rig.mClosedAt && rig.mStoppedAt);
  EXPECT_LT(*rig.mClosedAt, *rig.mStoppedAt);
  EXPECT_GE(*rig.mStoppedAt - began, GetParam().mMinTime) << GetParam().mGuardsAgainst;
  EXPECT_LE(*rig.mStoppedAt - began, GetParam().mMaxTime) << GetParam().mGuardsAgainst;
  for (const auto& [request, answers] : rig.mAnswers) {
    EXPECT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().mAnswer.mKind, answer_kind::Relayed) << GetParam().mGuardsAgainst;
    EXPECT_LT(answers.front().mAt, *rig.mStoppedAt) << GetParam().mGuardsAgainst;
  }
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  stop_test,
  ::testing::Values(stop_row{ "an idle daemon delays the stop of its VM",
                              [](forwarding_rig&) {},
                              milliseconds(2300),
                              milliseconds(3000) },
                    stop_row{ "a running request is cut off",
                              [](forwarding_rig& aRig) {
                                aRig.RunFor(milliseconds(2250));
                                aRig.SendRequest(1, "/q/x");
                              },
                              milliseconds(3150),
                              milliseconds(3300) },
                    // The process ended between the read of a request and its answer.
                    stop_row{ "a request read right after the callers were closed is cut off",
                              [](forwarding_rig& aRig) {
                                aRig.RunFor(milliseconds(2360));
                                aRig.SendRequest(1, "/q/x");
                                aRig.RunFor(milliseconds(1));
                              },
                              milliseconds(3260),
                              milliseconds(3400) }));

struct late_row
{
  const char* mGuardsAgainst;
  replica_action mAction; // of the replica
  milliseconds mSentAt;   // after the stop signal
  answer_kind mKind;
  milliseconds mMaxTime; // until the answer
  std::size_t mMaxSends;
  milliseconds mDeliveryTime{ 0 };
};

class late_test : public ::testing::TestWithParam<late_row>
{};

TEST_P(late_test, IsAnsweredBeforeTheProcessEnds)
{
  const late_row& row = GetParam();
  forwarding_rig rig({});
  rig.Publish(ReplicaItem("a-1", "a", "zone-1"));
  rig.Publish(ConfigurationItem(7, { PlainRoute("a", false) }));
  rig.Script("a-1", [&row](int) { return row.mAction; });
  forward_config config;
  config.mStop = WithFinalAnswers(config.mStop, milliseconds(5600));
  rig.Post(settings_changed{ config });
  rig.RunFor(seconds(1));
  rig.Post(stop_requested{});
  // Keeps the daemon running until its limit.
  const instant busyUntil = rig.Now() + row.mSentAt;
  for (std::uint64_t i = 100; rig.Now() < busyUntil; ++i) {
    rig.SendRequest(i, "/q/x");
    rig.RunFor(std::min<micros>(milliseconds(100), busyUntil - rig.Now()));
  }
  const std::size_t before = rig.mSent.size();
  const instant sentAt = rig.Now();
  rig.Post(request_arrived{
    1, { "id-1", "search.example", "/q/x", micros(0), 0, micros(0), row.mDeliveryTime } });
  EXPECT_LE(rig.mSent.size() - before, row.mMaxSends) << row.mGuardsAgainst;
  rig.RunFor(seconds(3));
  ASSERT_TRUE(rig.mStoppedAt);
  ASSERT_EQ(rig.mAnswers[1].size(), 1U) << row.mGuardsAgainst;
  EXPECT_EQ(ToString(rig.mAnswers[1].front().mAnswer.mKind), std::string(ToString(row.mKind)))
    << row.mGuardsAgainst;
  EXPECT_LE(rig.mAnswers[1].front().mAt - sentAt, row.mMaxTime) << row.mGuardsAgainst;
  for (const auto& [request, answers] : rig.mAnswers) {
    EXPECT_EQ(answers.size(), 1U) << "request " << request;
  }
}

const replica_action kNoReply{ attempt_end::Answered, milliseconds(0), 200, "", true };

// The final answers are due after 5.6 s and replies are sent until 5.8 s, the target of the route
// 200 ms and its timeout 1.2 s.
INSTANTIATE_TEST_SUITE_P(
  cases,
  late_test,
  ::testing::Values(late_row{ "a request without a reply at the limit is cut",
                              kNoReply,
                              milliseconds(5000),
                              answer_kind::TimedOut,
                              milliseconds(650),
                              1 },
                    late_row{ "a request that no replica has run at the limit is said to have run",
                              { attempt_end::Rejected, milliseconds(5) },
                              milliseconds(5000),
                              answer_kind::NotRun,
                              milliseconds(650),
                              1 },
                    late_row{ "a request that cannot be finished is sent to a replica",
                              { attempt_end::Answered, milliseconds(100) },
                              milliseconds(5450),
                              answer_kind::NotRun,
                              milliseconds(0),
                              0 },
                    late_row{ "a request that can be finished is refused",
                              { attempt_end::Answered, milliseconds(100) },
                              milliseconds(5300),
                              answer_kind::Relayed,
                              milliseconds(110),
                              1 },
                    late_row{ "a request is run although its reply cannot be sent before the end",
                              { attempt_end::Answered, milliseconds(100) },
                              milliseconds(5300),
                              answer_kind::NotRun,
                              milliseconds(0),
                              0,
                              milliseconds(400) },
                    late_row{ "a request is refused although its reply can be sent",
                              { attempt_end::Answered, milliseconds(100) },
                              milliseconds(5300),
                              answer_kind::Relayed,
                              milliseconds(110),
                              1,
                              milliseconds(200) }));

TEST(settings, ChangedSeedsReceiveHeartbeats)
{
  // Guards against a daemon that keeps calling the seeds that were configured at its start.
  forwarding_rig rig({});
  rig.RunFor(seconds(1));
  forward_config changed;
  changed.mPeers = { "127.0.0.8:7380" };
  rig.Post(settings_changed{ changed });
  rig.mHeartbeats.clear();
  rig.RunFor(seconds(1));
  EXPECT_GE(rig.mHeartbeats.size(), 2U);
}

} // namespace
} // namespace redwingdock::testing
