#include "platform/soak/soak_ledger.h"

#include <gtest/gtest.h>

namespace redwingdock::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Times are counted from the SIGTERM, with a grace of 6 s.
constexpr instant kStop{ seconds(100) };

instant At(int aMs)
{
  return kStop + milliseconds(aMs);
}

request_record Request(int aSentMs, int aEndedMs, request_end aEnd, unsigned aStatus = 0)
{
  request_record record;
  record.mId = "r-1";
  record.mSentAt = At(aSentMs);
  record.mEndedAt = At(aEndedMs);
  record.mTimeout = seconds(6);
  record.mEnd = aEnd;
  record.mStatus = aStatus;
  return record;
}

request_record Closed(int aSentMs, int aEndedMs)
{
  return Request(aSentMs, aEndedMs, request_end::Closed);
}

request_record Answered(unsigned aStatus, bool aIsReply = true)
{
  request_record record = Request(0, 90, request_end::Answered, aStatus);
  record.mIsReply = aIsReply;
  return record;
}

request_record WithTimeout(request_record aRecord, milliseconds aTimeout)
{
  aRecord.mTimeout = aTimeout;
  return aRecord;
}

request_record ThatRunsOnce(request_record aRecord)
{
  aRecord.mIdempotent = false;
  return aRecord;
}

replica_run Ran(int aFromMs, int aToMs)
{
  return { .mRequestId = "r-1",
           .mReplica = "i-1",
           .mStartedAt = At(aFromMs),
           .mEndedAt = At(aToMs),
           .mStatus = 200 };
}

replica_run AtWork(int aFromMs)
{
  return { .mRequestId = "r-1", .mReplica = "i-1", .mStartedAt = At(aFromMs) };
}

replica_run Aborted(int aFromMs, int aToMs)
{
  replica_run run = Ran(aFromMs, aToMs);
  run.mStatus = 0;
  run.mAborted = true;
  return run;
}

replica_run BrokenOff(int aFromMs, int aToMs)
{
  replica_run run = Ran(aFromMs, aToMs);
  run.mStatus = 0;
  run.mDisconnected = true;
  return run;
}

