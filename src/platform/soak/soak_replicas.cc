#include "platform/soak/soak_replicas.h"

#include "platform/protocol_names.h"
#include "platform/soak/soak_configuration.h"

#include <array>

namespace redwingdock::platform {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kReplicasPerShard = 2;
constexpr std::size_t kReplicasPerService = 4; // of a service that is no shard
constexpr std::size_t kReplicasPerMove = 3;
constexpr std::size_t kRecordBytes = 16;
constexpr std::size_t kRecordsPerPart = 6;
// Of requests that have run. A client takes the last three for statements that its request has not.
constexpr std::array<unsigned, 5> kFailureStatuses = { 500, 504, 408, 429, 503 };

// A number from 0 to 1 that depends only on the texts.
double ShareOf(const std::string& aText, std::uint64_t aSeed)
{
  const std::uint64_t mixed = std::hash<std::string>()(aText) ^ (aSeed * 0x9e3779b97f4a7c15U);
  return static_cast<double>((mixed * 0xbf58476d1ce4e5b9U) >> 11U) / 9007199254740992.0;
}

acknowledged_change Leaves(const std::string& aReplica)
{
  return { change_kind::ReplicaLeaves, aReplica };
}

std::string Part(const std::string& aService)
{
  std::string part;
  for (std::size_t i = 0; i < kRecordsPerPart; ++i) {
    std::string record = aService + "." + std::to_string(i);
    record.resize(kRecordBytes, '.');
    part += record;
  }
  return part;
}

} // namespace

soak_replicas::soak_replicas(io_loop& aLoop, const soak_plan& aPlan)
  : mPlan(aPlan)
  , mBody(aPlan.mReplyBytes, 'b')
{
  for (std::size_t shard = 0; shard < kSoakShards; ++shard) {
    Add(aLoop, ShardName(shard), kReplicasPerShard);
  }
  for (const soak_route& each : aPlan.mDeployment.mRoutes) {
    if (!each.mGathers) {
      Add(aLoop, each.mName, kReplicasPerService);
    }
  }
  for (std::uint64_t move = 1; move <= kSoakMoves && !aPlan.mReturns.empty(); ++move) {
    Add(aLoop, MovedService(aPlan.mDeployment, move), kReplicasPerMove);
  }
}

bool soak_replicas::Listen(soak_store& aStore)
{
  for (std::size_t i = 0; i < mReplicas.size(); ++i) {
    if (!mReplicas[i].mReplica->ListenOn("127.0.0.1:0")) {
      return false;
    }
    Publish(aStore, i, false);
  }
  return true;
}

void soak_replicas::Publish(soak_store& aStore, std::size_t aReplica, bool aDraining)
{
  const entry& each = mReplicas[aReplica % mReplicas.size()];
  aStore.Write(kReplicaPrefix + each.mId,
               each.mReplica->PublishedEntry(each.mService, each.mZone, aDraining),
               aDraining ? std::optional(Leaves(each.mId)) : std::nullopt);
}

void soak_replicas::Remove(soak_store& aStore, std::size_t aReplica)
{
  const std::string& id = mReplicas[aReplica % mReplicas.size()].mId;
  aStore.Write(kReplicaPrefix + id, std::nullopt, Leaves(id));
}

std::map<std::string, replica_place> soak_replicas::Places() const
{
  std::map<std::string, replica_place> places;
  for (const entry& each : mReplicas) {
    places[each.mId] = { each.mService, each.mZone };
  }
  return places;
}

std::vector<replica_run> soak_replicas::Runs() const
{
  std::vector<replica_run> all;
  for (const entry& each : mReplicas) {
    const std::vector<replica_run> runs = each.mReplica->Runs();
    all.insert(all.end(), runs.begin(), runs.end());
  }
  return all;
}

void soak_replicas::Add(io_loop& aLoop, const std::string& aService, std::size_t aCount)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    const std::string id = "i-" + aService + "-" + std::to_string(i);
    auto replica = std::make_unique<replica_standin>(aLoop, id, replica_behaviour{});
    replica->ChooseBehaviour([this, aService, id](const http_message& aMessage) {
      return Choose(aService, id, aMessage);
    });
    mReplicas.push_back({ id, aService, ZoneName(i), std::move(replica) });
  }
}

replica_behaviour soak_replicas::Choose(const std::string& aService,
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
  } else if (drawn(faults.mFailures)) {
    const double which = ShareOf(*id + aReplica, mPlan.mOptions.mSeed + 2);
    behaviour.mStatus = kFailureStatuses[static_cast<std::size_t>(which * kFailureStatuses.size())];
  }
  return behaviour;
}

bool soak_replicas::IsReply(const std::string& aRoute,
                            const std::string& aAttemptId,
                            const http_message& aAnswer) const
{
  const soak_route* route = RouteOf(mPlan.mDeployment, "/" + aRoute + "/");
  if (route->mGathers) {
    const std::string* stamps = aAnswer.Find(kShardStampsHeader);
    return stamps != nullptr && stamps->find("." + aAttemptId) != std::string::npos &&
           aAnswer.mBody.size() % kRecordBytes == 0 && !aAnswer.mBody.empty();
  }
  const std::string* stamp = aAnswer.Find(kResponseStampHeader);
  return stamp != nullptr && stamp->ends_with("." + aAttemptId) &&
         aAnswer.mBody.size() == mBody.size();
}

} // namespace redwingdock::platform
