#include "codec/caller_json.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

struct query_row
{
  const char* mGuardsAgainst;
  std::string mBody;
  const char* mText; // part of the reason
};

class bad_query_test : public testing::TestWithParam<query_row>
{};

TEST_P(bad_query_test, IsRefusedWithTheNameOfTheCheck)
{
  const result<query_request> request = ParseQuery(GetParam().mBody);
  ASSERT_FALSE(request) << GetParam().mGuardsAgainst;
  EXPECT_NE(request.mReason.mText.find(GetParam().mText), std::string::npos)
    << GetParam().mGuardsAgainst << ": " << request.mReason.mText;
}

std::string DeeplyNestedJson()
{
  return "{\"route\":" + std::string(200, '[') + std::string(200, ']') + "}";
}

std::string OversizedFilter()
{
  std::string fields;
  for (int i = 0; i < 65; ++i) {
    fields += (i == 0 ? "\"f" : ",\"f") + std::to_string(i) + "\":\"\"";
  }
  return R"({"route":"r","filter":{)" + fields + "}}";
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  bad_query_test,
  testing::Values(
    query_row{ "an empty body", "", "not JSON" },
    query_row{ "truncated JSON", R"({"route":"r")", "not JSON" },
    query_row{ "trailing bytes after the object", R"({"route":"r"} x)", "not JSON" },
    query_row{ "text that is not UTF-8", "{\"route\":\"\xff\"}", "not JSON" },
    query_row{ "a stack overflow by deep nesting", DeeplyNestedJson(), "not JSON" },
    query_row{ "an array instead of an object", "[]", "not a JSON object" },
    query_row{ "a body over the limit",
               "{\"route\":\"" + std::string(70000, 'r') + "\"}",
               "the limit is 65536" },
    query_row{ "a query without a route", "{}", "\"route\" is missing" },
    query_row{ "a route of another type", R"({"route":5})", "\"route\" is not a string" },
    query_row{ "an empty route", R"({"route":""})", "\"route\" has 0 bytes" },
    query_row{ "a filter of another type",
               R"({"route":"r","filter":[]})",
               "\"filter\" is not an object" },
    query_row{ "a number in a filter",
               R"({"route":"r","filter":{"a":1}})",
               "field \"a\" of \"filter\"" },
    query_row{ "a filter with too many fields", OversizedFilter(), "\"filter\" has 65 fields" },
    query_row{ "an unknown urgency",
               R"({"route":"r","urgency":"now"})",
               "must be one of urgent, normal, background" },
    query_row{ "a deadline of 0",
               R"({"route":"r","deadline_ms":0})",
               "\"deadline_ms\" is not an integer from 1 to 5000" },
    query_row{ "a deadline over 5 s", R"({"route":"r","deadline_ms":5001})", "\"deadline_ms\"" },
    query_row{ "a negative deadline", R"({"route":"r","deadline_ms":-1})", "\"deadline_ms\"" },
    query_row{ "a fractional deadline", R"({"route":"r","deadline_ms":1.5})", "\"deadline_ms\"" },
    query_row{ "a deadline as a string", R"({"route":"r","deadline_ms":"9"})", "\"deadline_ms\"" },
    query_row{ "a key without a prefix", R"({"route":"r","request_key":"k"})", "\"request_key\"" },
    query_row{ "a key without a unique part",
               R"({"route":"r","request_key":"vm-1.5f2c."})",
               "\"request_key\"" },
    query_row{ "a key without an incarnation",
               R"({"route":"r","request_key":"vm-1..k"})",
               "\"request_key\"" },
    query_row{ "a key with a line break",
               R"({"route":"r","request_key":"vm-1.5f2c.a\nb"})",
               "\"request_key\"" },
    query_row{ "a key whose unique part is too long",
               R"({"route":"r","request_key":"v.i.)" + std::string(65, 'k') + "\"}",
               "\"request_key\"" }));

query_request FullQuery()
{
  query_request request;
  request.mRoute = "case-search";
  request.mCaller = "desk-7";
  request.mFilter = { { "office", "Sololá \"x\"\n" } };
  request.mUrgency = urgency::Urgent;
  request.mDeadline = std::chrono::milliseconds(5000);
  request.mRequestKey = "vm-1.5f2c.k.with.dots";
  return request;
}

query_request MinimalQuery()
{
  query_request request;
  request.mRoute = "r";
  return request;
}

class query_test : public testing::TestWithParam<query_request>
{};

TEST_P(query_test, RoundTrip)
{
  const result<query_request> read = ParseQuery(FormatQuery(GetParam()));
  ASSERT_TRUE(read) << Describe(read.mReason);
  EXPECT_EQ(*read, GetParam());
}

INSTANTIATE_TEST_SUITE_P(rows, query_test, testing::Values(MinimalQuery(), FullQuery()));

// Guards against a daemon that rejects a query with a field of a later release.
TEST(caller_json_test, IgnoresUnknownFields)
{
  EXPECT_TRUE(ParseQuery(R"({"route":"r","later":{"a":[1]}})"));
}

struct answer_row
{
  outcome mOutcome;
  unsigned mStatus;
};

class answer_test : public testing::TestWithParam<answer_row>
{};

// Guards against an outcome that is encoded as another one, and against a changed status code.
TEST_P(answer_test, RoundTrip)
{
  query_answer answer;
  answer.mOutcome = GetParam().mOutcome;
  answer.mVersion = ~0ULL;
  answer.mMap = 3;
  answer.mCoverage = { 4000,
                       4096,
                       { { "p", "s", { { 0, 50 }, { 4050, 4096 } }, { "a", "b", "c" } } } };
  answer.mRecords = { { "case-1", { { "office", "Sololá" } } }, { "case-2", {} } };
  answer.mReason = { "gather", "", "1 of 2" };
  const result<query_answer> read = ParseAnswer(FormatAnswer(answer));
  ASSERT_TRUE(read) << Describe(read.mReason);
  EXPECT_EQ(*read, answer);
  EXPECT_EQ(HttpStatusOf(GetParam().mOutcome), GetParam().mStatus);
}

INSTANTIATE_TEST_SUITE_P(rows,
                         answer_test,
                         testing::Values(answer_row{ outcome::Complete, 200 },
                                         answer_row{ outcome::Partial, 200 },
                                         answer_row{ outcome::NotRun, 503 },
                                         answer_row{ outcome::Unknown, 504 },
                                         answer_row{ outcome::Rejected, 400 }));

TEST(caller_json_test, RefusesAnAnswerWithAnotherCount)
{
  query_answer answer;
  answer.mRecords = { { "case-1", {} } };
  std::string text = FormatAnswer(answer);
  text.replace(text.find("\"count\":1"), 9, "\"count\":2");
  const result<query_answer> read = ParseAnswer(text);
  ASSERT_FALSE(read);
  EXPECT_EQ(read.mReason.mText, "\"count\" is 2, \"records\" has 1");
}

TEST(caller_json_test, EntryRoundTrip)
{
  const entry_answer answer{ "vm-1", "127.0.0.1:7001", std::chrono::seconds(10), "vm-1.5f2c." };
  const result<entry_answer> read = ParseEntry(FormatEntry(answer));
  ASSERT_TRUE(read) << Describe(read.mReason);
  EXPECT_EQ(*read, answer);
}

} // namespace
} // namespace redwingdock
