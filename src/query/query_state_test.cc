#include "query/query_state.h"

#include "base/hash.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

std::string IdIn(std::uint32_t aFrom, std::uint32_t aTo)
{
  for (int i = 0;; ++i) {
    std::string id = "case-" + std::to_string(i);
    if (PositionOf(id) >= aFrom && PositionOf(id) < aTo) {
      return id;
    }
  }
}

// Two parts on map 3 with one open attempt each, of numbers 1 and 2.
query_state TwoParts(std::uint64_t aVersion)
{
  query_state state;
  state.mVersion = aVersion;
  state.mMap = 3;
  for (std::uint32_t i = 0; i < 2; ++i) {
    part_state part;
    part.mPool = "desk";
    part.mShard = "shard-" + std::to_string(i);
    part.mRanges = { { i * kPositions / 2, (i + 1) * kPositions / 2 } };
    state.mParts.push_back(part);
  }
  for (std::uint32_t i = 0; i < 2; ++i) {
    attempt_state attempt;
    attempt.mNumber = i + 1;
    attempt.mServer = "s" + std::to_string(i);
    state = AddAttempt(state, i, attempt);
  }
  return state;
}

part_reply Answered(std::uint64_t aAttempt, std::uint64_t aVersion, std::uint32_t aMap)
{
  const auto index = static_cast<std::uint32_t>(aAttempt - 1) % 2;
  part_reply reply;
  reply.mAttempt.mNumber = aAttempt;
  reply.mResult = part_result::Answered;
  reply.mServer = "s" + std::to_string(index);
  reply.mShard = "shard-" + std::to_string(index);
  reply.mVersion = aVersion;
  reply.mMap = aMap;
  reply.mRecords = { { IdIn(index * kPositions / 2, (index + 1) * kPositions / 2), {} } };
  return reply;
}

part_reply Failed(std::uint64_t aAttempt, part_result aResult, part_failure aFailure)
{
  part_reply reply = Answered(aAttempt, 0, 0);
  reply.mRecords = {};
  reply.mResult = aResult;
  reply.mFailure = aFailure;
  return reply;
}

part_reply WithShard(part_reply aReply, const std::string& aShard)
{
  aReply.mShard = aShard;
  return aReply;
}

part_reply WithServer(part_reply aReply, const std::string& aServer)
{
  aReply.mServer = aServer;
  return aReply;
}

part_reply WithForeignRecord(part_reply aReply)
{
  aReply.mRecords = { aReply.mRecords[0], { IdIn(kPositions / 2, kPositions), {} } };
  return aReply;
}

struct answer_row
{
  const char* mGuardsAgainst;
  std::uint64_t mVersion; // of the plan; 0 when unknown
  std::vector<part_reply> mReplies;
  outcome mOutcome;
  std::uint32_t mCovered;
  std::size_t mRecords;
};

class answer_test : public testing::TestWithParam<answer_row>
{};

TEST_P(answer_test, AfterDeadline)
{
  const answer_row& row = GetParam();
  query_state state = TwoParts(row.mVersion);
  for (const part_reply& reply : row.mReplies) {
    state = ApplyReply(state, reply);
  }
  const query_answer answer = MakeAnswer(FailOpenParts(state, { "gather", "", "deadline" }));
  EXPECT_EQ(answer.mOutcome, row.mOutcome) << row.mGuardsAgainst;
  EXPECT_EQ(answer.mCoverage.mCovered, row.mCovered) << row.mGuardsAgainst;
  EXPECT_EQ(answer.mRecords.size(), row.mRecords) << row.mGuardsAgainst;
  EXPECT_EQ(answer.mCoverage.mMissing.empty(), row.mOutcome == outcome::Complete);
}

const std::uint32_t kHalf = kPositions / 2;

