#include "testing/fake_server.h"

#include <gtest/gtest.h>

namespace redwingdock::testing {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kFirst = 0;  // gets a reply from the cold server
constexpr std::size_t kSecond = 1; // then sends two parts at once
// Long enough for the reply to the first daemon and its message to the second to arrive.
constexpr milliseconds kNoticeWait(100);

struct cold_row
{
  const char* mGuardsAgainst;
  bool mCanReach;           // messages of the first daemon reach the second
  bool mRestarted;          // the server is cold because its process restarted
  std::uint64_t mOverloads; // expected count
};

class cold_test : public ::testing::TestWithParam<cold_row>
{
public:
  static part_request Part(std::uint64_t aNumber)
  {
    part_request request;
    request.mAttempt.mNumber = aNumber;
    request.mServer = "s";
    request.mShard = "shard";
    return request;
  }
};

TEST_P(cold_test, CountsLoadOfDaemonsThatCouldKnow)
{
  const cold_row& row = GetParam();
  event_queue events;
  server_options options{ "s", "pool", "shard", "zone" };
  options.mCanReach = [&row](std::size_t, std::size_t) { return row.mCanReach; };
  fake_server server(options, events, 1);
  server.SetVersions({ { 40, 3 } });
  if (row.mRestarted) {
    server.Crash(milliseconds(1));
  } else {
    server.TurnCold();
  }
  events.RunFor(milliseconds(5));
  const auto ignore = [](const part_reply&) {};
  server.Run(kFirst, Part(1), std::chrono::seconds(1), ignore);
  events.RunFor(kNoticeWait);
  server.Run(kSecond, Part(2), std::chrono::seconds(1), ignore);
  server.Run(kSecond, Part(3), std::chrono::seconds(1), ignore);
  EXPECT_EQ(server.Counts().mColdOverloads, row.mOverloads) << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  cold_test,
  ::testing::Values(
    cold_row{ "an overload by a daemon that was informed isn't counted", true, false, 1 },
    cold_row{
      "an overload by a daemon that can't know of the cold server, across a partition, is counted",
      false,
      false,
      0 },
    cold_row{ "an overload of a restarted server isn't counted across a partition",
              false,
              true,
              1 }));

} // namespace
} // namespace redwingdock::testing
