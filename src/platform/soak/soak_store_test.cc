#include "platform/soak/soak_store.h"

#include <algorithm>
#include <future>
#include <gtest/gtest.h>

namespace redwingdock::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const acknowledged_change kVersion{ change_kind::Version, "", 2 };
const acknowledged_change kLeaves{ change_kind::ReplicaLeaves, "i-1" };
const acknowledged_change kCloses{ change_kind::ZoneCloses, "zone-1" };

struct return_row
{
  const char* mName;
  store_return mReturn;
  std::string mKey;
  acknowledged_change mChange;
  bool mBeforeTheCopy = false;
  bool mWhileAway = false;
  std::size_t mTimesLost = 0;
  std::size_t mTimesKept = 0;
};

class soak_store_test : public testing::TestWithParam<return_row>
{
protected:
  soak_store_test() { mLoop.Start(); }
  ~soak_store_test() override { mLoop.Stop(); }

  std::size_t Count(bool aLost) const
  {
    const std::vector<acknowledged_change> changes = mStore.Changes();
    return static_cast<std::size_t>(
      std::count_if(changes.begin(), changes.end(), [aLost](const acknowledged_change& aChange) {
        return (aChange.mLostAt != kNever) == aLost;
      }));
  }

  void WaitFor(micros aTime)
  {
    std::promise<void> elapsed;
    mLoop.After(aTime, [&elapsed] { elapsed.set_value(); });
    elapsed.get_future().wait();
  }

  io_loop mLoop{ 2 };
  soak_store mStore{ mLoop, true };
};

// Guards against a soak that judges changes which the store lost and nobody wrote again, and one
// that judges none after a return.
TEST_P(soak_store_test, KnowsWhatWasLostAndWritesItAgain)
{
  const return_row& row = GetParam();
  const auto write = [&] { mStore.Write(row.mKey, "{}", row.mChange); };
  if (row.mBeforeTheCopy) {
    write();
  }
  WaitFor(milliseconds(2));
  mStore.TakeCopy(row.mReturn.mWrites);
  WaitFor(milliseconds(2));
  if (!row.mBeforeTheCopy && !row.mWhileAway) {
    write();
  }
  mStore.Return(row.mReturn);
  if (row.mWhileAway) {
    write();
    EXPECT_EQ(Count(false), 0U);
  }
  const auto ended = [&] {
    return Count(true) >= row.mTimesLost && Count(false) >= row.mTimesKept &&
           mStore.Disturbances().front().mTo != kNever;
  };
  for (const instant latest = SteadyNow() + seconds(3); !ended() && SteadyNow() < latest;) {
    WaitFor(milliseconds(5));
  }
  EXPECT_EQ(Count(true), row.mTimesLost);
  EXPECT_EQ(Count(false), row.mTimesKept);
  ASSERT_EQ(mStore.Disturbances().size(), 1U);
  EXPECT_GE(mStore.Disturbances().front().mTo - mStore.Disturbances().front().mFrom,
            row.mReturn.mAway);
  EXPECT_NE(mStore.Disturbances().front().mTo, kNever);
}

const store_return kSoon{ .mReplicaDelay = milliseconds(30), .mOperatorDelay = milliseconds(50) };
const store_return kAway{ .mAway = milliseconds(60),
                          .mReplicaDelay = milliseconds(10),
                          .mOperatorDelay = milliseconds(10) };

INSTANTIATE_TEST_SUITE_P(
  cases,
  soak_store_test,
  testing::Values(
    return_row{ "in_the_copy", kSoon, "op/config", kVersion, true, false, 0, 1 },
    return_row{ "version_lost", kSoon, "op/config", kVersion, false, false, 1, 1 },
    return_row{ "replica_lost", kSoon, "servers/i-1", kLeaves, false, false, 1, 1 },
    return_row{ "zone_lost", kSoon, "op/evacuate/zone-1", kCloses, false, false, 1, 1 },
    return_row{ "lost_while_away", kAway, "op/config", kVersion, false, false, 1, 1 },
    return_row{ "written_while_away", kAway, "op/config", kVersion, false, true, 0, 1 }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

} // namespace
} // namespace redwingdock::platform
