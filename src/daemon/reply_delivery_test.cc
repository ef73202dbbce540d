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

// The bytes that are unsent at a time; with mReply, a reply of this size is handed over then.
struct delivery_step
{
  milliseconds mAt;
  std::size_t mReply;
  std::size_t mUnsent;
};

struct delivery_row
{
  const char* mGuardsAgainst;
  std::vector<delivery_step> mSteps;
  milliseconds mExpected;
};

class delivery_test : public testing::TestWithParam<delivery_row>
{};

TEST_P(delivery_test, IsExpectedFromWhatWasMeasured)
{
  const delivery_row& row = GetParam();
  reply_delivery delivery;
  for (const delivery_step& step : row.mSteps) {
    const instant now = kStart + step.mAt;
    delivery = step.mReply > 0 ? WithReply(delivery, "", step.mReply, step.mUnsent, now)
                               : WithUnsent(delivery, step.mUnsent, now);
  }
  EXPECT_EQ(ExpectedDelivery(delivery), row.mExpected) << row.mGuardsAgainst;
}

constexpr std::size_t kMegabyte = 1'000'000;

INSTANTIATE_TEST_SUITE_P(
  cases,
  delivery_test,
  testing::Values(
    delivery_row{ "an unused connection is taken for a slow one", {}, milliseconds(0) },
    delivery_row{ "a client that reads at once is taken for a slow one",
                  { { milliseconds(0), kMegabyte, 0 }, { milliseconds(50), kMegabyte, 0 } },
                  milliseconds(0) },
    // 1 MB in 0.5 s while waiting, half of which counts; a next reply of 2 MB follows.
    delivery_row{ "the last reply is forgotten, or the kernel's buffers are taken for empty",
                  { { milliseconds(0), 2 * kMegabyte, kMegabyte },
                    { milliseconds(500), 0, 0 },
                    { milliseconds(900), 0, 0 } },
                  milliseconds(2000) },
    delivery_row{ "a client stays slow although it reads at once now",
                  { { milliseconds(0), 2 * kMegabyte, kMegabyte },
                    { milliseconds(500), 0, 0 },
                    { milliseconds(900), 10, 0 } },
                  milliseconds(0) },
    // 1 MB in 0.5 s while waiting, half of which counts; 1 MB and a next reply of 3 MB are left.
    delivery_row{
      "what the kernel took at once counts as read by the client",
      { { milliseconds(0), 3 * kMegabyte, 2 * kMegabyte }, { milliseconds(500), 0, kMegabyte } },
      milliseconds(4000) },
    delivery_row{ "a reply behind an unread one is expected at once",
                  { { milliseconds(0), 2 * kMegabyte, kMegabyte } },
                  milliseconds(3000) },
    delivery_row{
      "a client that has read nothing for a moment is taken for one that has stopped",
      { { milliseconds(0), 2 * kMegabyte, kMegabyte }, { milliseconds(500), 0, kMegabyte } },
      milliseconds(3000) },
    delivery_row{
      "a client that has stopped reading is expected to read",
      { { milliseconds(0), 2 * kMegabyte, kMegabyte }, { milliseconds(1500), 0, kMegabyte } },
      std::chrono::hours(1) },
    delivery_row{ "other bytes of the connection make the rate huge",
                  { { milliseconds(0), 1000, 1000 }, { milliseconds(1500), 0, 1300 } },
                  std::chrono::milliseconds(2'300'000) }));

} // namespace
} // namespace redwingdock
