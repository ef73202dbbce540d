#include "standin/config.h"

#include <gtest/gtest.h>

namespace redwingdock::standin {
namespace {

constexpr char kConfig[] = R"(platform: "127.0.1.100:20900"
admin: "127.0.1.100:20901"
defaults: {versions: [{version: 40, map: 3}], service_median_ms: 2.5}
pools:
  - {name: ledger, service_median_ms: 4}
datasets:
  - {name: cases, file: cases.jsonl, pools: [desk, ledger]}
)";

// Guards against pools that lose the default behaviour when they override a part of it.
TEST(config, PoolsStartFromTheDefaults)
{
  const auto config = ParseConfig(kConfig, "standin.yaml");
  ASSERT_TRUE(config) << Describe(config.mReason);
  EXPECT_EQ(config->mDefaults.mServiceMedian, micros(2500));
  const behaviour& ledger = config->mPools.at("ledger");
  EXPECT_EQ(ledger.mServiceMedian, std::chrono::milliseconds(4));
  EXPECT_EQ(ledger.mVersions, (std::vector<index_version>{ { 40, 3 } }));
  EXPECT_EQ(config->mPoolsFile, "pools.yaml");
}

struct invalid_row
{
  const char* mGuardsAgainst;
  const char* mFrom; // first occurrence in kConfig, replaced by mTo
  const char* mTo;
  const char* mReason;
};

class invalid_config_test : public testing::TestWithParam<invalid_row>
{};

TEST_P(invalid_config_test, ReportsTheError)
{
  const invalid_row& row = GetParam();
  std::string text = kConfig;
  text.replace(text.find(row.mFrom), std::string(row.mFrom).size(), row.mTo);
  const auto config = ParseConfig(text, "standin.yaml");
  reason found = config.mReason;
  if (config) {
    pools_table pools;
    pools.mPools.resize(2);
    pools.mPools[0].mName = "desk";
    pools.mPools[1].mName = "ledger";
    found = CheckPools(*config, pools).value_or(reason{});
  }
  EXPECT_NE(Describe(found).find(row.mReason), std::string::npos) << row.mGuardsAgainst << "\n"
                                                                  << Describe(found);
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  invalid_config_test,
  testing::Values(invalid_row{ "a pool without records",
                               "desk, ledger",
                               "ledger",
                               "desk: the pool "
                               "has no data set" },
                  invalid_row{
                    "a misspelt pool name is ignored, so that the pool keeps the defaults",
                    "name: ledger",
                    "name: leger",
                    "leger: the pool is not in the pools table" },
                  invalid_row{ "a pool in two data sets",
                               "[desk, ledger]}",
                               "[desk, ledger]}\n  - {name: more, file: m.jsonl, pools: [desk]}",
                               "line 8: datasets[1].pools: found \"desk\" again" },
                  invalid_row{ "limits that contradict the pools table",
                               "service_median_ms: 4",
                               "slots: 4",
                               "line 5: pools[0].slots: found an unknown key" }));

} // namespace
} // namespace redwingdock::standin
