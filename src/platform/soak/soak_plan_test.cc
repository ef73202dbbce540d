#include "platform/soak/soak_plan.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>

namespace redwingdock::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct options_row
{
  const char* mName;
  soak_options mOptions;
};

class plan_test : public testing::TestWithParam<options_row>
{
protected:
  static constexpr std::uint64_t kSeeds = 200;

  static soak_plan PlanOf(std::uint64_t aSeed)
  {
    soak_options options = GetParam().mOptions;
    options.mSeed = aSeed;
    return MakeSoakPlan(options);
  }
};

// Guards against a failure that its seed does not repeat.
TEST_P(plan_test, IsTheSameForTheSameSeed)
{
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    EXPECT_EQ(PlanOf(seed), PlanOf(seed));
    EXPECT_EQ(Describe(PlanOf(seed)), Describe(PlanOf(seed)));
  }
}

TEST_P(plan_test, DiffersForAnotherSeed)
{
  std::set<std::string> texts;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    soak_plan plan = PlanOf(seed);
    plan.mOptions.mSeed = 0;
    texts.insert(Describe(plan));
  }
  EXPECT_EQ(texts.size(), kSeeds);
}

TEST_P(plan_test, HasItsEventsInOrder)
{
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    const soak_plan plan = PlanOf(seed);
    EXPECT_FALSE(plan.mEvents.empty());
    EXPECT_TRUE(std::is_sorted(
      plan.mEvents.begin(),
      plan.mEvents.end(),
      [](const soak_event& aLeft, const soak_event& aRight) { return aLeft.mAt < aRight.mAt; }));
  }
}

// Guards against plans that leave callers without any daemon.
TEST_P(plan_test, LeavesTheLastDaemonRunning)
{
  const std::size_t last = GetParam().mOptions.mDaemons - 1;
  const auto ends = [last](soak_action aAction, std::size_t aTarget) {
    return aTarget == last &&
           (aAction == soak_action::Terminate || aAction == soak_action::TerminateTwice ||
            aAction == soak_action::Kill);
  };
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    const soak_plan plan = PlanOf(seed);
    for (const soak_event& each : plan.mEvents) {
      EXPECT_FALSE(ends(each.mAction, each.mTarget)) << Describe(plan);
    }
    for (const early_signal& each : plan.mEarlySignals) {
      EXPECT_NE(each.mDaemon, last);
      EXPECT_LE(each.mAfter, milliseconds(300));
      EXPECT_TRUE(each.mAction == soak_action::Terminate || each.mAction == soak_action::Reload);
    }
  }
}

// Guards against a change of state that lasts, which would leave the rest of the seed untested.
TEST_P(plan_test, TakesBackWhatItChanges)
{
  struct change
  {
    soak_action mFirst;
    soak_action mSecond;
  };
  constexpr change kChanges[] = { { soak_action::LowerLimits, soak_action::RaiseLimits },
                                  { soak_action::DropRoute, soak_action::RestoreRoute },
                                  { soak_action::StoreDown, soak_action::StoreUp },
                                  { soak_action::EvacuateZone, soak_action::RestoreZone } };
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    const soak_plan plan = PlanOf(seed);
    const auto count = [&plan](soak_action aAction) {
      return std::count_if(
        plan.mEvents.begin(), plan.mEvents.end(), [aAction](const soak_event& aEvent) {
          return aEvent.mAction == aAction;
        });
    };
    for (const change& each : kChanges) {
      EXPECT_EQ(count(each.mFirst), count(each.mSecond)) << Describe(plan);
    }
  }
}

