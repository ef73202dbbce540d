#include "base/command_line.h"
#include "base/process_signals.h"
#include "base/yaml_reader.h"
#include "platform/standin.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <condition_variable>
#include <cstdio>

// redwingdock_edge_standin: simulated store and replicas of the platform on loopback, for demos.

namespace {

constexpr char kUsage[] =
  R"(redwingdock_edge_standin: simulated store and replicas of the platform on loopback.

Usage:
  redwingdock_edge_standin --store ADDRESS [--services N]
  redwingdock_edge_standin --help
  redwingdock_edge_standin --version

Options:
  --store ADDRESS  Address of the store, ip:port.
  --services N     Number of services with two replicas each, 1 to 50 [default: 20].
  --help           Show this text.
  --version        Show the version.

Routes on host demo.example: /search/ gathers from all services, /one/ and /write/ go to the first.
Stops on SIGINT or SIGTERM. Exit codes: 0 ok, 64 usage, 69 an address cannot be opened.
)";

constexpr std::size_t kMaxServices = 50;
constexpr int kReplicasPerService = 2;

using namespace redwingdock;

boost::json::object MakeRoute(const char* aName, const char* aPrefix, const char* aKind)
{
  return { { "name", aName },    { "host", "demo.example" }, { "prefix", aPrefix },
           { "kind", aKind },    { "timeoutMs", 1200 },      { "targetLatencyMs", 200 },
           { "maxAttempts", 2 }, { "priority", 1 } };
}

std::string FormatConfiguration(const std::vector<std::string>& aServices)
{
  boost::json::array names;
  boost::json::array services;
  for (const std::string& each : aServices) {
    names.emplace_back(each);
    services.push_back(boost::json::object{ { "name", each }, { "connectionLimit", 30 } });
  }
  boost::json::object search = MakeRoute("search", "/search/", "safe");
  search["gather"] = std::move(names);
  search["topK"] = 3;
  search["minimumSuccessShare"] = 0.9;
  boost::json::object one = MakeRoute("one", "/one/", "safe");
  one["service"] = aServices.front();
  boost::json::object write = MakeRoute("write", "/write/", "unsafe");
  write["service"] = aServices.front();
  return boost::json::serialize(boost::json::object{
    { "version", 1 },
    { "routes", boost::json::array{ std::move(search), std::move(one), std::move(write) } },
    { "services", std::move(services) } });
}

int Run(const std::string& aStore, std::size_t aServices)
{
  io_loop loop(2);
  platform::store_standin store(loop);
  if (const result<std::string> bound = store.ListenOn(aStore); !bound) {
    std::fprintf(stderr, "redwingdock_edge_standin: %s\n", Describe(bound.mReason).c_str());
    return kExitUnreachable;
  }
  std::vector<std::unique_ptr<platform::replica_standin>> replicas;
  std::vector<std::string> services;
  for (std::size_t i = 0; i < aServices; ++i) {
    services.push_back("service-" + std::to_string(i));
    for (int j = 0; j < kReplicasPerService; ++j) {
      const std::string id = "i-" + std::to_string(i) + "-" + std::to_string(j);
      // Each replica holds one record, the same on all replicas of a service.
      const std::string number = std::to_string(i);
      const std::string record = "record-" + std::string(9 - number.size(), '0') + number;
      replicas.push_back(std::make_unique<platform::replica_standin>(
        loop, id, platform::replica_behaviour{ std::chrono::milliseconds(5), 200, record }));
      if (const result<std::string> bound = replicas.back()->ListenOn("127.0.0.1:0"); !bound) {
        std::fprintf(stderr, "redwingdock_edge_standin: %s\n", Describe(bound.mReason).c_str());
        return kExitUnreachable;
      }
      store.Put(
        "servers/" + id,
        replicas.back()->PublishedEntry(services.back(), j == 0 ? "zone-a" : "zone-b", false));
    }
  }
  store.Put("op/config", FormatConfiguration(services));
  std::mutex lock;
  std::condition_variable ended;
  bool end = false;
  loop.OnStopSignals([&] {
    const std::lock_guard guard(lock);
    end = true;
    ended.notify_all();
  });
  loop.Start();
  DeliverSignals();
  std::unique_lock waiting(lock);
  ended.wait(waiting, [&end] { return end; });
  waiting.unlock();
  loop.Stop();
  return 0;
}

} // namespace

int main(int aCount, char** aArguments)
{
  IgnoreBrokenPipes();
  HoldSignals();
  const parsed_arguments arguments = ParseArguments(kUsage, aCount, aArguments);
  if (arguments.mExitCode) {
    return *arguments.mExitCode;
  }
  const auto services = ParseInteger(arguments.Text("--services"), 1, kMaxServices);
  if (!services) {
    std::fputs(kUsage, stderr);
    return kExitUsage;
  }
  return Run(arguments.Text("--store"), *services);
}
