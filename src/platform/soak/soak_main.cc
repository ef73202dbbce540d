#include "base/command_line.h"
#include "base/log_text.h"
#include "base/yaml_reader.h"
#include "daemon/http_exchange.h"
#include "platform/protocol_names.h"
#include "platform/soak/soak_client.h"
#include "platform/soak/soak_daemons.h"

#include <atomic>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <future>
#include <random>
#include <unistd.h>

// redwingdock_edge_soak: planned work and faults of real daemons, judged by what their clients and
// replicas see.

namespace {

constexpr char kUsage[] =
  R"(redwingdock_edge_soak: planned work and faults of real daemons, judged by what their clients and
replicas see.

Usage:
  redwingdock_edge_soak --edge PROGRAM [--first SEED] [--count N] [--daemons N] [--seconds S]
                        [--reply-bytes N] [--keep-logs FOLDER]
  redwingdock_edge_soak --help
  redwingdock_edge_soak --version

Options:
  --edge PROGRAM      Path of redwingdock_edge.
  --first SEED        First seed [default: 1].
  --count N           Number of seeds, 1 to 1000 [default: 1].
  --daemons N         Processes of the daemon, 2 to 100 [default: 5].
  --seconds S         Time of the traffic before all daemons are stopped, 5 to 600 [default: 14].
  --reply-bytes N     Size of the replies that are not parts of a gather; 0 draws it from the seed
                      [default: 0].
  --keep-logs FOLDER  Keep the daemons' logs of the seeds that fail in this folder.
  --help              Show this text.
  --version           Show the version.

Exit codes: 0 no promise is broken, 1 a promise is broken, 64 usage, 69 an address cannot be opened.
)";

using namespace redwingdock;
using namespace redwingdock::platform;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kHost[] = "soak.example";
constexpr std::size_t kShards = 6;
constexpr std::size_t kReplicasPerShard = 2;
constexpr std::size_t kReplicasPerService = 4; // of a service that is no shard
constexpr std::size_t kRecordBytes = 16;
constexpr std::size_t kRecordsPerPart = 6;
constexpr std::uint64_t kMaxBodyBytes = 20'000;
constexpr std::uint64_t kLowMaxBodyBytes = 5'000; // above that of every request

// A number from 0 to 1 that depends only on the texts.
double ShareOf(const std::string& aText, std::uint64_t aSeed)
{
  const std::uint64_t mixed = std::hash<std::string>()(aText) ^ (aSeed * 0x9e3779b97f4a7c15U);
  return static_cast<double>((mixed * 0xbf58476d1ce4e5b9U) >> 11U) / 9007199254740992.0;
}

std::string ShardName(std::size_t aShard)
{
  return "shard-" + std::to_string(aShard);
}

const soak_route* RouteOf(const soak_deployment& aDeployment, std::string_view aTarget)
{
  for (const soak_route& each : aDeployment.mRoutes) {
    if (aTarget.substr(1, each.mName.size() + 1) == each.mName + "/") {
      return &each;
    }
  }
  return nullptr;
}

// The replicas of all services, and what they do with requests.
class soak_replicas
{
public:
  soak_replicas(io_loop& aLoop, const soak_plan& aPlan)
    : mPlan(aPlan)
    , mBody(aPlan.mReplyBytes, 'b')
  {
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      Add(aLoop, ShardName(shard), kReplicasPerShard);
    }
    for (const soak_route& each : aPlan.mDeployment.mRoutes) {
      if (!each.mGathers) {
        Add(aLoop, each.mName, kReplicasPerService);
      }
    }
  }

  bool Listen(store_standin& aStore)
  {
    for (std::size_t i = 0; i < mReplicas.size(); ++i) {
      if (!mReplicas[i].mReplica->ListenOn("127.0.0.1:0")) {
        return false;
      }
      Publish(aStore, i, false);
    }
    return true;
  }

  void Publish(store_standin& aStore, std::size_t aReplica, bool aDraining)
  {
    const entry& each = mReplicas[aReplica % mReplicas.size()];
    aStore.Put(kReplicaPrefix + each.mId,
               each.mReplica->PublishedEntry(each.mService, each.mZone, aDraining));
  }

  void Remove(store_standin& aStore, std::size_t aReplica)
  {
    aStore.Delete(kReplicaPrefix + mReplicas[aReplica % mReplicas.size()].mId);
  }

  std::vector<replica_run> Runs() const
  {
    std::vector<replica_run> all;
    for (const entry& each : mReplicas) {
      const std::vector<replica_run> runs = each.mReplica->Runs();
      all.insert(all.end(), runs.begin(), runs.end());
    }
    return all;
  }

