#include "platform/edge_settings.h"

#include <gtest/gtest.h>

namespace redwingdock::platform {
namespace {

const std::string kSettings = R"(vm: front-a-1
zone: a
listen:
  callers: "10.1.0.9:8104"
  readiness: "10.1.0.9:8108"
  addresses: "10.1.0.9:8100"
  peers: "10.1.0.9:7380"
  metrics: "10.1.0.9:7381"
store: "10.200.1.7:8102"
seeds: ["10.1.0.9:8106","10.2.0.21:8106"]
workers: 1
forwarding:
  repeat_ratio: 0.1
  repeat_slack: 20
  change_bound_ms: 6000
  drain_bound_ms: 5500
  closed_zone_bound_ms: 5000
  disturbance_ms: 6000
limits:
  memory_mb: 390.5
  descriptors: 6150
)";

TEST(edge_settings, AreRead)
{
  // Guards against peers with the port of another service's seed, and against settings that are
  // ignored.
  const result<edge_settings> settings = ParseEdgeSettings(kSettings, "boot.yaml");
  ASSERT_TRUE(settings) << Describe(settings.mReason);
  EXPECT_EQ(settings->mCore.mVm, "front-a-1");
  EXPECT_EQ(settings->mCore.mForward.mPeers,
            (std::vector<std::string>{ "10.1.0.9:7380", "10.2.0.21:7380" }));
  EXPECT_EQ(settings->mCore.mForward.mRepeatRatio, 0.1);
  EXPECT_EQ(settings->mCore.mForward.mRepeatSlack, 20);
  EXPECT_EQ(settings->mCore.mForward.mChangeBound, std::chrono::seconds(5));
  EXPECT_EQ(settings->mCore.mForward.mDisturbanceTime, std::chrono::seconds(6));
  EXPECT_EQ(settings->mStore, "10.200.1.7:8102");
  EXPECT_EQ(settings->mWorkers, 1U);
  EXPECT_EQ(settings->mLimits, (process_limits{ std::size_t{ 781 } * 512 * 1024, 6150 }));
}

struct number_row
{
  const char* mGuardsAgainst;
  std::string mWritten; // a number of milliseconds
  micros mRead;
};

class number_test : public testing::TestWithParam<number_row>
{
protected:
  // The settings without their limits of forwarding.
  static std::string Head() { return kSettings.substr(0, kSettings.find("forwarding:")); }

