#include "daemon/loopback_test_util.h"
#include "platform/edge_fixture.h"
#include "program_fixture.h"
#include "testing/child_process.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <gtest/gtest.h>
#include <mutex>
#include <ostream>
#include <sys/resource.h>
#include <tuple>

// Crowds of clients that do not behave, against the daemon as a process on a VM with little memory
// and few descriptors. The process must live, stay within both, and answer ordinary requests while
// the crowd is still connected. Nothing here depends on how fast the machine is.

namespace redwingdock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test_util::blocking_socket;
using test_util::ParseStatus;
using test_util::SendRequest;
using test_util::WaitUntil;
using testing_support::child_process;

constexpr std::size_t kKilobyte = 1000;
constexpr std::size_t kMegabyte = 1000 * kKilobyte;

// The VM. The users' smallest VM has 260 MB and 4,100 descriptors; their pages reserve 200
// descriptors of a process for files and leave the others to sockets and pipes.
constexpr std::size_t kMemoryMb = 64;
constexpr std::size_t kMemory = kMemoryMb * 1024 * 1024;
constexpr std::size_t kDescriptors = 4100;
constexpr std::size_t kFewDescriptors = 400;
constexpr std::size_t kFileDescriptors = 200;

const std::string kLimits = R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,)"
                            R"("headerTimeoutMs":15000,"idleTimeoutMs":15000})";

std::string Configuration(const std::string& aLimits)
{
  const auto route = [](const std::string& aName, const char* aKind, const char* aService) {
    return R"({"name":")" + aName + R"(","host":"h.example","prefix":"/)" + aName +
           R"(/","kind":")" + aKind + R"(","timeoutMs":20000,"targetLatencyMs":1000,"service":")" +
           aService + R"(","maxAttempts":1})";
  };
  return R"({"version":1,"routes":[)" + route("plain", "safe", "a") + "," +
         route("long", "safe", "b") + "," + route("wait", "unsafe", "c") +
         R"(],"services":[{"name":"a","connectionLimit":1000},)"
         R"({"name":"b","connectionLimit":1000},{"name":"c","connectionLimit":1000}],)" +
         aLimits + "}";
}

// Peak of the resident memory in bytes.
std::size_t PeakMemory(const child_process& aProgram)
{
  std::ifstream status("/proc/" + std::to_string(aProgram.Id()) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.rfind("VmHWM:", 0) == 0) {
      return std::strtoul(line.c_str() + 6, nullptr, 10) * 1024;
    }
  }
  ADD_FAILURE() << "the process has no memory";
  return 0;
}

std::size_t OpenSockets(const child_process& aProgram)
{
  std::size_t count = 0;
  std::error_code error;
  const std::string folder = "/proc/" + std::to_string(aProgram.Id()) + "/fd";
  for (const auto& each : std::filesystem::directory_iterator(folder, error)) {
    const std::string target = std::filesystem::read_symlink(each.path(), error);
    count += target.rfind("socket:", 0) == 0 || target.rfind("pipe:", 0) == 0 ? 1 : 0;
  }
  return count;
}

// The process runs and has stayed within the memory and the descriptors of its VM.
void ExpectWithinLimits(child_process& aProgram,
                        std::size_t aDescriptors,
                        const char* aGuardsAgainst)
{
  EXPECT_EQ(aProgram.WaitForEnd(milliseconds(0)), std::nullopt) << aGuardsAgainst;
  EXPECT_LT(PeakMemory(aProgram), kMemory) << aGuardsAgainst;
  testing::Test::RecordProperty("peak_bytes", std::to_string(PeakMemory(aProgram)));
  EXPECT_LT(OpenSockets(aProgram), aDescriptors - kFileDescriptors) << aGuardsAgainst;
}

std::string LimitsText(std::size_t aDescriptors)
{
  return "limits: {memory_mb: " + std::to_string(kMemoryMb) +
         ", descriptors: " + std::to_string(aDescriptors) + "}\n";
}

