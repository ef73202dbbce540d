#include "codec/heartbeat_json.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

const heartbeat kSent{
  { "vm-1", 1775133628009, "10.1.0.9:7380", "10.1.0.9:8104", "zone-a", true, micros(400'000), 41 },
  { "10.2.0.9:7380" },
  { { 18446744073709551615U, std::chrono::seconds(59) }, { 7, std::chrono::milliseconds(1) } },
  { { { "vm-2", 17, "10.2.0.9:7380", "10.2.0.9:8104", "zone-b", false, micros(0), 12 },
      std::chrono::milliseconds(1250) } },
  { { "search", std::chrono::milliseconds(800), std::chrono::seconds(60) } },
  { { 18446744073709551614U, "i-1", 1775133628007, std::chrono::milliseconds(59999) } },
  { { 3, 812 }, 33 }
};

TEST(heartbeat_json, ReadsWhatItWrites)
{
  // Guards against fields that are swapped, and against large fingerprints that lose their last
  // digits.
  const result<heartbeat> parsed = ParseHeartbeat(FormatHeartbeat(kSent));
  ASSERT_TRUE(parsed) << Describe(parsed.mReason);
  EXPECT_EQ(*parsed, kSent);
}

struct malformed_row
{
  const char* mGuardsAgainst;
  std::string mFrom;
  std::string mTo;
};

class malformed_test : public testing::TestWithParam<malformed_row>
{};

TEST_P(malformed_test, IsRefused)
{
  std::string bytes = FormatHeartbeat(kSent);
  const std::size_t at = bytes.find(GetParam().mFrom);
  ASSERT_NE(at, std::string::npos);
  bytes.replace(at, GetParam().mFrom.size(), GetParam().mTo);
  EXPECT_FALSE(ParseHeartbeat(bytes)) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  malformed_test,
  testing::Values(
    malformed_row{ "a body that is not an object", "{", "[" },
    malformed_row{ "a missing sender", "\"vm\"", "\"no\"" },
    malformed_row{ "a peer that is not a string", "\"10.2.0.9:7380\"", "7" },
    malformed_row{ "a fingerprint that is not a number", "7]", "\"7\"]" },
    malformed_row{ "a flag of another type", "true", "1" },
    malformed_row{ "a member without age", ",1250]", "]" },
    malformed_row{ "a member whose age is negative", "1250", "-1" },
    malformed_row{ "a member whose age overflows", "1250", "9223372036854775807" },
    malformed_row{ "a member that is not an array", "[\"vm-2\"", "{},[\"vm-2\"" },
    malformed_row{ "a member's flag of another type", "false", "0" },
    malformed_row{ "fewer times than refusals", "[59000,1]", "[59000]" },
    malformed_row{ "a timeout that is not a number", "800", "\"800\"" },
    malformed_row{ "a revision of the store that is negative", "[812,", "[-812," },
    malformed_row{ "an era of the store that is negative", "\"store_era\":3", "\"store_era\":-3" },
    malformed_row{ "a crash without its time", ",59999]", "]" },
    malformed_row{ "a crash of a replica without id", "\"i-1\"", "\"\"" }));

TEST(heartbeat_json, ReadsHeartbeatsOfEarlierVersions)
{
  // Guards against daemons that do not hear each other while an update of the fleet is under way.
  const result<heartbeat> parsed =
    ParseHeartbeat(R"({"vm":"vm-1","incarnation":5,"peer":"10.1.0.9:7380","calls":"10.1.0.9:8104",)"
                   R"("zone":"z","serving":true,"interval_us":400000,"peers":[],"refused":[7]})");
  ASSERT_TRUE(parsed) << Describe(parsed.mReason);
  EXPECT_EQ(parsed->mSender.mBeat, 0U);
  EXPECT_EQ(parsed->mStore, store_copy{});
  ASSERT_EQ(parsed->mRefused.size(), 1U);
  EXPECT_GT(parsed->mRefused.front().mTimeLeft, micros(0));
}

} // namespace
} // namespace redwingdock
