#include "platform/soak/soak_run.h"

#include "platform/protocol_names.h"

#include <algorithm>
#include <future>

namespace redwingdock::platform {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kLoopThreads = 3;

// Daemons of a large run, or under a quota, take seconds to start.
micros StartTime(std::size_t aDaemons)
{
  return seconds(20) + milliseconds(500) * static_cast<int>(aDaemons);
}

} // namespace

soak_run::soak_run(const soak_plan& aPlan, const soak_place& aPlace)
  : mPlan(aPlan)
  , mLoop(kLoopThreads)
  , mStore(mLoop, aPlan.mStatesEra)
  , mStoreAddress(aPlace.mNetwork + ".2:8102")
  , mReplicas(mLoop, mPlan)
  , mDaemons(mLoop,
             { .mProgram = aPlace.mProgram,
               .mFolder = aPlace.mFolder,
               .mNetwork = aPlace.mNetwork,
               .mStore = mStoreAddress,
               .mDaemons = aPlan.mOptions.mDaemons,
               .mQuota = aPlan.mQuota,
               .mLogSink = aPlan.mLogSink },
             [this](std::size_t aDaemon, std::size_t aEarlier) { OnStart(aDaemon, aEarlier); })
  , mLists(mLoop, mDaemons, aPlan.mOptions.mDaemons)
  , mRandom(aPlan.mOptions.mSeed)
{
}

soak_run::~soak_run()
{
  mLoop.Stop();
}

void soak_run::PublishConfiguration(const std::function<void(configuration_state&)>& aChange)
{
  const std::lock_guard lock(mConfigurationLock);
  aChange(mConfiguration);
  ++mConfiguration.mVersion;
  mVersions[mConfiguration.mVersion] = RoutesOf(mPlan.mDeployment, mConfiguration);
  mStore.Write(kConfigurationKey,
               FormatConfiguration(mPlan.mDeployment, mConfiguration),
               acknowledged_change{ change_kind::Version, "", mConfiguration.mVersion });
}

change_ledger soak_run::Written()
{
  const std::lock_guard lock(mConfigurationLock);
  return {
    mVersions, mStore.Changes(), mReplicas.Places(), mStore.Disturbances(), mPlan.mQuota > micros(0)
  };
}

void soak_run::OnStart(std::size_t aDaemon, std::size_t aEarlierStarts)
{
  for (const early_signal& each : mPlan.mEarlySignals) {
    if (each.mDaemon == aDaemon && each.mStart == aEarlierStarts) {
      mLoop.After(each.mAfter, [this, each] { Apply({ {}, each.mAction, each.mDaemon }); });
    }
  }
}

