// Case: one request crashes each replica that begins to run it. The daemons go on passing it on. See
// claim.txt.

#include "rig.h"

#include <algorithm>
#include <cstdio>
#include <deque>

using namespace rig;

namespace {

constexpr double kStabilityWindowMs = 4000;
constexpr double kExpiryMs = 3600; // three heartbeat intervals
constexpr double kDownMs = 4000;
constexpr double kRepeatMs = 2000;
constexpr double kDeadlineMs = 5000;
constexpr int kReplicas = 24; // as archive-bridge of hao-redwing
constexpr char kHost[] = "desk.example";
constexpr char kCrashing[] = "/fetch/ledger-4711";

std::string Configuration()
{
  const auto route = [](const std::string& name, const std::string& kind) {
    return "{\"name\":\"r-" + name + "\",\"host\":\"" + kHost + "\",\"prefix\":\"/" + name +
           "/\",\"kind\":\"" + kind +
           "\",\"timeoutMs\":5000,\"targetLatencyMs\":800,\"priority\":2,\"maxAttempts\":2,"
           "\"service\":\"bridge\"}";
  };
  return "{\"version\":3,\"routes\":[" + route("fetch", "safe") + "," + route("book", "unsafe") +
         "],"
         "\"services\":[{\"name\":\"bridge\",\"healthPath\":\"/health\",\"connectionLimit\":100,"
         "\"warmupS\":3.0,\"warmupPerS\":0.0}],\"limits\":{\"maxHeaderBytes\":16384,"
         "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
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
  std::map<std::string, double> crashingRuns; // first arrival by attempt of the crashing request
  std::deque<const replica*> toCrash;
  std::vector<double> crashes;
  const auto onRun = [&](const replica& by, const replica::run& run) {
    log.Add("replica " + by.Id() + (run.ran ? " runs " : " refuses ") + run.attempt + " " +
            run.target);
    if (run.ran && run.target == kCrashing) {
      const std::lock_guard guard(lock);
      crashingRuns.emplace(run.attempt, run.arrivedMs);
      toCrash.push_back(&by);
    }
  };
  std::vector<std::unique_ptr<replica>> replicas; // also those that have ended
  const auto startReplica = [&](int zone) {
    const char* zones[] = { "zone-a", "zone-b", "zone-c" };
    auto started = std::make_unique<replica>(
      "bridge", zones[zone % 3], "i-" + std::to_string(replicas.size()), 120, onRun);
    started->body = "ledger";
    if (!started->Start(net + ".3:0")) {
      GiveUp("a replica cannot listen");
    }
    platform.Put("servers/" + started->Id(), started->Entry());
    log.Add("replica " + started->Id() + " starts");
    replicas.push_back(std::move(started));
  };
  for (int i = 0; i < kReplicas; ++i) {
    startReplica(i);
  }
  platform.Put("op/config", Configuration());

  std::vector<std::unique_ptr<daemon_process>> daemons;
  const std::vector<std::string> seeds = { net + ".11:8106", net + ".12:8106" };
  const char* zones[] = { "zone-a", "zone-b", "zone-c" };
  for (int i = 0; i < 3; ++i) {
    daemons.push_back(std::make_unique<daemon_process>("front-" + std::to_string(i + 1),
                                                       zones[i],
                                                       net + "." + std::to_string(11 + i),
                                                       platform.Address(),
                                                       seeds,
                                                       folder));
    daemons.back()->SetRepeatSlack(54);
    daemons.back()->Start();
  }
  WaitReady(daemons);
  log.Add("daemons are ready");

  std::atomic<bool> stop{ false };
  std::atomic<int> booked{ 0 }; // requests of other clients
  std::atomic<int> lost{ 0 };
  std::vector<std::thread> threads;
  for (const auto& each : daemons) {
    for (int i = 0; i < 4; ++i) {
      threads.emplace_back([&, front = each->Front()] {
        client caller(front);
        while (!stop) {
          const std::string attempt = NewAttemptId();
          log.Add("client sends " + attempt);
          const answer got =
            caller.Ask("POST", kHost, "/book/" + attempt, attempt, kDeadlineMs, "booking");
          log.Add("client gets " + std::to_string(got.status) + " for " + attempt);
          ++booked;
          lost += got.status == 200 ? 0 : 1;
          SleepMs(60);
        }
      });
    }
  }

  // Replicas crash as soon as they begin to run the request. Each is back after some seconds, as a
  // new process with a new id.
  std::thread crasher([&] {
    std::deque<std::pair<double, int>> back;
    std::deque<std::pair<double, std::string>> expire;
    std::vector<const replica*> ended;
    while (!stop) {
      const replica* victim = nullptr;
      {
        const std::lock_guard guard(lock);
        if (!toCrash.empty()) {
          victim = toCrash.front();
          toCrash.pop_front();
        }
      }
      if (victim != nullptr && std::find(ended.begin(), ended.end(), victim) == ended.end()) {
        ended.push_back(victim);
        for (std::size_t i = 0; i < replicas.size(); ++i) {
          if (replicas[i].get() == victim) {
            replicas[i]->Crash();
            back.emplace_back(NowMs() + kDownMs, static_cast<int>(i));
          }
        }
        expire.emplace_back(NowMs() + kExpiryMs, victim->Id());
        crashes.push_back(NowMs());
        log.Add("replica " + victim->Id() + " crashes");
      }
      if (!back.empty() && back.front().first <= NowMs()) {
        startReplica(back.front().second);
        back.pop_front();
      }
      if (!expire.empty() && expire.front().first <= NowMs()) {
        platform.Delete("servers/" + expire.front().second);
        log.Add("store removes the entry of " + expire.front().second);
        expire.pop_front();
      }
      SleepMs(1);
    }
  });
  SleepMs(6000);

  // Its client asks again every two seconds, at any daemon, and retries once.
  std::map<std::string, double> sent; // by attempt
  int statuses[600] = {};
  for (int i = 0; Trouble() && i < 12; ++i) {
    for (int retry = 0; retry < 2; ++retry) {
      client caller(daemons[static_cast<std::size_t>(i + retry) % 3]->Front());
      const std::string attempt = NewAttemptId();
      sent[attempt] = NowMs();
      log.Add("client sends the crashing request " + attempt);
      const answer got = caller.Ask("GET", kHost, kCrashing, attempt, kDeadlineMs);
      log.Add("client gets " + std::to_string(got.status) + " for the crashing request " + attempt);
      ++statuses[got.status % 600];
      if (got.status == 200) {
        break;
      }
    }
    SleepMs(kRepeatMs);
  }
  if (!Trouble()) {
    SleepMs(20'000);
  }
  stop = true;
  for (std::thread& each : threads) {
    each.join();
  }
  crasher.join();

  const double third = crashes.size() >= 3 ? crashes[2] : 1e12;
  int late = 0;
  for (const auto& [attempt, at] : sent) {
    late += at > third + kStabilityWindowMs && crashingRuns.contains(attempt) ? 1 : 0;
  }
  char text[400];
  std::snprintf(text,
                sizeof text,
                "BUDGET: %d retries of the crashing request, sent later than 4000 ms after it had "
                "crashed the third replica, reached replicas; it crashed %zu; %d of its %zu attempts "
                "got 503; %d of %d requests of other clients got no success",
                late,
                crashes.size(),
                statuses[503],
                sent.size(),
                lost.load(),
                booked.load());
  log.Add(text);
  std::puts(text);
  Finish(daemons, Trouble() && crashes.size() < 3 ? kCouldNotRun : late > 3 ? kBroken : kHeld);
}
