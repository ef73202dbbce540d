#include "settings/settings.h"
#include "standin/frontend.h"
#include "standin/scan.h"
#include "tables/parse.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sstream>

namespace redwingdock::standin {
namespace {

const std::filesystem::path kExamples = REDWINGDOCK_EXAMPLES;

std::string ReadText(const std::filesystem::path& aFile)
{
  std::ifstream file(aFile, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

struct deployment_row
{
  const char* mGuardsAgainst;
  const char* mFolder;
  std::size_t mServers;
};

class examples_test : public testing::TestWithParam<deployment_row>
{};

// Guards against example settings whose names, zones, addresses or seeds contradict the VM list.
TEST_P(examples_test, SettingsMatchTheVmList)
{
  const std::filesystem::path folder = kExamples / GetParam().mFolder;
  const auto vms = ParseVmList(ReadText(folder / "vms.yaml"), "vms.yaml");
  ASSERT_TRUE(vms) << Describe(vms.mReason);
  EXPECT_EQ(vms->mVms.size(), 5U);
  for (const vm_spec& vm : vms->mVms) {
    const auto settings = ParseSettings(ReadText(folder / (vm.mName + ".yaml")), vm.mName);
    ASSERT_TRUE(settings) << Describe(settings.mReason);
    EXPECT_EQ(settings->mCore.mVm, vm.mName);
    EXPECT_EQ(settings->mCore.mZone, vm.mZone);
    EXPECT_EQ(settings->mListenPeers, vm.mAddress);
    EXPECT_EQ(settings->mListenCallers, vm.mCallAddress);
    for (const vm_spec& seed : settings->mCore.mSeeds) {
      EXPECT_EQ(*vms->Find(seed.mName), seed);
    }
  }
}

// Guards against partition maps whose ranges leave out a position or cover it twice, so that no
// shard or several shards return a record.
TEST_P(examples_test, ShardsFindEachRecordOnce)
{
  const auto input = ReadInput(kExamples / GetParam().mFolder / "standin.yaml");
  ASSERT_TRUE(input) << Describe(input.mReason);
  std::size_t servers = 0;
  std::map<std::pair<const record_store*, std::uint32_t>, std::vector<record>> found;
  for (const pool_spec& pool : input->mParsedPools.mPools) {
    servers += pool.mServers.size();
    const record_store& store = *input->mRecords.at(pool.mName);
    for (const shard_spec& shard : pool.mShards) {
      for (const auto& [map, ranges] : shard.mRanges) {
        for (record& entry : Search(store, map == 3 ? 40 : 41, ranges, {})) {
          found[{ &store, map }].push_back(std::move(entry));
        }
      }
    }
  }
  EXPECT_EQ(servers, GetParam().mServers);
  EXPECT_EQ(found.size(), 4U); // two data sets with two partition maps each
  for (auto& [key, records] : found) {
    std::sort(records.begin(), records.end());
    EXPECT_EQ(records, Search(*key.first, key.second == 3 ? 40 : 41, { { 0, 4096 } }, {}));
    EXPECT_GT(records.size(), 2000U);
  }
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  examples_test,
  testing::Values(deployment_row{ "files that do not fit together", "occidente", 135 },
                  deployment_row{ "files that do not fit together", "ro-nord", 108 }));

} // namespace
} // namespace redwingdock::standin
