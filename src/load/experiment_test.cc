#include "load/call_plan.h"

#include <gtest/gtest.h>

namespace redwingdock::load {
namespace {

struct parse_row
{
  const char* mGuardsAgainst;
  std::string mText;
  std::string mError; // expected beginning of the error; empty if the text is valid
};

class parse_test : public testing::TestWithParam<parse_row>
{};

TEST_P(parse_test, IsStrict)
{
  result<experiment> read = ParseExperiment(GetParam().mText, "e.yaml");
  EXPECT_EQ(read ? "" : Describe(read.mReason).substr(0, GetParam().mError.size()),
            GetParam().mError)
    << GetParam().mGuardsAgainst << ": " << Describe(read.mReason);
}

std::string Experiment(const std::string& aRest)
{
  return "name: e\nduration_ms: 1000\nmix:\n  - {route: r}\n" + aRest;
}

std::string Event(const std::string& aEvent)
{
  return Experiment("events:\n  - {at_ms: 5, " + aEvent + "}\n");
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  parse_test,
  testing::Values(
    parse_row{ "a minimal file is rejected", Experiment(""), "" },
    parse_row{ "a zone event is rejected", Event("do: close_zone, zone: xela"), "" },
    parse_row{ "a server selection is rejected", Event("do: make_cold, zone: xela, pool: p"), "" },
    parse_row{ "server settings are rejected",
               Event("do: set_servers, zone: z, set: {latency_ms: 5}"),
               "" },
    parse_row{ "a signal event is rejected", Event("do: pause, daemon: vm-1"), "" },
    parse_row{ "a misspelled key is ignored",
               Experiment("rat: 5\n"),
               "parse experiment e.yaml: line 5: rat: found an unknown key" },
    parse_row{ "a rate above the limit is accepted",
               Experiment("rate: 1e9\n"),
               "parse experiment e.yaml: line 5: rate: found \"1e9\", allowed: a number" },
    parse_row{
      "an unknown event is ignored",
      Event("do: explode"),
      "parse experiment e.yaml: line 6: events[0].do: found \"explode\", allowed: close_zone" },
    parse_row{ "an event after the end is accepted and never executed",
               Experiment("events:\n  - {at_ms: 1001, do: mark, text: x}\n"),
               "parse experiment e.yaml: line 6: events[0].at_ms: found \"1001\"" },
    parse_row{ "an action without a selection applies to all servers",
               Event("do: crash"),
               "parse experiment e.yaml: line 6: events[0].servers: found no selection" },
    parse_row{ "a key of another event is ignored",
               Event("do: pause, daemon: vm-1, zone: z"),
               "parse experiment e.yaml: line 6: events[0].zone: found an unknown key" },
    parse_row{ "an experiment without requests is accepted",
               "name: e\nduration_ms: 1000\nmix: []\n",
               "parse experiment e.yaml: mix: found an empty list" }));

struct plan_row
{
  const char* mGuardsAgainst;
  double mRate;
  std::vector<request_kind> mMix;
  std::map<std::string, std::pair<std::size_t, std::size_t>>
    mCallsByRoute; // minimum and maximum number of calls by route
};

class plan_test : public testing::TestWithParam<plan_row>
{};

route_records Records()
{
  record_list records{ { { "case-1", { { "office", "x" } } }, 1, 0 },
                       { { "case-2", { { "office", "y" } } }, 2, 0 } };
  auto shared = std::make_shared<const record_list>(records);
  return { { "r", shared }, { "s", shared } };
}

TEST_P(plan_test, FollowsRateAndMix)
{
  const plan_row& row = GetParam();
  experiment planned;
  planned.mRate = row.mRate;
  planned.mMix = row.mMix;
  planned.mZones = { "a", "b" };
  std::vector<planned_call> calls = PlanCalls(planned, Records());
  EXPECT_EQ(calls, PlanCalls(planned, Records())) << "the same seed gives different calls";
  std::map<std::string, std::size_t> counts;
  std::map<std::string, std::string> zones;
  micros last{ 0 };
  for (const planned_call& each : calls) {
    ++counts[each.mRequest.mRoute];
    EXPECT_GE(each.mAt, last);
    last = each.mAt;
    EXPECT_EQ(zones.emplace(each.mRequest.mCaller, each.mZone).first->second, each.mZone)
      << "a caller changed its zone";
  }
  for (const auto& [route, bounds] : row.mCallsByRoute) {
    EXPECT_GE(counts[route], bounds.first) << row.mGuardsAgainst;
    EXPECT_LE(counts[route], bounds.second) << row.mGuardsAgainst;
  }
}

request_kind Kind(const char* aRoute, double aWeight, std::uint64_t aMaxCalls = 0)
{
  request_kind kind;
  kind.mRoute = aRoute;
  kind.mWeight = aWeight;
  kind.mMost = aMaxCalls;
  kind.mSample = { "office" };
  return kind;
}

// Each experiment lasts 10 s. The bounds are four standard deviations from the expected count.
INSTANTIATE_TEST_SUITE_P(
  rows,
  plan_test,
  testing::Values(plan_row{ "calls arrive at a different rate than configured",
                            100,
                            { Kind("r", 1) },
                            { { "r", { 874, 1126 } } } },
                  plan_row{ "weights are ignored",
                            100,
                            { Kind("r", 3), Kind("s", 1) },
                            { { "r", { 640, 860 } }, { "s", { 187, 313 } } } },
                  plan_row{ "a kind exceeds its maximum number of calls",
                            100,
                            { Kind("r", 1), Kind("s", 9, 5) },
                            { { "s", { 5, 5 } } } }));

} // namespace
} // namespace redwingdock::load
