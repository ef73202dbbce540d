#include "../rig-2/rig.h"

#include <atomic>
#include <random>

// Case 7: a replica fails part of the requests that it has run with status 503, without the header
// that says that it did not run them. Exits 1 when a request that is not idempotent was answered
// with a status that promises that it has not run, and has run; 0 when none; 2 when the case could
// not run.

namespace {

constexpr int kDaemons = 3;
constexpr int kClients = 6;
constexpr int kRunMs = 15'000;
constexpr int kMinWorkMs = 4;
constexpr int kMaxWorkMs = 24;
constexpr int kMaxThinkMs = 60;
// One of the two replicas fails 0.4 of its requests.
constexpr double kFailedShare = 0.4;

std::mutex gLock;
std::map<std::string, std::string> gRuns; // replica by attempt id
std::map<std::string, int> gAnswers;      // status by attempt id, 0 for none
std::map<std::string, int> gOrderRuns;    // runs by order
std::atomic<int> gFailed{ 0 };

int Random(int aMin, int aMax)
{
  thread_local std::mt19937 source(std::random_device{}());
  return std::uniform_int_distribution<int>(aMin, aMax)(source);
}

class replica
{
public:
  replica(std::string aId, bool aFails)
    : mId(std::move(aId))
    , mFails(aFails)
    , mServer([this](rig::stream& aStream) { Serve(aStream); })
  {
  }

  std::string Listen() { return mServer.Listen(rig::LoopbackIp(3) + ":0"); }
  void Stop() { mServer.Stop(); }

private:
  void Serve(rig::stream& aStream)
  {
    rig::message request;
    while (aStream.Read(request, -1)) {
      const std::string id = request.Field("X-Attempt-Id");
      if (request.Field("X-Expected-Instance") != mId) {
        if (!aStream.Send(rig::FormatReply(421, { { "X-Instance", mId } }, ""))) {
          return;
        }
        continue;
      }
      {
        const std::lock_guard lock(gLock);
        gRuns[id] = mId;
        ++gOrderRuns[request.mBody];
      }
      const bool fails = mFails && Random(0, 999) < kFailedShare * 1000;
      gFailed += fails ? 1 : 0;
      rig::SleepMs(Random(kMinWorkMs, kMaxWorkMs));
      rig::Record("run replica=" + mId + " id=" + id + " status=" + (fails ? "503" : "200"));
      if (!aStream.Send(rig::FormatReply(
            fails ? 503 : 200,
            { { "X-Attempt-Id", id }, { "X-Response-Stamp", mId + "." + id } },
            fails ? "the order could not be completed" : "done"))) {
        return;
      }
    }
  }

  const std::string mId;
  const bool mFails;
  rig::server mServer;
};

bool PromisesNotRun(int aStatus)
{
  return aStatus == 429 || aStatus == 503 || aStatus == 408 || aStatus == 421;
}

// Sends one order after the other on a kept connection. An order that was answered with a promise
// that it has not run is sent once more, as a new attempt.
void RunClient(int aClient, const std::vector<std::string>& aAddresses, std::int64_t aUntil)
{
  rig::stream connection;
  std::size_t next = static_cast<std::size_t>(aClient);
  for (int i = 0; rig::NowMs() < aUntil; ++i) {
    const std::string order = "order-" + std::to_string(aClient) + "-" + std::to_string(i);
    rig::SleepMs(Random(0, kMaxThinkMs));
    for (int attempt = 0; attempt < 2; ++attempt) {
      if (!connection.IsOpen() &&
          !connection.Connect(aAddresses[next++ % aAddresses.size()], 1000)) {
        rig::SleepMs(50);
        continue;
      }
      const std::string id = order + "." + std::to_string(attempt);
      rig::message reply;
      rig::Record("send id=" + id);
      const bool answered =
        connection.Send("POST /write/" + order +
                        " HTTP/1.1\r\nHost: orders.example\r\nX-Attempt-Id: " + id +
                        "\r\nX-Deadline-Remaining: 6000\r\nContent-Length: " +
                        std::to_string(order.size()) + "\r\n\r\n" + order) &&
        connection.Read(reply, 7000);
      const int status = answered ? reply.Status() : 0;
      rig::Record("answer id=" + id + " status=" + std::to_string(status) +
                  " stamp=" + reply.Field("X-Response-Stamp"));
      {
        const std::lock_guard lock(gLock);
        gAnswers[id] = status;
      }
      if (!answered || reply.Field("Connection") == "close") {
        connection.Close();
      }
      if (!PromisesNotRun(status)) {
        break;
      }
      rig::SleepMs(static_cast<std::int64_t>(std::stod("0" + reply.Field("Retry-After")) * 1000));
    }
  }
}

// Counts what breaks the rule.
int Judge()
{
  const std::lock_guard lock(gLock);
  int refused = 0;
  int served = 0;
  for (const auto& [id, status] : gAnswers) {
    served += status == 200 ? 1 : 0;
    if (PromisesNotRun(status) && gRuns.contains(id)) {
      ++refused;
      rig::Record("REFUSED id=" + id + " status=" + std::to_string(status) + " ran on " +
                  gRuns[id]);
    }
  }
  int orders = 0;
  for (const auto& [order, runs] : gOrderRuns) {
    orders += runs > 1 ? 1 : 0;
  }
  const std::string summary =
    "requests=" + std::to_string(gAnswers.size()) + " served=" + std::to_string(served) +
    " failed_by_replica=" + std::to_string(gFailed) + " refused_but_ran=" +
    std::to_string(refused) + " orders_run_again_by_clients=" + std::to_string(orders);
  rig::Record(summary);
  std::printf("%s\n", summary.c_str());
  if (served < 100) {
    return 2;
  }
  return refused > 0 ? 1 : 0;
}

} // namespace

