#include "query/plan.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

const index_version kOld{ 40, 3 };
const index_version kNew{ 41, 4 };

replica_info Replica(bool aUsable, std::vector<index_version> aVersions)
{
  return { "s", "zone-a", aUsable, std::move(aVersions) };
}

shard_info Shard(std::vector<replica_info> aReplicas, std::uint32_t aFrom, std::uint32_t aTo)
{
  return {
    "desk", "shard", { { 3, { { aFrom, aTo } } }, { 4, { { aFrom, aTo } } } }, std::move(aReplicas)
  };
}

struct snapshot_row
{
  const char* mGuardsAgainst;
  std::vector<std::vector<replica_info>> mShards;
  snapshot mChosen;
};

class snapshot_test : public testing::TestWithParam<snapshot_row>
{};

TEST_P(snapshot_test, Chosen)
{
  std::vector<shard_info> shards;
  std::uint32_t from = 0;
  for (const auto& replicas : GetParam().mShards) {
    shards.push_back(Shard(replicas, from, from + 100));
    from += 100;
  }
  EXPECT_EQ(ChooseSnapshot(shards), GetParam().mChosen) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  snapshot_test,
  testing::Values(
    snapshot_row{ "newest version is chosen although one shard cannot serve it",
                  { { Replica(true, { kOld, kNew }) }, { Replica(true, { kOld }) } },
                  { 40, 3 } },
    snapshot_row{ "old version is kept although all shards serve the new one",
                  { { Replica(true, { kOld, kNew }) }, { Replica(true, { kOld, kNew }) } },
                  { 41, 4 } },
    snapshot_row{
      "version is chosen that only a draining replica serves",
      { { Replica(true, { kOld }), Replica(false, { kNew }) }, { Replica(true, { kOld, kNew }) } },
      { 40, 3 } },
    snapshot_row{ "version is guessed when none is known",
                  { { Replica(true, {}) }, { Replica(true, {}) } },
                  { 0, 4 } },
    snapshot_row{ "replica of unknown versions rules out the known version",
                  { { Replica(true, { kOld }) }, { Replica(true, {}) } },
                  { 40, 3 } },
    snapshot_row{
      "no common version, and the one that covers fewer positions is chosen",
      { { Replica(true, { kOld }) }, { Replica(true, { kOld }) }, { Replica(true, { kNew }) } },
      { 40, 3 } },
    snapshot_row{ "version is chosen whose partition map the tables lack",
                  { { Replica(true, { kOld, { 42, 9 } }) } },
                  { 40, 3 } }));

struct parts_row
{
  const char* mGuardsAgainst;
  std::uint32_t mMap;
  std::optional<std::uint32_t> mPosition;
  std::vector<std::string> mShards;
};

class parts_test : public testing::TestWithParam<parts_row>
{};

// Map 3: the ledger owns [0, 2048). Map 4: its positions moved to the store.
TEST_P(parts_test, Planned)
{
  const std::vector<shard_info> shards{
    { "store", "store-0", { { 3, { { 2048, 4096 } } }, { 4, { { 0, 4096 } } } }, {} },
    { "ledger", "ledger-0", { { 3, { { 0, 2048 } } } }, {} },
  };
  std::vector<std::string> names;
  for (const part_state& part : PlanParts(shards, GetParam().mMap, GetParam().mPosition)) {
    names.push_back(part.mShard);
  }
  EXPECT_EQ(names, GetParam().mShards) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  parts_test,
  testing::Values(
    parts_row{ "shard is left out", 3, std::nullopt, { "store-0", "ledger-0" } },
    parts_row{ "moved records are counted from both owners", 4, std::nullopt, { "store-0" } },
    parts_row{ "submit is sent to every shard", 3, 100, { "ledger-0" } },
    parts_row{ "submit is sent to the former owner", 4, 100, { "store-0" } }));

} // namespace
} // namespace redwingdock
