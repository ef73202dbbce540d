#include "membership/test_fleet.h"

#include <gtest/gtest.h>

namespace redwingdock {

namespace {

using std::chrono::seconds;

std::size_t UsablePermits(const test_fleet& aFleet, int aProcess)
{
  const core_context& core = *aFleet.Process(aProcess).mCore;
  const auto view = core.mBoard.Read<member_view>(kMembersKey);
  std::size_t usable = 0;
  for (const auto& [server, permits] : core.mBoard.List<server_permits>()) {
    for (const permit& each : permits->mPermits) {
      usable += view && MayUsePermit(each, *view, core.Now()) ? 1 : 0;
    }
  }
  return usable;
}

TEST(start, AllPermitsAreUsableWithinTwoSecondsOfAColdStart)
{
  test_fleet fleet({});
  fleet.Publish(table_kind::Vms, 1, fleet.VmTable(1, { 0, 1, 2, 3, 4 }));
  fleet.Publish(table_kind::Routes, 1, fleet.RoutesTable(1, { "main" }));
  fleet.Publish(table_kind::Pools, 1, fleet.PoolsTable(1, { "main" }));
  fleet.StartAll();
  fleet.RunUntil(seconds(2));
  std::size_t usable = 0;
  for (int i = 0; i < 5; ++i) {
    usable += UsablePermits(fleet, i);
  }
  EXPECT_EQ(usable, 24U);
}

} // namespace

} // namespace redwingdock
