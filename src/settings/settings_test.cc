#include "settings/settings.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

constexpr char kSettings[] = R"(vm: vm-xela-1
zone: xela
listen:
  callers: "127.0.0.11:7001"
  peers: "127.0.0.11:7101"
  operators: "127.0.0.11:7201"
configuration_service: ["127.0.1.100:20900", "[::1]:20900"]
seeds:
  - {name: vm-toto-1, zone: toto, address: "127.0.0.12:7101", call_address: "127.0.0.12:7001"}
workers: 4
log: {level: warning, file: daemon.log, decisions: false}
membership: {hold_ms: 3000, take_delay_ms: 9000}
gates: {ramp_replies: 5}
queries: {hedge_budget: 0.02}
operator: true
limits: {memory_mb: 100, descriptors: 1024}
)";

TEST(settings, FillsAllFieldsAndKeepsDefaults)
{
  const auto found = ParseSettings(kSettings, "vm.yaml");
  ASSERT_TRUE(found) << Describe(found.mReason);
  daemon_settings expected;
  expected.mCore.mVm = "vm-xela-1";
  expected.mCore.mZone = "xela";
  expected.mCore.mAddress = expected.mListenPeers = "127.0.0.11:7101";
  expected.mCore.mCallAddress = expected.mListenCallers = "127.0.0.11:7001";
  expected.mListenOperators = "127.0.0.11:7201";
  expected.mOperatorOnCallerAddress = true;
  expected.mConfigurationService = { "127.0.1.100:20900", "[::1]:20900" };
  expected.mCore.mSeeds = { { "vm-toto-1", "127.0.0.12:7101", "127.0.0.12:7001", "toto" } };
  expected.mWorkers = 4;
  expected.mLogThreshold = log_threshold::Warning;
  expected.mLogFile = "daemon.log";
  expected.mCore.mLogDecisions = false;
  expected.mCore.mHoldTime = std::chrono::seconds(3);
  expected.mCore.mTakeDelay = std::chrono::seconds(9);
  expected.mCore.mRampReplies = 5;
  expected.mCore.mHedgeBudget = 0.02;
  expected.mLimits = { std::size_t{ 100 } * 1024 * 1024, 1024 };
  EXPECT_EQ(*found, expected);
}

struct refused_row
{
  const char* mGuardsAgainst;
  const char* mFrom; // first occurrence in the valid settings is replaced by mTo
  const char* mTo;
  const char* mReason;
};

class refused_test : public testing::TestWithParam<refused_row>
{};

TEST_P(refused_test, NamesFileLineKeyFoundAndAllowed)
{
  const refused_row& row = GetParam();
  std::string text = kSettings;
  const std::size_t at = text.find(row.mFrom);
  ASSERT_NE(at, std::string::npos) << row.mFrom;
  text.replace(at, std::string(row.mFrom).size(), row.mTo);
  const auto found = ParseSettings(text, "vm.yaml");
  EXPECT_FALSE(found) << row.mGuardsAgainst;
  EXPECT_EQ(Describe(found.mReason).find(std::string("parse settings vm.yaml: ") + row.mReason), 0U)
    << row.mGuardsAgainst << "\n"
    << Describe(found.mReason);
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  refused_test,
  testing::Values(
    refused_row{ "a misspelt tunable keeps its default",
                 "ramp_replies",
                 "ramp_reply",
                 "line 13: gates.ramp_reply: found an unknown key, allowed: the keys "
                 "deadline_slack_ms" },
    refused_row{ "an incarnation from the file is reused at each start",
                 "workers: 4",
                 "incarnation: \"1\"",
                 "line 10: incarnation: found an unknown key" },
    refused_row{ "a daemon without a zone", "zone: xela\n", "", "line 1: zone: found nothing" },
    refused_row{ "a port without an address listens on all interfaces",
                 "\"127.0.0.11:7201\"",
                 "7201",
                 "line 6: listen.operators: found \"7201\", allowed: \"ip:port\"" },
    refused_row{ "no configuration service",
                 "[\"127.0.1.100:20900\", \"[::1]:20900\"]",
                 "[]",
                 "line 7: configuration_service: found an empty list" },
    refused_row{ "a hedge budget of more than all parts",
                 "hedge_budget: 0.02",
                 "hedge_budget: 2",
                 "line 14: queries.hedge_budget: found \"2\", allowed: a number, 0 to 1" },
    refused_row{ "a budget that is not a number",
                 "hedge_budget: 0.02",
                 "hedge_budget: nan",
                 "line 14: queries.hedge_budget: found \"nan\"" },
    refused_row{ "no worker threads",
                 "workers: 4",
                 "workers: 0",
                 "line 10: workers: found \"0\", allowed: a whole number, 1 to 64" },
    refused_row{ "a permit taken over while its holder may still use it",
                 "take_delay_ms: 9000",
                 "take_delay_ms: 8999",
                 "line 1: membership.take_delay_ms: found 8999, allowed: at least hold_ms + "
                 "longest_deadline_ms + gates.deadline_slack_ms, 9000" },
    refused_row{ "a pause longer than the permits last goes unnoticed",
                 "hold_ms: 3000",
                 "hold_ms: 1000",
                 "line 1: membership.pause_limit_ms: found 1000, allowed: less than hold_ms" },
    refused_row{ "an unknown log level",
                 "level: warning",
                 "level: warn",
                 "line 11: log.level: found \"warn\", allowed: debug or info or warning or error" },
    refused_row{ "a file that is not a mapping", kSettings, "- a", "line 1: file: found a list" }));

} // namespace
} // namespace redwingdock
