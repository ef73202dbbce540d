#include "standin/server.h"

#include <gtest/gtest.h>

namespace redwingdock::standin {
namespace {

using std::chrono::milliseconds;

// Summarizes a command, for example "refuse 7 shed not_run".
struct command_summary
{
  std::string operator()(const serve_connection& aCommand) const
  {
    return "serve " + Number(aCommand);
  }
  std::string operator()(const drop_connection& aCommand) const
  {
    return "drop " + Number(aCommand);
  }
  std::string operator()(const stop_listening&) const { return "down"; }
  std::string operator()(const start_listening&) const { return "up"; }
  std::string operator()(const schedule_event& aCommand) const
  {
    return "later " + std::to_string(ToMs(aCommand.mDelay));
  }
  std::string operator()(const report_run& aCommand) const { return "run " + aCommand.mAttempt; }
  std::string operator()(const reply_records& aCommand) const
  {
    return "records " + Number(aCommand) + " v" + std::to_string(aCommand.mVersion.mVersion) + " " +
           aCommand.mEvidence.mInstance + Mode(aCommand.mEvidence.mMode) +
           (aCommand.mFault ? " bad" : "");
  }
  std::string operator()(const reply_refusal& aCommand) const
  {
    return "refuse " + Number(aCommand) + " " + aCommand.mRefusal +
           (aCommand.mNotRun ? " not_run" : "");
  }
  std::string operator()(const reply_cancel& aCommand) const
  {
    return "cancelled " + Number(aCommand);
  }
  std::string operator()(const reply_health& aCommand) const
  {
    return "health " + Number(aCommand) + Mode(aCommand.mMode) + " " +
           std::to_string(aCommand.mParts);
  }

