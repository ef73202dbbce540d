#include "codec/heartbeat_json.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

const heartbeat kSent{
  { "vm-1", 1775133628009, "10.1.0.9:7380", "10.1.0.9:8104", "zone-a", true, micros(400'000) },
  { "10.2.0.9:7380" },
  { 18446744073709551615U, 7 }
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
  testing::Values(malformed_row{ "a body that is not an object", "{", "[" },
                  malformed_row{ "a missing sender", "\"vm\"", "\"no\"" },
                  malformed_row{ "a peer that is not a string", "\"10.2.0.9:7380\"", "7" },
                  malformed_row{ "a fingerprint that is not a number", "7]", "\"7\"]" },
                  malformed_row{ "a flag of another type", "true", "1" }));

} // namespace
} // namespace redwingdock
