#include "daemon/loopback_test_util.h"
#include "platform/edge_fixture.h"
#include "program_fixture.h"
#include "testing/child_process.h"

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <gtest/gtest.h>
#include <sys/stat.h>
#include <unistd.h>

// Starts the programs as processes, and checks that log readers and signals make none of them end
// with a request unanswered.

namespace redwingdock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test_util::blocking_socket;
using test_util::ParseStatus;
using test_util::SendRequest;
using test_util::WaitUntil;
using testing_support::child_process;
using testing_support::process_end;

// The grace of the platform's daemon; record search has no longer stop in these tests.
constexpr seconds kStopLimit{ 6 };

// The platform's daemon as a process, with a store and one replica for each of three services.
class edge_deployment
{
public:
  edge_deployment()
  {
    const result<std::string> store = mStore.ListenOn("127.0.0.1:0");
    EXPECT_TRUE(store);
    for (const char* service : { "a", "b", "c" }) {
      const std::string id = std::string("i-") + service;
      auto replica = std::make_unique<platform::replica_standin>(
        mLoop, id, platform::replica_behaviour{ milliseconds(2), 200, "" });
      EXPECT_TRUE(replica->ListenOn("127.0.0.1:0"));
      mStore.Put(platform::kReplicaPrefix + id, replica->PublishedEntry(service, "zone-1", false));
      mReplicas.emplace(service, std::move(replica));
    }
    mStore.Put(platform::kConfigurationKey, platform::kConfiguration);
    mSettings = "vm: vm-1\nzone: zone-1\nlisten: {callers: \"" + mIp + ":8104\", readiness: \"" +
                mIp + ":8108\", addresses: \"" + mIp + ":8100\", peers: \"" + mIp +
                ":7380\", metrics: \"" + mIp + ":9464\"}\nstore: \"" + (store ? *store : "") +
                "\"\nseeds: [\"" + mIp + ":8106\"]\nstop: {linger_ms: 200}\n";
    mFile = mFolder.Write("edge.yaml", mSettings);
    mLoop.Start();
  }

  ~edge_deployment() { mLoop.Stop(); }

  void StartProgram()
  {
    mProgram = std::make_unique<child_process>(
      std::vector<std::string>{ Program("redwingdock_edge"), "--settings", mFile });
  }

  bool WaitUntilReady() const
  {
    return WaitUntil(
      [this] { return ParseStatus(SendRequest(mIp + ":8108", "GET", "/readiness")) == 200; });
  }

  std::string Callers() const { return mIp + ":8104"; }

  void WaitFor(micros aTime)
  {
    std::promise<void> elapsed;
    mLoop.After(aTime, [&elapsed] { elapsed.set_value(); });
    elapsed.get_future().wait();
  }

  const std::string mIp = LoopbackIp();
  const temporary_folder mFolder;
  io_loop mLoop{ 2 };
  platform::store_standin mStore{ mLoop };
  std::map<std::string, std::unique_ptr<platform::replica_standin>> mReplicas;
  std::string mSettings;
  std::string mFile;
  std::unique_ptr<child_process> mProgram;
};

// A record search daemon as a process, without a configuration service.
struct record_search_program
{
  bool IsServing() const
  {
    return ParseStatus(SendRequest(mIp + ":7001", "POST", "/v1/query", R"({"route":"r"})")) != 0;
  }

  bool WaitUntilServing() const
  {
    return WaitUntil([this] { return IsServing(); });
  }

  const std::string mIp = LoopbackIp();
  const temporary_folder mFolder;
  const std::string mFile =
    mFolder.Write("daemon.yaml",
                  "vm: vm-1\nzone: xela\nlisten: {callers: \"" + mIp + ":7001\", peers: \"" + mIp +
                    ":7101\", operators: \"" + mIp + ":7201\"}\nconfiguration_service: [\"" + mIp +
                    ":9\"]\nentry: {lifetime_ms: 100}\ntables: {read_retry_ms: 10}\n");
  child_process mProgram{ { Program("redwingdockd"), "--settings", mFile } };
};

enum class log_reader
{
  Reads,
  Gone,
  Stalled,
};

struct log_reader_row
{
  const char* mGuardsAgainst;
  log_reader mReader;
};