// Guards against a draw that never comes up.
TEST_P(plan_test, DrawsEachVariation)
{
  std::set<std::string> deployments;
  std::set<micros> quotas;
  std::set<log_sink> sinks;
  std::set<bool> eras;
  std::set<bool> failures;
  std::set<std::size_t> returns;
  std::set<waiting_watches> waiting;
  std::set<soak_action> actions;
  std::set<soak_action> early;
  std::set<std::size_t> starts;
  std::set<std::string> profiles;
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    const soak_plan plan = PlanOf(seed);
    deployments.insert(plan.mDeployment.mName);
    quotas.insert(plan.mQuota);
    sinks.insert(plan.mLogSink);
    eras.insert(plan.mStatesEra);
    failures.insert(plan.mFaults.mFailures > 0);
    returns.insert(plan.mReturns.size());
    for (const store_return& each : plan.mReturns) {
      waiting.insert(each.mWaiting);
    }
    for (const soak_event& each : plan.mEvents) {
      actions.insert(each.mAction);
    }
    for (const early_signal& each : plan.mEarlySignals) {
      early.insert(each.mAction);
      starts.insert(each.mStart);
    }
    for (const soak_client_profile& each : plan.mClients) {
      EXPECT_GE(each.mCount, 2U);
      profiles.insert(each.mName);
    }
  }
  EXPECT_EQ(deployments.size(), SoakDeployments().size());
  EXPECT_EQ(quotas.size(), 2U);
  EXPECT_EQ(sinks.size(), 3U);
  EXPECT_EQ(eras.size(), 2U);
  EXPECT_EQ(failures.size(), 2U);
  EXPECT_EQ(returns, (std::set<std::size_t>{ 0, 1, 2 }));
  EXPECT_EQ(waiting.size(), 3U);
  EXPECT_EQ(actions.size(), static_cast<std::size_t>(soak_action::ReturnStore) + 1);
  EXPECT_EQ(early, (std::set<soak_action>{ soak_action::Terminate, soak_action::Reload }));
  EXPECT_EQ(starts, (std::set<std::size_t>{ 0, 1 }));
  for (const char* each : { "kept",
                            "pipelined",
                            "unused",
                            "halves",
                            "old_list",
                            "large_behind",
                            "leaves",
                            "leaves_in_request",
                            "during_stop" }) {
    EXPECT_TRUE(profiles.contains(each)) << each;
  }
}

// Guards against a smaller case that plays something else than the seed.
TEST_P(plan_test, LeavesOnlyTheNamedPartsOut)
{
  const std::set<std::string> names{ "large_behind", "log_pipes", "early_signals" };
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    const soak_plan plan = PlanOf(seed);
    const soak_plan smaller = Without(plan, names);
    EXPECT_EQ(smaller.mEvents, plan.mEvents);
    EXPECT_EQ(smaller.mLogSink, log_sink::File);
    EXPECT_TRUE(smaller.mEarlySignals.empty());
    for (const soak_client_profile& each : plan.mClients) {
      EXPECT_EQ(std::count(smaller.mClients.begin(), smaller.mClients.end(), each),
                std::string(each.mName) == "large_behind" ? 0 : 1);
    }
  }
}

// Guards against a run without stops and quota that also lacks the returns of the store.
TEST_P(plan_test, LeavesStopsAndQuotaOut)
{
  for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
    const soak_plan plan = PlanOf(seed);
    const soak_plan smaller = Without(plan, { "stops", "quota" });
    EXPECT_EQ(smaller.mQuota, micros(0));
    EXPECT_EQ(smaller.mReturns, plan.mReturns);
    for (const soak_event& each : plan.mEvents) {
      const bool stops = each.mAction == soak_action::Terminate ||
                         each.mAction == soak_action::TerminateTwice ||
                         each.mAction == soak_action::Kill;
      EXPECT_EQ(std::count(smaller.mEvents.begin(), smaller.mEvents.end(), each) == 0, stops);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(cases,
                         plan_test,
                         testing::Values(options_row{ "five_daemons", {} },
                                         options_row{ "two_daemons", { .mDaemons = 2 } },
                                         options_row{ "sixty_daemons", { .mDaemons = 60 } },
                                         options_row{ "short", { .mDuration = seconds(5) } },
                                         options_row{ "large_replies",
                                                      { .mReplyBytes = 2'000'000 } }),
                         [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace
} // namespace redwingdock::platform