void LimitDescriptors(const child_process& aProgram, std::size_t aDescriptors)
{
  const rlimit limit{ aDescriptors, aDescriptors };
  EXPECT_EQ(prlimit(aProgram.Id(), RLIMIT_NOFILE, &limit, nullptr), 0);
}

// The daemon with a store and three replicas: "a" replies with the path, "b" with a long body, "c"
// never.
class crowd_deployment
{
public:
  crowd_deployment(std::size_t aReplyBytes,
                   std::size_t aDescriptors,
                   const std::string& aLimits = kLimits)
    : mDescriptors(aDescriptors)
  {
    const result<std::string> store = mStore.ListenOn("127.0.0.1:0");
    EXPECT_TRUE(store);
    AddReplica("a", { milliseconds(0), 200, "" });
    AddReplica("b", { milliseconds(0), 200, std::string(aReplyBytes, 'x') });
    AddReplica("c", { milliseconds(0), 200, "", true });
    mStore.Put(platform::kConfigurationKey, Configuration(aLimits));
    const std::string file = mFolder.Write(
      "edge.yaml",
      "vm: vm-1\nzone: zone-1\nlisten: {callers: \"" + Callers() + "\", readiness: \"" +
        Readiness() + "\", addresses: \"" + Addresses() + "\", peers: \"" + mIp +
        ":7380\", metrics: \"" + Metrics() + "\"}\nstore: \"" + (store ? *store : "") +
        "\"\nseeds: [\"" + mIp + ":8106\"]\nlog: {decisions: false}\n" + LimitsText(aDescriptors));
    mLoop.Start();
    mProgram = std::make_unique<child_process>(
      std::vector<std::string>{ Program("redwingdock_edge"), "--settings", file });
    LimitDescriptors(*mProgram, aDescriptors);
  }

  ~crowd_deployment() { mLoop.Stop(); }
  crowd_deployment(const crowd_deployment&) = delete;
  crowd_deployment& operator=(const crowd_deployment&) = delete;

  std::string Callers() const { return mIp + ":8104"; }
  std::string Readiness() const { return mIp + ":8108"; }
  std::string Addresses() const { return mIp + ":8100"; }
  std::string Metrics() const { return mIp + ":9464"; }

  bool WaitUntilReady() const
  {
    return WaitUntil([this] { return Status(Readiness(), "/readiness") == 200; });
  }

  // Status of one ordinary request on a new connection; 0 without a reply.
  static unsigned Status(const std::string& aAddress, const std::string& aTarget)
  {
    blocking_socket socket(aAddress);
    if (!socket.Connected()) {
      return 0;
    }
    socket.Send(platform::RequestWithId(aTarget, "ordinary"));
    return ParseStatus(socket.ReadReply());
  }

  void ExpectServing(const char* aGuardsAgainst)
  {
    EXPECT_EQ(Status(Callers(), "/plain/x"), 200U) << aGuardsAgainst;
    EXPECT_EQ(Status(Readiness(), "/readiness"), 200U) << aGuardsAgainst;
    EXPECT_EQ(Status(Addresses(), "/resolution?name=h.example&zone=zone-1"), 200U)
      << aGuardsAgainst;
    EXPECT_EQ(Status(Metrics(), "/metrics"), 200U) << aGuardsAgainst;
    ExpectWithinLimits(*mProgram, mDescriptors, aGuardsAgainst);
  }

  std::size_t Runs() const
  {
    std::size_t runs = 0;
    for (const auto& each : mReplicas) {
      runs += each->Runs().size();
    }
    return runs;
  }

  io_loop mLoop{ 2 };

private:
  void AddReplica(const std::string& aService, const platform::replica_behaviour& aBehaviour)
  {
    const std::string id = "i-" + aService;
    auto replica = std::make_unique<platform::replica_standin>(mLoop, id, aBehaviour);
    EXPECT_TRUE(replica->ListenOn("127.0.0.1:0"));
    mStore.Put(platform::kReplicaPrefix + id, replica->PublishedEntry(aService, "zone-1", false));
    mReplicas.push_back(std::move(replica));
  }

