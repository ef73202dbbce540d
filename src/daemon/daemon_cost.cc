#include "base/hash.h"
#include "codec/server_json.h"
#include "daemon/backend_client.h"
#include "daemon/loopback_test_util.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

// Measures the cost of a daemon in front of servers that answer immediately: latency compared with
// a direct scatter by the same client code, memory, threads, and queries per second and core.
//
//   daemon_cost serve FANOUT DIRECTORY & ; redwingdockd --settings DIRECTORY/vm.yaml &
//   daemon_cost measure FANOUT DIRECTORY PID_OF_REDWINGDOCKD

namespace {

using namespace redwingdock;
using test_util::blocking_socket;
using test_util::fact_log;
using test_util::stub_http_server;

constexpr int kWarmUpQueries = 400;
constexpr int kLatencyRounds = 300;
constexpr int kClients = 8;
constexpr int kQueriesPerClient = 250;

std::string ServerName(int aIndex)
{
  return "s-" + std::to_string(aIndex);
}

// First record id whose position is in the range of shard aIndex of aCount.
std::string RecordIdInShard(int aIndex, int aCount)
{
  const auto from = static_cast<std::uint32_t>(4096 * aIndex / aCount);
  const auto to = static_cast<std::uint32_t>(4096 * (aIndex + 1) / aCount);
  for (int i = 0;; ++i) {
    std::string id = "case-" + std::to_string(i);
    const std::uint32_t position = PositionOf(id);
    if (from <= position && position < to) {
      return id;
    }
  }
}

std::optional<http_response> AnswerPart(const http_message& aRequest, const std::string& aRecord)
{
  const result<received_part_request> call = ParsePartRequest(aRequest.mBody);
  part_reply reply;
  if (call) {
    reply.mAttempt = call->mRequest.mAttempt;
    reply.mServer = call->mRequest.mServer;
    reply.mShard = call->mRequest.mShard;
  }
  reply.mResult = part_result::Answered;
  reply.mVersion = 40;
  reply.mMap = 3;
  reply.mRecords = { { aRecord, { { "office", "Solola" } } } };
  reply.mEvidence = server_evidence{ "i-1", server_mode::Warm, { { 40, 3 } } };
  return http_response{ 200, "application/json", FormatPartReply(reply), {} };
}

std::string PoolsText(const std::vector<std::unique_ptr<stub_http_server>>& aServers)
{
  std::ostringstream text;
  text << "revision: 1\npools:\n  - name: desk\n    slots: 8\n    connections: 64\n    shards:\n";
  const std::size_t count = aServers.size();
  for (std::size_t i = 0; i < count; ++i) {
    text << "      - name: " << ServerName(static_cast<int>(i)) << "\n        ranges: {3: [["
         << 4096 * i / count << ", " << 4096 * (i + 1) / count
         << "]]}\n        servers: [{name: " << ServerName(static_cast<int>(i))
         << ", zone: xela, address: \"" << aServers[i]->Address() << "\"}]\n";
  }
  return text.str();
}

int Serve(int aFanout, const std::string& aDirectory)
{
  io_loop loop(2);
  std::vector<std::unique_ptr<stub_http_server>> servers;
  std::ofstream addresses(aDirectory + "/servers");
  for (int i = 0; i < aFanout; ++i) {
    servers.push_back(std::make_unique<stub_http_server>(
      loop, [record = RecordIdInShard(i, aFanout)](const http_message& aRequest) {
        return AnswerPart(aRequest, record);
      }));
    addresses << servers.back()->Address() << "\n";
  }
  addresses.close();
  const std::string pools = PoolsText(servers);
  stub_http_server service(loop, [&pools](const http_message& aRequest) {
    const std::string& target = aRequest.mTarget;
    if (target.find('?') != std::string::npos) {
      return std::optional<http_response>(); // leave watches unanswered: the tables do not change
    }
    const std::string text =
      target.starts_with("/v1/vms")
        ? "revision: 1\nvms:\n  - {name: vm-1, zone: xela, address: \"127.0.61.1:7101\", "
          "call_address: \"127.0.61.1:7001\", state: live}\n"
      : target.starts_with("/v1/tables/routes")
        ? "revision: 1\nroutes:\n  - {name: search, pools: [desk], hedge: false}\n"
        : pools;
    return std::optional(http_response{ 200, "text/yaml", text, { { "Table-Revision", "1" } } });
  });
  std::ofstream settings(aDirectory + "/vm.yaml");
  settings << "vm: vm-1\nzone: xela\nlisten:\n  callers: \"127.0.61.1:7001\"\n"
              "  peers: \"127.0.61.1:7101\"\n  operators: \"127.0.61.1:7201\"\n"
              "configuration_service: [\""
           << service.Address()
           << "\"]\nlog: {level: warning, decisions: false}\n"
              "membership: {hold_ms: 2000, take_delay_ms: 8000}\n";
  settings.close();
  loop.Start();
  std::this_thread::sleep_for(std::chrono::seconds(150)); // upper bound for the whole measurement
  loop.Stop();
  return 0;
}

std::vector<std::string> ReadLines(const std::string& aFile)
{
  std::ifstream input(aFile);
  std::vector<std::string> lines;
  for (std::string line; std::getline(input, line);) {
    lines.push_back(line);
  }
  return lines;
}

double MillisecondsSince(instant aStart)
{
  return static_cast<double>((SteadyNow() - aStart).count()) / 1000.0;
}

bool QueryOnce(blocking_socket& aSocket, std::string* aReply = nullptr)
{
  aSocket.Send(FormatRequest("POST", "/v1/query", "a", R"({"route":"search"})"));
  std::string reply = aSocket.ReadReply();
  const bool complete = reply.find("\"outcome\":\"complete\"") != std::string::npos;
  if (aReply != nullptr) {
    *aReply = std::move(reply);
  }
  return complete;
}

// User and system CPU time of a process in seconds; 0 if it cannot be read.
double CpuSeconds(const std::string& aPid)
{
  const std::vector<std::string> lines = ReadLines("/proc/" + aPid + "/stat");
  std::istringstream fields(lines.empty() ? "" : lines[0].substr(lines[0].rfind(')') + 2));
  std::vector<std::string> values;
  for (std::string value; fields >> value;) {
    values.push_back(value);
  }
  constexpr std::size_t kUserTime =
    11; // index of utime among the fields after the command name, see proc(5)
  return values.size() <= kUserTime + 1
           ? 0
           : (std::atof(values[kUserTime].c_str()) + std::atof(values[kUserTime + 1].c_str())) /
               static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::string StatusField(const std::string& aPid, const std::string& aField)
{
  for (const std::string& line : ReadLines("/proc/" + aPid + "/status")) {
    if (line.starts_with(aField + ":")) {
      return line.substr(line.find_first_not_of(" \t", aField.size() + 1));
    }
  }
  return "?";
}

// Sends parts directly to all servers with the daemon's client code, without a daemon in between.
class direct_scatter
{
public:
  explicit direct_scatter(const std::vector<std::string>& aServers)
    : mCount(aServers.size())
    , mBackends(mLoop, { [this](fact aFact) { mFacts.Add(std::move(aFact)); }, nullptr })
  {
    mLoop.Start();
    for (std::size_t i = 0; i < mCount; ++i) {
      mBackends.Open({ ServerName(static_cast<int>(i)), aServers[i], i + 1 });
    }
    mFacts.WaitForType<connection_changed>(mCount);
  }
  ~direct_scatter() { mLoop.Stop(); }

  bool Run()
  {
    const instant deadline = SteadyNow() + std::chrono::seconds(1);
    mFacts.Clear();
    for (std::size_t i = 0; i < mCount; ++i) {
      part_request request;
      request.mAttempt = { "vm-1.direct", ++mNumber };
      request.mServer = request.mShard = ServerName(static_cast<int>(i));
      request.mPool = "desk";
      request.mDeadline = deadline;
      mBackends.Send({ i + 1, request, deadline });
    }
    return mFacts.WaitForType<part_replied>(mCount);
  }

private:
  const std::size_t mCount;
  std::uint64_t mNumber = 0;
  io_loop mLoop{ 2 };
  fact_log mFacts;
  backend_client mBackends;
};

double Quantile(std::vector<double>& aValues, double aQuantile)
{
  std::sort(aValues.begin(), aValues.end());
  return aValues.empty()
           ? 0
           : aValues[static_cast<std::size_t>(aQuantile * static_cast<double>(aValues.size() - 1))];
}

int Measure(int aFanout, const std::string& aDirectory, const std::string& aPid)
{
  const std::string daemon = "127.0.61.1:7001";
  test_util::WaitUntil([&daemon] { return blocking_socket(daemon).Connected(); });
  blocking_socket socket(daemon);
  // Warm up until the permits are usable and all servers have reached their last stage.
  int complete = 0;
  const instant latest = SteadyNow() + std::chrono::seconds(40);
  std::string reply;
  while (complete < kWarmUpQueries && SteadyNow() < latest) {
    complete += QueryOnce(socket, &reply) ? 1 : 0;
  }
  if (complete < kWarmUpQueries) {
    std::printf("warm-up not finished after 40 s, last reply: %.600s\n", reply.c_str());
    return 1;
  }
  direct_scatter direct(ReadLines(aDirectory + "/servers"));
  std::vector<double> daemonLatencies;
  std::vector<double> directLatencies;
  int failed = 0;
  for (int i = 0; i < kLatencyRounds; ++i) {
    instant start = SteadyNow();
    failed += QueryOnce(socket) ? 0 : 1;
    daemonLatencies.push_back(MillisecondsSince(start));
    start = SteadyNow();
    failed += direct.Run() ? 0 : 1;
    directLatencies.push_back(MillisecondsSince(start));
  }
  const double ratio = Quantile(daemonLatencies, 0.5) / Quantile(directLatencies, 0.5);
  std::printf("fan-out %d: daemon p50 %.2f ms p99 %.2f ms, direct p50 %.2f ms p99 %.2f ms, "
              "ratio %.2f, %d of %d failed\n",
              aFanout,
              Quantile(daemonLatencies, 0.5),
              Quantile(daemonLatencies, 0.99),
              Quantile(directLatencies, 0.5),
              Quantile(directLatencies, 0.99),
              ratio,
              failed,
              2 * kLatencyRounds);
  std::atomic<int> answered{ 0 };
  const double cpuBefore = CpuSeconds(aPid);
  const instant start = SteadyNow();
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&] {
      blocking_socket own(daemon);
      for (int k = 0; k < kQueriesPerClient; ++k) {
        answered += QueryOnce(own) ? 1 : 0;
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  const double wall = MillisecondsSince(start) / 1000;
  const double cpu = CpuSeconds(aPid) - cpuBefore;
  std::printf("fan-out %d: %d of %d complete, %.0f queries/s, %.0f queries/s per core of the "
              "daemon, RSS %s, threads %s\n",
              aFanout,
              answered.load(),
              kClients * kQueriesPerClient,
              answered / wall,
              answered / cpu,
              StatusField(aPid, "VmRSS").c_str(),
              StatusField(aPid, "Threads").c_str());
  return 0;
}

} // namespace

int main(int aCount, char** aArguments)
{
  const std::vector<std::string> arguments(aArguments + 1, aArguments + aCount);
  if (arguments.size() == 3 && arguments[0] == "serve") {
    return Serve(std::atoi(arguments[1].c_str()), arguments[2]);
  }
  if (arguments.size() == 4 && arguments[0] == "measure") {
    return Measure(std::atoi(arguments[1].c_str()), arguments[2], arguments[3]);
  }
  std::fputs("usage: daemon_cost serve FANOUT DIRECTORY | measure FANOUT DIRECTORY PID\n", stderr);
  return 64;
}
