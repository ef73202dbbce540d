#include "client/caller_json.h"

#include "base/hash.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

struct answer_row
{
  const char* mGuardsAgainst;
  std::string mText;
  std::string mError; // prefix of the error; empty when the answer is valid
};

class answer_test : public testing::TestWithParam<answer_row>
{};

TEST_P(answer_test, AcceptsOnlyConsistentAnswers)
{
  result<query_answer> answer = ParseAnswer(GetParam().mText, "127.0.0.1:1");
  EXPECT_EQ(answer ? "" : answer.mReason.mText.substr(0, GetParam().mError.size()),
            GetParam().mError)
    << GetParam().mGuardsAgainst << ": " << answer.mReason.mText;
}

std::string Answer(const char* aOutcome,
                   int aCovered,
                   const std::string& aRanges,
                   int aCount,
                   const std::string& aRecords)
{
  std::string missing = aRanges.empty() ? ""
                                        : R"({"pool": "p", "shard": "s", "ranges": )" + aRanges +
                                            R"(, "reason": {"step": "", "peer": "", "text": ""}})";
  return std::string(R"({"outcome": ")") + aOutcome +
         R"(", "version": 41, "map": 3, "coverage": {"covered": )" + std::to_string(aCovered) +
         R"(, "total": 4096, "missing": [)" + missing + R"(]}, "count": )" +
         std::to_string(aCount) + R"(, "records": [)" + aRecords + "]}";
}

const char kRecord[] = R"({"id": "a", "fields": {"office": "x"}})"; // at position 0xe5b = 3675

INSTANTIATE_TEST_SUITE_P(
  rows,
  answer_test,
  testing::Values(
    answer_row{ "a consistent answer is rejected", Answer("complete", 4096, "", 1, kRecord), "" },
    answer_row{ "a partial answer is rejected",
                Answer("partial", 4000, "[[0, 96]]", 1, kRecord),
                "" },
    answer_row{ "a refusal is rejected because it has no coverage",
                R"({"outcome": "not_run"})",
                "" },
    answer_row{ "a missing record", Answer("complete", 4096, "", 2, kRecord), "the count is 2" },
    answer_row{ "a duplicate record",
                Answer("complete", 4096, "", 2, std::string(kRecord) + "," + kRecord),
                "record a occurs twice" },
    answer_row{ "coverage that does not add up",
                Answer("partial", 4010, "[[0, 96]]", 0, ""),
                "4010 covered and 96 missing" },
    answer_row{ "one gap counted twice",
                Answer("partial", 3904, "[[0, 96], [0, 96]]", 0, ""),
                "position 0 is missing twice" },
    answer_row{ "a gap in a complete answer",
                Answer("complete", 4000, "[[0, 96]]", 0, ""),
                "a complete answer lists" },
    answer_row{ "a partial answer without gaps",
                Answer("partial", 4096, "", 0, ""),
                "a partial answer lists no" },
    answer_row{ "a range beyond the positions",
                Answer("partial", 4000, "[[4090, 4186]]", 0, ""),
                "a missing range of shard s" },
    answer_row{ "a record from a range that is listed as missing",
                Answer("partial", 4000, "[[3600, 3696]]", 1, kRecord),
                "record a is in" },
    answer_row{ "a truncated body", R"({"outcome": "comp)", "incomplete JSON" },
    answer_row{ "an unknown outcome", R"({"outcome": "done"})", "outcome \"done\"" }));

struct query_row
{
  const char* mGuardsAgainst;
  query_request mRequest;
  std::string mText;
};

class query_test : public testing::TestWithParam<query_row>
{};

TEST_P(query_test, Writes)
{
  EXPECT_EQ(WriteQuery(GetParam().mRequest), GetParam().mText) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  query_test,
  testing::Values(query_row{ "fields that are not set override the defaults of the route",
                             { "r", "c", {}, {}, {}, "" },
                             R"({"route":"r","caller":"c","filter":{}})" },
                  query_row{ "a deadline below 1 ms is sent as 0",
                             { "r", "c", { { "id", "x" } }, urgency::Urgent, micros(10), "k" },
                             R"({"route":"r","caller":"c","filter":{"id":"x"},)"
                             R"("urgency":"urgent","deadline_ms":1,"request_key":"k"})" }));

} // namespace
} // namespace redwingdock