  const std::size_t mDescriptors;
  const std::string mIp = LoopbackIp();
  const temporary_folder mFolder;
  platform::store_standin mStore{ mLoop };
  std::vector<std::unique_ptr<platform::replica_standin>> mReplicas;
  std::unique_ptr<child_process> mProgram;
};

enum class reader_kind
{
  Stalled, // takes nothing
  Trickle, // takes a few kilobytes now and then
  Steady,  // takes all, with pauses
  Fast,    // takes all at once
  Resets,  // ends its connection when the first bytes arrive
};

// One client with one connection.
class crowd_client
{
public:
  crowd_client(io_loop& aLoop,
               const std::string& aAddress,
               const std::string& aBytes,
               reader_kind aReader)
    : mState(std::make_shared<state>())
  {
    tcp_hooks hooks;
    hooks.mOnBytes = [shared = mState, aReader, &aLoop](std::string_view aReceived) {
      shared->Received(aReceived, aReader, aLoop);
    };
    hooks.mOnClosed = [shared = mState](const tcp_close_info&) {
      const std::lock_guard lock(shared->mLock);
      shared->mClosed = true;
    };
    // The hooks wait for the lock until the connection is set.
    const std::lock_guard lock(mState->mLock);
    mState->mConnection = Connect(aLoop, aAddress, seconds(10), std::move(hooks));
    if (aReader == reader_kind::Stalled) {
      mState->mConnection->PauseReading();
    }
    mState->mConnection->Send(aBytes);
  }

  ~crowd_client() { mState->mConnection->Close("test done"); }
  crowd_client(const crowd_client&) = delete;
  crowd_client& operator=(const crowd_client&) = delete;

  void Send(const std::string& aBytes) { mState->mConnection->Send(aBytes); }
  std::size_t Unsent() const { return mState->mConnection->UnsentBytes(); }

  std::size_t ReceivedBytes() const
  {
    const std::lock_guard lock(mState->mLock);
    return mState->mReceived;
  }

  std::vector<unsigned> Statuses() const
  {
    const std::lock_guard lock(mState->mLock);
    return mState->mStatuses;
  }

private:
  struct state : std::enable_shared_from_this<state>
  {
    void Received(std::string_view aBytes, reader_kind aReader, io_loop& aLoop)
    {
      const std::lock_guard lock(mLock);
      mReceived += aBytes.size();
      if (aReader == reader_kind::Resets) {
        mConnection->Close("reset"); // with bytes unread, which resets the connection
        return;
      }
      if (aReader == reader_kind::Trickle || aReader == reader_kind::Steady) {
        constexpr milliseconds kTricklePause{ 400 };
        constexpr milliseconds kSteadyPause{ 20 };
        mConnection->PauseReading();
        aLoop.After(aReader == reader_kind::Trickle ? kTricklePause : kSteadyPause,
                    [self = shared_from_this()] { self->mConnection->ResumeReading(); });
      }
      http_read_status status = mReader.Feed(aBytes);
      while (status == http_read_status::Complete) {
        mStatuses.push_back(mReader.Take().mStatus);
        status = mReader.Feed({});
      }
    }

    mutable std::mutex mLock;
    std::shared_ptr<tcp_connection> mConnection;
    http_reader mReader{ http_side::Client, { 10 * kMegabyte } };
    std::size_t mReceived = 0;
    std::vector<unsigned> mStatuses; // of the complete replies
    bool mClosed = false;
  };

  std::shared_ptr<state> mState;
};

using crowd = std::vector<std::unique_ptr<crowd_client>>;

// Waits until nothing more happens: no bytes move and no replica runs a request. At most five
// seconds, since some crowds never rest.
void WaitUntilQuiet(const std::function<std::size_t()>& aRuns, const crowd& aCrowd)
{
  constexpr milliseconds kQuietTime{ 500 };
  const instant latest = SteadyNow() + seconds(5);
  std::tuple<std::size_t, std::size_t, std::size_t> before{};
  instant since = SteadyNow();
  WaitUntil([&] {
    std::size_t received = 0;
    std::size_t unsent = 0;
    for (const auto& each : aCrowd) {
      received += each->ReceivedBytes();
      unsent += each->Unsent();
    }
    const std::tuple<std::size_t, std::size_t, std::size_t> now{ received, unsent, aRuns() };
    if (now != before) {
      before = now;
      since = SteadyNow();
    }
    return SteadyNow() - since > kQuietTime || SteadyNow() > latest;
  });
}

