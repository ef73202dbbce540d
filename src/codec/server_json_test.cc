#include "codec/server_json.h"

#include <gtest/gtest.h>
#include <random>

namespace redwingdock {
namespace {

part_request Request(std::uint64_t aVersion = 41)
{
  part_request request;
  request.mAttempt = { "vm-1.5f2c", 1234567 };
  request.mServer = "cw-03a";
  request.mPool = "caseworker-desk";
  request.mShard = "cw-03";
  request.mVersion = aVersion;
  request.mFilter = { { "office", "Solola" } };
  request.mUrgency = urgency::Urgent;
  return request;
}

constexpr char kAnswer[] =
  R"({"attempt":"vm-1.5f2c#1234567","server":"cw-03a","shard":"cw-03","version":41,"map":3,)"
  R"("records":[{"id":"case-17","fields":{"office":"Solola"}}],)"
  R"("evidence":{"instance":"cw-03a-2","mode":"warm","versions":[{"version":41,"map":3},{"version":40,"map":3}]}})";

constexpr char kRefusal[] =
  R"({"attempt":"vm-1.5f2c#1234567","server":"cw-03a","shard":"cw-03","not_run":true,)"
  R"("refusal":"shed","text":"4 of 3 slots",)"
  R"("evidence":{"instance":"cw-03a-2","mode":"cold","versions":[]}})";

std::string Replaced(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  const std::size_t at = aText.find(aFrom);
  EXPECT_NE(at, std::string::npos) << aFrom;
  return aText.replace(at, aFrom.size(), aTo);
}

TEST(server_json_test, ReadsAnAnswer)
{
  const part_reply reply = ParsePartReply(Request(), 200, kAnswer);
  part_reply expected;
  expected.mAttempt = Request().mAttempt;
  expected.mResult = part_result::Answered;
  expected.mServer = "cw-03a";
  expected.mShard = "cw-03";
  expected.mVersion = 41;
  expected.mMap = 3;
  expected.mRecords = { { "case-17", { { "office", "Solola" } } } };
  expected.mEvidence = server_evidence{ "cw-03a-2", server_mode::Warm, { { 40, 3 }, { 41, 3 } } };
  EXPECT_EQ(reply, expected);
  EXPECT_EQ(ParsePartReply(Request(), HttpStatusOf(reply), FormatPartReply(reply)), reply);
}

struct refusal_row
{
  const char* mName;
  part_failure mFailure;
};

class refusal_test : public testing::TestWithParam<refusal_row>
{};

// Guards against a refusal that is decoded as another one, which changes whether it is retried.
TEST_P(refusal_test, KeepsItsReason)
{
  const part_reply reply =
    ParsePartReply(Request(), 503, Replaced(kRefusal, "shed", GetParam().mName));
  EXPECT_EQ(reply.mResult, part_result::NotRun);
  EXPECT_EQ(reply.mFailure, GetParam().mFailure);
  EXPECT_EQ(reply.mReason.mText, "4 of 3 slots");
  ASSERT_TRUE(reply.mEvidence);
  EXPECT_EQ(reply.mEvidence->mMode, server_mode::Cold);
  EXPECT_EQ(ParsePartReply(Request(), HttpStatusOf(reply), FormatPartReply(reply)), reply);
}

INSTANTIATE_TEST_SUITE_P(rows,
                         refusal_test,
                         testing::Values(refusal_row{ "shed", part_failure::Shed },
                                         refusal_row{ "draining", part_failure::Draining },
                                         refusal_row{ "version_gone", part_failure::VersionGone },
                                         refusal_row{ "wrong_target", part_failure::WrongTarget },
                                         refusal_row{ "deadline_passed",
                                                      part_failure::DeadlinePassed }));

struct reply_row
{
  const char* mGuardsAgainst;
  unsigned mStatus;
  const char* mBase;
  std::string mFrom;
  std::string mTo;
  const char* mText; // part of the reason
};

class wrong_reply_test : public testing::TestWithParam<reply_row>
{};

// Guards against use of the contents of an invalid reply, and against a repeat of its part, which
// may have run.
TEST_P(wrong_reply_test, IsMalformedAndPossiblyRun)
{
  const reply_row& row = GetParam();
  const part_reply reply =
    ParsePartReply(Request(), row.mStatus, Replaced(row.mBase, row.mFrom, row.mTo));
  EXPECT_EQ(reply.mResult, part_result::Unknown) << row.mGuardsAgainst;
  EXPECT_EQ(reply.mFailure, part_failure::Malformed);
  EXPECT_EQ(reply.mAttempt, Request().mAttempt);
  EXPECT_TRUE(reply.mRecords.empty());
  EXPECT_FALSE(reply.mEvidence);
  EXPECT_NE(reply.mReason.mText.find(row.mText), std::string::npos) << reply.mReason.mText;
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  wrong_reply_test,
  testing::Values(
    reply_row{ "the late reply of an earlier attempt",
               200,
               kAnswer,
               "#1234567",
               "#1234566",
               "\"attempt\" is \"vm-1.5f2c#1234566\"" },
    reply_row{ "the reply of another server",
               200,
               kAnswer,
               "\"cw-03a\"",
               "\"cw-03b\"",
               "\"server\" is \"cw-03b\"" },
    reply_row{ "the records of another shard",
               200,
               kAnswer,
               "\"cw-03\"",
               "\"cw-04\"",
               "\"shard\" is \"cw-04\"" },
    reply_row{ "the answer from another version",
               200,
               kAnswer,
               "\"version\":41",
               "\"version\":40",
               "\"version\" is 40, expected 41" },
    reply_row{ "an answer without a version",
               200,
               kAnswer,
               "\"version\":41,\"map\":3,\"rec",
               "\"map\":3,\"rec",
               "\"version\" is missing" },
    reply_row{ "an answer without records",
               200,
               kAnswer,
               "\"records\"",
               "\"recs\"",
               "\"records\" is missing" },
    reply_row{ "a record without an id", 200, kAnswer, "\"id\"", "\"no\"", "\"id\" is missing" },
    reply_row{ "an answer without evidence",
               200,
               kAnswer,
               "\"evidence\"",
               "\"ev\"",
               "\"evidence\" is missing" },
    reply_row{ "an unknown mode decoded as warm",
               200,
               kAnswer,
               "\"warm\"",
               "\"hot\"",
               "\"mode\" is \"hot\"" },
    reply_row{ "truncated JSON", 200, kAnswer, "]}}", "", "not JSON" },
    reply_row{ "an unexpected status", 500, kAnswer, "{", "{", "status 500" },
    reply_row{ "an answer with the status of a refusal",
               503,
               kAnswer,
               "{",
               "{",
               "\"not_run\" is missing" },
    reply_row{ "a refusal with the status of an answer",
               200,
               kRefusal,
               "{",
               "{",
               "\"version\" is missing" },
    reply_row{ "a refusal that may have run",
               503,
               kRefusal,
               "true",
               "false",
               "\"not_run\" is not true" },
    reply_row{ "an unknown refusal", 503, kRefusal, "shed", "busy", "\"refusal\" is \"busy\"" },
    reply_row{ "the refusal of another attempt", 503, kRefusal, "#1234567", "#7", "\"attempt\"" },
    reply_row{ "the refusal of another server",
               503,
               kRefusal,
               "\"cw-03a\"",
               "\"cw-03b\"",
               "\"server\"" }));

TEST(server_json_test, VersionZeroTakesAnyVersion)
{
  EXPECT_EQ(ParsePartReply(Request(0), 200, kAnswer).mVersion, 41U);
}

// Guards against a wrong_target refusal that counts as malformed: a server that doesn't have the
// shard states its own name.
TEST(server_json_test, WrongTargetMayNameItsOwnServer)
{
  const std::string body =
    Replaced(Replaced(kRefusal, "shed", "wrong_target"), "\"cw-03a\"", "\"cw-09a\"");
  EXPECT_EQ(ParsePartReply(Request(), 503, body).mFailure, part_failure::WrongTarget);
}

class mutation_test : public testing::TestWithParam<unsigned>
{};

// Guards against corrupted replies that crash the parser, or that are accepted for another target.
TEST_P(mutation_test, CorruptionNeverChangesTheTarget)
{
  std::mt19937_64 random(GetParam());
  for (int round = 0; round < 2000; ++round) {
    std::string body = round % 2 == 0 ? kAnswer : kRefusal;
    body[random() % body.size()] = static_cast<char>(random());
    body.erase(random() % body.size(), random() % 3);
    const part_reply reply = ParsePartReply(Request(), round % 2 == 0 ? 200 : 503, body);
    ASSERT_EQ(reply.mAttempt, Request().mAttempt);
    ASSERT_EQ(reply.mServer, "cw-03a");
    ASSERT_EQ(reply.mShard, "cw-03");
    ASSERT_TRUE(reply.mResult != part_result::Answered || reply.mVersion == 41);
  }
}

INSTANTIATE_TEST_SUITE_P(seeds, mutation_test, testing::Values(1, 2));

struct request_row
{
  const char* mGuardsAgainst;
  micros mRemaining;
  std::int64_t mEncodedMs;
};

class request_test : public testing::TestWithParam<request_row>
{};

TEST_P(request_test, RoundTrip)
{
  part_request request = Request();
  request.mOperation = operation::Submit;
  request.mRequestKey = "vm-1.5f2c.k";
  const result<received_part_request> read =
    ParsePartRequest(FormatPartRequest(request, GetParam().mRemaining));
  ASSERT_TRUE(read) << Describe(read.mReason);
  EXPECT_EQ(read->mRequest, request);
  EXPECT_EQ(ToMs(read->mRemaining), GetParam().mEncodedMs) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  request_test,
  testing::Values(request_row{ "a remaining time that is rounded to 0", micros(300), 1 },
                  request_row{ "a part that expired before it was sent", micros(-5), 1 },
                  request_row{ "the usual case", std::chrono::milliseconds(61), 61 }));

TEST(server_json_test, CancelRoundTrip)
{
  const result<attempt_id> read = ParseCancel(FormatCancel(Request().mAttempt));
  ASSERT_TRUE(read);
  EXPECT_EQ(*read, Request().mAttempt);
  EXPECT_FALSE(ParseCancel(R"({"attempt":"vm-1"})"));
  EXPECT_FALSE(ParseCancel(R"({"attempt":"vm-1#99999999999999999999"})"));
}

} // namespace
} // namespace redwingdock
