#include "forward/room.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

constexpr std::size_t kLimit = 1'000'000;

// What a kind of bytes uses of kLimit, and what a request needs of it.
struct memory_row
{
  const char* mGuardsAgainst;
  std::size_t mUsed;
  std::size_t mNeeded;
  bool mFits;
};

class memory_room_test : public testing::TestWithParam<memory_row>
{};

TEST_P(memory_room_test, AdmitsWhatThereIsRoomFor)
{
  const memory_row& row = GetParam();
  EXPECT_EQ(
    HasMemory({ .mOpenBytes = row.mUsed, .mOpenLimit = kLimit, .mRequestBytes = row.mNeeded },
              10 * kLimit),
    row.mFits)
    << row.mGuardsAgainst << " (request)";
  EXPECT_EQ(HasMemory({ .mReplyBytes = row.mUsed, .mReplyLimit = kLimit }, row.mNeeded), row.mFits)
    << row.mGuardsAgainst << " (reply)";
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  memory_room_test,
  testing::Values(
    memory_row{ "a single large request is refused in calm", kLimit / 4, kLimit * 3 / 4, true },
    memory_row{ "a request that cannot fit is sent", kLimit / 4, kLimit, false },
    memory_row{ "a large request takes the room of many small ones",
                kLimit / 2,
                kLimit / 4,
                false },
    memory_row{ "a small request is refused beside a crowd", kLimit / 2, 1000, true },
    memory_row{ "a small request is refused with little room left", kLimit - 10'000, 1000, true },
    memory_row{ "a request takes the last room", kLimit - 10'000, 5000, false },
    memory_row{ "a request is sent above the limit", kLimit + 1, 1, false },
    memory_row{ "a request whose reply is not known is refused", kLimit + 1, 0, true }));

struct place_row
{
  const char* mGuardsAgainst;
  std::size_t mConnections; // of 100
  std::size_t mOpen;        // the request included
  std::size_t mOnRoute;
  bool mHasPlace;
};

class place_test : public testing::TestWithParam<place_row>
{};

TEST_P(place_test, LeavesRoomForOtherRoutes)
{
  const place_row& row = GetParam();
  const client_room room{ .mOpenRequests = row.mOpen,
                          .mConnections = row.mConnections,
                          .mMaxConnections = 100 };
  EXPECT_EQ(!IsCrowded(room) || HasPlace(room, row.mOnRoute), row.mHasPlace) << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  place_test,
  testing::Values(
    place_row{ "a burst on kept connections is refused", 90, 90, 89, true },
    place_row{ "few open requests among idle connections are refused", 100, 40, 39, true },
    place_row{ "one route keeps all connections open", 100, 60, 59, false },
    place_row{ "a second route finds no room beside the first", 100, 95, 0, true },
    place_row{ "a second route takes all that is left", 100, 95, 6, false }));

// Guards against a daemon without limits that refuses requests.
TEST(memory_room, AdmitsAllWithoutLimits)
{
  EXPECT_TRUE(HasMemory({ .mOpenBytes = 9, .mReplyBytes = 9, .mRequestBytes = kLimit }, kLimit));
}

// Guards against a single long reply that has requests refused for long.
TEST(reply_sizes_test, ForgetsALongReply)
{
  constexpr std::size_t kLong = 1'000'000;
  constexpr std::size_t kShort = 500;
  reply_sizes sizes = WithReplySize({}, kLong);
  EXPECT_EQ(sizes.mRecentMax, kLong);
  for (int i = 0; i < 50; ++i) {
    sizes = WithReplySize(sizes, kShort);
  }
  EXPECT_LT(sizes.mRecentMax, kLong / 20);
  for (int i = 0; i < 100; ++i) {
    sizes = WithReplySize(sizes, kShort);
  }
  EXPECT_EQ(sizes.mRecentMax, kShort);
}

} // namespace
} // namespace redwingdock
