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

constexpr int kWorkerThreads = 2;
// Blackboard entries per second of the experiment. Each result replaces an immutable entry, so
// several smaller entries bound the cost of copying one.
constexpr std::uint64_t kStripesPerSecond = 8;
// Maximum number of request keys in the stand-in's state.
constexpr std::size_t kMaxListedKeys = 1000;

// A call with its result. Latency counts from the intended arrival.
struct finished_call
{
  planned_call mCall;
  call_result mResult;
  micros mLatency{ 0 };

  auto operator<=>(const finished_call&) const = default;
};

// Results of one second and stripe of the experiment; the blackboard key is "<second>/<stripe>".
struct result_batch
{
  std::vector<sample> mSamples;
  std::uint64_t mPartsNeeded = 0;
  std::vector<finished_call> mSubmits;

  auto operator<=>(const result_batch&) const = default;
};

struct violation_list
{
  std::vector<violation> mViolations;

  auto operator<=>(const violation_list&) const = default;
};

// Counts calls without a result; Wait blocks until there are none.
class pending_calls
{
public:
  void Begin()
  {
    std::lock_guard lock(mLock);
    ++mPending;
  }

  void End()
  {
    std::lock_guard lock(mLock);
    if (--mPending == 0) {
      mAllFinished.notify_all();
    }
  }

  void Wait()
  {
    std::unique_lock lock(mLock);
    mAllFinished.wait(lock, [this] { return mPending == 0; });
  }

private:
  std::mutex mLock;
  std::condition_variable mAllFinished;
  std::uint64_t mPending = 0;
};

// Returns the number of parts that an answered call needs: one per shard of the route in the
// answer's partition map, or one for a submit. 0 for calls without answer.
std::uint64_t PartsNeeded(const run_config& aConfig, const finished_call& aFinished)
{
  outcome reported = aFinished.mResult.mAnswer.mOutcome;
  if (reported != outcome::Complete && reported != outcome::Partial) {
    return 0;
  }
  if (aFinished.mCall.mOperation == operation::Submit) {
    return 1;
  }
  std::uint64_t parts = 0;
  for (const route_spec& route : aConfig.mRoutes->mRoutes) {
    if (route.mName != aFinished.mCall.mRequest.mRoute) {
      continue;
    }
    for (const pool_spec& pool : aConfig.mPools->mPools) {
      if (std::find(route.mPools.begin(), route.mPools.end(), pool.mName) == route.mPools.end()) {
        continue;
      }
      parts += static_cast<std::uint64_t>(
        std::count_if(pool.mShards.begin(), pool.mShards.end(), [&](const shard_spec& aShard) {
          return aShard.mRanges.contains(aFinished.mResult.mAnswer.mMap);
        }));
    }
  }
  return parts;
}

sample SampleOf(const finished_call& aFinished)
{
  return { .mAt = aFinished.mCall.mAt,
           .mLatency = aFinished.mLatency,
           .mDeadline = *aFinished.mCall.mRequest.mDeadline,
           .mUrgency = *aFinished.mCall.mRequest.mUrgency,
           .mOutcome = aFinished.mResult.mAnswer.mOutcome,
           .mRoute = aFinished.mCall.mRequest.mRoute,
           .mZone = aFinished.mCall.mZone,
           .mAttempts = aFinished.mResult.mAttempts,
           .mCovered = aFinished.mResult.mAnswer.mCoverage.mCovered,
           .mTotal = aFinished.mResult.mAnswer.mCoverage.mTotal };
}

