#include "load/run.h"

#include "base/command_line.h"
#include "blackboard/blackboard.h"
#include "load/report_json.h"

#include <algorithm>
#include <charconv>
#include <condition_variable>
#include <csignal>
#include <thread>

namespace redwingdock::load {

namespace {

constexpr int kWorkers = 2;
// Blackboard entries per second of the experiment. Each result replaces an immutable entry, so
// several smaller entries bound the cost of copying one.
constexpr std::uint64_t kStripes = 8;
// Maximum number of request keys in the stand-in's state.
constexpr std::size_t kKeysListed = 1000;

// A call with its result. Latency counts from the intended arrival.
struct call_done
{
  planned_call mCall;
  call_result mResult;
  micros mLatency{ 0 };

  auto operator<=>(const call_done&) const = default;
};

// Results of one second and stripe of the experiment; the blackboard key is "<second>/<stripe>".
struct sample_list
{
  std::vector<sample> mSamples;
  std::uint64_t mPartsNeeded = 0;
  std::vector<call_done> mSubmits;

  auto operator<=>(const sample_list&) const = default;
};

struct violation_list
{
  std::vector<violation> mViolations;

  auto operator<=>(const violation_list&) const = default;
};

// Counts calls without a result; Wait blocks until there are none.
class open_calls
{
public:
  void Begin()
  {
    std::lock_guard lock(mLock);
    ++mOpen;
  }

  void End()
  {
    std::lock_guard lock(mLock);
    if (--mOpen == 0) {
      mNone.notify_all();
    }
  }

