#include "client/call_policy.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

using std::chrono::milliseconds;

struct decide_row
{
  const char* mGuardsAgainst;
  call_state mState;
  call_event mEvent;
  outcome mAnswered;
  call_step mStep;
  outcome mOutcome; // expected after Finish
  bool mAvoidsAddress;
};

class decide_test : public testing::TestWithParam<decide_row>
{};

TEST_P(decide_test, Decides)
{
  const decide_row& row = GetParam();
  call_decision next = DecideCall(row.mState, row.mEvent, row.mAnswered);
  EXPECT_EQ(next.mStep, row.mStep) << row.mGuardsAgainst;
  EXPECT_EQ(next.mAvoidAddress, row.mAvoidsAddress) << row.mGuardsAgainst;
  if (row.mStep == call_step::Finish) {
    EXPECT_EQ(next.mOutcome, row.mOutcome) << row.mGuardsAgainst;
  }
}

call_state State(operation aOperation, int aAttempts, bool aMayHaveRun, int aRemainingMs = 500)
{
  return { .mOperation = aOperation,
           .mAttempts = aAttempts,
           .mMayHaveRun = aMayHaveRun,
           .mRemaining = milliseconds(aRemainingMs) };
}

call_state BudgetExhausted()
{
  call_state state = State(operation::Search, 1, false);
  state.mRepeatAllowed = false;
  return state;
}

constexpr operation kSearch = operation::Search;
constexpr operation kSubmit = operation::Submit;
constexpr call_step kFinish = call_step::Finish;
constexpr call_step kSameKey = call_step::RetryWithSameKey;
constexpr call_step kNewKey = call_step::RetryWithNewKey;

INSTANTIATE_TEST_SUITE_P(
  rows,
  decide_test,
  testing::Values(
    decide_row{ "a call with a complete answer is retried",
                State(kSearch, 1, false),
                call_event::Answered,
                outcome::Complete,
                kFinish,
                outcome::Complete,
                false },
    decide_row{ "a partial answer is discarded after an attempt that was lost",
                State(kSubmit, 2, true),
                call_event::Answered,
                outcome::Partial,
                kFinish,
                outcome::Partial,
                false },
    decide_row{ "not_run is not retried",
                State(kSubmit, 1, false),
                call_event::Answered,
                outcome::NotRun,
                kNewKey,
                outcome::NotRun,
                false },
    decide_row{ "a new key after an attempt that may have run makes the submit run twice",
                State(kSubmit, 2, true),
                call_event::Answered,
                outcome::NotRun,
                kSameKey,
                outcome::Unknown,
                false },
    decide_row{ "not_run of another daemon hides that the first attempt may have run",
                State(kSubmit, 3, true),
                call_event::Answered,
                outcome::NotRun,
                kFinish,
                outcome::Unknown,
                false },
    decide_row{ "rejected of a later attempt hides that the first may have run",
                State(kSubmit, 2, true),
                call_event::Answered,
                outcome::Rejected,
                kFinish,
                outcome::Unknown,
                false },
    decide_row{ "unlimited retries of not_run multiply the load",
                BudgetExhausted(),
                call_event::Answered,
                outcome::NotRun,
                kFinish,
                outcome::NotRun,
                false },
    decide_row{ "not_run is retried when too little time is left",
                State(kSearch, 1, false, 10),
                call_event::Answered,
                outcome::NotRun,
                kFinish,
                outcome::NotRun,
                false },
    decide_row{ "unknown is retried",
                State(kSubmit, 1, false),
                call_event::Answered,
                outcome::Unknown,
                kFinish,
                outcome::Unknown,
                false },
    decide_row{ "a submit that was not sent keeps a key whose owner is down",
                State(kSubmit, 1, false),
                call_event::NotConnected,
                outcome::Unknown,
                kNewKey,
                outcome::NotRun,
                true },
    decide_row{ "a refused connection changes the key of an attempt that may have run",
                State(kSubmit, 2, true),
                call_event::NotConnected,
                outcome::Unknown,
                kSameKey,
                outcome::Unknown,
                true },
    decide_row{ "a call that never connected ends as unknown",
                State(kSearch, 3, false),
                call_event::NotConnected,
                outcome::Unknown,
                kFinish,
                outcome::NotRun,
                true },
    decide_row{ "a lost submit gets a new key",
                State(kSubmit, 1, false),
                call_event::ConnectionLost,
                outcome::Unknown,
                kSameKey,
                outcome::Unknown,
                true },
    decide_row{ "a lost search is not retried",
                State(kSearch, 1, false),
                call_event::ConnectionLost,
                outcome::Unknown,
                kSameKey,
                outcome::Unknown,
                true },
    decide_row{ "a lost submit ends as not_run",
                State(kSubmit, 3, false),
                call_event::ConnectionLost,
                outcome::Unknown,
                kFinish,
                outcome::Unknown,
                true },
    decide_row{ "a silent VM is not avoided",
                State(kSearch, 1, false),
                call_event::Silent,
                outcome::Unknown,
                kSameKey,
                outcome::Unknown,
                true },
    decide_row{ "a VM that responds is avoided after one slow answer",
                State(kSearch, 1, false),
                call_event::StalledReply,
                outcome::Unknown,
                kSameKey,
                outcome::Unknown,
                false },
    decide_row{ "retries of slow calls to an overloaded fleet multiply the load",
                BudgetExhausted(),
                call_event::StalledReply,
                outcome::Unknown,
                kFinish,
                outcome::Unknown,
                false },
    decide_row{ "an expired call is retried",
                State(kSearch, 1, false, 0),
                call_event::ConnectionLost,
                outcome::Unknown,
                kFinish,
                outcome::Unknown,
                true },
    decide_row{ "a truncated answer is accepted as the result",
                State(kSubmit, 1, false),
                call_event::InvalidAnswer,
                outcome::Complete,
                kSameKey,
                outcome::Unknown,
                false }));

