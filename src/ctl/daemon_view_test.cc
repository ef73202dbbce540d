#include "ctl/daemon_view.h"

#include <gtest/gtest.h>

namespace redwingdock::ctl {
namespace {

const char kView[] = R"({"vm": "vm-1", "incarnation": "5f2c", "zone": "xela", "phase": "serving",
  "revisions": {"routes": 12, "pools": 31, "vms": 5}, "view_confirmed": true,
  "closed_zones": ["solola"],
  "members": [{"vm": "vm-1", "zone": "xela", "state": "live"},
              {"vm": "vm-2", "zone": "toto", "state": "leaving", "connected": true, "draining": true}],
  "permits": {"cw-00a": [{"index": 0, "holder": "vm-1"}, {"index": 1, "holder": "vm-2"}]},
  "servers": {"cw-00a": {"instance": "cw-00a-1", "stage": 2, "draining": false, "queue": 3}},
  "suspects": [{"fingerprint": "77", "level": "quarantined", "servers_lost": []}],
  "counters": {"queries": 9}})";

daemon_view Sample()
{
  return *ParseView(kView, "127.0.0.1:1");
}

struct parse_row
{
  const char* mGuardsAgainst;
  std::string mText;
  bool mParses;
};

class parse_test : public testing::TestWithParam<parse_row>
{};

TEST_P(parse_test, Parses)
{
  result<daemon_view> view = ParseView(GetParam().mText, "127.0.0.1:1");
  EXPECT_EQ(static_cast<bool>(view), GetParam().mParses) << GetParam().mGuardsAgainst;
  if (view) {
    EXPECT_EQ(view->mPermits.at("cw-00a"), (std::vector<std::string>{ "vm-1", "vm-2" }));
    EXPECT_EQ(view->mMembers.at("vm-2"), (member_status{ "leaving", true, true }));
    EXPECT_EQ(view->mServers.at("cw-00a"), (server_status{ "cw-00a-1", 2, false, 3 }));
  }
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  parse_test,
  testing::Values(parse_row{ "a valid view is rejected", kView, true },
                  parse_row{ "a reply from another service is accepted", "{}", false },
                  parse_row{ "a truncated body is accepted", std::string(kView, 100), false }));

struct compare_row
{
  const char* mGuardsAgainst;
  std::function<void(daemon_view&)> mChange; // of the second daemon
  std::string mDiffers;                      // name of the marked row; empty if none
};

class compare_test : public testing::TestWithParam<compare_row>
{};

TEST_P(compare_test, MarksDifferences)
{
  daemon_view second = Sample();
  second.mVm = "vm-2";
  second.mMembers["vm-1"].mConnected = true;
  GetParam().mChange(second);
  std::vector<view_row> rows =
    CompareViews({ { "127.0.0.1:1", Success(Sample()) }, { "127.0.0.2:1", Success(second) } });
  std::string differs;
  for (const view_row& row : rows) {
    differs += row.mDiffers ? row.mName : "";
  }
  EXPECT_EQ(differs, GetParam().mDiffers) << GetParam().mGuardsAgainst;
  EXPECT_EQ(HasDifferences(rows), !differs.empty());
  EXPECT_EQ(FormatRows(rows, false).find("\n! ") != std::string::npos, !differs.empty());
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  compare_test,
  testing::Values(
    compare_row{ "equal views are marked as different", [](daemon_view&) {}, "" },
    compare_row{ "properties of a single daemon are marked as different",
                 [](daemon_view& aView) {
                   aView.mIncarnation = "77aa";
                   aView.mZone = "toto";
                   aView.mPhase = "draining";
                   aView.mServers["cw-00a"].mQueue = 9;
                 },
                 "" },
    compare_row{ "a daemon with an old table goes unnoticed",
                 [](daemon_view& aView) { aView.mRevisions["pools"] = 30; },
                 "revision of pools" },
    compare_row{ "a daemon that still uses a closed zone goes unnoticed",
                 [](daemon_view& aView) { aView.mClosedZones.clear(); },
                 "closed zones" },
    compare_row{ "two daemons that both claim a permit go unnoticed",
                 [](daemon_view& aView) {
                   aView.mPermits["cw-00a"] = { "vm-2", "vm-2" };
                 },
                 "permits of cw-00a" },
    compare_row{ "a daemon that missed the restart of a server goes unnoticed",
                 [](daemon_view& aView) { aView.mServers["cw-00a"].mInstance = "cw-00a-2"; },
                 "instance of cw-00a" },
    compare_row{ "a server without status on one daemon is marked as different",
                 [](daemon_view& aView) { aView.mServers.clear(); },
                 "" },
    compare_row{ "a network partition between daemons goes unnoticed",
                 [](daemon_view& aView) { aView.mMembers["vm-1"].mConnected = false; },
                 "sees vm-1" },
    compare_row{ "a quarantine that is missing on one daemon goes unnoticed",
                 [](daemon_view& aView) { aView.mSuspects.clear(); },
                 "quarantined" }));

struct unreachable_row
{
  const char* mGuardsAgainst;
  bool mFirstAnswers;
  std::size_t mColumns;
};

class unreachable_test : public testing::TestWithParam<unreachable_row>
{};

TEST_P(unreachable_test, KeepsTheColumnOfADaemonThatDoesNotAnswer)
{
  view_reply unreachable{ "127.0.0.2:1",
                          Failure<daemon_view>("GET /v1/view", "127.0.0.2:1", "refused") };
  std::vector<view_reply> views{ unreachable };
  if (GetParam().mFirstAnswers) {
    views.insert(views.begin(), { "127.0.0.1:1", Success(Sample()) });
  }
  std::vector<view_row> rows = CompareViews(views);
  EXPECT_TRUE(HasDifferences(rows)) << GetParam().mGuardsAgainst;
  for (const view_row& row : rows) {
    EXPECT_EQ(row.mValues.size(), GetParam().mColumns) << GetParam().mGuardsAgainst;
  }
  EXPECT_NE(FormatLimits(views).find("server"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  unreachable_test,
  testing::Values(unreachable_row{ "an unreachable daemon shifts the columns", true, 2 },
                  unreachable_row{ "the output is malformed if no daemon answers", false, 1 }));

} // namespace
} // namespace redwingdock::ctl
