#include "tables/parse.h"

#include <functional>
#include <gtest/gtest.h>

namespace redwingdock {
namespace {

enum class table
{
  Routes,
  Pools,
  Vms,
};

constexpr char kRoutes[] = R"(revision: 12
routes:
  - name: case-search
    pools: [desk, bridge]
  - name: open-visit
    pools: [desk, bridge]
    operation: submit
    urgency: urgent
    deadline_ms: 5000
    hedge: false
)";

constexpr char kPools[] = R"(revision: 31
closed_zones: [solola]
pools:
  - name: desk
    slots: 3
    connections: 30
    connect_ms: 6
    shards:
      - name: cw-00
        ranges: {3: [[0, 1000], [3000, 4096]], 4: [[0, 4096]]}
        servers:
          - {name: cw-00a, zone: xela, address: "127.0.0.1:9001"}
          - {name: cw-00b, zone: toto, address: "127.0.0.1:9002", draining: true}
  - name: bridge
    slots: 2
    connections: 100
    shards:
      - name: ledger-0
        ranges: {3: [[1000, 3000]]}
        servers:
          - {name: ledger-0a, zone: xela, address: "127.0.0.1:9101"}
)";

constexpr char kVms[] = R"(revision: 5
vms:
  - {name: vm-b, zone: toto, address: "127.0.0.1:7102", call_address: "127.0.0.1:7002", state: leaving}
  - {name: vm-a, zone: xela, address: "127.0.0.1:7101", call_address: "127.0.0.1:7001", state: live}
)";

std::string Replace(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  const std::size_t at = aText.find(aFrom);
  EXPECT_NE(at, std::string::npos) << aFrom;
  return at == std::string::npos ? aText : aText.replace(at, aFrom.size(), aTo);
}

TEST(parse, ReadsAllFieldsAndDefaults)
{
  const auto routes = ParseRoutes(kRoutes, "routes.yaml");
  ASSERT_TRUE(routes) << Describe(routes.mReason);
  route_spec search;
  search.mName = "case-search";
  search.mPools = { "desk", "bridge" };
  const route_spec submit{ "open-visit",    { "desk", "bridge" },    operation::Submit,
                           urgency::Urgent, std::chrono::seconds(5), false };
  EXPECT_EQ(*routes, (routes_table{ 12, { search, submit } }));

  const auto pools = ParsePools(kPools, "pools.yaml");
  ASSERT_TRUE(pools) << Describe(pools.mReason);
  EXPECT_EQ(pools->mClosedZones, std::set<std::string>{ "solola" });
  const pool_spec& desk = pools->mPools.at(0);
  EXPECT_EQ(desk.mConnectCost, std::chrono::milliseconds(6));
  EXPECT_EQ(desk.mShards.at(0).mRanges.at(3), (position_ranges{ { 0, 1000 }, { 3000, 4096 } }));
  EXPECT_EQ(desk.mServers.at(1),
            (server_spec{ "cw-00b", "desk", "cw-00", "toto", "127.0.0.1:9002", true }));
  EXPECT_EQ(CheckConsistency(*routes, *pools), std::nullopt);

  const auto vms = ParseVmList(kVms, "vms.yaml");
  ASSERT_TRUE(vms) << Describe(vms.mReason);
  EXPECT_EQ(vms->mVms.at(0).mName, "vm-a"); // sorted
  EXPECT_EQ(vms->Find("vm-b")->mState, vm_state::Leaving);
}

struct refused_row
{
  const char* mGuardsAgainst;
  table mTable;
  const char* mFrom; // first occurrence in the valid table is replaced by mTo
  const char* mTo;
  const char* mReason; // start of the text of the error
};

class refused_test : public testing::TestWithParam<refused_row>
{};

TEST_P(refused_test, NamesFileLineKeyFoundAndAllowed)
{
  const refused_row& row = GetParam();
  reason found;
  if (row.mTable == table::Routes) {
    found = ParseRoutes(Replace(kRoutes, row.mFrom, row.mTo), "t.yaml").mReason;
  } else if (row.mTable == table::Pools) {
    found = ParsePools(Replace(kPools, row.mFrom, row.mTo), "t.yaml").mReason;
  } else {
    found = ParseVmList(Replace(kVms, row.mFrom, row.mTo), "t.yaml").mReason;
  }
  EXPECT_EQ(found.mPeer, "t.yaml") << row.mGuardsAgainst;
  EXPECT_EQ(found.mText.substr(0, std::string(row.mReason).size()), row.mReason)
    << row.mGuardsAgainst << "\n"
    << found.mText;
}