// What a client of the crowd sends; the argument is its number.
using request_text = std::function<std::string(std::size_t)>;

std::string Id(std::size_t aClient, std::size_t aRequest = 0)
{
  return "crowd-" + std::to_string(aClient) + "-" + std::to_string(aRequest);
}

request_text Nothing()
{
  return [](std::size_t) { return std::string(); };
}

request_text Get(const std::string& aTarget)
{
  return [aTarget](std::size_t aClient) { return platform::RequestWithId(aTarget, Id(aClient)); };
}

request_text Pipelined(const std::string& aTarget, std::size_t aRequests)
{
  return [=](std::size_t aClient) {
    std::string text;
    for (std::size_t i = 0; i < aRequests; ++i) {
      text += platform::RequestWithId(aTarget, Id(aClient, i));
    }
    return text;
  };
}

// A POST that states aStated bytes of body and sends aSent of them.
request_text Post(const std::string& aTarget, std::size_t aStated, std::size_t aSent)
{
  return [=](std::size_t aClient) {
    return "POST " + aTarget + " HTTP/1.1\r\nHost: h.example\r\n" + platform::kAttemptIdHeader +
           ": " + Id(aClient) + "\r\nContent-Length: " + std::to_string(aStated) + "\r\n\r\n" +
           std::string(aSent, 'x');
  };
}

// A head with very many fields, complete or not. In memory a field takes ten times its bytes.
request_text TinyFields(const std::string& aTarget, std::size_t aBytes, bool aComplete)
{
  return [=](std::size_t aClient) {
    std::string text = platform::RequestWithId(aTarget, Id(aClient));
    text.resize(text.size() - 2);
    while (text.size() < aBytes) {
      text += "a: b\r\n";
    }
    return text + (aComplete ? "\r\n" : "");
  };
}

// Chunks of one byte, each with a long extension, without the last chunk.
request_text Chunks(const std::string& aTarget, std::size_t aChunks)
{
  return [=](std::size_t aClient) {
    std::string text = "POST " + aTarget + " HTTP/1.1\r\nHost: h.example\r\n" +
                       platform::kAttemptIdHeader + ": " + Id(aClient) +
                       "\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t i = 0; i < aChunks; ++i) {
      text += "1;x=" + std::string(1000, 'y') + "\r\nz\r\n";
    }
    return text;
  };
}

struct crowd_row
{
  std::string mName;
  const char* mGuardsAgainst;
  std::size_t mClients;
  std::size_t mReplyBytes; // of the service with long replies
  request_text mSent;
  reader_kind mReader = reader_kind::Stalled;
};

void PrintTo(const crowd_row& aRow, std::ostream* aOut)
{
  *aOut << aRow.mName;
}

class memory_crowd_test : public testing::TestWithParam<crowd_row>
{};

TEST_P(memory_crowd_test, LeavesTheProcessServingWithinItsMemory)
{
  const crowd_row& row = GetParam();
  crowd_deployment tested(row.mReplyBytes, kDescriptors);
  ASSERT_TRUE(tested.WaitUntilReady());
  crowd clients;
  for (std::size_t i = 0; i < row.mClients; ++i) {
    clients.push_back(
      std::make_unique<crowd_client>(tested.mLoop, tested.Callers(), row.mSent(i), row.mReader));
    // Waits in the kernel for nothing but this client, so that the queue of new connections
    // does not overflow.
    WaitUntil([&] { return clients.back()->Unsent() == 0 || i % 16 != 0; });
  }
  WaitUntilQuiet([&tested] { return tested.Runs(); }, clients);
  tested.ExpectServing(row.mGuardsAgainst);
}

