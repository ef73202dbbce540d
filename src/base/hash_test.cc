#include "base/hash.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

struct rank_row
{
  const char* mGuardsAgainst;
  std::vector<std::string> mCandidates;
  std::string mRemoved;
};

class rank_test : public testing::TestWithParam<rank_row>
{};

TEST_P(rank_test, RemovalKeepsTheOrderOfTheRest)
{
  const rank_row& row = GetParam();
  std::vector<std::string> left;
  for (const std::string& name : row.mCandidates) {
    if (name != row.mRemoved) {
      left.push_back(name);
    }
  }
  for (int key = 0; key < 100; ++key) {
    std::vector<std::string> all = RankByWeight(std::to_string(key), row.mCandidates);
    std::erase(all, row.mRemoved);
    EXPECT_EQ(all, RankByWeight(std::to_string(key), left)) << row.mGuardsAgainst;
  }
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  rank_test,
  testing::Values(rank_row{ "a VM that leaves changes the order of the other VMs",
                            { "vm-1", "vm-2", "vm-3", "vm-4", "vm-5" },
                            "vm-3" },
                  rank_row{ "removal of the only candidate", { "vm-1" }, "vm-1" }));

struct position_row
{
  const char* mId;
  std::uint32_t mPosition;
};

class position_test : public testing::TestWithParam<position_row>
{};

// Guards against a change of the hash function, which would move records between shards.
TEST_P(position_test, IsFixed)
{
  EXPECT_EQ(PositionOf(GetParam().mId), GetParam().mPosition);
}

// XXH64 with seed 0 of "" is ef46db3751d8e999, of "a" is d24ec4f1a98c6e5b.
INSTANTIATE_TEST_SUITE_P(rows,
                         position_test,
                         testing::Values(position_row{ "", 0x999 }, position_row{ "a", 0xe5b }));

} // namespace
} // namespace redwingdock
