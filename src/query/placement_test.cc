#include "query/placement.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

const instant kNow{ std::chrono::seconds(100) };

placement_option Option(const std::string& aServer,
                        const std::string& aHolder,
                        std::uint32_t aOutstanding)
{
  placement_option option;
  option.mServer = aServer;
  option.mZone = "zone-" + aServer;
  option.mHolder = aHolder;
  option.mOutstanding = aOutstanding;
  option.mLocal = aHolder == "self";
  return option;
}

placement_option Avoided(placement_option aOption, micros aFor)
{
  aOption.mAvoidUntil = kNow + aFor;
  return aOption;
}

struct placement_row
{
  const char* mGuardsAgainst;
  std::vector<placement_option> mOptions;
  std::set<std::string> mExcluded;
  std::string mAvoidZone;
  std::optional<std::size_t> mChosen;
  bool mLater;
};

class placement_test : public testing::TestWithParam<placement_row>
{};

TEST_P(placement_test, Chosen)
{
  const placement_row& row = GetParam();
  placement_limits limits;
  limits.mExcludedServers = row.mExcluded;
  limits.mAvoidZone = row.mAvoidZone;
  limits.mNow = kNow;
  const auto first = [](std::uint64_t) { return std::uint64_t(0); };
  EXPECT_EQ(ChooseOption(row.mOptions, limits, first), row.mChosen) << row.mGuardsAgainst;
  EXPECT_EQ(HasOptionAfterBackoff(row.mOptions, limits), row.mLater) << row.mGuardsAgainst;
}

const micros kTenMs = std::chrono::milliseconds(10);

INSTANTIATE_TEST_SUITE_P(
  rows,
  placement_test,
  testing::Values(placement_row{ "hop to another daemon although the local permit is free",
                                 { Option("a", "vm-1", 0), Option("b", "self", 0) },
                                 {},
                                 "",
                                 1,
                                 true },
                  placement_row{ "queue behind the local permit although another daemon's is free",
                                 { Option("a", "vm-1", 0), Option("b", "self", 1) },
                                 {},
                                 "",
                                 0,
                                 true },
                  placement_row{ "same server is chosen again after a failure",
                                 { Option("a", "self", 0), Option("b", "vm-1", 3) },
                                 { "a" },
                                 "",
                                 1,
                                 true },
                  placement_row{
                    "holder that refused a moment ago is chosen",
                    { Avoided(Option("a", "self", 0), kTenMs), Option("b", "vm-1", 2) },
                    {},
                    "",
                    1,
                    true },
                  placement_row{ "part fails although the backoff of a holder ends",
                                 { Avoided(Option("a", "self", 0), kTenMs) },
                                 {},
                                 "",
                                 std::nullopt,
                                 true },
                  placement_row{ "part waits for an excluded server",
                                 { Option("a", "self", 0) },
                                 { "a" },
                                 "",
                                 std::nullopt,
                                 false },
                  placement_row{ "hedge goes to the slow zone",
                                 { Option("a", "vm-1", 0), Option("b", "vm-1", 0) },
                                 {},
                                 "zone-a",
                                 1,
                                 true },
                  placement_row{ "part is not hedged when only the slow zone is left",
                                 { Option("a", "vm-1", 0) },
                                 {},
                                 "zone-a",
                                 0,
                                 true }));

} // namespace
} // namespace redwingdock
