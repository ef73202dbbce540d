#include "testing/forwarding_rig.h"

#include <type_traits>
#include <utility>
#include <variant>

namespace redwingdock::testing {

namespace {

constexpr micros kConnectDelay = std::chrono::milliseconds(1);

core_config ConfigOf(const rig_options& aOptions)
{
  core_config config;
  config.mVm = "vm-1";
  config.mIncarnation = "1000";
  config.mZone = aOptions.mZone;
  config.mAddress = "127.0.0.1:7380";
  config.mCallAddress = "127.0.0.1:8100";
  config.mForward = aOptions.mForward;
  return config;
}

route_rule Rule(std::vector<weighted_service> aServices)
{
  route_rule rule;
  rule.mName = "r";
  rule.mHost = "search.example";
  rule.mPrefix = "/q/";
  rule.mServices = std::move(aServices);
  rule.mTimeout = std::chrono::milliseconds(1200);
  rule.mTargetLatency = std::chrono::milliseconds(200);
  rule.mMaxAttempts = 2;
  return rule;
}

} // namespace

store_item ReplicaItem(const std::string& aId,
                       const std::string& aService,
                       const std::string& aZone)
{
  replica_entry entry;
  entry.mId = aId;
  entry.mService = aService;
  entry.mZone = aZone;
  entry.mAddress = "127.0.0.2:9000";
  entry.mSlots = 3;
  return { "replicas/" + aId, 0, std::move(entry) };
}

store_item ConfigurationItem(std::uint64_t aVersion, std::vector<route_rule> aRoutes)
{
  configuration published;
  published.mVersion = aVersion;
  published.mRoutes = std::move(aRoutes);
  return { "configuration", 0, std::move(published) };
}

route_rule PlainRoute(const std::string& aService, bool aIdempotent)
{
  route_rule rule = Rule({ { aService, 1 } });
  rule.mIdempotent = aIdempotent;
  return rule;
}

route_rule GatherRoute(const std::vector<std::string>& aServices, double aMinimumSuccessShare)
{
  std::vector<weighted_service> services;
  services.reserve(aServices.size());
  for (const std::string& each : aServices) {
    services.push_back({ each, 1 });
  }
  route_rule rule = Rule(std::move(services));
  rule.mIdempotent = true;
  rule.mGather = gather_rule{ 2, aMinimumSuccessShare };
  return rule;
}

forwarding_rig::forwarding_rig(const rig_options& aOptions)
  : mCore(ConfigOf(aOptions), Forwarding(aOptions.mHooks), 8)
  , mStore({ aOptions.mStoreStatesEra, aOptions.mItemsPerPage })
  , mReader(mStore, mEvents, [this](fact aFact) { Post(std::move(aFact)); })
{
  RunCore();
}

void forwarding_rig::SendRequest(std::uint64_t aRequest, const std::string& aPath, micros aPatience)
{
  Post(request_arrived{
    aRequest, { "id-" + std::to_string(aRequest), "search.example", aPath, aPatience, 0 } });
}

void forwarding_rig::Post(fact aFact)
{
  mCore.Advance(Now());
  mCore.Post(std::move(aFact));
  RunCore();
}

void forwarding_rig::RunFor(micros aDuration)
{
  mEvents.RunFor(aDuration);
}

std::vector<std::string> forwarding_rig::SentTo(std::uint64_t aRequest) const
{
  std::vector<std::string> replicas;
  for (const sent_attempt& each : mSent) {
    if (each.mCommand.mKey.mRequest == aRequest) {
      replicas.push_back(each.mCommand.mReplica->mId);
    }
  }
  return replicas;
}

void forwarding_rig::RunCore()
{
  mCore.Advance(Now());
  mCore.RunUntilIdle();
  for (const command& each : mCore.TakeCommands()) {
    Execute(each);
  }
  const instant due = mCore.NextDue();
  if (due < mNextWakeUp) {
    mNextWakeUp = due;
    mEvents.After(std::max(due - Now(), micros(0)), [this, due] {
      if (mNextWakeUp == due) {
        mNextWakeUp = kNever;
      }
      RunCore();
    });
  }
}

void forwarding_rig::Execute(const command& aCommand)
{
  std::visit(
    [this](const auto& aEach) {
      using type = std::decay_t<decltype(aEach)>;
      if constexpr (std::is_same_v<type, send_attempt>) {
        Send(aEach);
      } else if constexpr (std::is_same_v<type, cancel_attempt>) {
        mCancelled.push_back(aEach);
      } else if constexpr (std::is_same_v<type, check_replica>) {
        Check(aEach);
      } else if constexpr (std::is_same_v<type, answer_request>) {
        mAnswers[aEach.mRequest].push_back({ aEach.mAnswer, Now() });
      } else if constexpr (std::is_same_v<type, read_store_page>) {
        mListReads += mStore.IsFailing() ? 0 : 1;
        mReader.Read(aEach);
      } else if constexpr (std::is_same_v<type, watch_store>) {
        mWatches.push_back(aEach);
        mReader.Watch(aEach);
      } else if constexpr (std::is_same_v<type, check_store>) {
        ++mChecks;
        mReader.Check(aEach);
      } else if constexpr (std::is_same_v<type, send_heartbeat>) {
        mHeartbeats.push_back(aEach.mHeartbeat);
      } else if constexpr (std::is_same_v<type, answer_entry>) {
        mEntries.push_back(aEach);
      } else if constexpr (std::is_same_v<type, close_callers>) {
        mClosedAt = mClosedAt.value_or(Now());
      } else if constexpr (std::is_same_v<type, exit_process>) {
        mStoppedAt = Now();
      }
    },
    aCommand);
}

void forwarding_rig::Send(const send_attempt& aCommand)
{
  mSent.push_back({ aCommand, Now() });
  const std::string& id = aCommand.mReplica->mId;
  const int count = mAttemptCounts[id]++;
  const auto script = mScripts.find(id);
  const replica_action action = script != mScripts.end() ? script->second(count) : replica_action{};
  if (action.mSilent) {
    return;
  }
  attempt_ended ended{ aCommand.mKey, aCommand.mReplica, action.mEnd };
  ended.mNotice = action.mNotice;
  if (action.mEnd == attempt_end::Answered) {
    forward_reply reply;
    reply.mStatus = action.mStatus;
    reply.mResponseStamp = "s-" + id;
    reply.mBody = action.mBody;
    ended.mReply = std::make_shared<const forward_reply>(std::move(reply));
  }
  mEvents.After(action.mAfter, [this, ended] { Post(ended); });
}

void forwarding_rig::Check(const check_replica& aCommand)
{
  const std::string& id = aCommand.mReplica->mId;
  mCheckedReplicas.push_back(id);
  const auto script = mCheckScripts.find(id);
  const replica_status status =
    script != mCheckScripts.end() ? script->second() : replica_status::Running;
  mEvents.After(kConnectDelay,
                [this, checked = replica_checked{ aCommand.mReplica, status }] { Post(checked); });
}

} // namespace redwingdock::testing
