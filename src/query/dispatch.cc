#include "query/dispatch.h"

#include "core/controller_facts.h"
#include "core/send.h"
#include "query/budget.h"
#include "query/latency.h"
#include "query/query_facts.h"

#include <algorithm>

namespace redwingdock {

namespace {

constexpr micros kNotSentBackoff =
  std::chrono::milliseconds(300);                              // stages and holders change slowly
constexpr micros kShedBackoff = std::chrono::milliseconds(50); // a full queue drains quickly
constexpr micros kPlacementRetryDelay = std::chrono::milliseconds(20);
constexpr std::size_t kMaxAttempts = 8; // per part and restart; counts refused attempts too

// Whether a part is not sent to the same server again after this failure.
bool ExcludesServer(part_failure aFailure)
{
  return aFailure == part_failure::Draining || aFailure == part_failure::VersionGone ||
         aFailure == part_failure::WrongTarget || aFailure == part_failure::ConnectionLost ||
         aFailure == part_failure::Silent || aFailure == part_failure::Malformed;
}

placement_limits LimitsOf(core_context& aContext, const part_state& aPart)
{
  placement_limits limits;
  limits.mNow = aContext.Now();
  for (const attempt_state& attempt : aPart.mAttempts) {
    if (attempt.mOpen || ExcludesServer(attempt.mFailure)) {
      limits.mExcludedServers.insert(attempt.mServer);
    }
  }
  return limits;
}

bool IsConnected(core_context& aContext, const std::string& aVm)
{
  const auto peer = aContext.mBoard.Read<peer_state>("peer/" + aVm);
  return peer && peer->mConnected;
}

void AddOptions(core_context& aContext,
                const replica_info& aReplica,
                std::vector<placement_option>& aOptions)
{
  const auto permits = aContext.mBoard.Read<server_permits>(aReplica.mServer);
  if (!permits) {
    return;
  }
  const std::size_t first = aOptions.size();
  for (const permit& each : permits->mPermits) {
    const auto same = std::find_if(
      aOptions.begin() + static_cast<std::ptrdiff_t>(first),
      aOptions.end(),
      [&each](const placement_option& aOption) { return aOption.mHolder == each.mHolder; });
    if (same != aOptions.end()) {
      ++same->mPermits;
      continue;
    }
    const bool local = each.mHolder == aContext.mConfig.mVm;
    if (!local && !IsConnected(aContext, each.mHolder)) {
      continue;
    }
    placement_option option{ aReplica.mServer, aReplica.mZone, each.mHolder, 1, 0, local, {} };
    if (const auto load =
          aContext.mBoard.Read<holder_load>(ServerHolderKey(aReplica.mServer, each.mHolder))) {
      option.mOutstanding = load->mOutstanding;
      option.mAvoidUntil = load->mAvoidUntil;
    }
    aOptions.push_back(std::move(option));
  }
}

std::vector<placement_option> OptionsOf(core_context& aContext,
                                        const std::vector<shard_info>& aShards,
                                        const part_state& aPart)
{
  std::vector<placement_option> options;
  for (const shard_info& shard : aShards) {
    if (shard.mShard != aPart.mShard || shard.mPool != aPart.mPool) {
      continue;
    }
    for (const replica_info& replica : shard.mReplicas) {
      if (replica.mUsable) {
        AddOptions(aContext, replica, options);
      }
    }
  }
  return options;
}

std::optional<std::size_t> Choose(core_context& aContext,
                                  const std::vector<placement_option>& aOptions,
                                  const placement_limits& aLimits)
{
  return ChooseOption(
    aOptions, aLimits, [&aContext](std::uint64_t aBelow) { return aContext.Random(aBelow); });
}

void CountAttemptStart(core_context& aContext, const placement_option& aOption)
{
  aContext.mBoard.Update<holder_load>(ServerHolderKey(aOption.mServer, aOption.mHolder),
                                      [](const holder_load* aOld) {
                                        holder_load next = aOld != nullptr ? *aOld : holder_load{};
                                        ++next.mOutstanding;
                                        return std::optional(next);
                                      });
}

void ScheduleHedge(core_context& aContext,
                   const query_hooks& aHooks,
                   const query_state& aState,
                   const part_state& aPart,
                   std::uint64_t aAttempt)
{
  if (!aState.mHedge || aState.mOperation != operation::Search) {
    return;
  }
  std::optional<micros> quantile;
  if (const auto latency = aContext.mBoard.Read<latency_record>(LatencyKey(aPart))) {
    quantile = Quantile(*latency, aContext.mConfig.mHedgeQuantile);
  }
  const std::optional<micros> delay = aHooks.mHedgeDelay(quantile);
  if (delay) {
    aContext.After(std::max(*delay, aContext.mConfig.mHedgeFloor),
                   QueryKey(aState.mNumber),
                   hedge_due{ aAttempt });
  }
}

query_state StartAttempt(core_context& aContext,
                         const query_hooks& aHooks,
                         query_state aState,
                         std::size_t aPart,
                         const placement_option& aOption,
                         bool aHedge)
{
  const part_state& part = aState.mParts[aPart];
  const std::uint64_t number = (aState.mNumber << kAttemptBits) | aState.mNextAttempt;
  part_request request;
  request.mAttempt = { OriginOf(aContext.mConfig), number };
  request.mServer = aOption.mServer;
  request.mPool = part.mPool;
  request.mShard = part.mShard;
  request.mVersion = aState.mVersion;
  request.mOperation = aState.mDiscoveringVersion ? operation::Search : aState.mOperation;
  request.mFilter = aState.mRequest.mFilter;
  request.mRequestKey = aState.mDiscoveringVersion ? std::string() : aState.mRequest.mRequestKey;
  request.mFingerprint = aState.mFingerprint;
  request.mUrgency = aState.mUrgency;
  request.mDeadline = aState.mDeadline;
  CountAttemptStart(aContext, aOption);
  aContext.Count("query.parts_placed");
  aContext.Log("query",
               "query " + std::to_string(aState.mNumber) + (aHedge ? " hedges " : " places ") +
                 part.mShard + " on " + aOption.mServer + " through " + aOption.mHolder);
  if (aOption.mLocal) {
    aContext.mBoard.Post(aOption.mServer, gate_request{ aOption.mHolder, request });
  } else {
    const micros remaining = aState.mDeadline - aContext.Now();
    SendToPeer(aContext, aOption.mHolder, forward_part_message{ request, remaining });
  }
  ScheduleHedge(aContext, aHooks, aState, part, number);
  attempt_state attempt;
  attempt.mNumber = number;
  attempt.mServer = aOption.mServer;
  attempt.mHolder = aOption.mHolder;
  attempt.mSentAt = aContext.Now();
  attempt.mHedge = aHedge;
  return AddAttempt(std::move(aState), aPart, std::move(attempt));
}

// Takes a retry token for the next attempt of a part. First attempts, and attempts after one that
// reached no server, cost nothing.
bool TryReserveAttempt(core_context& aContext, const part_state& aPart)
{
  if (aPart.mAttempts.empty() || aPart.mAttempts.back().mFailure == part_failure::NotSent) {
    return true;
  }
  if (!TryTakeToken(aContext.mBoard, kRetryBudgetKey)) {
    return false;
  }
  aContext.Count("query.retries");
  return true;
}

query_state FailPart(query_state aState, std::size_t aPart, const reason& aReason)
{
  query_state next = std::move(aState);
  part_state& part = next.mParts[aPart];
  part.mPhase = part_phase::Failed;
  if (part.mReason.mText.empty()) {
    part.mReason = aReason;
  }
  return next;
}

} // namespace

std::string LatencyKey(const part_state& aPart)
{
  return "latency/" + aPart.mPool + "/" + aPart.mShard;
}

std::vector<shard_info> ReadShards(core_context& aContext,
                                   const tables_in_force& aTables,
                                   const route_spec& aRoute)
{
  return ShardsOf(aRoute, aTables, [&aContext](const std::string& aServer) {
    return aContext.mBoard.Read<server_status>(aServer);
  });
}

query_state PlaceReadyParts(core_context& aContext, const query_hooks& aHooks, query_state aState)
{
  const bool ready =
    std::any_of(aState.mParts.begin(), aState.mParts.end(), [](const part_state& aPart) {
      return aPart.mPhase == part_phase::Ready;
    });
  if (!ready) {
    return aState;
  }
  const auto tables = aContext.mBoard.Read<tables_in_force>(kTablesKey);
  const route_spec* route = tables ? tables->FindRoute(aState.mRequest.mRoute) : nullptr;
  const std::vector<shard_info> shards =
    route != nullptr ? ReadShards(aContext, *tables, *route) : std::vector<shard_info>();
  query_state next = std::move(aState);
  bool retryLater = false;
  for (std::size_t i = 0; i < next.mParts.size(); ++i) {
    if (next.mParts[i].mPhase != part_phase::Ready) {
      continue;
    }
    const std::vector<placement_option> options = OptionsOf(aContext, shards, next.mParts[i]);
    const placement_limits limits = LimitsOf(aContext, next.mParts[i]);
    const std::optional<std::size_t> chosen = Choose(aContext, options, limits);
    if (!chosen) {
      const bool optionLater =
        HasOptionAfterBackoff(options, limits) && next.mParts[i].mAttempts.size() < kMaxAttempts;
      if (optionLater) {
        retryLater = true;
      } else {
        next = FailPart(std::move(next),
                        i,
                        { "place part", "", "no usable replica with a reachable permit holder" });
      }
      continue;
    }
    if (next.mParts[i].mAttempts.size() >= kMaxAttempts ||
        !TryReserveAttempt(aContext, next.mParts[i])) {
      next = FailPart(std::move(next),
                      i,
                      { "place part", "", "the limit of attempts or the retry budget is used up" });
      continue;
    }
    next = StartAttempt(aContext, aHooks, std::move(next), i, options[*chosen], false);
  }
  if (retryLater) {
    aContext.After(kPlacementRetryDelay, QueryKey(next.mNumber), retry_placement{});
  }
  return next;
}

query_state PlaceHedge(core_context& aContext,
                       const query_hooks& aHooks,
                       query_state aState,
                       std::size_t aPart)
{
  const part_state& part = aState.mParts[aPart];
  const auto suspected = aContext.mBoard.Read<suspect>(SuspectKey(aState.mFingerprint));
  if (suspected && suspected->mUntil > aContext.Now()) {
    return aState;
  }
  // A request that crashes servers may be hedged before the first crash is known. The limit per
  // query bounds how many second replicas it can reach.
  const std::size_t hedgeLimit = 1 + aState.mParts.size() / 10;
  if (aState.mHedges >= hedgeLimit || part.mAttempts.size() >= kMaxAttempts) {
    return aState;
  }
  const auto tables = aContext.mBoard.Read<tables_in_force>(kTablesKey);
  const route_spec* route = tables ? tables->FindRoute(aState.mRequest.mRoute) : nullptr;
  if (route == nullptr) {
    return aState;
  }
  const std::vector<placement_option> options =
    OptionsOf(aContext, ReadShards(aContext, *tables, *route), part);
  placement_limits limits = LimitsOf(aContext, part);
  if (const server_spec* slow = tables->FindServer(part.mAttempts.back().mServer)) {
    limits.mAvoidZone = slow->mZone;
  }
  const std::optional<std::size_t> chosen = Choose(aContext, options, limits);
  if (!chosen || !TryTakeToken(aContext.mBoard, kHedgeBudgetKey)) {
    return aState;
  }
  aContext.Count("query.hedges");
  query_state next =
    StartAttempt(aContext, aHooks, std::move(aState), aPart, options[*chosen], true);
  ++next.mHedges;
  return next;
}

query_state CancelAttempts(core_context& aContext, query_state aState, std::size_t aPart)
{
  query_state next = std::move(aState);
  part_state& part = next.mParts[aPart];
  for (attempt_state& attempt : part.mAttempts) {
    if (!attempt.mOpen) {
      continue;
    }
    const attempt_id id{ OriginOf(aContext.mConfig), attempt.mNumber };
    if (attempt.mHolder == aContext.mConfig.mVm) {
      aContext.mBoard.Post(attempt.mServer, gate_cancel{ id });
    } else {
      SendToPeer(aContext, attempt.mHolder, cancel_part_message{ id, attempt.mServer });
    }
    CloseAttempt(aContext, attempt, part_failure::Cancelled);
    attempt.mOpen = false;
    attempt.mFailure = part_failure::Cancelled;
    part.mMayHaveRun = true; // the server may run it before the cancellation arrives
    aContext.Log("query",
                 "query " + std::to_string(next.mNumber) + " cancels " + part.mShard + " on " +
                   attempt.mServer);
  }
  return next;
}

void CloseAttempt(core_context& aContext, const attempt_state& aAttempt, part_failure aFailure)
{
  micros avoid{ 0 };
  if (aFailure == part_failure::NotSent) {
    avoid = kNotSentBackoff;
  } else if (aFailure == part_failure::Shed) {
    avoid = kShedBackoff;
  }
  const instant until = avoid.count() > 0 ? aContext.Now() + avoid : instant{};
  aContext.mBoard.Update<holder_load>(ServerHolderKey(aAttempt.mServer, aAttempt.mHolder),
                                      [until](const holder_load* aOld) {
                                        holder_load next = aOld != nullptr ? *aOld : holder_load{};
                                        next.mOutstanding -= next.mOutstanding > 0 ? 1 : 0;
                                        next.mAvoidUntil = std::max(next.mAvoidUntil, until);
                                        return std::optional(next);
                                      });
}

} // namespace redwingdock
