#include "standin/admin.h"

#include "standin/table_edits.h"
#include "tables/parse.h"

#include <gtest/gtest.h>

namespace redwingdock::standin {
namespace {

constexpr char kPools[] = R"(revision: 31
pools:
  - name: desk
    slots: 3
    connections: 30
    shards:
      - name: cw-00
        ranges: {3: [[0, 4096]], 4: [[0, 7], [9, 4096]]}
        servers:
          - {name: cw-00a, zone: xela, address: "127.0.0.1:9001"}
          - {name: cw-00b, zone: toto, address: "127.0.0.1:9002", draining: true}
)";

constexpr char kVms[] = R"(revision: 5
vms:
  - {name: vm-a, zone: xela, address: "127.0.0.1:7101", call_address: "127.0.0.1:7001", state: live}
)";

class admin_test
{
public:
  admin_test()
  {
    platform_state platform;
    platform.mTables[table_kind::Pools] = { 31, std::make_shared<const std::string>(kPools) };
    platform.mTables[table_kind::Vms] = { 5, std::make_shared<const std::string>(kVms) };
    mBoard.SetPlatform(std::move(platform));
    const auto pools = ParsePools(kPools, "");
    for (const server_spec& spec : pools->mPools.at(0).mServers) {
      server_state state;
      state.mSpec = spec;
      mBoard.AddServer(std::move(state));
    }
  }

  // Summarizes the events of a request, for example "cw-00a set;", "cw-00a do 0;", "table r32;" or
  // "mode 1;". Returns the reason when the request is rejected.
  std::string Changes(const std::string& aTarget, const std::string& aBody)
  {
    const auto change = ReadAdminRequest(aTarget, aBody, mBoard);
    if (!change) {
      return Describe(change.mReason);
    }
    std::string text;
    for (const auto& [name, event] : change->mServers) {
      const auto* action = std::get_if<perform_action>(&event);
      text +=
        name + (action ? " do " + std::to_string(static_cast<int>(action->mAction)) : " set") + ";";
    }
    for (const platform_event& event : change->mPlatform) {
      if (const auto* table = std::get_if<publish_table>(&event)) {
        text += "table r" + std::to_string(table->mTable.mRevision) + ";";
        mText = *table->mTable.mText;
      } else if (const auto* mode = std::get_if<set_platform>(&event)) {
        text += "mode " + std::to_string(static_cast<int>(mode->mMode)) +
                (mode->mStale ? " stale;" : ";");
      }
    }
    return text + (change->mResetRuns ? "reset" : "");
  }

  standin_board mBoard;
  std::string mText; // of the last table in Changes
};

struct admin_row
{
  const char* mGuardsAgainst;
  const char* mTarget;
  const char* mBody;
  const char* mChanges; // prefix of the summary or of the reason
};

class request_test
  : public admin_test
  , public testing::TestWithParam<admin_row>
{};