// Fills the pipe of a program with log lines that nobody reads.
void StallOutput(child_process& aProgram, const std::function<void()>& aMakeLine)
{
  const std::size_t size = aProgram.ShrinkOutput();
  constexpr int kLines = 10; // that did not get into the pipe
  std::size_t before = 0;
  int same = 0;
  EXPECT_TRUE(WaitUntil([&] {
    aMakeLine();
    const std::size_t unread = aProgram.UnreadOutput();
    same = unread == before && unread >= size / 2 ? same + 1 : 0;
    before = unread;
    return same == kLines;
  }));
}

class log_reader_test : public testing::TestWithParam<log_reader_row>
{};

TEST_P(log_reader_test, EdgeDaemonAnswersAndEnds)
{
  edge_deployment tested;
  tested.mReplicas["b"]->SetBehaviour({ seconds(1), 200, "" });
  tested.StartProgram();
  ASSERT_TRUE(tested.WaitUntilReady());
  if (GetParam().mReader == log_reader::Stalled) {
    int number = 0;
    StallOutput(*tested.mProgram, [&] {
      blocking_socket socket(tested.Callers());
      socket.Send(platform::RequestWithId("/p/x", "stall-" + std::to_string(++number)));
      EXPECT_EQ(ParseStatus(socket.ReadReply()), 200U);
    });
  }
  blocking_socket client(tested.Callers());
  client.Send(platform::RequestWithId("/slow/x", "open-1"));
  ASSERT_TRUE(WaitUntil([&] { return tested.mReplicas["b"]->RunCounts().contains("open-1"); }));
  if (GetParam().mReader == log_reader::Gone) {
    tested.mProgram->CloseOutput();
  }
  tested.mProgram->Signal(SIGTERM);
  EXPECT_EQ(ParseStatus(client.ReadReply()), 200U) << GetParam().mGuardsAgainst;
  EXPECT_EQ(tested.mProgram->WaitForEnd(kStopLimit), (process_end{ 0, 0 }))
    << GetParam().mGuardsAgainst;
}

TEST_P(log_reader_test, RecordSearchAnswersAndEnds)
{
  record_search_program tested;
  ASSERT_TRUE(tested.WaitUntilServing());
  if (GetParam().mReader == log_reader::Gone) {
    tested.mProgram.CloseOutput();
  } else if (GetParam().mReader == log_reader::Stalled) {
    StallOutput(tested.mProgram, [&] { EXPECT_TRUE(tested.IsServing()); });
  }
  tested.mProgram.Signal(SIGTERM);
  EXPECT_TRUE(tested.IsServing()) << GetParam().mGuardsAgainst;
  EXPECT_EQ(tested.mProgram.WaitForEnd(kStopLimit), (process_end{ 0, 0 }))
    << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  log_reader_test,
  testing::Values(log_reader_row{ "a check that passes only with a fault", log_reader::Reads },
                  log_reader_row{ "a process ended by SIGPIPE when the reader of its log has gone",
                                  log_reader::Gone },
                  log_reader_row{ "a process that cannot end because nobody reads its log",
                                  log_reader::Stalled }));

// When a signal arrives, from the read of the settings on.
struct start_row
{
  int mSignal;
  std::optional<milliseconds> mAfterSettings; // nullopt: while the settings are read
};

class signal_at_start_test : public testing::TestWithParam<start_row>
{};

// Guards against a reload signal that ends a process that starts, and against a stop at the start
// that does not end or leaves a request unanswered.
TEST_P(signal_at_start_test, EdgeDaemonServesOrEnds)
{
  edge_deployment tested;
  // The program opens the settings as a pipe, later it reads the file that replaces the pipe.
  const std::string copy = tested.mFolder.Write("copy.yaml", tested.mSettings);
  std::filesystem::remove(tested.mFile);
  ASSERT_EQ(mkfifo(tested.mFile.c_str(), 0600), 0);
  tested.StartProgram();
  int settings = -1;
  ASSERT_TRUE(WaitUntil([&] {
    settings = open(tested.mFile.c_str(), O_WRONLY | O_NONBLOCK);
    return settings >= 0;
  }));
  std::filesystem::rename(copy, tested.mFile);
  if (!GetParam().mAfterSettings) {
    tested.mProgram->Signal(GetParam().mSignal);
  }
  EXPECT_EQ(write(settings, tested.mSettings.data(), tested.mSettings.size()),
            static_cast<ssize_t>(tested.mSettings.size()));
  close(settings);
  // Sends a request as soon as the program listens; nullopt if it never does.
  auto reply = std::async(std::launch::async, [&tested]() -> std::optional<std::string> {
    const instant latest = SteadyNow() + seconds(1);
    std::unique_ptr<blocking_socket> socket;
    WaitUntil([&] {
      socket = std::make_unique<blocking_socket>(tested.Callers());
      return socket->Connected() || SteadyNow() >= latest;
    });
    if (!socket->Connected()) {
      return std::nullopt;
    }
    socket->Send(platform::RequestWithId("/p/x", "start-1"));
    return socket->ReadReply();
  });
  if (GetParam().mAfterSettings) {
    tested.WaitFor(*GetParam().mAfterSettings);
    tested.mProgram->Signal(GetParam().mSignal);
  }
  EXPECT_NE(reply.get(), "");
  if (GetParam().mSignal == SIGHUP) {
    EXPECT_TRUE(tested.WaitUntilReady());
    EXPECT_EQ(tested.mProgram->WaitForEnd(milliseconds(0)), std::nullopt);
    return;
  }
  const std::optional<process_end> end = tested.mProgram->WaitForEnd(kStopLimit);
  ASSERT_TRUE(end);
  EXPECT_TRUE(*end == (process_end{ 0, 0 }) || *end == (process_end{ 0, SIGTERM }))
    << end->mStatus << " " << end->mSignal;
}