  static forward_config Forwarding(const std::string& aText)
  {
    const result<edge_settings> settings = ParseEdgeSettings(aText, "boot.yaml");
    EXPECT_TRUE(settings) << Describe(settings.mReason);
    return settings ? settings->mCore.mForward : forward_config{};
  }
};

// The platform writes bounds as whole numbers or as fractions.
TEST_P(number_test, IsReadAsItIsWritten)
{
  const number_row& row = GetParam();
  const std::string written = row.mWritten;
  for (const char* key : { "change_bound_ms", "drain_bound_ms", "closed_zone_bound_ms" }) {
    EXPECT_EQ(Forwarding(Head() + "forwarding: {" + key + ": " + written + "}\n").mChangeBound,
              row.mRead)
      << row.mGuardsAgainst << ", " << key;
  }
  EXPECT_EQ(Forwarding(Head() + "forwarding: {disturbance_ms: " + written + "}\n").mDisturbanceTime,
            row.mRead)
    << row.mGuardsAgainst;
}

constexpr char kRefusedBound[] = "a bound that is written as a fraction keeps the program from "
                                 "starting";

INSTANTIATE_TEST_SUITE_P(
  cases,
  number_test,
  testing::Values(
    number_row{ "a whole number is not read", "2500", std::chrono::milliseconds(2500) },
    number_row{ kRefusedBound, "2500.0", std::chrono::milliseconds(2500) },
    number_row{ kRefusedBound, "2500.", std::chrono::milliseconds(2500) },
    number_row{ kRefusedBound, "2.5e3", std::chrono::milliseconds(2500) },
    number_row{ "the part of a millisecond is lost", "2500.125", micros(2'500'125) },
    number_row{ "a bound that is not exact in binary is too low", "1.001", micros(1001) }));

struct stop_row
{
  const char* mGuardsAgainst;
  std::string mText; // appended to the settings
  std::string mGrace;
  std::chrono::milliseconds mLinger;
  std::chrono::milliseconds mLimit;
};

class stop_test : public testing::TestWithParam<stop_row>
{};

TEST_P(stop_test, EndsBeforeTheGrace)
{
  const stop_row& row = GetParam();
  const result<micros> grace = row.mGrace.empty() ? Success(micros(0)) : ParseGrace(row.mGrace);
  ASSERT_TRUE(grace) << Describe(grace.mReason);
  const result<edge_settings> settings =
    ParseEdgeSettings(kSettings + row.mText, "boot.yaml", *grace);
  ASSERT_TRUE(settings) << Describe(settings.mReason);
  EXPECT_EQ(settings->mCore.mForward.mStop.mFinalAnswers, row.mLimit) << row.mGuardsAgainst;
  EXPECT_EQ(settings->mCore.mForward.mStop.mLinger, row.mLinger) << row.mGuardsAgainst;
  if (!row.mGrace.empty()) {
    EXPECT_EQ(settings->mCore.mForward.mStop.mGrace, *grace) << row.mGuardsAgainst;
  }
}

using std::chrono::milliseconds;

INSTANTIATE_TEST_SUITE_P(
  cases,
  stop_test,
  testing::Values(stop_row{ "the default changes", "", "", milliseconds(2300), milliseconds(5000) },
                  stop_row{ "the grace of the platform is ignored",
                            "",
                            "10",
                            milliseconds(2300),
                            milliseconds(8333) },
                  stop_row{ "callers are closed after the end",
                            "",
                            "2.5",
                            milliseconds(1041),
                            milliseconds(2083) },
                  stop_row{ "the settings are ignored",
                            "stop: {linger_ms: 300, limit_ms: 1000}\n",
                            "8",
                            milliseconds(300),
                            milliseconds(1000) }));

class grace_test : public testing::TestWithParam<const char*>
{};

TEST_P(grace_test, RefusesWhatIsNoTime)
{
  // Guards against a daemon that stops at once, or never, because of a malformed argument.
  const result<micros> grace = ParseGrace(GetParam());
  ASSERT_FALSE(grace);
  EXPECT_NE(Describe(grace.mReason).find(GetParam()), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(cases,
                         grace_test,
                         testing::Values("x", "0", "-6", "6s", "nan", "1e9", "3601"));

struct refused_row
{
  const char* mGuardsAgainst;
  std::string mFrom;
  std::string mTo;
  std::string mNamed; // expected in the reason
};

class refused_test : public testing::TestWithParam<refused_row>
{};

TEST_P(refused_test, NamesFileLineAndKey)
{
  std::string text = kSettings;
  const std::size_t at = text.find(GetParam().mFrom);
  ASSERT_NE(at, std::string::npos);
  text.replace(at, GetParam().mFrom.size(), GetParam().mTo);
  const result<edge_settings> settings = ParseEdgeSettings(text, "boot.yaml");
  ASSERT_FALSE(settings) << GetParam().mGuardsAgainst;
  const std::string reason = Describe(settings.mReason);
  EXPECT_NE(reason.find("boot.yaml"), std::string::npos) << reason;
  EXPECT_NE(reason.find(GetParam().mNamed), std::string::npos) << reason;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  refused_test,
  testing::Values(
    refused_row{ "a missing name", "vm: front-a-1\n", "", "vm" },
    refused_row{ "an address without port", "10.1.0.9:8104", "10.1.0.9", "listen.callers" },
    refused_row{ "an unknown key", "workers: 1", "worker: 1", "worker" },
    refused_row{ "a ratio out of bounds", "ratio: 0.1", "ratio: -1", "repeat_ratio" },
    refused_row{ "a bound that is no number",
                 "change_bound_ms: 6000",
                 "change_bound_ms: true",
                 "change_bound_ms" },
    refused_row{ "a bound that is not finite",
                 "change_bound_ms: 6000",
                 "change_bound_ms: inf",
                 "change_bound_ms" },
    refused_row{ "no time for a change",
                 "change_bound_ms: 6000",
                 "change_bound_ms: 0.0",
                 "change_bound_ms" },
    refused_row{ "a window that the budget cannot enforce",
                 "repeat_slack: 20\n",
                 "repeat_slack: 20\n  repeat_window_ms: 20000\n",
                 "repeat_window_ms" },
    refused_row{ "a process without memory", "390.5", "0", "limits.memory_mb" },
    refused_row{ "descriptors that are no number", "6150", "many", "limits.descriptors" },
    refused_row{ "an unknown limit", "  descriptors", "  files", "limits.files" },
    refused_row{ "no store", "store: \"10.200.1.7:8102\"\n", "", "store" },
    refused_row{ "a seed that is not an address", "10.2.0.21:8106", "x", "seeds" }));

} // namespace
} // namespace redwingdock::platform
