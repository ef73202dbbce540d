// Case: the connections to the store go silent right after a change, and the next change is handled
// late. See claim.txt.

#include "rig.h"

#include <cstdio>

using namespace rig;

namespace {

constexpr double kConfigurationApplyMs = 3000;
constexpr double kStabilityWindowMs = 4000;
constexpr char kHost[] = "desk.example";

std::string Configuration(int version, const std::string& service, int timeoutMs)
{
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":[{\"name\":\"r-lookup\",\"host\":\"" + kHost +
         "\",\"prefix\":\"/lookup/\",\"kind\":\"safe\",\"timeoutMs\":" + std::to_string(timeoutMs) +
         ",\"targetLatencyMs\":400,\"priority\":1,\"maxAttempts\":2,\"service\":\"" + service +
         "\"}],\"services\":[{\"name\":\"ledger-old\",\"healthPath\":\"/health\","
         "\"connectionLimit\":51,\"warmupS\":3.0,\"warmupPerS\":0.0},{\"name\":\"ledger-new\","
         "\"healthPath\":\"/health\",\"connectionLimit\":51,\"warmupS\":3.0,\"warmupPerS\":0.0}],"
         "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
         "\"idleTimeoutMs\":15000}}";
}

struct sent_request {
  std::string attempt;
  std::string daemon;
  double sentMs = 0;
  double answeredMs = 0;
  int status = 0;
};

} // namespace

int main(int count, char** arguments)
{
  if (count != 2) {
    GiveUp("usage: case RECORD");
  }
  LimitRunTime();
  record log(arguments[1]);
  const std::string folder = TemporaryFolder();
  const std::string net = ChooseNetwork();
  store platform;
  if (!platform.Start(net + ".2:0")) {
    GiveUp("the store cannot listen");
  }

  std::mutex lock;
  std::map<std::string, std::string> runBy; // service by attempt
  const auto onRun = [&](const replica& by, const replica::run& run) {
    log.Add("replica " + by.Id() + " of " + by.Service() + (run.ran ? " runs " : " refuses ") +
            run.attempt);
    if (run.ran) {
      const std::lock_guard guard(lock);
      runBy[run.attempt] = by.Service();
    }
  };
  std::vector<std::unique_ptr<replica>> replicas;
  for (const char* service : { "ledger-old", "ledger-new" }) {
    for (const char* zone : { "zone-a", "zone-b" }) {
      replicas.push_back(std::make_unique<replica>(
        service, zone, std::string("i-") + service + "-" + zone, 20, onRun));
      replicas.back()->body = service;
      if (!replicas.back()->Start(net + ".3:0")) {
        GiveUp("a replica cannot listen");
      }
      platform.Put("servers/" + replicas.back()->Id(), replicas.back()->Entry());
    }
  }
  platform.Put("op/config", Configuration(3, "ledger-old", 6000));

  std::vector<std::unique_ptr<proxy>> paths; // from each daemon to the store
  std::vector<std::unique_ptr<daemon_process>> daemons;
  const std::vector<std::string> seeds = { net + ".11:8106", net + ".12:8106" };
  for (int i = 0; i < 3; ++i) {
    const std::string ip = net + "." + std::to_string(11 + i);
    paths.push_back(std::make_unique<proxy>());
    if (!paths.back()->Start(net + ".2:0", platform.Address())) {
      GiveUp("a proxy cannot listen");
    }
    daemons.push_back(std::make_unique<daemon_process>("front-" + std::to_string(i + 1),
                                               i == 0 ? "zone-a" : "zone-b",
                                               ip,
                                               paths.back()->Address(),
                                               seeds,
                                               folder));
    daemons.back()->Start();
  }
  WaitReady(daemons);
  log.Add("daemons are ready");

  std::atomic<bool> stop{ false };
  std::vector<sent_request> requests;
  std::vector<std::thread> clients;
  for (const auto& each : daemons) {
    clients.emplace_back([&, front = each->Front(), name = each->Name()] {
      client caller(front);
      while (!stop) {
        sent_request made{ NewAttemptId(), name, NowMs() };
        log.Add("client sends " + made.attempt + " to " + name);
        const answer got = caller.Ask("GET", kHost, "/lookup/" + made.attempt, made.attempt, 6000);
        made.answeredMs = NowMs();
        made.status = got.status;
        log.Add("client gets " + std::to_string(got.status) + " " + got.content.body + " for " +
                made.attempt);
        {
          const std::lock_guard guard(lock);
          requests.push_back(made);
        }
        SleepMs(50);
      }
    });
  }
  SleepMs(6000); // longer than the stability window

  // The operator changes a timeout. Each daemon reads the change and waits for the next one.
  platform.Put("op/config", Configuration(5, "ledger-old", 5500));
  log.Add("store acknowledges version 5");
  SleepMs(700);
  const double silentAt = NowMs();
  if (Trouble()) {
    for (const auto& each : paths) {
      each->Silence();
    }
    log.Add("the open connections to the store go silent");
  }
  SleepMs(300);
  platform.Put("op/config", Configuration(8, "ledger-new", 5500));
  const double acknowledgedAt = NowMs();
  log.Add("store acknowledges version 8: /lookup/ moves from ledger-old to ledger-new");
  SleepMs(9000);
  stop = true;
  for (std::thread& each : clients) {
    each.join();
  }

  const double from =
    std::max(acknowledgedAt + kConfigurationApplyMs, silentAt + kStabilityWindowMs);
  int judged = 0;
  int stale = 0;
  double latest = 0;
  for (const sent_request& each : requests) {
    if (each.sentMs <= from) {
      continue;
    }
    ++judged;
    if (runBy[each.attempt] == "ledger-old") {
      ++stale;
      latest = std::max(latest, each.sentMs);
    }
  }
  char text[300];
  std::snprintf(text,
                sizeof text,
                "CONFIG: %d of %d requests that were sent later than 3000 ms after the "
                "acknowledgement, to daemons in touch, were run by the old service; the last one "
                "%.0f ms after it",
                stale,
                judged,
                stale > 0 ? latest - acknowledgedAt : 0.0);
  log.Add(text);
  std::puts(text);
  Finish(daemons, judged < 50 ? kCouldNotRun : stale > 0 ? kBroken : kHeld);
}