INSTANTIATE_TEST_SUITE_P(
  rows,
  answer_test,
  testing::Values(answer_row{ "complete answer is reported partial",
                              41,
                              { Answered(1, 41, 3), Answered(2, 41, 3) },
                              outcome::Complete,
                              kPositions,
                              2 },
                  answer_row{ "order of replies changes the answer",
                              41,
                              { Answered(2, 41, 3), Answered(1, 41, 3) },
                              outcome::Complete,
                              kPositions,
                              2 },
                  answer_row{ "repeated reply is counted twice",
                              41,
                              { Answered(1, 41, 3), Answered(1, 41, 3) },
                              outcome::Partial,
                              kHalf,
                              1 },
                  answer_row{ "answer mixes index versions",
                              41,
                              { Answered(1, 41, 3), Answered(2, 40, 3) },
                              outcome::Partial,
                              kHalf,
                              1 },
                  answer_row{ "answer mixes index versions when the plan knew none",
                              0,
                              { Answered(1, 41, 3), Answered(2, 40, 3) },
                              outcome::Partial,
                              kHalf,
                              1 },
                  answer_row{ "answer mixes partition maps",
                              41,
                              { Answered(1, 41, 3), Answered(2, 41, 4) },
                              outcome::Partial,
                              kHalf,
                              1 },
                  answer_row{ "reply of another shard is accepted",
                              41,
                              { Answered(1, 41, 3), WithShard(Answered(2, 41, 3), "shard-0") },
                              outcome::Partial,
                              kHalf,
                              1 },
                  answer_row{ "reply of another server is accepted",
                              41,
                              { Answered(1, 41, 3), WithServer(Answered(2, 41, 3), "s0") },
                              outcome::Partial,
                              kHalf,
                              1 },
                  answer_row{ "record is counted from two shards",
                              41,
                              { WithForeignRecord(Answered(1, 41, 3)), Answered(2, 41, 3) },
                              outcome::Partial,
                              kHalf,
                              1 },
                  answer_row{ "reply to an unknown attempt is accepted",
                              41,
                              { Answered(7, 41, 3) },
                              outcome::Unknown,
                              0,
                              0 },
                  answer_row{ "outcome is NotRun although an attempt stayed open",
                              41,
                              { Failed(1, part_result::NotRun, part_failure::Shed) },
                              outcome::Unknown,
                              0,
                              0 },
                  answer_row{ "outcome is not NotRun although all servers refused",
                              41,
                              { Failed(1, part_result::NotRun, part_failure::Shed),
                                Failed(2, part_result::NotRun, part_failure::Draining) },
                              outcome::NotRun,
                              0,
                              0 },
                  answer_row{ "outcome is NotRun after a lost connection",
                              41,
                              { Failed(1, part_result::NotRun, part_failure::Shed),
                                Failed(2, part_result::Unknown, part_failure::ConnectionLost) },
                              outcome::Unknown,
                              0,
                              0 }));

struct lost_row
{
  const char* mGuardsAgainst;
  std::vector<part_reply> mReplies;
  bool mFinished;
};

class lost_test : public testing::TestWithParam<lost_row>
{};

// A part whose server was lost waits until another part of its pool is answered, which shows that
// the request is harmless.
TEST_P(lost_test, Finished)
{
  query_state state = TwoParts(41);
  for (const part_reply& reply : GetParam().mReplies) {
    state = ApplyReply(state, reply);
  }
  EXPECT_EQ(IsFinished(state), GetParam().mFinished) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  lost_test,
  testing::Values(lost_row{ "query finishes while a part can still be answered",
                            { Failed(1, part_result::Unknown, part_failure::ConnectionLost) },
                            false },
                  lost_row{ "query waits forever after every server was lost",
                            { Failed(1, part_result::Unknown, part_failure::ConnectionLost),
                              Failed(2, part_result::Unknown, part_failure::ConnectionLost) },
                            true },
                  lost_row{ "lost part of a harmless request is not resent",
                            { Failed(1, part_result::Unknown, part_failure::ConnectionLost),
                              Answered(2, 41, 3) },
                            false }));

struct harmless_row
{
  const char* mGuardsAgainst;
  std::string mSecondPool;
  std::vector<part_reply> mReplies;
  bool mHarmless;
};

class harmless_test : public testing::TestWithParam<harmless_row>
{};

TEST_P(harmless_test, Classified)
{
  query_state state = TwoParts(41);
  state.mParts[1].mPool = GetParam().mSecondPool;
  for (const part_reply& reply : GetParam().mReplies) {
    state = ApplyReply(state, reply);
  }
  EXPECT_EQ(IsHarmless(state), GetParam().mHarmless) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  harmless_test,
  testing::Values(harmless_row{ "harmless request stays suspected",
                                "desk",
                                { Failed(1, part_result::Unknown, part_failure::ConnectionLost),
                                  Answered(2, 41, 3) },
                                true },
                  harmless_row{
                    "request that crashes one pool is cleared by the answer of another pool",
                    "ledger",
                    { Failed(1, part_result::Unknown, part_failure::ConnectionLost),
                      Answered(2, 41, 3) },
                    false },
                  harmless_row{ "request is cleared before any answer", "desk", {}, false }));

} // namespace
} // namespace redwingdock