struct entry_row
{
  const char* mGuardsAgainst;
  std::optional<cached_entry> mEntry;
  int mNowMs;
  int mAvoidUntilMs;
  bool mUsable;
};

class entry_test : public testing::TestWithParam<entry_row>
{};

TEST_P(entry_test, Holds)
{
  const entry_row& row = GetParam();
  EXPECT_EQ(IsEntryUsable(row.mEntry,
                          instant(milliseconds(row.mNowMs)),
                          instant(milliseconds(row.mAvoidUntilMs))),
            row.mUsable)
    << row.mGuardsAgainst;
}

const cached_entry kCached{ { "vm-1", "127.0.0.1:1", milliseconds(100), "vm-1.a." },
                            instant(milliseconds(100)) };

INSTANTIATE_TEST_SUITE_P(
  rows,
  entry_test,
  testing::Values(entry_row{ "a missing answer is used", std::nullopt, 0, 0, false },
                  entry_row{ "each call requests an entry VM", kCached, 99, 0, true },
                  entry_row{ "an expired answer is used", kCached, 100, 0, false },
                  entry_row{ "an address that failed is used at once", kCached, 50, 60, false },
                  entry_row{ "a failed address is avoided forever", kCached, 60, 60, true }));

struct order_row
{
  const char* mGuardsAgainst;
  std::set<std::string> mAvoided;
};

class order_test : public testing::TestWithParam<order_row>
{};

TEST_P(order_test, AsksAllAndAvoidedOnesLast)
{
  std::vector<std::string> daemons{ "a:1", "b:1", "c:1", "d:1", "e:1" };
  const std::set<std::string>& avoided = GetParam().mAvoided;
  std::set<std::string> firsts;
  for (int caller = 0; caller < 50; ++caller) {
    std::vector<std::string> order = EntryRequestOrder(daemons, avoided, std::to_string(caller));
    EXPECT_EQ(std::set<std::string>(order.begin(), order.end()).size(), daemons.size());
    firsts.insert(order.front());
    bool seen = false;
    for (const std::string& each : order) {
      seen = seen || avoided.contains(each);
      EXPECT_EQ(seen, avoided.contains(each)) << GetParam().mGuardsAgainst;
    }
  }
  EXPECT_EQ(firsts.size(), daemons.size() - avoided.size()) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(rows,
                         order_test,
                         testing::Values(order_row{ "all callers ask the same daemon", {} },
                                         order_row{ "a failed daemon is asked first",
                                                    { "b:1", "d:1" } }));

} // namespace
} // namespace redwingdock
