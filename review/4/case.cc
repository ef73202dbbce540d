// Case: after one failed read of the store, deletions of replicas are delayed, and requests reach a
// replica that is gone for longer than the drain bound. See claim.txt.

#include "rig.h"

#include <cstdio>
#include <random>

using namespace rig;

namespace {

constexpr double kDrainMs = 3000;
constexpr char kHost[] = "desk.example";
constexpr int kShards = 6;

std::string ShardName(int i) { return "shard-" + std::to_string(i); }

std::string Configuration(int version)
{
  std::string names;
  std::string services;
  for (int i = 0; i < kShards; ++i) {
    names += std::string(i > 0 ? "," : "") + "\"" + ShardName(i) + "\"";
    services += std::string(i > 0 ? "," : "") + "{\"name\":\"" + ShardName(i) +
                "\",\"healthPath\":\"/health\",\"connectionLimit\":51,\"warmupS\":3.0,"
                "\"warmupPerS\":0.0}";
  }
  return "{\"version\":" + std::to_string(version) +
         ",\"routes\":[{\"name\":\"r-match\",\"host\":\"" + kHost +
         "\",\"prefix\":\"/match/\",\"kind\":\"safe\",\"timeoutMs\":" +
         std::to_string(1500 + version) +
         ",\"targetLatencyMs\":100,\"priority\":1,\"maxAttempts\":2,\"gather\":[" + names +
         "],\"topK\":20,\"minimumSuccessShare\":0.75}],\"services\":[" + services +
         "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
         "\"idleTimeoutMs\":15000}}";
}

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
  std::map<std::string, std::vector<double>> arrivals; // by replica
  std::map<std::string, double> sentAt;                // by attempt
  std::vector<std::pair<std::string, std::pair<std::string, double>>> runs;
  const auto onRun = [&](const replica& by, const replica::run& run) {
    log.Add("replica " + by.Id() + (run.ran ? " runs " : " refuses ") + run.attempt);
    if (run.ran) {
      const std::lock_guard guard(lock);
      runs.push_back({ by.Id(), { run.attempt, run.arrivedMs } });
    }
  };
  std::vector<std::unique_ptr<replica>> replicas;
  for (int i = 0; i < kShards; ++i) {
    for (const char* zone : { "zone-a", "zone-b", "zone-a" }) {
      replicas.push_back(std::make_unique<replica>(
        ShardName(i), zone, "i-" + std::to_string(replicas.size()), 8, onRun));
      replicas.back()->body = "record-00000000" + std::to_string(i);
      if (!replicas.back()->Start(net + ".3:0")) {
        GiveUp("a replica cannot listen");
      }
      platform.Put("servers/" + replicas.back()->Id(), replicas.back()->Entry());
    }
  }
  int version = 3;
  platform.Put("op/config", Configuration(version));

  std::vector<std::unique_ptr<daemon_process>> daemons;
  const std::vector<std::string> seeds = { net + ".11:8106", net + ".12:8106" };
  for (int i = 0; i < 3; ++i) {
    daemons.push_back(
      std::make_unique<daemon_process>("front-" + std::to_string(i + 1),
                                       i == 0 ? "zone-a" : "zone-b",
                                       net + "." + std::to_string(11 + i),
                                       platform.Address(),
                                       seeds,
                                       folder));
    daemons.back()->Start();
  }
  WaitReady(daemons);
  log.Add("daemons are ready");

  std::atomic<bool> stop{ false };
  std::vector<std::thread> clients;
  for (const auto& each : daemons) {
    for (int i = 0; i < 2; ++i) {
      clients.emplace_back([&, front = each->Front(), name = each->Name()] {
        client caller(front);
        while (!stop) {
          const std::string attempt = NewAttemptId();
          {
            const std::lock_guard guard(lock);
            sentAt[attempt] = NowMs();
          }
          log.Add("client sends " + attempt + " to " + name);
          const answer got = caller.Ask("GET", kHost, "/match/" + attempt, attempt, 1500);
          log.Add("client gets " + std::to_string(got.status) + " for " + attempt);
          SleepMs(15);
        }
      });
    }
  }
  SleepMs(6000); // longer than the stability window

  if (Trouble()) {
    const int cut = platform.CutWaitingWatches();
    log.Add("store cuts " + std::to_string(cut) + " waiting watches");
  }
  SleepMs(600);

  // The operator changes the configuration about every 330 ms. Meanwhile one replica of each shard
  // leaves without reporting that it drains; the others stay. Their times have no relation to the
  // reads of the daemons.
  const double storm = NowMs();
  std::thread operatorThread([&] {
    while (NowMs() < storm + 4000) {
      version += 3;
      platform.Put("op/config", Configuration(version));
      log.Add("store acknowledges version " + std::to_string(version));
      SleepMs(330);
    }
  });
  std::map<std::string, double> goneAt;
  std::mt19937 random(std::random_device{}());
  SleepUntil(storm + 2000 + static_cast<double>(random() % 150));
  for (int i = 0; i < kShards; ++i) {
    replica& leaving = *replicas[static_cast<std::size_t>(3 * i + static_cast<int>(random() % 3))];
    platform.Delete("servers/" + leaving.Id());
    goneAt[leaving.Id()] = NowMs();
    log.Add("store removes the entry of " + leaving.Id() + " of " + leaving.Service());
    SleepMs(170);
  }
  operatorThread.join();
  SleepMs(5000);
  stop = true;
  for (std::thread& each : clients) {
    each.join();
  }

  int judged = 0;
  int late = 0;
  double latest = 0;
  for (const auto& [id, run] : runs) {
    const auto gone = goneAt.find(id);
    if (gone == goneAt.end() || run.second <= gone->second) {
      continue;
    }
    ++judged;
    const double after = run.second - gone->second;
    if (after > kDrainMs) {
      ++late;
      latest = std::max(latest, after);
      log.Add("late: " + run.first + " reached " + id + " " + std::to_string(after) + " ms after");
    }
  }
  char text[300];
  std::snprintf(text,
                sizeof text,
                "DRAIN: %d requests reached a replica later than 3000 ms after the store had removed "
                "its entry, the last one %.0f ms after it; %d arrived before that time",
                late,
                latest,
                judged - late);
  log.Add(text);
  std::puts(text);
  Finish(daemons, goneAt.size() != kShards || sentAt.size() < 500 ? kCouldNotRun
                  : late > 0                                      ? kBroken
                                                                  : kHeld);
}
