#include "ctl/table_check.h"

#include "tables/parse.h"

#include <gtest/gtest.h>

namespace redwingdock::ctl {
namespace {

struct warning_row
{
  const char* mGuardsAgainst;
  std::string mPools;
  std::vector<std::string> mWarnings; // expected beginning of each warning
};

class warning_test : public testing::TestWithParam<warning_row>
{};

TEST_P(warning_test, Warns)
{
  result<routes_table> routes =
    ParseRoutes("revision: 1\nroutes: [{name: r, pools: [p]}]\n", "routes.yaml");
  result<pools_table> pools = ParsePools(GetParam().mPools, "pools.yaml");
  ASSERT_TRUE(routes && pools) << Describe(pools.mReason);
  std::vector<std::string> warnings = TableWarnings(*routes, *pools, nullptr);
  ASSERT_EQ(warnings.size(), GetParam().mWarnings.size()) << GetParam().mGuardsAgainst;
  for (std::size_t i = 0; i < warnings.size(); ++i) {
    EXPECT_TRUE(warnings[i].starts_with(GetParam().mWarnings[i])) << warnings[i];
  }
}

std::string Pool(const char* aName,
                 int aSlots,
                 int aConnections,
                 const char* aSecondZone,
                 int aPort)
{
  std::string name = aName;
  std::string port = std::to_string(aPort);
  return "  - {name: " + name + ", slots: " + std::to_string(aSlots) +
         ", connections: " + std::to_string(aConnections) + ", shards: [{name: " + name +
         "-0, ranges: {1: [[0, 4096]]}, servers: [{name: " + name +
         "-a, zone: x, address: \"127.0.0.1:" + port + "\"}, {name: " + name +
         "-b, zone: " + aSecondZone + ", address: \"127.0.0.2:" + port + "\"}]}]}\n";
}

std::string Pools(const std::string& aClosed, const std::string& aPools)
{
  return "revision: 1\nclosed_zones: [" + aClosed + "]\npools:\n" + aPools;
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  warning_test,
  testing::Values(
    warning_row{ "valid tables cause a warning", Pools("", Pool("p", 3, 30, "y", 1)), {} },
    warning_row{ "an unused pool goes unnoticed",
                 Pools("", Pool("p", 3, 30, "y", 1) + Pool("q", 3, 30, "y", 2)),
                 { "pool q: not used by any route" } },
    warning_row{ "fewer slots than daemons go unnoticed",
                 Pools("", Pool("p", 2, 30, "y", 1)),
                 { "pool p: 1 shards have fewer slots (4) than the 5 daemons" } },
    warning_row{ "a limit without a spare connection goes unnoticed",
                 Pools("", Pool("p", 3, 6, "y", 1)),
                 { "pool p: 6 connections for 3 slots allow a daemon 1 connection" } },
    warning_row{ "a shard with all servers in one zone goes unnoticed",
                 Pools("", Pool("p", 3, 30, "x", 1)),
                 { "pool p: shard p-0 has servers in zone x only" } },
    warning_row{ "a shard with all servers in closed zones goes unnoticed",
                 Pools("x, y", Pool("p", 3, 30, "y", 1)),
                 { "pool p: shard p-0 has no server outside the closed zones" } },
    warning_row{ "a misspelled closed zone goes unnoticed",
                 Pools("xx", Pool("p", 3, 30, "y", 1)),
                 { "closed zone xx: contains no servers" } }));

} // namespace
} // namespace redwingdock::ctl