std::vector<start_row> StartRows()
{
  std::vector<start_row> rows;
  for (const int signal : { SIGHUP, SIGTERM }) {
    rows.push_back({ signal, std::nullopt });
    for (const int ms : { 0, 1, 5, 20, 50, 100, 300 }) {
      rows.push_back({ signal, milliseconds(ms) });
    }
  }
  return rows;
}

INSTANTIATE_TEST_SUITE_P(rows, signal_at_start_test, testing::ValuesIn(StartRows()));

// Guards against a record search daemon that a hangup of its terminal ends.
TEST(signal_test, RecordSearchServesOnAfterAHangup)
{
  record_search_program tested;
  ASSERT_TRUE(tested.WaitUntilServing());
  tested.mProgram.Signal(SIGHUP);
  EXPECT_TRUE(tested.mProgram.WaitForOutput("hangup signal ignored", seconds(2)));
  EXPECT_TRUE(tested.IsServing());
}

struct standin_row
{
  const char* mProgram;
  std::vector<std::string> mArguments;
};

class standin_program_test : public testing::TestWithParam<standin_row>
{};

// Guards against a stand-in that SIGPIPE ends when the reader of its output has gone.
TEST_P(standin_program_test, OutlivesTheReaderOfItsOutput)
{
  const temporary_folder folder;
  const std::string ip = LoopbackIp();
  folder.Write("records.jsonl", "");
  folder.Write("routes.yaml", "revision: 1\nroutes: [{name: r, pools: [p], deadline_ms: 300}]\n");
  folder.Write("vms.yaml",
               "revision: 1\nvms: [{name: vm-1, zone: xela, address: \"" + ip +
                 ":7101\", call_address: \"" + ip + ":7001\", state: live}]\n");
  folder.Write(
    "pools.yaml",
    "revision: 1\npools:\n  - name: p\n    slots: 1\n    connections: 2\n    shards: [{name: s, "
    "ranges: {3: [[0, 4096]]}, servers: [{name: s-a, zone: xela, address: \"" +
      ip + ":8104\"}]}]\n");
  const std::map<std::string, std::string> values{
    { "STORE", ip + ":8102" },
    { "CONFIG",
      folder.Write("standin.yaml",
                   "platform: \"" + ip + ":8102\"\nadmin: \"" + ip +
                     ":8103\"\ndatasets: [{name: d, file: records.jsonl, pools: [p]}]\n") }
  };
  std::vector<std::string> command{ Program(GetParam().mProgram) };
  for (const std::string& each : GetParam().mArguments) {
    const auto value = values.find(each);
    command.push_back(value == values.end() ? each : value->second);
  }
  child_process program(command);
  program.CloseOutput();
  EXPECT_TRUE(WaitUntil([&] { return blocking_socket(ip + ":8102").Connected(); }));
  program.Signal(SIGTERM);
  EXPECT_EQ(program.WaitForEnd(kStopLimit), (process_end{ 0, 0 }));
}

INSTANTIATE_TEST_SUITE_P(rows,
                         standin_program_test,
                         testing::Values(standin_row{ "redwingdock_edge_standin",
                                                      { "--store", "STORE", "--services", "1" } },
                                         standin_row{ "redwingdock_standin",
                                                      { "serve", "CONFIG" } }));

} // namespace
} // namespace redwingdock
