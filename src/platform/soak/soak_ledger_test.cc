#include "platform/soak/soak_ledger.h"

#include <csignal>
#include <gtest/gtest.h>

namespace redwingdock::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr instant kStop{ seconds(100) };

instant At(int aMs)
{
  return kStop + milliseconds(aMs);
}

struct process_row
{
  const char* mName;
  process_record mProcessRecord;
  bool mEndedByItself;
  bool mExceededItsGrace;
};

class process_test : public testing::TestWithParam<process_row>
{};

TEST_P(process_test, TellsHowAProcessEnded)
{
  EXPECT_EQ(EndedByItself(GetParam().mProcessRecord), GetParam().mEndedByItself);
  EXPECT_EQ(ExceededItsGrace(GetParam().mProcessRecord), GetParam().mExceededItsGrace);
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  process_test,
  testing::Values(
    process_row{ "running", { .mStartedAt = At(0) }, false, false },
    process_row{ "stopped",
                 { .mStartedAt = At(-20'000), .mStopAt = kStop, .mEndedAt = At(5900) },
                 false,
                 false },
    process_row{
      "killed",
      { .mStartedAt = At(0), .mKilledAt = At(90), .mEndedAt = At(90), .mKillPlanned = true },
      false,
      false },
    process_row{
      "by_a_reload_before_main",
      { .mStartedAt = At(0), .mEndedAt = At(4), .mEndSignal = SIGHUP, .mReloadedBeforeMain = true },
      false,
      false },
    process_row{ "by_a_reload_in_main",
                 { .mStartedAt = At(0), .mEndedAt = At(4), .mEndSignal = SIGHUP },
                 true,
                 false },
    process_row{ "after_a_reload_before_main",
                 { .mStartedAt = At(0), .mEndedAt = At(300), .mReloadedBeforeMain = true },
                 true,
                 false },
    process_row{ "ended", { .mStartedAt = At(0), .mEndedAt = At(300) }, true, false },
    process_row{
      "after_its_grace",
      { .mStartedAt = At(-20'000), .mStopAt = kStop, .mKilledAt = At(6000), .mEndedAt = At(6001) },
      false,
      true }),
  [](const auto& aInfo) { return std::string(aInfo.param.mName); });

// Guards against runs or processes that are counted for another request.
TEST(judge_all_test, JoinsRequestsRunsAndProcesses)
{
  const process_record first{ .mDaemon = 1, .mStopAt = At(0), .mEndedAt = At(5000) };
  const process_record second{ .mDaemon = 1, .mStartedAt = At(5500), .mEndedAt = At(9000) };
  request_record cut{ .mId = "r-1", .mDaemon = 1, .mSentAt = At(6000), .mEndedAt = At(6090) };
  cut.mTimeout = seconds(6);
  cut.mEnd = request_end::Closed;
  request_record refused = cut;
  refused.mId = "r-2";
  refused.mEnd = request_end::Answered;
  refused.mStatus = 503;
  const replica_run ran{ .mRequestId = "r-1", .mStartedAt = At(6010), .mEndedAt = At(6080) };
  const soak_result result = JudgeAll({ { cut, refused }, { ran }, { first, second } }, {});
  EXPECT_EQ(result.Count(finding::Lost), 1U);
  EXPECT_EQ(result.Count(finding::LostAtStop), 0U);
  EXPECT_EQ(result.Count(finding::Kept), 1U);
  EXPECT_EQ(result.mRefused, 1U);
  EXPECT_EQ(result.mEndedByThemselves, 1U);
  EXPECT_FALSE(result.IsClean());
}

struct clean_row
{
  finding mFound;
  bool mClean;
};

class clean_test : public testing::TestWithParam<clean_row>
{};

TEST_P(clean_test, FailsForEachBrokenPromise)
{
  soak_result result;
  result.mCounts[GetParam().mFound] = 1;
  EXPECT_EQ(result.IsClean(), GetParam().mClean) << ToString(GetParam().mFound);
}

INSTANTIATE_TEST_SUITE_P(cases,
                         clean_test,
                         testing::Values(clean_row{ finding::Kept, true },
                                         clean_row{ finding::Crossed, true },
                                         clean_row{ finding::Excused, true },
                                         clean_row{ finding::LostAtStop, false },
                                         clean_row{ finding::Lost, false },
                                         clean_row{ finding::RanTwice, false },
                                         clean_row{ finding::RefusedButRan, false },
                                         clean_row{ finding::WrongAnswer, false },
                                         clean_row{ finding::OlderVersion, false },
                                         clean_row{ finding::WentBack, false },
                                         clean_row{ finding::ReachedLeaving, false },
                                         clean_row{ finding::ReachedClosedZone, false }));

} // namespace
} // namespace redwingdock::platform