INSTANTIATE_TEST_SUITE_P(
  crowds,
  memory_crowd_test,
  testing::Values(
    crowd_row{ "LongRepliesUnread",
               "long replies that many clients do not read fill the memory",
               100,
               2 * kMegabyte,
               Get("/long/x") },
    crowd_row{ "LongRepliesReadSlowly",
               "long replies that many clients read slowly fill the memory",
               100,
               2 * kMegabyte,
               Get("/long/x"),
               reader_kind::Trickle },
    crowd_row{ "ManyRepliesUnread",
               "replies of medium size that more clients do not read fill the memory",
               150,
               600 * kKilobyte,
               Get("/long/x") },
    crowd_row{ "PipelinedBehindUnreadReplies",
               "requests are begun behind replies that nobody reads",
               4,
               256 * kKilobyte,
               Pipelined("/long/x", 100) },
    crowd_row{ "BodiesThatStop",
               "bodies that stop before their end fill the memory",
               150,
               0,
               Post("/wait/x", kMegabyte, 900 * kKilobyte) },
    crowd_row{ "BodiesThatWait",
               "bodies of requests that wait for a replica fill the memory",
               150,
               0,
               Post("/wait/x", kMegabyte, kMegabyte) },
    crowd_row{ "TinyFieldsThatWait",
               "heads of very many fields, a multiple of their bytes in memory, fill it",
               500,
               0,
               TinyFields("/wait/x", 15 * kKilobyte, true) },
    crowd_row{ "PipelinedBytes",
               "bytes behind an open request fill the memory",
               150,
               0,
               [](std::size_t aClient) {
                 return Get("/wait/x")(aClient) +
                        Post("/wait/x", kMegabyte, 400 * kKilobyte)(aClient);
               } },
    crowd_row{ "RepliesReadToTheEnd",
               "connections keep the memory of replies that were read to the end",
               100,
               2 * kMegabyte,
               Get("/long/x"),
               reader_kind::Fast },
    crowd_row{ "HeadsThatStop",
               "heads that stop before their end fill the memory",
               150,
               0,
               TinyFields("/plain/x", 15 * kKilobyte, false) },
    crowd_row{ "TinyFieldsThatStop",
               "incomplete heads of very many fields fill the memory",
               500,
               0,
               TinyFields("/plain/x", 15 * kKilobyte, false) },
    crowd_row{ "ChunkExtensions", "chunk extensions are kept", 20, 0, Chunks("/wait/x", 1000) },
    crowd_row{ "SmallPipelinedRequests",
               "many small pipelined requests fill the memory",
               20,
               0,
               Pipelined("/plain/x", 1000) },
    crowd_row{ "ResetsDuringReplies",
               "replies stay when their clients reset the connection",
               150,
               2 * kMegabyte,
               Get("/long/x"),
               reader_kind::Resets }),
  [](const auto& aInfo) { return aInfo.param.mName; });

struct door_row
{
  std::string mName;
  const char* mGuardsAgainst;
  std::string (crowd_deployment::*mDoor)() const;
  request_text mSent;
  std::size_t mClients = 500; // above the descriptors of the process
};

void PrintTo(const door_row& aRow, std::ostream* aOut)
{
  *aOut << aRow.mName;
}

class descriptor_crowd_test : public testing::TestWithParam<door_row>
{};

TEST_P(descriptor_crowd_test, LeavesDescriptorsForOthers)
{
  const door_row& row = GetParam();
  crowd_deployment tested(0, kFewDescriptors);
  ASSERT_TRUE(tested.WaitUntilReady());
  crowd clients;
  for (std::size_t i = 0; i < row.mClients; ++i) {
    clients.push_back(std::make_unique<crowd_client>(
      tested.mLoop, (tested.*row.mDoor)(), row.mSent(i), reader_kind::Fast));
  }
  WaitUntilQuiet([&tested] { return tested.Runs(); }, clients);
  tested.ExpectServing(row.mGuardsAgainst);
  const std::string metrics = SendRequest(tested.Metrics(), "GET", "/metrics");
  EXPECT_NE(metrics.find("\nredwingdock_connections_closed_for_room "), std::string::npos);
  EXPECT_EQ(metrics.find("\nredwingdock_connections_closed_for_room 0\n"), std::string::npos)
    << "the metrics do not show the crowd";
}

