#include "safety/request_key.h"
#include "safety/suspects.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

struct key_row
{
  const char* mGuardsAgainst;
  std::string mText;
  bool mValid;
};

class request_key_test : public testing::TestWithParam<key_row>
{};

TEST_P(request_key_test, Parsed)
{
  const result<request_key> key = ParseRequestKey(GetParam().mText);
  EXPECT_EQ(static_cast<bool>(key), GetParam().mValid) << GetParam().mGuardsAgainst;
  EXPECT_EQ(key.mReason.mText.empty(), GetParam().mValid);
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  request_key_test,
  testing::Values(
    key_row{ "valid key is refused", "vm-1.5f2c.desk-7_81", true },
    key_row{ "key that names no process runs anywhere", "desk-7", false },
    key_row{ "key without incarnation is accepted", "vm-1.desk-7", false },
    key_row{ "empty unique field is shared by all callers", "vm-1.5f2c.", false },
    key_row{ "key with characters that break log lines is accepted", "vm-1.5f2c.a b", false },
    key_row{ "long keys fill the memory", "vm-1.5f2c." + std::string(65, 'x'), false },
    key_row{ "key of the maximum length is refused", "vm-1.5f2c." + std::string(64, 'x'), true }));

struct run_row
{
  const char* mGuardsAgainst;
  std::set<std::string> mLostBefore;
  std::set<std::string> mLostNow;
  suspicion mLevel;
};

class suspect_test : public testing::TestWithParam<run_row>
{};

TEST_P(suspect_test, LevelAfterRunWithoutAnswer)
{
  const instant now{ std::chrono::seconds(10) };
  const suspect_times times{ std::chrono::minutes(1), std::chrono::minutes(10), now };
  std::optional<suspect> before;
  for (const std::string& server : GetParam().mLostBefore) {
    before = AddServerLoss(before ? &*before : nullptr, 7, server, times);
  }
  const suspect after =
    ApplyRunResult(before ? &*before : nullptr, { 7, false, GetParam().mLostNow }, times);
  EXPECT_EQ(after.mLevel, GetParam().mLevel) << GetParam().mGuardsAgainst;
  const suspect merged = MergeEntry(nullptr, ToEntry(after, now), now);
  EXPECT_EQ(merged, after) << "the entry changes on the way to another daemon";
  EXPECT_FALSE(DiffersApartFromTime(&after, MergeEntry(&after, ToEntry(after, now), now)))
    << "two daemons send each other the same entry forever";
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  suspect_test,
  testing::Values(
    run_row{ "harmless request in flight on one lost server is quarantined",
             {},
             { "s1" },
             suspicion::Suspect },
    run_row{ "request that crashed all servers of its scatter is not quarantined",
             {},
             { "s1", "s2" },
             suspicion::Quarantined },
    run_row{ "second server lost by the canary part is not counted",
             { "s1" },
             { "s2" },
             suspicion::Quarantined },
    run_row{ "loss of the same server is counted twice", { "s1" }, { "s1" }, suspicion::Suspect }));

} // namespace
} // namespace redwingdock
