#include "forward/replica_choice.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const instant kNow{ seconds(100) };
constexpr micros kTypicalLatency = milliseconds(20);

choice_candidate InZone(const std::string& aZone)
{
  auto replica = std::make_shared<replica_entry>();
  replica->mId = "i-" + aZone;
  replica->mZone = aZone;
  replica->mSlots = 2;
  return { replica, {}, 0 };
}

choice_candidate Cold(choice_candidate aCandidate, std::uint32_t aSentThisSecond = 0)
{
  auto replica = std::make_shared<replica_entry>(*aCandidate.mReplica);
  replica->mColdUntil = kNow + seconds(2);
  aCandidate.mReplica = replica;
  aCandidate.mLoad.mSentSecond = 100;
  aCandidate.mLoad.mSentInSecond = aSentThisSecond;
  return aCandidate;
}

choice_candidate WithOpen(choice_candidate aCandidate, std::uint32_t aCount, micros aSince)
{
  for (std::uint32_t i = 0; i < aCount; ++i) {
    aCandidate.mLoad.mOpen.push_back({ { i, 0, 0 }, kNow - aSince, kTypicalLatency });
  }
  return aCandidate;
}

// The candidate after three attempts that took aTook and ended with aEnd at aAgo before kNow.
choice_candidate AfterAttempts(choice_candidate aCandidate,
                               attempt_end aEnd,
                               micros aTook,
                               micros aAgo)
{
  for (std::uint32_t i = 0; i < 3; ++i) {
    const attempt_key key{ i, 0, 0 };
    aCandidate.mLoad = WithSend(aCandidate.mLoad, key, kNow - aAgo - aTook, kTypicalLatency);
    aCandidate.mLoad = WithEnd(aCandidate.mLoad, key, { aEnd }, kNow - aAgo);
  }
  return aCandidate;
}

struct choice_row
{
  const char* mGuardsAgainst;
  std::vector<choice_candidate> mCandidates;
  std::optional<std::size_t> mChosen;
};

class choice_test : public testing::TestWithParam<choice_row>
{};

TEST_P(choice_test, Chosen)
{
  const choice_input input{ kNow, "a", 4, 3 };
  EXPECT_EQ(ChooseReplica(GetParam().mCandidates, input), GetParam().mChosen)
    << GetParam().mGuardsAgainst;
}

constexpr micros kJustNow = milliseconds(10);

INSTANTIATE_TEST_SUITE_P(
  cases,
  choice_test,
  testing::Values(
    choice_row{ "a replica is chosen from an empty list", {}, std::nullopt },
    choice_row{ "unnecessary traffic between zones", { InZone("b"), InZone("a") }, 1 },
    choice_row{ "a paused replica of the own zone is preferred",
                { WithOpen(InZone("a"), 1, milliseconds(80)), InZone("b") },
                1 },
    choice_row{ "a busy replica counts as paused",
                { WithOpen(InZone("a"), 1, milliseconds(10)), InZone("b") },
                0 },
    choice_row{ "a slow replica of the own zone is preferred",
                { AfterAttempts(InZone("a"), attempt_end::Answered, milliseconds(200), kJustNow),
                  InZone("b") },
                1 },
    choice_row{ "a replica that was slow long ago is never tried again",
                { AfterAttempts(InZone("a"), attempt_end::Answered, milliseconds(200), seconds(10)),
                  InZone("b") },
                0 },
    choice_row{
      "a replica that loses attempts is chosen",
      { AfterAttempts(InZone("a"), attempt_end::Lost, kTypicalLatency, kJustNow), InZone("b") },
      1 },
    choice_row{
      "a replica that rejects attempts is chosen",
      { AfterAttempts(InZone("a"), attempt_end::Rejected, kTypicalLatency, kJustNow), InZone("b") },
      1 },
    choice_row{
      "a replica that refuses connections is chosen",
      { AfterAttempts(InZone("a"), attempt_end::NotSent, kTypicalLatency, kJustNow), InZone("b") },
      1 },
    choice_row{ "the only replica is not tried because it failed",
                { AfterAttempts(InZone("a"), attempt_end::NotSent, kTypicalLatency, kJustNow) },
                0 },
    choice_row{ "a cold replica is preferred to a warm one",
                { Cold(InZone("a")), Cold(InZone("b"), 3), InZone("a") },
                2 },
    choice_row{ "a cold replica gets more than its share", { Cold(InZone("a"), 3) }, std::nullopt },
    choice_row{
      "more connections are opened than the daemon's share",
      { WithOpen(InZone("a"), 4, milliseconds(1)), WithOpen(InZone("b"), 4, milliseconds(1)) },
      std::nullopt },
    choice_row{ "all concurrent requests go to one replica",
                { WithOpen(InZone("a"), 3, milliseconds(1)), InZone("b") },
                1 }));

} // namespace
} // namespace redwingdock
