#include "standin/platform.h"

#include <gtest/gtest.h>

namespace redwingdock::standin {
namespace {

using std::chrono::milliseconds;
using texts = std::vector<std::string>;

published_table Table(std::uint64_t aRevision)
{
  static const auto kText = std::make_shared<const std::string>("text");
  return { aRevision, kText };
}

std::string Summary(const platform_command& aCommand)
{
  if (const auto* table = std::get_if<reply_table>(&aCommand)) {
    return std::to_string(table->mRequest) + ": " + std::to_string(table->mStatus) + " r" +
           std::to_string(table->mTable.mRevision) + (table->mTable.mText ? " text" : "");
  }
  if (const auto* watch = std::get_if<schedule_watch_timeout>(&aCommand)) {
    return std::to_string(watch->mRequest) + ": waits " + std::to_string(ToMs(watch->mDelay));
  }
  return std::get<set_platform_listening>(aCommand).mOpen ? "open" : "close";
}

table_requested Read(std::uint64_t aRequest)
{
  return { aRequest, table_kind::Pools, std::nullopt, micros(0) };
}

table_requested Watch(std::uint64_t aRequest, std::uint64_t aAfter)
{
  return { aRequest, table_kind::Pools, aAfter, milliseconds(900) };
}

publish_table Publish(std::uint64_t aRevision)
{
  return { table_kind::Pools, Table(aRevision) };
}

set_platform Set(service_mode aMode, bool aStale = false)
{
  return { aMode, aStale, micros(0) };
}

struct script_step
{
  platform_event mEvent;
  texts mCommands;
};

struct script_row
{
  const char* mGuardsAgainst;
  std::vector<script_step> mSteps;
};

class platform_test : public testing::TestWithParam<script_row>
{};

// Each script starts with revision 5 of the pools table.
TEST_P(platform_test, EmitsTheCommands)
{
  platform_state state;
  state.mTables[table_kind::Pools] = state.mServed[table_kind::Pools] = Table(5);
  int number = 0;
  for (const script_step& step : GetParam().mSteps) {
    platform_step next = Step(state, step.mEvent, instant(milliseconds(number)));
    texts commands;
    for (const platform_command& command : next.mCommands) {
      commands.push_back(Summary(command));
    }
    EXPECT_EQ(commands, step.mCommands) << GetParam().mGuardsAgainst << ", step " << number;
    state = std::move(next.mState);
    ++number;
  }
}

const texts kNothing;

INSTANTIATE_TEST_SUITE_P(
  rows,
  platform_test,
  testing::Values(
    script_row{ "a watch waits although a newer table is already published",
                { { Read(1), { "1: 200 r5 text" } },
                  { Watch(2, 4), { "2: 200 r5 text" } },
                  { Watch(3, 5), { "3: waits 900" } },
                  { Publish(6), { "3: 200 r6 text" } },
                  { watch_timed_out{ 3 }, kNothing } } },
    script_row{
      "a watch that times out reports no revision",
      { { Watch(1, 5), { "1: waits 900" } }, { watch_timed_out{ 1 }, { "1: 204 r5" } } } },
    script_row{ "a reply is sent to a disconnected reader",
                { { Watch(1, 5), { "1: waits 900" } },
                  { reader_disconnected{ 1 }, kNothing },
                  { Publish(6), kNothing } } },
    script_row{ "readers get a newer table while the service is stale, or miss it afterwards",
                { { Set(service_mode::Ok, true), kNothing },
                  { Watch(1, 5), { "1: waits 900" } },
                  { Publish(6), kNothing },
                  { Read(2), { "2: 200 r5 text" } },
                  { Set(service_mode::Ok, false), { "1: 200 r6 text" } } } },
    script_row{ "the service replies while it is off",
                { { Watch(1, 5), { "1: waits 900" } },
                  { Set(service_mode::Off), { "close" } },
                  { Publish(6), kNothing },
                  { Set(service_mode::Ok), { "open" } },
                  { Read(2), { "2: 200 r6 text" } } } },
    script_row{
      "the service replies while it hangs",
      { { Set(service_mode::Hang), kNothing }, { Read(1), kNothing }, { Watch(2, 0), kNothing } } },
    script_row{ "the error mode serves tables",
                { { Set(service_mode::Error), kNothing }, { Read(1), { "1: 500 r0" } } } },
    script_row{ "a restored backup with a lower revision ends watches",
                { { Watch(1, 5), { "1: waits 900" } },
                  { Publish(3), kNothing },
                  { Read(2), { "2: 200 r3 text" } } } }));

// Guards against a peak of reads per second that sums over more than one second.
TEST(platform, CountsReadsPerSecond)
{
  platform_state state;
  for (const int ms : { 5000, 5100, 5999, 6001, 6002 }) {
    state = Step(state, Read(1), instant(milliseconds(ms))).mState;
  }
  EXPECT_EQ(state.mCounts.mReads.at(table_kind::Pools), 5U);
  EXPECT_EQ(state.mCounts.mPeakReadsPerSecond, 3U);
}

} // namespace
} // namespace redwingdock::standin