  void Wait()
  {
    std::unique_lock lock(mLock);
    mNone.wait(lock, [this] { return mOpen == 0; });
  }

private:
  std::mutex mLock;
  std::condition_variable mNone;
  std::uint64_t mOpen = 0;
};

// Returns the number of parts that an answered call needs: one per shard of the route in the
// answer's partition map, or one for a submit. 0 for calls without answer.
std::uint64_t PartsNeeded(const run_config& aConfig, const call_done& aDone)
{
  outcome told = aDone.mResult.mAnswer.mOutcome;
  if (told != outcome::Complete && told != outcome::Partial) {
    return 0;
  }
  if (aDone.mCall.mOperation == operation::Submit) {
    return 1;
  }
  std::uint64_t parts = 0;
  for (const route_spec& route : aConfig.mRoutes->mRoutes) {
    if (route.mName != aDone.mCall.mRequest.mRoute) {
      continue;
    }
    for (const pool_spec& pool : aConfig.mPools->mPools) {
      if (std::find(route.mPools.begin(), route.mPools.end(), pool.mName) == route.mPools.end()) {
        continue;
      }
      parts += static_cast<std::uint64_t>(
        std::count_if(pool.mShards.begin(), pool.mShards.end(), [&](const shard_spec& aShard) {
          return aShard.mRanges.contains(aDone.mResult.mAnswer.mMap);
        }));
    }
  }
  return parts;
}

sample SampleOf(const call_done& aDone)
{
  return { .mAt = aDone.mCall.mAt,
           .mLatency = aDone.mLatency,
           .mDeadline = *aDone.mCall.mRequest.mDeadline,
           .mUrgency = *aDone.mCall.mRequest.mUrgency,
           .mOutcome = aDone.mResult.mAnswer.mOutcome,
           .mRoute = aDone.mCall.mRequest.mRoute,
           .mZone = aDone.mCall.mZone,
           .mAttempts = aDone.mResult.mAttempts,
           .mCovered = aDone.mResult.mAnswer.mCoverage.mCovered,
           .mTotal = aDone.mResult.mAnswer.mCoverage.mTotal };
}

// Registers two controllers: one collects the samples, one checks answers against the records.
void Register(blackboard& aBoard, const run_config& aConfig)
{
  aBoard.OnFact<call_done>([&aBoard, &aConfig](const std::string& aKey, const call_done& aDone) {
    bool tables = aConfig.mRoutes && aConfig.mPools;
    aBoard.Update<sample_list>(aKey, [&](const sample_list* aOld) {
      sample_list next = aOld == nullptr ? sample_list{} : *aOld;
      next.mSamples.push_back(SampleOf(aDone));
      next.mPartsNeeded += tables ? PartsNeeded(aConfig, aDone) : 0;
      if (aDone.mCall.mOperation == operation::Submit) {
        next.mSubmits.push_back(aDone);
      }
      return std::optional(std::move(next));
    });
  });
  aBoard.OnFact<call_done>([&aBoard, &aConfig](const std::string& aKey, const call_done& aDone) {
    auto records = aConfig.mRecords.find(aDone.mCall.mRequest.mRoute);
    if (records == aConfig.mRecords.end()) {
      return;
    }
    std::vector<violation> found = CheckAnswer(aDone.mCall, aDone.mResult, *records->second);
    if (found.empty()) {
      return;
    }
    aBoard.Update<violation_list>(aKey, [&found](const violation_list* aOld) {
      violation_list next = aOld == nullptr ? violation_list{} : *aOld;
      next.mViolations.insert(next.mViolations.end(), found.begin(), found.end());
      return std::optional(std::move(next));
    });
  });
}

std::optional<reason> SignalDaemon(const run_config& aConfig, const load_event& aEvent)
{
  result<std::string> text = ReadFile(aConfig.mPidFolder + "/" + aEvent.mTarget + ".pid");
  if (!text) {
    return text.mReason;
  }
  pid_t pid = 0;
  std::from_chars(text->data(), text->data() + text->size(), pid);
  if (pid <= 1) {
    return reason{ "signal daemon", aEvent.mTarget, "the pid file contains no valid process ID" };
  }
  if (::kill(pid, aEvent.mSignal) != 0) {
    return reason{ "signal daemon",
                   aEvent.mTarget,
                   "process " + std::to_string(pid) + " cannot be signalled" };
  }
  return std::nullopt;
}

std::optional<reason> PostToStandin(http_client& aHttp,
                                    const std::string& aAddress,
                                    const std::string& aTarget,
                                    const std::string& aBody)
{
  http_reply reply = aHttp.Ask({ .mAddress = aAddress,
                                 .mMethod = "POST",
                                 .mTarget = aTarget,
                                 .mBody = aBody,
                                 .mTimeout = std::chrono::seconds(5) });
  if (reply.Ok()) {
    return std::nullopt;
  }
  return reply.mFailure != http_failure::None ? reply.mReason
                                              : reason{ "ask stand-in", aAddress, reply.mBody };
}

std::optional<reason> CarryOut(http_client& aHttp,
                               const run_config& aConfig,
                               const load_event& aEvent)
{
  switch (aEvent.mKind) {
    case event_kind::Admin:
      return PostToStandin(aHttp, aConfig.mStandin, aEvent.mTarget, aEvent.mBody);
    case event_kind::Signal:
      return SignalDaemon(aConfig, aEvent);
    case event_kind::Restart:
      // Processes of the query tier start no other processes; the script that started the daemons
      // polls for this file instead.
      return WriteFile(aConfig.mPidFolder + "/" + aEvent.mTarget + ".restart", "");
    case event_kind::Mark:
      break;
  }
  return std::nullopt;
}

std::optional<reason> CarryOutEvents(const experiment& aExperiment,
                                     const run_config& aConfig,
                                     std::chrono::steady_clock::time_point aStart)
{
  http_client http(1);
  std::optional<reason> failed;
  for (const load_event& each : aExperiment.mEvents) {
    std::this_thread::sleep_until(aStart + each.mAt);
    if (aConfig.mLog) {
      aConfig.mLog("event: " + each.mLabel);
    }
    std::optional<reason> why = CarryOut(http, aConfig, each);
    if (why && !failed) {
      failed = reason{ "execute event", each.mLabel, Describe(*why) };
    }
  }
  return failed;
}

void AddServers(load_report& aReport,
                const std::vector<std::shared_ptr<const sample_list>>& aLists,
                const standin_state& aState)
{
  aReport.mServers = aState.mLoad;
  for (const auto& list : aLists) {
    aReport.mServers->mNeeded += list->mPartsNeeded;
    for (const call_done& each : list->mSubmits) {
      // If the list of keys was truncated, an absent key does not mean that the submit never ran.
      if (aState.mKeys.size() < kKeysListed || aState.mKeys.contains(each.mResult.mRequestKey)) {
        AddViolations(aReport, CheckSubmit(each.mCall, each.mResult, aState.mKeys));
      }
    }
  }
}

// Creates one client per zone, because the entry VM depends on the zone of the caller.
result<std::map<std::string, std::unique_ptr<client>>> ReachDaemons(const experiment& aExperiment,
                                                                    const run_config& aConfig)
{
  std::map<std::string, std::unique_ptr<client>> clients;
  std::vector<std::string> zones = aExperiment.mZones;
  if (zones.empty()) {
    zones.emplace_back();
  }
  for (const std::string& zone : zones) {
    clients[zone] = std::make_unique<client>(
      client_config{ .mDaemons = aConfig.mDaemons, .mZone = zone, .mLog = aConfig.mLog });
    result<entry_answer> entry = clients[zone]->Entry("load-0");
    if (!entry) {
      return Failure<std::map<std::string, std::unique_ptr<client>>>(
        kReachDaemons, entry.mReason.mPeer, Describe(entry.mReason));
    }
  }
  return Success(std::move(clients));
}

} // namespace

result<load_report> Run(const experiment& aExperiment, const run_config& aConfig)
{
  auto clients = ReachDaemons(aExperiment, aConfig);
  if (!clients) {
    return { std::nullopt, clients.mReason };
  }
  http_client http(1);
  if (!aConfig.mStandin.empty()) {
    if (auto why = PostToStandin(http, aConfig.mStandin, "/admin/reset", "")) {
      return { std::nullopt, *why };
    }
  }
  blackboard board(16);
  Register(board, aConfig);
  std::vector<std::thread> workers;
  workers.reserve(kWorkers);
  for (int i = 0; i < kWorkers; ++i) {
    workers.emplace_back([&board] { board.RunUntilStopped(); });
  }
  std::vector<planned_call> calls = PlanCalls(aExperiment, aConfig.mRecords);
  auto open = std::make_shared<open_calls>();
  auto start = std::chrono::steady_clock::now();
  std::optional<reason> eventFailed;
  std::thread events([&] { eventFailed = CarryOutEvents(aExperiment, aConfig, start); });
  for (const planned_call& call : calls) {
    std::this_thread::sleep_until(start + call.mAt);
    open->Begin();
    (*clients)[call.mZone]->Start(
      call.mOperation,
      call.mRequest,
      [&board, &call, open, start, &log = aConfig.mLog](const call_result& aResult) {
        auto latency =
          std::chrono::duration_cast<micros>(std::chrono::steady_clock::now() - (start + call.mAt));
        board.Post(std::to_string(call.mAt / std::chrono::seconds(1)) + "/" +
                     std::to_string(call.mNumber % kStripes),
                   call_done{ call, aResult, latency });
        if (log && aResult.mAnswer.mOutcome != outcome::Complete) {
          log(std::string(ToString(aResult.mAnswer.mOutcome)) + " at " +
              std::to_string(ToMs(call.mAt)) + " ms for " + call.mRequest.mRoute + " of " +
              call.mRequest.mCaller + " from " + aResult.mVm + ": " +
              Describe(aResult.mAnswer.mReason));
        }
        open->End();
      });
  }
  events.join();
  open->Wait(); // at most until the last deadline has passed
  board.Stop();
  for (std::thread& each : workers) {
    each.join();
  }
  board.RunUntilIdle();

  std::vector<sample> samples;
  std::vector<std::shared_ptr<const sample_list>> lists;
  for (const auto& [key, list] : board.List<sample_list>()) {
    samples.insert(samples.end(), list->mSamples.begin(), list->mSamples.end());
    lists.push_back(list);
  }
  load_report report = Summarize(aExperiment, samples);
  for (const auto& [key, list] : board.List<violation_list>()) {
    AddViolations(report, list->mViolations);
  }
  if (!aConfig.mStandin.empty()) {
    http_reply reply = http.Ask({ .mAddress = aConfig.mStandin, .mTarget = "/admin/state" });
    result<standin_state> state = ParseStandinState(reply.mBody, aConfig.mStandin);
    if (!state) {
      return { std::nullopt, reply.Ok() ? state.mReason : reply.mReason };
    }
    AddServers(report, lists, *state);
  }
  if (eventFailed) {
    return { std::nullopt, *eventFailed };
  }
  return Success(std::move(report));
}

} // namespace redwingdock::load