int main(int aCount, char** aArguments)
{
  rig::OpenRecord(aCount > 1 ? aArguments[1] : "record.txt");
  const std::string folder = rig::MakeFolder();
  rig::store store;
  const std::string storeAddress = store.Listen(rig::LoopbackIp(2) + ":0");
  replica first("i-orders-1", rig::WithTrouble());
  replica second("i-orders-2", false);
  const std::string firstAddress = first.Listen();
  const std::string secondAddress = second.Listen();
  if (folder.empty() || storeAddress.empty() || firstAddress.empty() || secondAddress.empty()) {
    return 2;
  }
  store.Put("servers/i-orders-1",
            rig::ReplicaEntry("orders", firstAddress, "zone-a", 2, 1, 1'700'000'000'000));
  store.Put("servers/i-orders-2",
            rig::ReplicaEntry("orders", secondAddress, "zone-b", 2, 1, 1'700'000'000'000));
  store.Put("op/config",
            R"({"version":1,"routes":[{"name":"r-write","host":"orders.example","prefix":"/write/",)"
            R"("kind":"unsafe","timeoutMs":6000,"targetLatencyMs":400,"priority":1,)"
            R"("service":"orders","maxAttempts":2}],"services":[{"name":"orders",)"
            R"("healthPath":"/health","connectionLimit":51,"warmupS":3.0,"warmupPerS":0.0}],)"
            R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,)"
            R"("idleTimeoutMs":15000}})");
  int result = 2;
  {
    std::vector<std::unique_ptr<rig::daemon>> daemons;
    std::vector<std::string> seeds;
    std::vector<std::string> addresses;
    for (int i = 0; i < kDaemons; ++i) {
      daemons.push_back(std::make_unique<rig::daemon>(folder,
                                                      "front-" + std::to_string(i + 1),
                                                      i == 0 ? "zone-a" : "zone-b",
                                                      rig::LoopbackIp(10 + i)));
      seeds.push_back(daemons.back()->Seed());
      addresses.push_back(daemons.back()->Callers());
    }
    bool ready = true;
    for (const auto& each : daemons) {
      ready = each->Start(storeAddress, seeds) && ready;
    }
    for (const auto& each : daemons) {
      ready = ready && each->WaitReady(15'000);
    }
    if (ready) {
      const std::int64_t until = rig::NowMs() + kRunMs;
      std::vector<std::thread> clients;
      for (int i = 0; i < kClients; ++i) {
        clients.emplace_back([i, &addresses, until] { RunClient(i, addresses, until); });
      }
      for (std::thread& each : clients) {
        each.join();
      }
      result = Judge();
    }
  }
  store.Stop();
  first.Stop();
  second.Stop();
  rig::RemoveFolder(folder);
  return result;
}