TEST_P(request_test, IsParsedOrRejected)
{
  const admin_row& row = GetParam();
  EXPECT_EQ(Changes(row.mTarget, row.mBody).substr(0, std::string(row.mChanges).size()),
            row.mChanges)
    << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  request_test,
  testing::Values(
    admin_row{ "a selection by zone applies to all servers",
               "/admin/servers",
               R"({"zone": "toto", "do": "crash"})",
               "cw-00b do 0;" },
    admin_row{ "a request without a selection applies to no server",
               "/admin/servers",
               R"({"do": "silence", "set": {"slots": 2}})",
               "cw-00a set;cw-00a do 5;cw-00b set;cw-00b do 5;" },
    admin_row{ "a misspelt server name is ignored, so that a fault is not injected",
               "/admin/servers",
               R"({"servers": ["cw-00a", "cw-0b"], "do": "crash"})",
               "admin /admin/servers: line 1: servers: found 1 matching servers" },
    admin_row{ "a misspelt key is ignored, so that a fault is not injected",
               "/admin/servers",
               R"({"set": {"slot": 2}})",
               "admin /admin/servers: line 1: set.slot: found an unknown key" },
    admin_row{ "a share above 1 is accepted",
               "/admin/servers",
               R"({"set": {"silent_share": 1.5}})",
               "admin /admin/servers: line 1: set.silent_share: found \"1.5\", allowed: a number, "
               "0 to 1" },
    admin_row{ "index versions in descending order are accepted",
               "/admin/servers",
               R"({"set": {"versions": [{"version": 41, "map": 4}, {"version": 40, "map": 3}]}})",
               "admin /admin/servers: line 1: set.versions[1].version: found \"40\"" },
    admin_row{ "a request that sets the mode drops the stale flag",
               "/admin/platform",
               R"({"mode": "off", "stale": true})",
               "mode 1 stale;" },
    admin_row{ "an edit of an unknown zone is accepted",
               "/admin/tables",
               R"({"edit": "close_zone", "name": "nowhere"})",
               "admin /admin/tables: line 1: name: found \"nowhere\"" },
    admin_row{ "an invalid table, which daemons must refuse, cannot be published",
               "/admin/tables",
               R"({"table": "pools", "text": "no: table", "revision": 40})",
               "table r40;" },
    admin_row{ "a table without a revision is published",
               "/admin/tables",
               R"({"table": "pools", "text": "no: table"})",
               "admin /admin/tables: line 1: revision: found nothing" },
    admin_row{ "a reset keeps the run counts",
               "/admin/reset",
               "{}",
               "cw-00a do 6;cw-00b do 6;reset" },
    admin_row{ "an unknown path is accepted",
               "/admin/server",
               "{}",
               "admin /admin/server: path: found" }));

struct edit_row
{
  const char* mGuardsAgainst;
  const char* mBody;
  const char* mContains; // part of the published text
};

class edit_test
  : public admin_test
  , public testing::TestWithParam<edit_row>
{};

TEST_P(edit_test, PublishesTheNextRevision)
{
  const edit_row& row = GetParam();
  const std::string change = Changes("/admin/tables", row.mBody);
  EXPECT_TRUE(change == "table r32;" || change == "table r6;") << change;
  EXPECT_NE(mText.find(row.mContains), std::string::npos) << row.mGuardsAgainst << "\n" << mText;
  EXPECT_TRUE(ParsePools(mText, "") || ParseVmList(mText, "")) << mText;
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  edit_test,
  testing::Values(edit_row{ "a closed zone is not listed",
                            R"({"edit": "close_zone", "name": "xela"})",
                            "closed_zones: [xela]" },
                  edit_row{ "an edit loses partition maps",
                            R"({"edit": "open_zone", "name": "xela"})",
                            "ranges: {3: [[0, 4096]], 4: [[0, 7], [9, 4096]]}" },
                  edit_row{ "a drained server is not marked as draining",
                            R"({"edit": "drain_server", "name": "cw-00a"})",
                            "address: \"127.0.0.1:9001\", draining: true}" },
                  edit_row{ "the drain of a server cannot be undone",
                            R"({"edit": "undrain_server", "name": "cw-00b"})",
                            "address: \"127.0.0.1:9002\"}" },
                  edit_row{ "the last VM cannot be removed",
                            R"({"edit": "remove_vm", "name": "vm-a"})",
                            "vms: []" },
                  edit_row{ "a leaving VM is listed as live",
                            R"({"edit": "vm_leaving", "name": "vm-a"})",
                            "state: leaving" },
                  edit_row{ "an added VM is missing from the list",
                            R"({"edit": "put_vm", "put_vm": {"name": "vm-b", "zone": "toto",
                  "address": "127.0.0.1:7102", "call_address": "127.0.0.1:7002"}})",
                            "{name: vm-b, zone: toto, address: \"127.0.0.1:7102\"" }));

} // namespace
} // namespace redwingdock::standin