private:
  struct entry
  {
    std::string mId;
    std::string mService;
    std::string mZone;
    std::unique_ptr<replica_standin> mReplica;
  };

  void Add(io_loop& aLoop, const std::string& aService, std::size_t aCount)
  {
    for (std::size_t i = 0; i < aCount; ++i) {
      const std::string id = "i-" + aService + "-" + std::to_string(i);
      auto replica = std::make_unique<replica_standin>(aLoop, id, replica_behaviour{});
      replica->ChooseBehaviour([this, aService, id](const http_message& aMessage) {
        return Choose(aService, id, aMessage);
      });
      mReplicas.push_back({ id, aService, "zone-" + std::to_string(i % 4), std::move(replica) });
    }
  }

  replica_behaviour Choose(const std::string& aService,
                           const std::string& aReplica,
                           const http_message& aMessage) const
  {
    const soak_route* route = RouteOf(mPlan.mDeployment, aMessage.mTarget);
    const std::string* id = aMessage.Find(kAttemptIdHeader);
    if (route == nullptr || id == nullptr) {
      return { micros(0), 404, "none" };
    }
    const replica_faults& faults = mPlan.mFaults;
    double share = ShareOf(*id + aReplica, mPlan.mOptions.mSeed);
    const auto drawn = [&share](double aPart) {
      share -= aPart;
      return share < 0;
    };
    replica_behaviour behaviour{ route->mWork, 200, route->mGathers ? Part(aService) : mBody };
    if (drawn(faults.mLostReplies)) {
      behaviour.mSilent = true;
    } else if (drawn(faults.mStalls)) {
      behaviour.mDelay = seconds(20);
    } else if (drawn(faults.mResets)) {
      behaviour.mDisconnects = true;
    } else if (!route->mGathers && drawn(faults.mSlow)) {
      behaviour.mDelay =
        milliseconds(500) +
        milliseconds(static_cast<int>(4000 * ShareOf(*id, mPlan.mOptions.mSeed + 1)));
    }
    return behaviour;
  }

  static std::string Part(const std::string& aService)
  {
    std::string part;
    for (std::size_t i = 0; i < kRecordsPerPart; ++i) {
      std::string record = aService + "." + std::to_string(i);
      record.resize(kRecordBytes, '.');
      part += record;
    }
    return part;
  }

  const soak_plan& mPlan;
  const std::string mBody;
  std::vector<entry> mReplicas;
};

