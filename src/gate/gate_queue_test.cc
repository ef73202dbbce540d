#include "gate/gate_queue.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

using std::chrono::milliseconds;

waiting_part Part(std::uint64_t aNumber, urgency aUrgency, int aDeadlineMs)
{
  waiting_part part;
  part.mRequest.mAttempt.mNumber = aNumber;
  part.mRequest.mUrgency = aUrgency;
  part.mRequest.mDeadline = instant(milliseconds(aDeadlineMs));
  return part;
}

std::vector<std::uint64_t> Numbers(const gate_queue& aQueue)
{
  std::vector<std::uint64_t> numbers;
  for (const waiting_part& each : aQueue) {
    numbers.push_back(each.mRequest.mAttempt.mNumber);
  }
  return numbers;
}

struct arrival_row
{
  const char* mGuardsAgainst;
  std::vector<waiting_part> mArrivals; // in this order
  std::size_t mLimit;
  std::vector<std::uint64_t> mQueue;
  std::vector<std::uint64_t> mRemoved;
};

class arrival_test : public testing::TestWithParam<arrival_row>
{};

TEST_P(arrival_test, KeepsOrderAndLimit)
{
  const arrival_row& row = GetParam();
  gate_queue queue;
  std::vector<std::uint64_t> removed;
  for (const waiting_part& part : row.mArrivals) {
    const queue_step step = AfterArrival(queue, part, row.mLimit, DispatchByUrgency);
    queue = step.mQueue;
    for (const std::uint64_t number : Numbers(step.mRemoved)) {
      removed.push_back(number);
    }
  }
  EXPECT_EQ(Numbers(queue), row.mQueue) << row.mGuardsAgainst;
  EXPECT_EQ(removed, row.mRemoved) << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  arrival_test,
  testing::Values(arrival_row{ "an urgent part waits behind a background part",
                               { Part(1, urgency::Background, 10), Part(2, urgency::Urgent, 90) },
                               9,
                               { 2, 1 },
                               {} },
                  arrival_row{ "a part with a near deadline waits behind one with a far deadline",
                               { Part(1, urgency::Normal, 90), Part(2, urgency::Normal, 10) },
                               9,
                               { 2, 1 },
                               {} },
                  arrival_row{ "parts with equal urgency and deadline are reordered",
                               { Part(1, urgency::Normal, 10), Part(2, urgency::Normal, 10) },
                               9,
                               { 1, 2 },
                               {} },
                  arrival_row{ "a full queue sheds an urgent part",
                               { Part(1, urgency::Background, 10),
                                 Part(2, urgency::Urgent, 90),
                                 Part(3, urgency::Urgent, 80) },
                               2,
                               { 3, 2 },
                               { 1 } },
                  arrival_row{ "a full queue accepts a part that is less urgent than all others",
                               { Part(1, urgency::Urgent, 10), Part(2, urgency::Background, 5) },
                               1,
                               { 1 },
                               { 2 } }));

struct shedding_row
{
  const char* mGuardsAgainst;
  gate_queue mQueue;
  std::vector<int> mFreeAtMs;
  int mServiceMs;
  std::vector<std::uint64_t> mRemoved;
};

class shedding_test : public testing::TestWithParam<shedding_row>
{};

TEST_P(shedding_test, RemovesPartsThatComeTooLate)
{
  const shedding_row& row = GetParam();
  std::vector<instant> free;
  for (const int ms : row.mFreeAtMs) {
    free.emplace_back(milliseconds(ms));
  }
  const queue_step step =
    AfterShedding(row.mQueue, free, milliseconds(row.mServiceMs), instant{}, ShedWhenLate);
  EXPECT_EQ(Numbers(step.mRemoved), row.mRemoved) << row.mGuardsAgainst;
  EXPECT_EQ(step.mQueue.size() + step.mRemoved.size(), row.mQueue.size());
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  shedding_test,
  testing::Values(shedding_row{ "a part that can be sent at once is shed for an old service time",
                                { Part(1, urgency::Normal, 10) },
                                { 0 },
                                100,
                                {} },
                  shedding_row{ "a free permit is given to the part that expires first",
                                { Part(1, urgency::Normal, 10), Part(2, urgency::Normal, 30) },
                                { 0 },
                                100,
                                { 1 } },
                  shedding_row{
                    "a part that would miss its deadline is sent instead of the next one",
                    { Part(1, urgency::Normal, 70), Part(2, urgency::Normal, 90) },
                    { 20 },
                    30,
                    { 1 } },
                  shedding_row{ "a part waits behind more parts than can be answered in time",
                                { Part(1, urgency::Urgent, 130),
                                  Part(2, urgency::Urgent, 130),
                                  Part(3, urgency::Urgent, 130) },
                                { 0 },
                                40,
                                { 3 } },
                  shedding_row{ "the expected wait ignores the second permit",
                                { Part(1, urgency::Urgent, 130),
                                  Part(2, urgency::Urgent, 130),
                                  Part(3, urgency::Urgent, 130) },
                                { 0, 10 },
                                40,
                                {} },
                  shedding_row{ "parts are shed while the service time is unknown",
                                { Part(1, urgency::Normal, 100), Part(2, urgency::Normal, 100) },
                                { 50 },
                                0,
                                {} }));

} // namespace
} // namespace redwingdock
