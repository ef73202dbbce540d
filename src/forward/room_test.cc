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