  template<typename T>
  static std::string Number(const T& aCommand)
  {
    return std::to_string(aCommand.mConnection);
  }
  static std::string Mode(server_mode aMode)
  {
    return aMode == server_mode::Warm   ? " warm"
           : aMode == server_mode::Cold ? " cold"
                                        : " draining";
  }
};

// A server with 2 slots, 4 connections, 10 ms of service time and the index versions 40 (partition
// map 3) and 41 (map 4). aChanges overrides its behaviour.
server_state Server(const std::string& aChanges, bool aWarm)
{
  yaml_errors errors{ "test", "", {} };
  yaml_mapping base = LoadYaml("{slots: 2, connections: 4, connect_ms: 6, service_median_ms: 10, "
                               "service_sigma: 0, versions: [{version: 40, map: 3}, {version: 41, "
                               "map: 4}], cold_replies: 2, cold_step_ms: 100, cold_factor: 2}",
                               errors);
  yaml_mapping changes = LoadYaml(aChanges, errors);
  server_state state;
  state.mSpec = { "s", "p", "h", "xela", "127.0.0.1:1", false };
  state.mShard = { "h", { { 3, { { 0, 4096 } } }, { 4, { { 0, 1 } } } } };
  state.mBehaviour =
    ReadBehaviour(changes, ReadPoolLimits(changes, ReadBehaviour(base, ReadPoolLimits(base, {}))));
  changes.RejectUnknownKeys();
  EXPECT_FALSE(errors.mFirstError) << Describe(*errors.mFirstError);
  state.mWarm = aWarm;
  return state;
}

part_arrived Part(std::uint64_t aConnection,
                  const std::string& aAttempt,
                  std::uint64_t aVersion = 40,
                  micros aRemaining = milliseconds(100),
                  const fields& aFilter = {})
{
  return {
    aConnection,
    { aAttempt, "s", "p", "h", aVersion, operation::Search, aFilter, "", aRemaining, "xela" }
  };
}

part_arrived Submit(std::uint64_t aConnection, std::uint64_t aVersion, const std::string& aId)
{
  part_arrived part = Part(aConnection, "a", aVersion);
  part.mCall.mOperation = operation::Submit;
  part.mCall.mRequestKey = "key";
  part.mCall.mFilter["id"] = aId;
  return part;
}

part_arrived From(const std::string& aZone, part_arrived aPart)
{
  aPart.mCall.mCallerZone = aZone;
  return aPart;
}

using opened = connection_opened;
using closed = connection_closed;
using texts = std::vector<std::string>;

struct script_step
{
  int mAtMs;
  server_event mEvent;
  texts mCommands;
};

struct script_row
{
  const char* mGuardsAgainst;
  const char* mChanges; // to the behaviour of Server()
  bool mWarm;
  std::vector<script_step> mSteps;
};

class server_test : public testing::TestWithParam<script_row>
{};

TEST_P(server_test, EmitsTheCommands)
{
  const script_row& row = GetParam();
  server_state state = Server(row.mChanges, row.mWarm);
  int number = 0;
  for (const script_step& step : row.mSteps) {
    server_step next = Step(state, step.mEvent, instant(milliseconds(step.mAtMs)));
    texts commands;
    for (const server_command& command : next.mCommands) {
      commands.push_back(std::visit(command_summary{}, command));
    }
    EXPECT_EQ(commands, step.mCommands) << row.mGuardsAgainst << ", step " << number;
    state = std::move(next.mState);
    ++number;
  }
}

const texts kNothing;

INSTANTIATE_TEST_SUITE_P(
  load,
  server_test,
  testing::Values(
    script_row{ "a part above the slot limit runs",
                "{}",
                true,
                { { 0, opened{ 1 }, { "serve 1" } },
                  { 0, opened{ 2 }, { "serve 2" } },
                  { 0, opened{ 3 }, { "serve 3" } },
                  { 6, Part(1, "a"), { "run a", "later 10" } },
                  { 7, Part(2, "b"), { "run b", "later 10" } },
                  { 8, Part(3, "c"), { "refuse 3 shed not_run" } },
                  { 16, part_timer_expired{ 1, 1 }, { "records 1 v40 s-1 warm" } },
                  { 17, Part(3, "c"), { "run c", "later 10" } } } },
    script_row{ "a closed connection frees the slot of a part that is still running",
                "{slots: 1}",
                true,
                { { 0, opened{ 1 }, { "serve 1" } },
                  { 0, opened{ 2 }, { "serve 2" } },
                  { 0, Part(1, "a"), { "run a", "later 10" } },
                  { 1, closed{ 1 }, kNothing },
                  { 2, Part(2, "b"), { "refuse 2 shed not_run" } },
                  { 10, part_timer_expired{ 1, 1 }, kNothing },
                  { 11, Part(2, "b"), { "run b", "later 10" } } } },
    script_row{ "a cancelled part keeps its slot, or is reported as not run",
                "{slots: 1}",
                true,
                { { 0, opened{ 1 }, { "serve 1" } },
                  { 0, opened{ 2 }, { "serve 2" } },
                  { 0, Part(1, "a"), { "run a", "later 10" } },
                  { 1, cancel_arrived{ 2, "a" }, { "refuse 1 cancelled", "cancelled 2" } },
                  { 2, Part(1, "b"), { "run b", "later 10" } },
                  { 3, cancel_arrived{ 2, "unknown" }, { "cancelled 2" } } } },
    script_row{ "connections above the limit are served, or closed ones still count",
                "{connections: 1}",
                true,
                { { 0, opened{ 1 }, { "serve 1" } },
                  { 0, opened{ 2 }, { "drop 2" } },
                  { 0, closed{ 1 }, kNothing },
                  { 0, opened{ 3 }, { "serve 3" } } } },
    script_row{
      "a part runs on after its deadline, or is reported as not run",
      "{latency_ms: 50}",
      true,
      { { 0, opened{ 1 }, { "serve 1" } },
        { 0, Part(1, "a", 40, milliseconds(20)), { "run a", "later 20" } },
        { 20, part_timer_expired{ 1, 1 }, { "refuse 1 deadline_passed" } },
        { 21, Part(1, "b", 40, milliseconds(0)), { "refuse 1 deadline_passed not_run" } } } },
    script_row{ "a saturated server is as fast as an idle one",
                "{load_factor: 0.5}",
                true,
                { { 0, opened{ 1 }, { "serve 1" } },
                  { 0, opened{ 2 }, { "serve 2" } },
                  { 0, Part(1, "a"), { "run a", "later 10" } },
                  { 1, Part(2, "b"), { "run b", "later 15" } } } },
    script_row{ "the latency between zones or of stragglers is not added",
                "{zone_ms: 1.5, straggler_share: 1, straggler_ms: 40}",
                true,
                { { 0, opened{ 1 }, { "serve 1" } },
                  { 0, From("toto", Part(1, "a")), { "run a", "later 53" } },
                  { 1, part_timer_expired{ 1, 1 }, { "records 1 v40 s-1 warm" } },
                  { 2, From("xela", Part(1, "b")), { "run b", "later 50" } } } }));

INSTANTIATE_TEST_SUITE_P(
  cold,
  server_test,
  testing::Values(
    script_row{ "a cold server runs parts above its capacity",
                "{restart_ms: 500}",
                false,
                { { 0, opened{ 1 }, { "serve 1" } },
                  { 0, opened{ 2 }, { "serve 2" } },
                  { 0, Part(1, "a"), { "run a", "later 20" } },
                  { 1, Part(2, "b"), { "down", "later 500" } },
                  { 9, opened{ 3 }, { "drop 3" } },
                  { 20, part_timer_expired{ 1, 1 }, kNothing },
                  { 501, restart_timer_expired{ 1 }, { "up" } },
                  { 502, opened{ 4 }, { "serve 4" } },
                  { 503, Part(4, "c"), { "run c", "later 20" } },
                  { 523, part_timer_expired{ 2, 2 }, { "records 4 v40 s-2 cold" } } } },
    script_row{ "replies alone, without elapsed time, warm a server",
                "{cold_replies: 1}",
                false,
                { { 0, opened{ 1 }, { "serve 1" } },
                  { 0, opened{ 2 }, { "serve 2" } },
                  { 0, Part(1, "a"), { "run a", "later 20" } },
                  { 20, part_timer_expired{ 1, 1 }, { "records 1 v40 s-1 cold" } },
                  { 21, Part(1, "b"), { "run b", "later 20" } },
                  { 22, Part(2, "c"), { "down", "later 500" } } } },
    script_row{ "elapsed time alone, without replies, warms a server",
                "{cold_step_ms: 1}",
                false,
                { { 0, opened{ 1 }, { "serve 1" } },
                  { 0, opened{ 2 }, { "serve 2" } },
                  { 900, Part(1, "a"), { "run a", "later 20" } },
                  { 901, Part(2, "b"), { "down", "later 500" } } } },
    script_row{ "a server never becomes warm",
                "{cold_replies: 1}",
                false,
                { { 0, opened{ 1 }, { "serve 1" } },
                  { 0, opened{ 2 }, { "serve 2" } },
                  { 0, Part(1, "a"), { "run a", "later 20" } },
                  { 100, part_timer_expired{ 1, 1 }, { "records 1 v40 s-1 warm" } },
                  { 101, Part(1, "b"), { "run b", "later 10" } },
                  { 101, Part(2, "c"), { "run c", "later 10" } } } },
    script_row{ "a server that loses its caches reveals it by a new instance or by its mode",
                "{reports_cold: false}",
                true,
                { { 0, opened{ 1 }, { "serve 1" } },
                  { 0, perform_action{ server_action::MakeCold }, kNothing },
                  { 1, Part(1, "a"), { "run a", "later 20" } },
                  { 21, part_timer_expired{ 1, 1 }, { "records 1 v40 s-1 warm" } } } },
    script_row{ "a stopped server restarts by itself",
                "{}",
                true,
                { { 0, perform_action{ server_action::Stop }, { "down" } },
                  { 1, restart_timer_expired{ 1 }, kNothing },
                  { 2, perform_action{ server_action::Start }, { "up" } },
                  { 3, perform_action{ server_action::Crash }, { "down", "later 500" } },
                  { 4, restart_timer_expired{ 1 }, kNothing },
                  { 5, restart_timer_expired{ 2 }, { "up" } } } }));

INSTANTIATE_TEST_SUITE_P(
  faults,
  server_test,
  testing::Values(
    script_row{
      "the crashing request leaves other connections open",
      "{crash_field: poison, crash_value: \"yes\"}",
      true,
      { { 0, opened{ 1 }, { "serve 1" } },
        { 0, opened{ 2 }, { "serve 2" } },
        { 0, Part(1, "a", 40, milliseconds(50), { { "poison", "no" } }), { "run a", "later 10" } },
        { 1,
          Part(2, "b", 40, milliseconds(50), { { "poison", "yes" } }),
          { "run b", "down", "later 500" } },
        { 10, part_timer_expired{ 1, 1 }, kNothing } } },
    script_row{ "requests on a silent connection run, or closing it frees it early",
                "{connections: 2, silent_hold_ms: 60000}",
                true,
                { { 0, opened{ 1 }, { "serve 1" } },
                  { 1, perform_action{ server_action::Silence }, { "later 60000" } },
                  { 2, Part(1, "a"), kNothing },
                  { 3, cancel_arrived{ 1, "a" }, kNothing },
                  { 4, health_requested{ 1 }, kNothing },
                  { 5, closed{ 1 }, kNothing },
                  { 6, opened{ 2 }, { "serve 2" } },
                  { 7, opened{ 3 }, { "drop 3" } },
                  { 8, Part(2, "a"), { "run a", "later 10" } },
                  { 60001, silence_timer_expired{ 1 }, { "drop 1" } },
                  { 60002, opened{ 4 }, { "serve 4" } } } },
    script_row{ "a part whose reply is lost does not run",
                "{silent_share: 1, silence: replies}",
                true,
                { { 0, opened{ 1 }, { "later 60000", "serve 1" } },
                  { 1, Part(1, "a"), { "run a", "later 10" } },
                  { 11, part_timer_expired{ 1, 1 }, kNothing } } },
    script_row{ "the health endpoint reports the actual state in misleading mode",
                "{health: misleading}",
                false,
                { { 0, opened{ 1 }, { "serve 1" } },
                  { 1, Part(1, "a"), { "run a", "later 20" } },
                  { 2, health_requested{ 1 }, { "health 1 warm 0" } } } },
    script_row{ "the health endpoint hides a cold start in true mode",
                "{}",
                false,
                { { 0, opened{ 1 }, { "serve 1" } },
                  { 1, Part(1, "a"), { "run a", "later 20" } },
                  { 2, health_requested{ 1 }, { "health 1 cold 1" } } } },
    script_row{ "faulty replies are not sent",
                "{bad_reply: wrong_version, bad_reply_share: 1}",
                true,
                { { 0, opened{ 1 }, { "serve 1" } },
                  { 0, Part(1, "a"), { "run a", "later 10" } },
                  { 10, part_timer_expired{ 1, 1 }, { "records 1 v40 s-1 warm bad" } } } }));

// In partition map 4 the shard owns only position 0. PositionOf("a") is 0xe5b.
INSTANTIATE_TEST_SUITE_P(
  targets,
  server_test,
  testing::Values(
    script_row{ "version 0 does not select the newest, or a part runs on a version that is gone",
                "{}",
                true,
                { { 0, opened{ 1 }, { "serve 1" } },
                  { 0, Part(1, "a", 0), { "run a", "later 10" } },
                  { 10, part_timer_expired{ 1, 1 }, { "records 1 v41 s-1 warm" } },
                  { 11, Part(1, "b", 39), { "refuse 1 version_gone not_run" } } } },
    script_row{ "a part runs on a version in whose partition map the shard owns nothing",
                "{versions: [{version: 42, map: 5}]}",
                true,
                { { 0, opened{ 1 }, { "serve 1" } },
                  { 0, Part(1, "a", 42), { "refuse 1 wrong_target not_run" } } } },
    script_row{ "a submit runs on a shard that does not own its record",
                "{}",
                true,
                { { 0, opened{ 1 }, { "serve 1" } },
                  { 0, Submit(1, 41, "a"), { "refuse 1 wrong_target not_run" } },
                  { 1, Submit(1, 40, "a"), { "run a", "later 10" } } } },
    script_row{ "a server that only announces its drain refuses parts",
                "{drain: announce}",
                true,
                { { 0, opened{ 1 }, { "serve 1" } },
                  { 0, Part(1, "a"), { "run a", "later 10" } },
                  { 10, part_timer_expired{ 1, 1 }, { "records 1 v40 s-1 draining" } } } },
    script_row{ "a draining server in refuse mode runs new parts",
                "{drain: refuse}",
                true,
                { { 0, opened{ 1 }, { "serve 1" } },
                  { 0, Part(1, "a"), { "refuse 1 draining not_run" } } } }));

// Guards against peaks that hide load above a limit because they leave out refused parts and
// connections.
TEST(server, PeaksIncludeRefusedLoad)
{
  server_state state = Server("{slots: 1, connections: 2}", true);
  for (const server_event& event : std::vector<server_event>{
         opened{ 1 }, opened{ 2 }, opened{ 3 }, Part(1, "a"), Part(2, "b") }) {
    state = Step(state, event, instant(milliseconds(9))).mState;
  }
  EXPECT_EQ(state.mCounts.mPeakConnections, 3U);
  EXPECT_EQ(state.mCounts.mConnectionsRefused, 1U);
  EXPECT_EQ(state.mCounts.mPeakParts, 2U);
  EXPECT_EQ(state.mCounts.mRun, 1U);
  EXPECT_EQ(state.mCounts.mShed, 1U);
  EXPECT_EQ(state.mCounts.mLastRequest, instant(milliseconds(9)));
}

} // namespace
} // namespace redwingdock::standin