INSTANTIATE_TEST_SUITE_P(
  crowds,
  descriptor_crowd_test,
  testing::Values(door_row{ "SilentCallers",
                            "callers that send nothing take all descriptors",
                            &crowd_deployment::Callers,
                            Nothing() },
                  door_row{ "IdleCallers",
                            "callers that have had one reply take all descriptors",
                            &crowd_deployment::Callers,
                            Get("/plain/x") },
                  door_row{ "WaitingCallers",
                            "callers whose requests wait for a replica take all descriptors",
                            &crowd_deployment::Callers,
                            Get("/wait/x") },
                  door_row{ "PartlyReadRequests",
                            "callers that send a part of a request take all descriptors",
                            &crowd_deployment::Callers,
                            TinyFields("/plain/x", 200, false) },
                  door_row{ "SilentAtAddresses",
                            "silent clients of the directory take all descriptors",
                            &crowd_deployment::Addresses,
                            Nothing() },
                  door_row{ "SilentAtReadiness",
                            "silent clients of the readiness address take all descriptors",
                            &crowd_deployment::Readiness,
                            Nothing() },
                  door_row{ "SilentAtMetrics",
                            "silent clients of the metrics address take all descriptors",
                            &crowd_deployment::Metrics,
                            Nothing() }),
  [](const auto& aInfo) { return aInfo.param.mName; });

struct sound_row
{
  std::string mName;
  const char* mGuardsAgainst;
  std::size_t mClients;
  std::string mTarget;
  reader_kind mReader;
  bool mReuse; // after four fifths of the idle limit
};

void PrintTo(const sound_row& aRow, std::ostream* aOut)
{
  *aOut << aRow.mName;
}

class sound_clients_test : public testing::TestWithParam<sound_row>
{};

// Guards against limits that clients meet which keep to the users' pages.
TEST_P(sound_clients_test, GetTheirWholeReplies)
{
  const sound_row& row = GetParam();
  const std::string limits = R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,)"
                             R"("headerTimeoutMs":3000,"idleTimeoutMs":2000})";
  crowd_deployment tested(2 * kMegabyte, kFewDescriptors, limits);
  ASSERT_TRUE(tested.WaitUntilReady());
  crowd clients;
  for (std::size_t i = 0; i < row.mClients; ++i) {
    clients.push_back(std::make_unique<crowd_client>(
      tested.mLoop, tested.Callers(), Get(row.mTarget)(i), row.mReader));
  }
  const auto allGot = [&clients](std::size_t aReplies) {
    return WaitUntil([&] {
      return std::all_of(clients.begin(), clients.end(), [aReplies](const auto& aClient) {
        return aClient->Statuses() == std::vector<unsigned>(aReplies, 200);
      });
    });
  };
  EXPECT_TRUE(allGot(1)) << row.mGuardsAgainst;
  if (row.mReuse) {
    const instant latest = SteadyNow() + milliseconds(1600);
    WaitUntil([latest] { return SteadyNow() >= latest; });
    for (std::size_t i = 0; i < row.mClients; ++i) {
      clients[i]->Send(platform::RequestWithId(row.mTarget, Id(i, 1)));
    }
    EXPECT_TRUE(allGot(2)) << row.mGuardsAgainst;
  }
  tested.ExpectServing(row.mGuardsAgainst);
}

INSTANTIATE_TEST_SUITE_P(crowds,
                         sound_clients_test,
                         testing::Values(sound_row{ "SteadyReaders",
                                                    "a reply that its client reads steadily is cut",
                                                    5,
                                                    "/long/x",
                                                    reader_kind::Steady,
                                                    false },
                                         sound_row{ "KeptConnections",
                                                    "a connection in use is closed before its time",
                                                    100,
                                                    "/plain/x",
                                                    reader_kind::Fast,
                                                    true }),
                         [](const auto& aInfo) { return aInfo.param.mName; });

