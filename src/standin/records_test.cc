#include "standin/scan.h"

#include "base/hash.h"

#include <gtest/gtest.h>

namespace redwingdock::standin {
namespace {

constexpr char kLines[] = R"({"id": "c", "fields": {"office": "Sololá", "year": "2020"}}
{"id": "a", "fields": {"office": "Sololá", "year": "2021"}, "since": 41}

{"id": "b", "fields": {"office": "Xela", "year": "2020"}, "until": 40}
)";

struct scan_row
{
  const char* mGuardsAgainst;
  std::vector<std::string> mFilter;
  std::uint64_t mVersion;
  std::vector<std::string> mIds;
};

class scan_test : public testing::TestWithParam<scan_row>
{};

TEST_P(scan_test, FindsMatchingIds)
{
  const scan_row& row = GetParam();
  const auto ids = Scan(kLines, "r.jsonl", row.mFilter, row.mVersion);
  ASSERT_TRUE(ids) << Describe(ids.mReason);
  EXPECT_EQ(*ids, row.mIds) << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  scan_test,
  testing::Values(
    scan_row{ "records of a later version are found", {}, 40, { "b", "c" } },
    scan_row{ "records of an earlier version are found, or sorted by position",
              {},
              41,
              { "a", "c" } },
    scan_row{ "records that match only one of two fields are found",
              { "office=Sololá", "year=2020" },
              41,
              { "c" } },
    scan_row{ "the filter field \"id\" is not compared with the record id",
              { "id=b" },
              40,
              { "b" } },
    scan_row{ "a record without the field matches an empty value", { "status=" }, 40, {} }));

struct invalid_row
{
  const char* mGuardsAgainst;
  const char* mText;
  const char* mReason;
};

class invalid_records_test : public testing::TestWithParam<invalid_row>
{};

TEST_P(invalid_records_test, ReportsTheError)
{
  const auto store = ReadRecords(GetParam().mText, "r.jsonl");
  EXPECT_FALSE(store) << GetParam().mGuardsAgainst;
  EXPECT_NE(store.mReason.mText.find(GetParam().mReason), std::string::npos) << store.mReason.mText;
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  invalid_records_test,
  testing::Values(invalid_row{ "a truncated file is accepted",
                               "{\"id\": \"a\", \"fields\": {}}\n{\"id\": \"b\"",
                               "line 2: found" },
                  invalid_row{ "a numeric field, which no filter can match, is accepted",
                               R"({"id": "a", "fields": {"year": 2020}})",
                               "line 1: found" },
                  invalid_row{ "an unknown key is accepted",
                               R"({"id": "a", "fields": {}, "from": 1})",
                               "line 1: found" },
                  invalid_row{ "an id that occurs twice in a version is accepted",
                               "{\"id\": \"a\", \"fields\": {}, \"until\": 41}\n"
                               "{\"id\": \"a\", \"fields\": {}, \"since\": 41}",
                               "id a occurs twice" }));

// Guards against records at the bounds of a range that are missed or found in two ranges.
TEST(records, EachPositionIsInOneRange)
{
  const auto store = ReadRecords(kLines, "r.jsonl");
  ASSERT_TRUE(store);
  for (const stored_record& stored : store->mRecords) {
    const std::uint32_t at = stored.mPosition;
    const fields id{ { "id", stored.mRecord.mId } };
    const std::uint64_t version = stored.mSince == 0 ? 40 : 41;
    EXPECT_EQ(Search(*store, version, { { at, at + 1 } }, id).size(), 1U);
    EXPECT_TRUE(Search(*store, version, { { 0, at }, { at + 1, kPositions } }, id).empty());
  }
}

} // namespace
} // namespace redwingdock::standin