process_record Stopped()
{
  return { .mStartedAt = At(-20'000), .mStopAt = kStop, .mEndedAt = At(5900) };
}

process_record Running()
{
  return { .mStartedAt = At(-20'000) };
}

process_record KilledAt(int aMs)
{
  return {
    .mStartedAt = At(-20'000), .mKilledAt = At(aMs), .mEndedAt = At(aMs), .mKillPlanned = true
  };
}

struct judge_row
{
  const char* mName;
  request_record mRequest;
  std::vector<replica_run> mRuns;
  process_record mProcessRecord;
  finding mExpected;
};

class judge_test : public testing::TestWithParam<judge_row>
{};

// Guards against a soak that passes although a promise is broken, or fails although none is.
TEST_P(judge_test, FollowsTheRules)
{
  const judge_row& row = GetParam();
  EXPECT_STREQ(ToString(Judge(row.mRequest, row.mRuns, row.mProcessRecord, soak_bounds{})),
               ToString(row.mExpected));
}

std::string NameOf(const testing::TestParamInfo<judge_row>& aInfo)
{
  return aInfo.param.mName;
}

INSTANTIATE_TEST_SUITE_P(
  at_stop,
  judge_test,
  testing::Values(judge_row{ "forwarded_and_cut",
                             Closed(-50, 20),
                             { Aborted(-40, 20) },
                             Stopped(),
                             finding::LostAtStop },
                  judge_row{ "forwarded_and_cut_within_the_slack",
                             Closed(2000, 2100),
                             { Ran(2010, 2090) },
                             Stopped(),
                             finding::LostAtStop },
                  judge_row{ "not_forwarded_within_the_slack",
                             Closed(2000, 2200),
                             {},
                             Stopped(),
                             finding::Crossed },
                  judge_row{ "not_forwarded_after_the_slack",
                             Closed(2000, 2201),
                             {},
                             Stopped(),
                             finding::LostAtStop },
                  judge_row{ "until_a_second_after_the_grace",
                             Closed(2000, 7000),
                             { Ran(2010, 2100) },
                             Stopped(),
                             finding::LostAtStop },
                  judge_row{ "later_than_that",
                             Closed(2000, 7001),
                             { Ran(2010, 2100) },
                             Stopped(),
                             finding::Lost },
                  judge_row{ "at_work_in_the_last_sixth",
                             Closed(3000, 5600),
                             { Aborted(3010, 5600) },
                             Stopped(),
                             finding::Excused },
                  judge_row{ "at_work_beyond_the_end",
                             Closed(3000, 5600),
                             { AtWork(3010) },
                             Stopped(),
                             finding::Excused },
                  judge_row{ "sent_later_than_three_seconds",
                             Closed(3001, 5600),
                             { Aborted(3010, 5600) },
                             Stopped(),
                             finding::LostAtStop },
                  judge_row{ "work_ended_before_the_last_sixth",
                             Closed(3000, 5600),
                             { Aborted(3010, 4999) },
                             Stopped(),
                             finding::LostAtStop },
                  judge_row{ "replica_answered_in_the_last_sixth",
                             Closed(3000, 5600),
                             { Ran(3010, 5300) },
                             Stopped(),
                             finding::LostAtStop },
                  judge_row{ "cut_before_the_last_sixth_while_the_replica_is_silent",
                             Closed(1000, 4999),
                             { AtWork(1010) },
                             Stopped(),
                             finding::LostAtStop },
                  judge_row{ "deadline_reached",
                             WithTimeout(Closed(1000, 2500), milliseconds(1500)),
                             { AtWork(1010) },
                             Stopped(),
                             finding::Excused },
                  judge_row{ "deadline_not_reached",
                             WithTimeout(Closed(1000, 2499), milliseconds(1500)),
                             { AtWork(1010) },
                             Stopped(),
                             finding::LostAtStop },
                  judge_row{ "replica_broke_off",
                             Closed(1000, 1100),
                             { BrokenOff(1010, 1100) },
                             Stopped(),
                             finding::Excused },
                  judge_row{ "one_of_two_replicas_broke_off",
                             Closed(1000, 1300),
                             { BrokenOff(1010, 1100), Ran(1110, 1200) },
                             Stopped(),
                             finding::LostAtStop }),
  NameOf);

INSTANTIATE_TEST_SUITE_P(
  at_other_times,
  judge_test,
  testing::Values(
    judge_row{ "forwarded_and_cut", Closed(0, 90), { Ran(10, 80) }, Running(), finding::Lost },
    judge_row{ "cut_before_the_stop", Closed(-90, -1), { Ran(-80, -5) }, Stopped(), finding::Lost },
    judge_row{ "crossed_a_close", Closed(0, 200), {}, Running(), finding::Crossed },
    judge_row{ "not_forwarded_after_the_slack", Closed(0, 201), {}, Running(), finding::Lost },
    judge_row{ "silent_replica", Closed(0, 5600), { AtWork(10) }, Running(), finding::Lost },
    judge_row{ "killed", Closed(0, 90), { Aborted(10, 90) }, KilledAt(90), finding::Excused },
    judge_row{ "cut_before_the_kill", Closed(0, 89), { Ran(10, 80) }, KilledAt(90), finding::Lost },
    judge_row{ "gave_up",
               Request(0, 7500, request_end::GaveUp),
               { AtWork(10) },
               Running(),
               finding::Lost },
    judge_row{ "gave_up_after_the_kill",
               Request(0, 7500, request_end::GaveUp),
               {},
               KilledAt(90),
               finding::Excused },
    judge_row{ "gave_up_before_the_kill",
               Request(0, 7500, request_end::GaveUp),
               {},
               KilledAt(7501),
               finding::Lost }),
  NameOf);

INSTANTIATE_TEST_SUITE_P(
  answers,
  judge_test,
  testing::Values(judge_row{ "reply", Answered(200), { Ran(10, 80) }, Running(), finding::Kept },
                  judge_row{ "reply_of_another_request",
                             Answered(200, false),
                             { Ran(10, 80) },
                             Running(),
                             finding::WrongAnswer },
                  judge_row{ "bytes_that_are_no_answer",
                             Request(0, 90, request_end::Malformed),
                             { Ran(10, 80) },
                             Running(),
                             finding::WrongAnswer },
                  judge_row{ "success_without_a_request",
                             Request(0, 0, request_end::Unexpected, 200),
                             {},
                             Running(),
                             finding::WrongAnswer },
                  judge_row{ "refused", ThatRunsOnce(Answered(503)), {}, Running(), finding::Kept },
                  judge_row{ "refused_but_ran_503",
                             ThatRunsOnce(Answered(503)),
                             { Ran(10, 80) },
                             Running(),
                             finding::RefusedButRan },
                  judge_row{ "refused_but_ran_429",
                             ThatRunsOnce(Answered(429)),
                             { Ran(10, 80) },
                             Running(),
                             finding::RefusedButRan },
                  judge_row{ "refused_but_ran_408",
                             ThatRunsOnce(Answered(408)),
                             { Ran(10, 80) },
                             Running(),
                             finding::RefusedButRan },
                  judge_row{ "refused_but_ran_421",
                             ThatRunsOnce(Answered(421)),
                             { Ran(10, 80) },
                             Running(),
                             finding::RefusedButRan },
                  judge_row{ "refused_but_ran_later",
                             ThatRunsOnce(Answered(503)),
                             { Ran(500, 590) },
                             Running(),
                             finding::RefusedButRan },
                  judge_row{ "idempotent_refused_but_ran",
                             Answered(503),
                             { Ran(10, 80) },
                             Running(),
                             finding::Kept },
                  judge_row{ "failed_after_it_ran",
                             ThatRunsOnce(Answered(504)),
                             { Ran(10, 80) },
                             Running(),
                             finding::Kept },
                  judge_row{ "idempotent_ran_twice",
                             Answered(200),
                             { Ran(10, 40), Ran(50, 80) },
                             Running(),
                             finding::Kept },
                  judge_row{ "ran_twice",
                             ThatRunsOnce(Answered(200)),
                             { Ran(10, 40), Ran(50, 80) },
                             Running(),
                             finding::RanTwice },
                  judge_row{ "ran_twice_and_was_cut_by_a_kill",
                             ThatRunsOnce(Closed(0, 90)),
                             { BrokenOff(10, 40), Ran(50, 80) },
                             KilledAt(90),
                             finding::RanTwice }),
  NameOf);

} // namespace
} // namespace redwingdock::platform