// Registers two controllers: one collects the samples, one checks answers against the records.
void RegisterControllers(blackboard& aBoard, const run_config& aConfig)
{
  aBoard.OnFact<finished_call>(
    [&aBoard, &aConfig](const std::string& aKey, const finished_call& aFinished) {
      bool hasTables = aConfig.mRoutes && aConfig.mPools;
      aBoard.Update<result_batch>(aKey, [&](const result_batch* aOld) {
        result_batch next = aOld == nullptr ? result_batch{} : *aOld;
        next.mSamples.push_back(SampleOf(aFinished));
        next.mPartsNeeded += hasTables ? PartsNeeded(aConfig, aFinished) : 0;
        if (aFinished.mCall.mOperation == operation::Submit) {
          next.mSubmits.push_back(aFinished);
        }
        return std::optional(std::move(next));
      });
    });
  aBoard.OnFact<finished_call>(
    [&aBoard, &aConfig](const std::string& aKey, const finished_call& aFinished) {
      auto records = aConfig.mRecords.find(aFinished.mCall.mRequest.mRoute);
      if (records == aConfig.mRecords.end()) {
        return;
      }
      std::vector<violation> found =
        CheckAnswer(aFinished.mCall, aFinished.mResult, *records->second);
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
  result<std::string> text = ReadFile(aConfig.mPidDirectory + "/" + aEvent.mTarget + ".pid");
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
  http_reply reply = aHttp.SendAndWait({ .mAddress = aAddress,
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

std::optional<reason> ExecuteEvent(http_client& aHttp,
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
      return WriteFile(aConfig.mPidDirectory + "/" + aEvent.mTarget + ".restart", "");
    case event_kind::Mark:
      break;
  }
  return std::nullopt;
}

std::optional<reason> ExecuteEvents(const experiment& aExperiment,
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
    std::optional<reason> why = ExecuteEvent(http, aConfig, each);
    if (why && !failed) {
      failed = reason{ "execute event", each.mLabel, Describe(*why) };
    }
  }
  return failed;
}

void AddServerCounts(load_report& aReport,
                     const std::vector<std::shared_ptr<const result_batch>>& aBatches,
                     const standin_state& aState)
{
  aReport.mServers = aState.mServerCounts;
  for (const auto& batch : aBatches) {
    aReport.mServers->mNeeded += batch->mPartsNeeded;
    for (const finished_call& each : batch->mSubmits) {
      // If the list of keys was truncated, an absent key does not mean that the submit never ran.
      if (aState.mRequestKeyRuns.size() < kMaxListedKeys ||
          aState.mRequestKeyRuns.contains(each.mResult.mRequestKey)) {
        AddViolations(aReport, CheckSubmit(each.mCall, each.mResult, aState.mRequestKeyRuns));
      }
    }
  }
}

// Creates one client per zone, because the entry VM depends on the zone of the caller.
result<std::map<std::string, std::unique_ptr<client>>> CreateClients(const experiment& aExperiment,
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
        kReachDaemonsStep, entry.mReason.mPeer, Describe(entry.mReason));
    }
  }
  return Success(std::move(clients));
}

} // namespace

result<load_report> Run(const experiment& aExperiment, const run_config& aConfig)
{
  auto clients = CreateClients(aExperiment, aConfig);
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
  RegisterControllers(board, aConfig);
  std::vector<std::thread> workers;
  workers.reserve(kWorkerThreads);
  for (int i = 0; i < kWorkerThreads; ++i) {
    workers.emplace_back([&board] { board.RunUntilStopped(); });
  }
  std::vector<planned_call> calls = PlanCalls(aExperiment, aConfig.mRecords);
  auto pending = std::make_shared<pending_calls>();
  auto start = std::chrono::steady_clock::now();
  std::optional<reason> eventFailed;
  std::thread events([&] { eventFailed = ExecuteEvents(aExperiment, aConfig, start); });
  for (const planned_call& call : calls) {
    std::this_thread::sleep_until(start + call.mAt);
    pending->Begin();
    (*clients)[call.mZone]->Start(
      call.mOperation,
      call.mRequest,
      [&board, &call, pending, start, &log = aConfig.mLog](const call_result& aResult) {
        auto latency =
          std::chrono::duration_cast<micros>(std::chrono::steady_clock::now() - (start + call.mAt));
        board.Post(std::to_string(call.mAt / std::chrono::seconds(1)) + "/" +
                     std::to_string(call.mNumber % kStripesPerSecond),
                   finished_call{ call, aResult, latency });
        if (log && aResult.mAnswer.mOutcome != outcome::Complete) {
          log(std::string(ToString(aResult.mAnswer.mOutcome)) + " at " +
              std::to_string(ToMs(call.mAt)) + " ms for " + call.mRequest.mRoute + " of " +
              call.mRequest.mCaller + " from " + aResult.mVm + ": " +
              Describe(aResult.mAnswer.mReason));
        }
        pending->End();
      });
  }
  events.join();
  pending->Wait(); // at most until the last deadline has passed
  board.Stop();
  for (std::thread& each : workers) {
    each.join();
  }
  board.RunUntilIdle();

  std::vector<sample> samples;
  std::vector<std::shared_ptr<const result_batch>> batches;
  for (const auto& [key, batch] : board.List<result_batch>()) {
    samples.insert(samples.end(), batch->mSamples.begin(), batch->mSamples.end());
    batches.push_back(batch);
  }
  load_report report = Summarize(aExperiment, samples);
  for (const auto& [key, list] : board.List<violation_list>()) {
    AddViolations(report, list->mViolations);
  }
  if (!aConfig.mStandin.empty()) {
    http_reply reply =
      http.SendAndWait({ .mAddress = aConfig.mStandin, .mTarget = "/admin/state" });
    result<standin_state> state = ParseStandinState(reply.mBody, aConfig.mStandin);
    if (!state) {
      return { std::nullopt, reply.Ok() ? state.mReason : reply.mReason };
    }
    AddServerCounts(report, batches, *state);
  }
  if (eventFailed) {
    return { std::nullopt, *eventFailed };
  }
  return Success(std::move(report));
}

} // namespace redwingdock::load