std::optional<soak_result> soak_run::Run()
{
  if (!mStore.ListenOn(mStoreAddress) || !mReplicas.Listen(mStore)) {
    return std::nullopt;
  }
  PublishConfiguration([](configuration_state&) {});
  mLoop.OnStopSignals([this] { mInterrupted = true; });
  mLoop.Start();
  mDaemons.StartAll();
  mLists.Start();
  if (!WaitUntil(StartTime(mPlan.mOptions.mDaemons), [this] {
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
  if (mInterrupted) {
    return std::nullopt;
  }
  const std::lock_guard lock(mRecordsLock);
  return JudgeAll({ mRecords, mReplicas.Runs(), mDaemons.ProcessRecords(), Written() },
                  soak_bounds{});
}

bool soak_run::WaitUntil(micros aLongest, const std::function<bool()>& aCondition)
{
  constexpr micros kInterval = milliseconds(20);
  for (const instant latest = SteadyNow() + aLongest; SteadyNow() < latest;) {
    if (mInterrupted || aCondition()) {
      return true;
    }
    std::promise<void> elapsed;
    mLoop.After(kInterval, [&elapsed] { elapsed.set_value(); });
    elapsed.get_future().wait();
  }
  return aCondition();
}

void soak_run::Apply(const soak_event& aEvent)
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
      PublishConfiguration([&aEvent](configuration_state& aState) {
        aState.mLowLimits = aEvent.mAction == soak_action::LowerLimits;
      });
      break;
    case soak_action::DropRoute:
    case soak_action::RestoreRoute:
      PublishConfiguration([&aEvent](configuration_state& aState) {
        aState.mLastRoute = aEvent.mAction == soak_action::RestoreRoute;
      });
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
    case soak_action::EvacuateZone:
      mStore.Write(kClosedZonePrefix + ZoneName(aEvent.mTarget),
                   "{}",
                   acknowledged_change{ change_kind::ZoneCloses, ZoneName(aEvent.mTarget) });
      break;
    case soak_action::RestoreZone:
      mStore.Write(kClosedZonePrefix + ZoneName(aEvent.mTarget),
                   std::nullopt,
                   acknowledged_change{ change_kind::ZoneOpens, ZoneName(aEvent.mTarget) });
      break;
    case soak_action::MoveRoute:
      PublishConfiguration([](configuration_state& aState) { ++aState.mMoves; });
      break;
    case soak_action::CopyStore:
      mStore.TakeCopy(mPlan.mReturns[aEvent.mTarget].mWrites);
      break;
    case soak_action::ReturnStore:
      mStore.Return(mPlan.mReturns[aEvent.mTarget]);
      break;
  }
}

void soak_run::StartClients()
{
  for (const soak_client_profile& profile : mPlan.mClients) {
    for (std::uint32_t i = 0; i < profile.mCount; ++i) {
      soak_client_hooks hooks;
      hooks.mChooseTarget = [this, &profile] { return ChooseTarget(profile); };
      hooks.mMakeRequest = [this](std::size_t aBodyBytes) { return MakeRequest(aBodyBytes); };
      hooks.mIsReply = [this](const request_record& aRequest, const http_message& aAnswer) {
        return mReplicas.IsReply(aRequest.mRoute, aRequest.mId, aAnswer);
      };
      hooks.mRecord = [this](request_record aRecord) {
        const std::lock_guard lock(mRecordsLock);
        mRecords.push_back(std::move(aRecord));
      };
      mClients.push_back(std::make_shared<soak_client>(mLoop, profile, std::move(hooks)));
      mClients.back()->Start();
    }
  }
}

std::uint64_t soak_run::Random(std::uint64_t aBound)
{
  const std::lock_guard lock(mRandomLock);
  return mRandom() % aBound;
}

std::optional<soak_target> soak_run::ChooseTarget(const soak_client_profile& aProfile)
{
  std::vector<soak_target> targets;
  if (aProfile.mSeeksStopping) {
    for (const std::size_t daemon : mDaemons.Stopping()) {
      targets.push_back({ mDaemons.CallerAddress(daemon), daemon });
    }
  } else {
    targets = mLists.At(SteadyNow() - aProfile.mDirectoryAge);
  }
  return targets.empty() ? std::nullopt
                         : std::optional<soak_target>(targets[Random(targets.size())]);
}

soak_request soak_run::MakeRequest(std::size_t aBodyBytes)
{
  const std::vector<soak_route>& routes = mPlan.mDeployment.mRoutes;
  const std::size_t drawn = Random(10) == 0 ? routes.size() - 1 : Random(routes.size() - 1);
  const auto hasBody = [](const soak_route& aRoute) { return aRoute.mBodyBytes > 0; };
  const soak_route& route =
    aBodyBytes > 0 ? *std::find_if(routes.begin(), routes.end(), hasBody) : routes[drawn];
  const std::string id = std::to_string(mPlan.mOptions.mSeed) + "-" + std::to_string(++mRequests);
  soak_request request;
  request.mRecord.mId = id;
  request.mRecord.mRoute = route.mName;
  request.mRecord.mIdempotent = route.mKind == "safe";
  request.mRecord.mTimeout = route.mTimeout;
  http_message message;
  message.mMethod = route.mBodyBytes > 0 ? "POST" : "GET";
  message.mTarget = "/" + route.mName + "/" + id;
  message.mFields = { { "Host", kSoakHost },
                      { kAttemptIdHeader, id },
                      { kDeadlineRemainingHeader, std::to_string(ToMs(route.mTimeout)) } };
  message.mBody = std::string(aBodyBytes > 0 ? aBodyBytes : route.mBodyBytes, 'q');
  request.mBytes = FormatRequest(message);
  return request;
}

} // namespace redwingdock::platform