// A record search daemon without a configuration service.
class record_search_deployment
{
public:
  explicit record_search_deployment(std::size_t aDescriptors)
    : mDescriptors(aDescriptors)
    , mProgram({ Program("redwingdockd"),
                 "--settings",
                 mFolder.Write("daemon.yaml",
                               "vm: vm-1\nzone: xela\nlisten: {callers: \"" + Callers() +
                                 "\", peers: \"" + mIp + ":7101\", operators: \"" + Operators() +
                                 "\"}\nconfiguration_service: [\"" + mIp + ":9\"]\n" +
                                 LimitsText(aDescriptors)) })
  {
    LimitDescriptors(mProgram, aDescriptors);
  }

  std::string Callers() const { return mIp + ":7001"; }
  std::string Operators() const { return mIp + ":7201"; }

  // Whether one ordinary request to each address is answered.
  bool IsServing() const
  {
    return ParseStatus(SendRequest(Callers(), "POST", "/v1/query", R"({"route":"r"})")) != 0 &&
           ParseStatus(SendRequest(Operators(), "GET", "/metrics")) == 200;
  }

  void ExpectServing(const char* aGuardsAgainst)
  {
    EXPECT_TRUE(IsServing()) << aGuardsAgainst;
    ExpectWithinLimits(mProgram, mDescriptors, aGuardsAgainst);
  }

  io_loop mLoop{ 2 };

private:
  const std::size_t mDescriptors;
  const std::string mIp = LoopbackIp();
  const temporary_folder mFolder;
  child_process mProgram;
};

struct record_search_row
{
  std::string mName;
  const char* mGuardsAgainst;
  std::string (record_search_deployment::*mDoor)() const;
  std::size_t mDescriptors;
  std::size_t mClients;
  request_text mSent;
};

void PrintTo(const record_search_row& aRow, std::ostream* aOut)
{
  *aOut << aRow.mName;
}

class record_search_crowd_test : public testing::TestWithParam<record_search_row>
{};

TEST_P(record_search_crowd_test, LeavesTheProcessServingWithinItsLimits)
{
  const record_search_row& row = GetParam();
  record_search_deployment tested(row.mDescriptors);
  tested.mLoop.Start();
  ASSERT_TRUE(WaitUntil([&tested] { return tested.IsServing(); }));
  crowd clients;
  for (std::size_t i = 0; i < row.mClients; ++i) {
    clients.push_back(std::make_unique<crowd_client>(
      tested.mLoop, (tested.*row.mDoor)(), row.mSent(i), reader_kind::Stalled));
  }
  WaitUntilQuiet([] { return std::size_t{ 0 }; }, clients);
  tested.ExpectServing(row.mGuardsAgainst);
  tested.mLoop.Stop();
}

INSTANTIATE_TEST_SUITE_P(
  crowds,
  record_search_crowd_test,
  testing::Values(record_search_row{ "SilentCallers",
                                     "callers that send nothing take all descriptors",
                                     &record_search_deployment::Callers,
                                     kFewDescriptors,
                                     500,
                                     Nothing() },
                  record_search_row{ "SilentOperators",
                                     "operators that send nothing take all descriptors",
                                     &record_search_deployment::Operators,
                                     kFewDescriptors,
                                     500,
                                     Nothing() },
                  record_search_row{ "BodiesThatStop",
                                     "bodies that stop before their end fill the memory",
                                     &record_search_deployment::Callers,
                                     kDescriptors,
                                     1000,
                                     Post("/v1/query", 64 * kKilobyte, 60 * kKilobyte) },
                  record_search_row{ "PipelinedBehindUnreadReplies",
                                     "requests are begun behind replies that nobody reads",
                                     &record_search_deployment::Operators,
                                     kDescriptors,
                                     20,
                                     Pipelined("/metrics", 2000) }),
  [](const auto& aInfo) { return aInfo.param.mName; });

} // namespace
} // namespace redwingdock
