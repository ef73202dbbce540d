#include "testing/forwarding_rig.h"

#include <algorithm>
#include <array>
#include <gtest/gtest.h>
#include <map>

// Replays load patterns on one daemon with simulated servers that queue, and compares the share of
// searches that callers get in time with and without admission control.

namespace redwingdock::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kShards = 10;
constexpr std::size_t kSlots = 2;
// As many connections as the daemons of a fleet open together.
constexpr std::uint32_t kConnections = 80;
constexpr micros kServiceTime = milliseconds(10);
// A server rejects what would wait longer than this many service times.
constexpr int kQueueLimit = 4;
constexpr int kLongQueueLimit = 30;
constexpr milliseconds kTarget(200); // of the routes of the rig
constexpr milliseconds kClientTimeout(1200);

// One server: requests take the slot that is free first.
class queueing_server
{
public:
  // aSlowsDown: with a queue, each request takes three times as long.
  replica_action Serve(instant aNow, micros aServiceTime, int aQueueLimit, bool aSlowsDown)
  {
    instant& free = *std::min_element(mFreeAt.begin(), mFreeAt.end());
    const micros wait = std::max(free - aNow, micros(0));
    if (wait > aServiceTime * aQueueLimit) {
      return { attempt_end::Rejected, milliseconds(1), 503 };
    }
    free = std::max(free, aNow) + aServiceTime * (aSlowsDown && wait > micros(0) ? 3 : 1);
    return { attempt_end::Answered, free - aNow };
  }

private:
  std::array<instant, kSlots> mFreeAt{};
};

struct pattern_row
{
  const char* mPattern;
  double mLoad;      // searches, as a multiple of what the servers that are left can serve
  int mGoneReplicas; // shards of which only one replica is left
  int mSlowShards;   // shards whose servers take ten times as long
  int mQueueLimit;   // of a server, in service times
  bool mSlowsDown;   // servers with a queue are slower
  bool mMayRefuse;   // whether the load is more than can be served
};

struct load_result
{
  std::size_t mAsked = 0;
  std::size_t mInTime = 0;
  std::size_t mRefused = 0;
};

load_result Replay(const pattern_row& aRow, const forward_hooks& aHooks)
{
  forwarding_rig rig({ aHooks });
  std::vector<std::string> services;
  std::map<std::string, queueing_server> servers;
  for (int i = 0; i < kShards; ++i) {
    services.push_back("s" + std::to_string(i));
    const micros serviceTime = kServiceTime * (i < aRow.mSlowShards ? 10 : 1);
    for (int replica = 0; replica < (i < aRow.mGoneReplicas ? 1 : 2); ++replica) {
      const std::string id = services.back() + "-" + std::to_string(replica);
      rig.Publish(ReplicaItem(id, services.back(), "zone-1"));
      rig.Script(id,
                 [&rig,
                  &servers,
                  id,
                  serviceTime,
                  queueLimit = aRow.mQueueLimit,
                  slowsDown = aRow.mSlowsDown](int) {
                   return servers[id].Serve(rig.Now(), serviceTime, queueLimit, slowsDown);
                 });
    }
  }
  store_item published = ConfigurationItem(7, { GatherRoute(services, 0.8) });
  for (const std::string& service : services) {
    std::get<configuration>(published.mValue).mServices.push_back({ service, kConnections, 0 });
  }
  rig.Publish(std::move(published));
  rig.RunFor(seconds(1));
  const double capacity = (aRow.mGoneReplicas > 2 ? 1.0 : 2.0) * kSlots / 0.01; // searches/s
  const micros gap(static_cast<std::int64_t>(1e6 / (capacity * aRow.mLoad)));
  // Longer than the level of admission needs to settle (1 to 2 s).
  constexpr seconds kDuration(4);
  load_result result;
  std::map<std::uint64_t, instant> askedAt;
  const instant begin = rig.Now();
  for (std::uint64_t request = 1; rig.Now() - begin < kDuration; ++request) {
    askedAt[request] = rig.Now();
    rig.SendRequest(request, "/q/x", kClientTimeout);
    rig.RunFor(gap);
  }
  rig.RunFor(kClientTimeout);
  for (const auto& [request, at] : askedAt) {
    ++result.mAsked;
    if (rig.mAnswers[request].empty()) {
      continue;
    }
    const sent_answer& answer = rig.mAnswers[request].front();
    result.mRefused += answer.mAnswer.mKind == answer_kind::NotRun ? 1 : 0;
    result.mInTime +=
      answer.mAnswer.mKind == answer_kind::Gathered && answer.mAt - at <= kTarget ? 1 : 0;
  }
  return result;
}

class pattern_test : public ::testing::TestWithParam<pattern_row>
{};

TEST_P(pattern_test, AdmissionServesAtLeastAsManyInTime)
{
  forward_hooks admitAll;
  admitAll.mIsAdmitted = [](const admission_level&, bool, double) { return true; };
  const load_result with = Replay(GetParam(), {});
  const load_result without = Replay(GetParam(), admitAll);
  EXPECT_GE(with.mInTime, without.mInTime)
    << GetParam().mPattern << ": " << with.mAsked << " asked, " << with.mRefused << " refused, "
    << without.mRefused << " without admission control";
  if (!GetParam().mMayRefuse) {
    EXPECT_EQ(with.mRefused, 0U) << GetParam().mPattern << ": capacity is left idle";
  }
}

INSTANTIATE_TEST_SUITE_P(
  patterns,
  pattern_test,
  ::testing::Values(
    pattern_row{ "half of what can be served", 0.5, 0, 0, kQueueLimit, false, false },
    pattern_row{ "many users at once", 1.5, 0, 0, kQueueLimit, false, true },
    pattern_row{ "three times what can be served", 3.0, 0, 0, kQueueLimit, false, true },
    pattern_row{ "one shard far slower than the others", 0.5, 0, 1, kQueueLimit, false, false },
    pattern_row{ "half of the replicas gone", 1.5, kShards, 0, kQueueLimit, false, true },
    pattern_row{ "servers slow down with a queue", 1.5, 0, 0, kQueueLimit, true, true },
    pattern_row{ "servers with long queues", 1.5, 0, 0, kLongQueueLimit, false, true },
    pattern_row{ "servers with long queues slow down", 1.5, 0, 0, kLongQueueLimit, true, true }));

} // namespace
} // namespace redwingdock::testing