constexpr char kRangeError[] =
  "line 10: pools[0].shards[0].ranges.4: found [0, 4097], allowed: half-open ranges [from, to] "
  "with 0 <= from < to <= 4096";

INSTANTIATE_TEST_SUITE_P(
  rows,
  refused_test,
  testing::Values(
    refused_row{ "a misspelt key silently falls back to its default",
                 table::Routes,
                 "deadline_ms: 5000",
                 "deadline: 5000",
                 "line 9: routes[1].deadline: found an unknown key, allowed: the keys deadline_ms, "
                 "hedge, name" },
    refused_row{ "an unknown key at the top",
                 table::Vms,
                 "revision: 5",
                 "revision: 5\nclosed: []",
                 "line 2: closed: found an unknown key, allowed: the keys revision, vms" },
    refused_row{ "the second of two equal keys is dropped",
                 table::Pools,
                 "slots: 3",
                 "slots: 3\n    slots: 9",
                 "line 6: pools[0].slots: found a second value, allowed: one value" },
    refused_row{ "revision 0, which stands for no table, is accepted",
                 table::Routes,
                 "revision: 12",
                 "revision: 0",
                 "line 1: revision: found \"0\", allowed: a whole number, 1 to" },
    refused_row{ "a missing revision",
                 table::Vms,
                 "revision: 5\n",
                 "",
                 "line 1: revision: found "
                 "nothing, allowed: a value" },
    refused_row{ "two routes of one name",
                 table::Routes,
                 "open-visit",
                 "case-search",
                 "line 5: routes[1].name: found \"case-search\" again" },
    refused_row{ "a route without pools",
                 table::Routes,
                 "[desk, bridge]",
                 "[]",
                 "line 4: routes[0].pools: found an empty list" },
    refused_row{ "a pool read twice by one route",
                 table::Routes,
                 "[desk, bridge]",
                 "[desk, desk]",
                 "line 4: routes[0].pools: found \"desk\" again" },
    refused_row{ "an unknown operation is read as search, whose parts may be sent again",
                 table::Routes,
                 "operation: submit",
                 "operation: post",
                 "line 7: routes[1].operation: found \"post\", allowed: search or submit" },
    refused_row{ "a deadline above the longest one that take_delay allows for",
                 table::Routes,
                 "5000",
                 "5001",
                 "line 9: routes[1].deadline_ms: found \"5001\", allowed: a whole number, 1 to "
                 "5000" },
    refused_row{ "a negative number wraps",
                 table::Pools,
                 "slots: 3",
                 "slots: -1",
                 "line 5: pools[0].slots: found \"-1\", allowed: a whole number, 1 to 64" },
    refused_row{ "fewer than two connections per slot",
                 table::Pools,
                 "connections: 30",
                 "connections: 5",
                 "line 6: pools[0].connections: found \"5\", allowed: a whole number, 6 to 10000" },
    refused_row{ "server names repeated in another pool share one gate",
                 table::Pools,
                 "ledger-0a",
                 "cw-00a",
                 "line 21: pools[1].shards[0].servers[0].name: found \"cw-00a\" again" },
    refused_row{ "two servers at one address receive twice the slots",
                 table::Pools,
                 "127.0.0.1:9101",
                 "127.0.0.1:9001",
                 "line 21: pools[1].shards[0].servers[0].address: found \"127.0.0.1:9001\" again" },
    refused_row{ "a range outside the positions",
                 table::Pools,
                 "4: [[0, 4096]]",
                 "4: [[0, 4097]]",
                 kRangeError },
    refused_row{ "an empty range",
                 table::Pools,
                 "4: [[0, 4096]]",
                 "4: [[7, 7]]",
                 "line 10: pools[0].shards[0].ranges.4: found [7, 7]" },
    refused_row{ "a range with three bounds",
                 table::Pools,
                 "4: [[0, 4096]]",
                 "4: [[0, 7, 9]]",
                 "line 10: pools[0].shards[0].ranges.4: found [0, 7, 9]" },
    refused_row{ "a partition map that is no number",
                 table::Pools,
                 "4: [[0",
                 "new: [[0",
                 "line 10: pools[0].shards[0].ranges.new: found \"new\", allowed: a partition map "
                 "id" },
    refused_row{ "a host name, which would need a DNS lookup",
                 table::Vms,
                 "127.0.0.1:7101",
                 "vm-a.example:7101",
                 "line 4: vms[1].address: found \"vm-a.example:7101\", allowed: \"ip:port\"" },
    refused_row{ "a port out of range",
                 table::Vms,
                 "127.0.0.1:7101",
                 "127.0.0.1:65536",
                 "line 4: vms[1].address: found \"127.0.0.1:65536\"" },
    refused_row{ "a VM without a state",
                 table::Vms,
                 ", state: live",
                 "",
                 "line 4: vms[1].state: found nothing" },
    refused_row{ "a name whose characters make keys built from names ambiguous",
                 table::Vms,
                 "name: vm-a",
                 "name: vm.a",
                 "line 4: vms[1].name: found \"vm.a\", allowed: a name of" },
    refused_row{ "a flag that is neither true nor false",
                 table::Pools,
                 "draining: true",
                 "draining: 1",
                 "line 13: pools[0].shards[0].servers[1].draining: found \"1\", allowed: false or "
                 "true" },
    refused_row{ "a mapping where a list is expected",
                 table::Routes,
                 "[desk, bridge]",
                 "{desk: 1}",
                 "line 4: routes[0].pools: found a mapping" },
    refused_row{ "text that is no YAML",
                 table::Routes,
                 "[desk, bridge]",
                 "[desk, bridge",
                 "line 5: file: found end of sequence flow not found" }));