std::string FormatConfiguration(const soak_deployment& aDeployment,
                                std::uint64_t aVersion,
                                bool aLastRoute,
                                bool aLowLimits)
{
  namespace json = boost::json;
  json::array shards;
  json::array services;
  for (std::size_t i = 0; i < kShards; ++i) {
    shards.emplace_back(ShardName(i));
    services.push_back(json::object{ { "name", ShardName(i) }, { "connectionLimit", 64 } });
  }
  json::array routes;
  for (const soak_route& each : aDeployment.mRoutes) {
    if (!aLastRoute && &each == &aDeployment.mRoutes.back()) {
      continue;
    }
    json::object route{ { "name", each.mName },
                        { "host", kHost },
                        { "prefix", "/" + each.mName + "/" },
                        { "kind", each.mKind },
                        { "timeoutMs", ToMs(each.mTimeout) },
                        { "targetLatencyMs", ToMs(each.mTarget) },
                        { "maxAttempts", 2 },
                        { "priority", 1 } };
    if (each.mGathers) {
      route["gather"] = shards;
      route["topK"] = 5;
      route["minimumSuccessShare"] = 0.6;
    } else {
      route["service"] = each.mName;
      services.push_back(json::object{ { "name", each.mName }, { "connectionLimit", 200 } });
    }
    routes.push_back(std::move(route));
  }
  return json::serialize(
    json::object{ { "version", aVersion },
                  { "routes", std::move(routes) },
                  { "services", std::move(services) },
                  { "limits",
                    json::object{ { "maxHeaderBytes", 8192 },
                                  { "maxBodyBytes", aLowLimits ? kLowMaxBodyBytes : kMaxBodyBytes },
                                  { "headerTimeoutMs", aLowLimits ? 1500 : 4000 },
                                  { "idleTimeoutMs", aLowLimits ? 400 : 10'000 } } } });
}

// The lists of addresses that the daemons gave, with their times.
class address_lists
{
public:
  address_lists(io_loop& aLoop, const soak_daemons& aDaemons, std::size_t aCount)
    : mLoop(aLoop)
    , mDaemons(aDaemons)
    , mCount(aCount)
    , mExchanges(aLoop)
  {
  }

  void Start() { Ask(0); }

  std::vector<soak_target> At(instant aTime) const
  {
    const std::lock_guard lock(mLock);
    std::vector<soak_target> found;
    for (const auto& [at, list] : mLists) {
      if (at <= aTime || found.empty()) {
        found = list;
      }
    }
    return found;
  }

private:
  static constexpr micros kRefresh = seconds(2);
  static constexpr std::size_t kMaxLists = 20;

  void Ask(std::size_t aTried)
  {
    const std::size_t daemon = mNext++ % mCount;
    const http_exchange exchange{ .mAddress = mDaemons.DirectoryAddress(daemon),
                                  .mMethod = "GET",
                                  .mTarget = std::string(kResolutionPath) + "?name=" + kHost +
                                             "&region=r&zone=zone-" + std::to_string(daemon % 4) };
    mExchanges.Start(exchange, [this, aTried](const result<http_message>& aReply) {
      if (aReply && aReply->mStatus == 200 && Add(aReply->mBody)) {
        mLoop.After(kRefresh, [this] { Ask(0); });
      } else {
        mLoop.After(aTried < 3 ? micros(0) : micros(milliseconds(200)),
                    [this, aTried] { Ask(aTried + 1); });
      }
    });
  }

  bool Add(const std::string& aBody)
  {
    boost::json::error_code error;
    const boost::json::value body = boost::json::parse(aBody, error);
    const boost::json::object* object = error ? nullptr : body.if_object();
    const boost::json::value* addresses =
      object != nullptr ? object->if_contains("addrs") : nullptr;
    if (addresses == nullptr || !addresses->is_array()) {
      return false;
    }
    std::vector<soak_target> targets;
    for (const boost::json::value& each : addresses->as_array()) {
      const std::string address(each.as_string());
      if (const auto daemon = mDaemons.DaemonAt(address)) {
        targets.push_back({ address, *daemon });
      }
    }
    const std::lock_guard lock(mLock);
    mLists.emplace_back(SteadyNow(), std::move(targets));
    if (mLists.size() > kMaxLists) {
      mLists.pop_front();
    }
    return true;
  }

  io_loop& mLoop;
  const soak_daemons& mDaemons;
  const std::size_t mCount;
  http_exchange_client mExchanges;
  std::atomic<std::size_t> mNext{ 0 };
  mutable std::mutex mLock;
  std::deque<std::pair<instant, std::vector<soak_target>>> mLists;
};

// One seed.
class soak_run
{
public:
  soak_run(const soak_plan& aPlan, std::string aProgram, std::string aFolder, std::string aNetwork)
    : mPlan(aPlan)
    , mLoop(3)
    , mStore(mLoop)
    , mReplicas(mLoop, mPlan)
    , mNetwork(std::move(aNetwork))
    , mDaemons(mLoop,
               { .mProgram = std::move(aProgram),
                 .mFolder = std::move(aFolder),
                 .mNetwork = mNetwork,
                 .mStore = mNetwork + ".2:8102",
                 .mDaemons = aPlan.mOptions.mDaemons,
                 .mQuota = aPlan.mQuota })
    , mLists(mLoop, mDaemons, aPlan.mOptions.mDaemons)
    , mRandom(aPlan.mOptions.mSeed)
  {
  }
  ~soak_run() { mLoop.Stop(); }
  soak_run(const soak_run&) = delete;
  soak_run& operator=(const soak_run&) = delete;

  std::optional<soak_result> Run()
  {
    if (!mStore.ListenOn(mNetwork + ".2:8102") || !mReplicas.Listen(mStore)) {
      return std::nullopt;
    }
    PublishConfiguration();
    mLoop.Start();
    mDaemons.StartAll();
    mLists.Start();
    // A daemon of a large run under a quota takes seconds to start.
    if (!WaitUntil(seconds(20), [this] {
          return mLists.At(SteadyNow()).size() >= std::min<std::size_t>(3, mPlan.mOptions.mDaemons);
        })) {
      return std::nullopt;
    }
    StartClients();
    for (const soak_event& each : mPlan.mEvents) {
      mLoop.After(each.mAt, [this, each] { Apply(each); });
    }
    WaitUntil(mPlan.mOptions.mDuration, [] { return false; });
    mDaemons.TerminateAll();
    WaitUntil(seconds(10), [this] { return mDaemons.AllEnded(); });
    for (const std::shared_ptr<soak_client>& each : mClients) {
      each->Stop();
    }
    // The kernel may still deliver answers of a process that has ended.
    WaitUntil(seconds(8), [this] {
      return std::all_of(mClients.begin(), mClients.end(), [](const auto& aClient) {
        return aClient->OpenRequests() == 0;
      });
    });
    const std::lock_guard lock(mLock);
    return JudgeAll({ mRecords, mReplicas.Runs(), mDaemons.Lives() }, soak_bounds{});
  }

private:
  bool WaitUntil(micros aLongest, const std::function<bool()>& aCondition)
  {
    constexpr micros kInterval = milliseconds(20);
    for (const instant latest = SteadyNow() + aLongest; SteadyNow() < latest;) {
      if (aCondition()) {
        return true;
      }
      std::promise<void> elapsed;
      mLoop.After(kInterval, [&elapsed] { elapsed.set_value(); });
      elapsed.get_future().wait();
    }
    return aCondition();
  }

  void PublishConfiguration()
  {
    mStore.Put(kConfigurationKey,
               FormatConfiguration(mPlan.mDeployment, ++mVersion, mLastRoute, mLowLimits));
  }

  void Apply(const soak_event& aEvent)
  {
    switch (aEvent.mAction) {
      case soak_action::TerminateTwice:
        mLoop.After(seconds(1), [this, aEvent] { mDaemons.Terminate(aEvent.mTarget); });
        [[fallthrough]];
      case soak_action::Terminate:
        mDaemons.Terminate(aEvent.mTarget);
        break;
      case soak_action::Kill:
        mDaemons.Kill(aEvent.mTarget);
        break;
      case soak_action::Reload:
        mDaemons.Reload(aEvent.mTarget);
        break;
      case soak_action::LowerLimits:
      case soak_action::RaiseLimits:
        mLowLimits = aEvent.mAction == soak_action::LowerLimits;
        PublishConfiguration();
        break;
      case soak_action::DropRoute:
      case soak_action::RestoreRoute:
        mLastRoute = aEvent.mAction == soak_action::RestoreRoute;
        PublishConfiguration();
        break;
      case soak_action::DrainReplica:
        mReplicas.Publish(mStore, aEvent.mTarget, true);
        break;
      case soak_action::RemoveReplica:
        mReplicas.Remove(mStore, aEvent.mTarget);
        break;
      case soak_action::StoreDown:
      case soak_action::StoreUp:
        mStore.SetDown(aEvent.mAction == soak_action::StoreDown);
        break;
    }
  }

  void StartClients()
  {
    for (const soak_client_profile& profile : mPlan.mClients) {
      for (std::uint32_t i = 0; i < profile.mCount; ++i) {
        soak_client_hooks hooks;
        hooks.mChooseTarget = [this, age = profile.mDirectoryAge] { return ChooseTarget(age); };
        hooks.mMakeRequest = [this] { return MakeRequest(); };
        hooks.mIsReply = [this](const request_record& aRequest, const http_message& aAnswer) {
          return IsReply(aRequest, aAnswer);
        };
        hooks.mRecord = [this](request_record aRecord) {
          const std::lock_guard lock(mLock);
          mRecords.push_back(std::move(aRecord));
        };
        mClients.push_back(std::make_shared<soak_client>(mLoop, profile, std::move(hooks)));
        mClients.back()->Start();
      }
    }
  }

  std::uint64_t Random(std::uint64_t aBound)
  {
    const std::lock_guard lock(mRandomLock);
    return mRandom() % aBound;
  }

  std::optional<soak_target> ChooseTarget(micros aAge)
  {
    const std::vector<soak_target> targets = mLists.At(SteadyNow() - aAge);
    return targets.empty() ? std::nullopt
                           : std::optional<soak_target>(targets[Random(targets.size())]);
  }

  soak_request MakeRequest()
  {
    const std::vector<soak_route>& routes = mPlan.mDeployment.mRoutes;
    const soak_route& route =
      routes[Random(10) == 0 ? routes.size() - 1 : Random(routes.size() - 1)];
    const std::string id = std::to_string(mPlan.mOptions.mSeed) + "-" + std::to_string(++mRequests);
    soak_request request;
    request.mRecord.mId = id;
    request.mRecord.mRoute = route.mName;
    request.mRecord.mIdempotent = route.mKind == "safe";
    request.mRecord.mTimeout = route.mTimeout;
    http_message message;
    message.mMethod = route.mBodyBytes > 0 ? "POST" : "GET";
    message.mTarget = "/" + route.mName + "/" + id;
    message.mFields = { { "Host", kHost },
                        { kAttemptIdHeader, id },
                        { kDeadlineRemainingHeader, std::to_string(ToMs(route.mTimeout)) } };
    message.mBody = std::string(route.mBodyBytes, 'q');
    request.mBytes = FormatRequest(message);
    return request;
  }

  bool IsReply(const request_record& aRequest, const http_message& aAnswer) const
  {
    const soak_route* route = RouteOf(mPlan.mDeployment, "/" + aRequest.mRoute + "/");
    if (route->mGathers) {
      const std::string* stamps = aAnswer.Find(kShardStampsHeader);
      return stamps != nullptr && stamps->find("." + aRequest.mId) != std::string::npos &&
             aAnswer.mBody.size() % kRecordBytes == 0 && !aAnswer.mBody.empty();
    }
    const std::string* stamp = aAnswer.Find(kResponseStampHeader);
    return stamp != nullptr && stamp->ends_with("." + aRequest.mId) &&
           aAnswer.mBody.size() == mPlan.mReplyBytes;
  }

  const soak_plan& mPlan;
  io_loop mLoop;
  store_standin mStore;
  soak_replicas mReplicas;
  const std::string mNetwork;
  soak_daemons mDaemons;
  address_lists mLists;
  std::vector<std::shared_ptr<soak_client>> mClients;
  std::atomic<std::uint64_t> mRequests{ 0 };
  std::atomic<std::uint64_t> mVersion{ 0 };
  std::atomic<bool> mLastRoute{ true };
  std::atomic<bool> mLowLimits{ false };
  std::mutex mRandomLock;
  std::mt19937_64 mRandom;
  std::mutex mLock;
  std::vector<request_record> mRecords;
};

void Print(const soak_plan& aPlan, const soak_result& aResult)
{
  std::string counts;
  for (const auto& [found, count] : aResult.mCounts) {
    counts += std::string(" ") + ToString(found) + "=" + std::to_string(count);
  }
  std::printf("%s%s refused=%zu ended_by_itself=%zu exceeded_grace=%zu %s\n",
              aResult.IsClean() ? "ok   " : "FAIL ",
              Describe(aPlan).c_str(),
              aResult.mRefused,
              aResult.mEndedByThemselves,
              aResult.mExceededGrace,
              counts.c_str());
  for (const std::string& line : aResult.mLines) {
    std::printf("  %s\n", line.c_str());
  }
  std::fflush(stdout);
}

int Run(const parsed_arguments& aArguments)
{
  const auto first = ParseInteger(aArguments.Text("--first"), 0, 1'000'000'000);
  const auto count = ParseInteger(aArguments.Text("--count"), 1, 1000);
  const auto daemons = ParseInteger(aArguments.Text("--daemons"), 2, 100);
  const auto duration = ParseInteger(aArguments.Text("--seconds"), 5, 600);
  const auto replyBytes = ParseInteger(aArguments.Text("--reply-bytes"), 0, 4'000'000);
  if (!first || !count || !daemons || !duration || !replyBytes) {
    std::fputs(kUsage, stderr);
    return kExitUsage;
  }
  std::size_t failed = 0;
  for (std::uint64_t seed = *first; seed < *first + *count; ++seed) {
    const soak_plan plan =
      MakeSoakPlan({ seed, *daemons, seconds(static_cast<int>(*duration)), *replyBytes });
    const std::filesystem::path folder =
      std::filesystem::temp_directory_path() /
      ("redwingdock-soak-" + std::to_string(::getpid()) + "-" + std::to_string(seed));
    std::filesystem::create_directories(folder);
    // Runs at the same time need addresses of their own.
    const auto pid = static_cast<unsigned>(::getpid());
    const std::string network =
      "127." + std::to_string(2 + pid / 250 % 250) + "." + std::to_string(1 + pid % 250);
    std::optional<soak_result> result;
    {
      soak_run run(plan, aArguments.Text("--edge"), folder.string(), network);
      result = run.Run();
    }
    if (!result) {
      std::printf("FAIL %s: the deployment did not start\n", Describe(plan).c_str());
      ++failed;
    } else {
      Print(plan, *result);
      failed += result->IsClean() ? 0 : 1;
    }
    std::error_code ignored;
    if (aArguments.Has("--keep-logs") && (!result || !result->IsClean())) {
      std::filesystem::copy(folder,
                            std::filesystem::path(aArguments.Text("--keep-logs")) /
                              ("seed-" + std::to_string(seed)),
                            std::filesystem::copy_options::recursive,
                            ignored);
    }
    std::filesystem::remove_all(folder, ignored);
  }
  std::printf("%zu of %llu seeds failed\n", failed, static_cast<unsigned long long>(*count));
  return failed == 0 ? kExitOk : kExitDifference;
}

} // namespace

int main(int aCount, char** aArguments)
{
  const parsed_arguments arguments = ParseArguments(kUsage, aCount, aArguments);
  if (arguments.mExitCode) {
    return *arguments.mExitCode;
  }
  return Run(arguments);
}
