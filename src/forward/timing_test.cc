#include "forward/timing.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

using std::chrono::milliseconds;

struct timing_row
{
  const char* mGuardsAgainst;
  milliseconds mTargetLatency;
  milliseconds mLatency; // latency of all attempts
  client_delays mClient{};
};

class timing_test : public testing::TestWithParam<timing_row>
{};

TEST_P(timing_test, AHedgeCanFinishBeforeThePartialAnswer)
{
  route_rule route;
  route.mTargetLatency = GetParam().mTargetLatency;
  latency_record recent;
  for (int i = 0; i < 100; ++i) {
    recent = AddLatency(recent, GetParam().mLatency);
  }
  const client_delays& client = GetParam().mClient;
  const micros partial = PartialAnswerDelay(route, client);
  const micros hedge = HedgeDelay(route, recent, partial);
  EXPECT_LT(client.mSpent + client.mRoundTrip + partial, route.mTargetLatency)
    << GetParam().mGuardsAgainst;
  EXPECT_GT(hedge, GetParam().mLatency) << "every attempt is hedged";
  if (GetParam().mLatency * 4 <= GetParam().mTargetLatency) {
    EXPECT_LE(hedge + GetParam().mLatency, partial) << GetParam().mGuardsAgainst;
  }
}

INSTANTIATE_TEST_SUITE_P(
  sizes,
  timing_test,
  testing::Values(
    timing_row{ "a slow search", milliseconds(200), milliseconds(28) },
    timing_row{ "an urgent check", milliseconds(80), milliseconds(10) },
    timing_row{ "a tight target", milliseconds(50), milliseconds(5) },
    timing_row{ "a target that attempts can hardly meet", milliseconds(800), milliseconds(500) },
    timing_row{ "a distant client",
                milliseconds(50),
                milliseconds(5),
                { milliseconds(0), milliseconds(6) } },
    timing_row{ "a client that had to connect first",
                milliseconds(50),
                milliseconds(4),
                { milliseconds(15), milliseconds(6) } }));

TEST(timing, LateRequestWaitsForItsParts)
{
  // Guards against an answer with few parts to a client whose target has already passed.
  route_rule route;
  route.mTargetLatency = milliseconds(50);
  EXPECT_EQ(PartialAnswerDelay(route, { milliseconds(48), milliseconds(6) }),
            PartialAnswerDelay(route, { milliseconds(0), milliseconds(6) }));
}

TEST(timing, WithoutLatenciesTheTargetIsUsed)
{
  // Guards against hedges that are sent immediately or never after a start.
  route_rule route;
  route.mTargetLatency = milliseconds(200);
  EXPECT_GT(HedgeDelay(route, {}, PartialAnswerDelay(route, {})), milliseconds(30));
  EXPECT_LT(HedgeDelay(route, {}, PartialAnswerDelay(route, {})), milliseconds(140));
}

} // namespace
} // namespace redwingdock
