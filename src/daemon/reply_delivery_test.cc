#include "daemon/reply_delivery.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

using std::chrono::milliseconds;

const instant kStart{ std::chrono::seconds(100) };

struct unsent_row
{
  const char* mGuardsAgainst;
  std::vector<std::size_t> mHanded; // bytes of each reply; the reply of index i is named "i"
  std::size_t mUnsentMeanwhile;     // after each of them was handed over
  std::size_t mUnsent;
  std::vector<unsent_reply> mExpected;
};

class unsent_test : public testing::TestWithParam<unsent_row>
{};

TEST_P(unsent_test, NamesTheRepliesThatAreNotSent)
{
  const unsent_row& row = GetParam();
  reply_delivery delivery;
  for (std::size_t i = 0; i < row.mHanded.size(); ++i) {
    delivery = WithReply(delivery, std::to_string(i), row.mHanded[i], row.mUnsentMeanwhile, kStart);
  }
  EXPECT_EQ(UnsentReplies(delivery, row.mUnsent), row.mExpected) << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  unsent_test,
  testing::Values(unsent_row{ "a reply that was sent is reported", { 10, 20 }, 0, 0, {} },
                  unsent_row{ "a reply that is partly sent is not reported",
                              { 10, 20 },
                              5,
                              5,
                              { { "1", 5, kStart } } },
                  unsent_row{ "the bytes of a reply behind another one are not counted",
                              { 10, 20 },
                              30,
                              25,
                              { { "0", 5, kStart }, { "1", 20, kStart } } },
                  unsent_row{ "a reply that was sent is kept for the life of the connection",
                              { 10, 10, 10 },
                              0,
                              3,
                              {} },
                  unsent_row{ "other bytes of the connection are taken for replies",
                              { 10 },
                              10,
                              300,
                              { { "0", 10, kStart } } }));

} // namespace
} // namespace redwingdock