struct inconsistent_row
{
  const char* mGuardsAgainst;
  const char* mFrom; // first occurrence in the valid pools table is replaced by mTo
  const char* mTo;
  const char* mReason;
};

class consistency_test : public testing::TestWithParam<inconsistent_row>
{};

TEST_P(consistency_test, IsRefused)
{
  const inconsistent_row& row = GetParam();
  const auto routes = ParseRoutes(kRoutes, "routes.yaml");
  const auto pools = ParsePools(Replace(kPools, row.mFrom, row.mTo), "pools.yaml");
  ASSERT_TRUE(routes && pools) << Describe(pools.mReason);
  const auto fault = CheckConsistency(*routes, *pools);
  ASSERT_TRUE(fault) << row.mGuardsAgainst;
  EXPECT_EQ(Describe(*fault), std::string("check tables route case-search: ") + row.mReason)
    << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  consistency_test,
  testing::Values(
    inconsistent_row{ "a route to a pool that is gone",
                      "name: bridge",
                      "name: gate",
                      "pool bridge is not in the pools table, revision 31" },
    inconsistent_row{ "records in a gap are never found",
                      "[[1000, 3000]]",
                      "[[1000, 2999]]",
                      "partition map 3: positions 2999 to 2999 have no shard" },
    inconsistent_row{ "records of the first positions are never found",
                      "[0, 1000]",
                      "[1, 1000]",
                      "partition map 3: positions 0 to 0 have no shard" },
    inconsistent_row{ "records of the last positions are never found",
                      "4: [[0, 4096]]",
                      "4: [[0, 4095]]",
                      "partition map 4: positions 4095 to 4095 have no shard" },
    inconsistent_row{
      "records in an overlap count twice",
      "[[1000, 3000]]",
      "[[999, 3000]]",
      "partition map 3: positions 999 to 999 belong to desk/cw-00 and bridge/ledger-0" },
    inconsistent_row{
      "a range inside another counts twice",
      "3: [[1000, 3000]]",
      "3: [[1000, 3000]], 4: [[5, 9]]",
      "partition map 4: positions 5 to 8 belong to desk/cw-00 and bridge/ledger-0" }));

// Guards against a route in force for which no version can be served.
TEST(parse, RouteWithoutAnyMapIsRefused)
{
  pool_spec pool;
  pool.mName = "desk";
  route_spec route;
  route.mPools = { "desk" };
  const auto fault = CheckConsistency({ 1, { route } }, { 1, {}, { pool } });
  ASSERT_TRUE(fault);
  EXPECT_EQ(fault->mText, "its pools have no partition map");
}

} // namespace
} // namespace redwingdock
