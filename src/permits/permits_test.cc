#include "permits/permits.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <set>

namespace redwingdock {

namespace {

vm_list ListOf(int aVms)
{
  vm_list list{ 1, {} };
  for (int i = 0; i < aVms; ++i) {
    list.mVms.push_back({ "vm-" + std::to_string(i), "", "", "", vm_state::Live });
  }
  return list;
}

std::vector<permit_shape> Shapes(int aShards, int aReplicas, std::uint32_t aSlots)
{
  std::vector<permit_shape> shapes;
  for (int i = 0; i < aShards; ++i) {
    permit_shape shape{ "pool", "s" + std::to_string(i), aSlots, {} };
    for (int j = 0; j < aReplicas; ++j) {
      shape.mServers.push_back(shape.mShard + "-" + static_cast<char>('a' + j));
    }
    shapes.push_back(shape);
  }
  return shapes;
}

struct assignment_case
{
  const char* mName;
  int mVms;
  int mShards;
  int mReplicas;
  std::uint32_t mSlots;
  double mMaxLoad; // largest permits of the busiest VM / mean permits per VM
  // When one VM replaces another: largest permits moved / permits that the two lost and gained.
  double mMaxMoves;
};

// Guards against assignments that overload a VM, that concentrate the permits of a shard on few
// VMs, or that move many permits of other VMs when one VM is replaced.
class assignment : public testing::TestWithParam<assignment_case>
{};

TEST_P(assignment, SpreadsEvenlyAndMovesFewPermits)
{
  const assignment_case& row = GetParam();
  SCOPED_TRACE(row.mName);
  const vm_list before = ListOf(row.mVms);
  vm_list after = before;
  after.mVms[row.mVms / 2].mName = "vm-new";
  const permit_assigner assigner(before);
  const permit_assigner assignerAfter(after);
  std::map<std::string, int> load;
  int moves = 0;
  int gained = 0;
  for (const permit_shape& shape : Shapes(row.mShards, row.mReplicas, row.mSlots)) {
    const permit_holders holders = assigner.Assign(shape);
    const permit_holders next = assignerAfter.Assign(shape);
    std::set<std::string> distinct;
    std::set<std::string> leaders;
    for (const auto& [server, held] : holders) {
      ASSERT_EQ(held.size(), row.mSlots);
      leaders.insert(held[0]);
      for (std::uint32_t i = 0; i < row.mSlots; ++i) {
        distinct.insert(held[i]);
        ++load[held[i]];
        gained += next.at(server)[i] == "vm-new" ? 1 : 0;
        moves += held[i] != next.at(server)[i] ? 1 : 0;
      }
    }
    const std::size_t permits = static_cast<std::size_t>(row.mReplicas) * row.mSlots;
    EXPECT_EQ(distinct.size(), std::min<std::size_t>(permits, row.mVms));
    EXPECT_EQ(leaders.size(), std::min(row.mReplicas, row.mVms));
  }
  const double mean = static_cast<double>(row.mShards * row.mReplicas * row.mSlots) / row.mVms;
  const auto busiest = std::max_element(load.begin(), load.end(), [](auto& aLeft, auto& aRight) {
    return aLeft.second < aRight.second;
  });
  EXPECT_LE(busiest->second / mean, row.mMaxLoad);
  const int lost = load["vm-" + std::to_string(row.mVms / 2)];
  EXPECT_LE(moves, row.mMaxMoves * (lost + gained));
  RecordProperty("moves", moves);
}

INSTANTIATE_TEST_SUITE_P(
  permits,
  assignment,
  testing::Values(assignment_case{ "one VM holds everything", 1, 5, 2, 3, 1.0, 1.0 },
                  assignment_case{ "two VMs reach each shard alone", 2, 20, 2, 3, 1.01, 1.5 },
                  assignment_case{ "caseworker-desk at five VMs", 5, 20, 2, 3, 1.3, 2.5 },
                  assignment_case{ "quote-office at five VMs", 5, 30, 2, 2, 1.3, 2.5 },
                  assignment_case{ "hoop-loader, six slots", 5, 1, 4, 6, 1.05, 3.0 },
                  assignment_case{ "target size", 710, 2550, 2, 3, 2.0, 1.1 }),
  [](const auto& aInfo) { return "row" + std::to_string(aInfo.index); });

} // namespace

} // namespace redwingdock
