#include "forward/forward_controller.h"

#include "base/log_text.h"
#include "catalog/routes.h"
#include "core/controller_facts.h"
#include "forward/admission.h"
#include "forward/client_timeout.h"
#include "forward/crash_controller.h"
#include "forward/request_step.h"
#include "forward/room.h"

#include <algorithm>
#include <utility>

namespace redwingdock {

namespace {

// The answer is sent this long before the client's deadline, in addition to the round trip.
constexpr micros kDeadlineMargin = std::chrono::milliseconds(5);
// Divisor of the target that gives the retry delay of a client refused for overload. A retry after
// that can still be answered within the target.
constexpr int kOverloadRetryDivisor = 3;
constexpr micros kRetryAfterStart = std::chrono::milliseconds(250);
// Clients that hold the memory of others are given up, or have read their replies, within a second.
constexpr micros kRetryAfterRoom = std::chrono::seconds(1);
// Longer than the client of a crashing request waits.
constexpr micros kRetryAfterCrash = std::chrono::seconds(2);

// Number of requests so far on a route with weights. Entry key: "split/" and the route.
struct split_position
{
  std::uint64_t mCount = 0;

  auto operator<=>(const split_position&) const = default;
};

// Selects a service of the route by weight. The fractional parts of multiples of the golden ratio
// spread consecutive requests evenly over the weights.
std::string ChooseService(core_context& aContext, const route_rule& aRoute)
{
  constexpr double kGoldenRatio = 0.6180339887498949;
  const std::uint64_t start = aContext.Random(1000);
  std::uint64_t count = 0;
  aContext.mBoard.Update<split_position>("split/" + aRoute.mName, [&](const split_position* aOld) {
    count = aOld != nullptr ? aOld->mCount : start;
    return std::optional<split_position>(split_position{ count + 1 });
  });
  double total = 0;
  for (const weighted_service& each : aRoute.mServices) {
    total += each.mWeight;
  }
  const double turns = static_cast<double>(count) * kGoldenRatio;
  double position = (turns - static_cast<double>(static_cast<std::uint64_t>(turns))) * total;
  for (const weighted_service& each : aRoute.mServices) {
    position -= each.mWeight;
    if (position < 0) {
      return each.mService;
    }
  }
  return aRoute.mServices.back().mService;
}

bool HasRoute(const catalog& aCatalog, const std::string& aName)
{
  return std::any_of(aCatalog.mRoutes.begin(), aCatalog.mRoutes.end(), [&aName](const auto& aHost) {
    return std::any_of(aHost.second.begin(),
                       aHost.second.end(),
                       [&aName](const route_pointer& aRoute) { return aRoute->mName == aName; });
  });
}

// Answers a request without sending it to a replica.
void AnswerImmediately(core_context& aContext,
                       const request_arrived& aFact,
                       answer_kind aKind,
                       const char* aReason,
                       micros aRetryAfter)
{
  forward_answer answer;
  answer.mKind = aKind;
  answer.mRetryAfter = aRetryAfter;
  answer.mReason = { "route", aFact.mContent.mHost, aReason };
  aContext.Count(std::string("forward.answer.") + ToString(aKind));
  aContext.Log("forward",
               "event=answer request=" + Quoted(aFact.mContent.mId) +
                 " host=" + Quoted(aFact.mContent.mHost) + " path=" + Quoted(aFact.mContent.mPath) +
                 " outcome=" + ToString(aKind) + " reason=" + Quoted(Describe(answer.mReason)));
  aContext.Emit(answer_request{ aFact.mRequest, std::move(answer) });
}

// Adopts the timeouts of clients that other daemons observed: at hundreds of daemons each gets only
// a few requests of a route.
void OnTimeoutsReported(core_context& aContext, const heartbeat& aHeartbeat)
{
  const auto known = aContext.mBoard.Read<catalog>(kCatalogKey);
  for (const observed_timeout& each : aHeartbeat.mTimeouts) {
    if (!known || !HasRoute(*known, each.mRoute)) {
      continue;
    }
    aContext.mBoard.Update<client_timeout_record>(
      ClientTimeoutKey(each.mRoute), [&aContext, &each](const client_timeout_record* aOld) {
        return std::optional<client_timeout_record>(
          WithReport(aOld != nullptr ? *aOld : client_timeout_record{}, each, aContext.Now()));
      });
  }
}

// Records the time that the client states and returns the time that it had already waited,
// estimated from what other clients of the route state.
micros RecordClientTimeout(core_context& aContext, const route_rule& aRoute, micros aRemaining)
{
  micros spent{ 0 };
  aContext.mBoard.Update<client_timeout_record>(
    ClientTimeoutKey(aRoute.mName),
    [&](const client_timeout_record* aOld) -> std::optional<client_timeout_record> {
      const client_timeout_record known = aOld != nullptr ? *aOld : client_timeout_record{};
      spent = TimeBeforeArrival(known, aRemaining, aContext.Now());
      if (aRemaining <= micros(0)) {
        return std::nullopt;
      }
      return WithClientTimeout(known, aRemaining);
    });
  return spent;
}

forward_state NewState(core_context& aContext,
                       const forward_hooks& aHooks,
                       const request_arrived& aFact,
                       const catalog& aCatalog,
                       const route_pointer& aRoute)
{
  forward_state state;
  state.mRequest = aFact.mRequest;
  state.mContent = aFact.mContent;
  state.mRoute = aRoute;
  state.mVersion = aCatalog.mVersion;
  state.mMaxAttempts = aRoute->mMaxAttempts;
  state.mArrivedAt = aContext.Now();
  micros timeout = aRoute->mTimeout;
  if (aFact.mContent.mClientTimeout.count() > 0) {
    timeout = std::min(timeout, aFact.mContent.mClientTimeout);
  }
  state.mDeadline = aContext.Now() + timeout - kDeadlineMargin - aFact.mContent.mRoundTrip;
  state.mSpent = RecordClientTimeout(aContext, *aRoute, aFact.mContent.mClientTimeout);
  state.mPartialAt = aContext.Now() + aHooks.mPartialAnswerDelay(
                                        *aRoute, { state.mSpent, aFact.mContent.mRoundTrip });
  if (aRoute->mGather) {
    for (const weighted_service& each : aRoute->mServices) {
      state.mParts.push_back(std::make_shared<const forward_part>(forward_part{ each.mService }));
    }
  } else {
    state.mParts.push_back(
      std::make_shared<const forward_part>(forward_part{ ChooseService(aContext, *aRoute) }));
  }
  return state;
}

// Whether no route over the same services is more urgent.
bool IsUrgent(const catalog& aCatalog, const route_rule& aRoute)
{
  for (const auto& [host, routes] : aCatalog.mRoutes) {
    for (const route_pointer& each : routes) {
      if (each->mGather && each->mPriority < aRoute.mPriority &&
          each->mServices.front() == aRoute.mServices.front()) {
        return false;
      }
    }
  }
  return true;
}

bool IsOverloaded(core_context& aContext,
                  const forward_hooks& aHooks,
                  const catalog& aCatalog,
                  const route_rule& aRoute)
{
  if (!aRoute.mGather) {
    return false;
  }
  const auto level = aContext.mBoard.Read<admission_level>(AdmissionKey(aRoute));
  return level && level->mShare < 1 &&
         !aHooks.mIsAdmitted(
           *level, IsUrgent(aCatalog, aRoute), static_cast<double>(aContext.Random(1000)) / 1000.0);
}

// Whether a request that arrives now is likely to be answered before a stopping daemon answers all
// requests that are left, and its reply to be sent before the process ends. Other daemons can run
// one that is not.
bool CanFinishBeforeStop(core_context& aContext,
                         const route_rule& aRoute,
                         const forward_request& aContent)
{
  const auto view = aContext.mBoard.Read<fleet_view>(kFleetKey);
  if (!view || !view->mLeaving) {
    return true;
  }
  const auto recent = aContext.mBoard.Read<latency_record>(LatencyKey(aRoute));
  const instant likelyAnswer =
    aContext.Now() + LongLatency(aRoute, recent ? *recent : latency_record{});
  return aContext.Now() < view->mLastForwardAt && likelyAnswer <= view->mFinalAnswersAt &&
         likelyAnswer + aContent.mDeliveryTime <= view->mFlushUntil;
}

void OnArrived(core_context& aContext, const forward_hooks& aHooks, const request_arrived& aFact)
{
  const auto known = aContext.mBoard.Read<catalog>(kCatalogKey);
  aContext.Count("forward.requests");
  if (!known || known->mVersion == 0) {
    AnswerImmediately(
      aContext, aFact, answer_kind::NotRun, "no configuration is known yet", kRetryAfterStart);
    return;
  }
  const route_pointer route = FindRoute(*known, aFact.mContent.mHost, aFact.mContent.mPath);
  if (!route || route->mServices.empty()) {
    AnswerImmediately(aContext, aFact, answer_kind::NoRoute, "no route for this path", micros(0));
    return;
  }
  const crash_verdict verdict = VerdictOf(aContext, aFact.mContent);
  if (verdict == crash_verdict::Refused) {
    AnswerImmediately(aContext,
                      aFact,
                      answer_kind::NotRun,
                      "the request has ended the replicas that ran it",
                      kRetryAfterCrash);
    return;
  }
  if (!CanFinishBeforeStop(aContext, *route, aFact.mContent)) {
    aContext.Count("forward.refused_at_stop");
    AnswerImmediately(aContext, aFact, answer_kind::NotRun, "the daemon is stopping", micros(0));
    return;
  }
  const auto sizes = aContext.mBoard.Read<reply_sizes>(ReplySizesKey(*route));
  const std::size_t replyBytes = sizes ? sizes->mRecentMax : 0;
  if (!HasMemory(aFact.mContent.mRoom, replyBytes)) {
    aContext.Count("forward.refused_for_memory");
    AnswerImmediately(
      aContext, aFact, answer_kind::NotRun, "no memory for the request", kRetryAfterRoom);
    return;
  }
  const client_room& room = aFact.mContent.mRoom;
  if (IsCrowded(room) && !HasPlace(room, OpenRequestsOn(aContext.mBoard, route->mName))) {
    aContext.Count("forward.refused_for_room");
    AnswerImmediately(aContext,
                      aFact,
                      answer_kind::NotRun,
                      "too many requests of the route are open",
                      kRetryAfterRoom);
    return;
  }
  if (IsOverloaded(aContext, aHooks, *known, *route)) {
    aContext.Count("forward.overloaded");
    AnswerImmediately(aContext,
                      aFact,
                      answer_kind::NotRun,
                      "the services are overloaded",
                      route->mTargetLatency / kOverloadRetryDivisor);
    return;
  }
  forward_state state = NewState(aContext, aHooks, aFact, *known, route);
  state.mReplyBytes = replyBytes;
  if (verdict == crash_verdict::Trial) {
    state.mMaxAttempts = 1;
  }
  for (const part_pointer& part : state.mParts) {
    aContext.mBoard.Update<repeat_budget>(
      BudgetKey(part->mService), [&](const repeat_budget* aOld) {
        return std::optional<repeat_budget>(
          WithRequest(aOld != nullptr ? *aOld : repeat_budget{}, aContext.Now()));
      });
  }
  aContext.Log("forward",
               "event=routed request=" + Quoted(state.mContent.mId) + " route=" + route->mName +
                 " version=" + std::to_string(state.mVersion) +
                 " service=" + (route->mGather ? "gather" : state.mParts.front()->mService) +
                 " parts=" + std::to_string(state.mParts.size()) +
                 (verdict == crash_verdict::Trial ? " trial=yes" : "") + " patience_ms=" +
                 MsText(state.mContent.mClientTimeout) + " spent_ms=" + MsText(state.mSpent) +
                 " round_trip_ms=" + MsText(state.mContent.mRoundTrip) +
                 " delivery_ms=" + MsText(state.mContent.mDeliveryTime) +
                 " partial_ms=" + MsText(state.mPartialAt - state.mArrivedAt) +
                 " deadline_ms=" + MsText(state.mDeadline - state.mArrivedAt));
  request_step(aContext, aHooks, std::move(state)).Begin();
}

void RecordLatency(core_context& aContext, const forward_state& aState, micros aLatency)
{
  aContext.mBoard.Update<latency_record>(
    LatencyKey(*aState.mRoute), [aLatency](const latency_record* aOld) {
      return std::optional<latency_record>(
        AddLatency(aOld != nullptr ? *aOld : latency_record{}, aLatency));
    });
}

// Returns the state with the attempt ended, or nullopt when it had already ended.
std::optional<forward_state> WithAttemptEnded(core_context& aContext,
                                              const forward_state& aState,
                                              const attempt_ended& aFact)
{
  const attempt_key& key = aFact.mKey;
  if (key.mPart >= aState.mParts.size() ||
      key.mAttempt >= aState.mParts[key.mPart]->mAttempts.size() ||
      !aState.mParts[key.mPart]->mAttempts[key.mAttempt].mOpen) {
    return std::nullopt;
  }
  forward_part part = *aState.mParts[key.mPart];
  forward_attempt& attempt = part.mAttempts[key.mAttempt];
  attempt.mOpen = false;
  attempt.mEnd = aFact.mEnd;
  if (aFact.mEnd == attempt_end::Answered && aFact.mReply->IsSuccess()) {
    part.mReply = part.mReply ? part.mReply : aFact.mReply;
    RecordLatency(aContext, aState, aContext.Now() - attempt.mSentAt);
    return WithPart(aState, key.mPart, std::move(part));
  }
  if (aFact.mEnd == attempt_end::Answered) {
    part.mFailure = aFact.mReply;
  }
  // After a rejected repeat the next one waits until replicas may have capacity again; any other
  // end is retried immediately.
  part.mNextAttemptAt = aFact.mEnd == attempt_end::Rejected && part.mAttempts.size() > 1
                          ? aContext.Now() + kRetryDelay
                          : aContext.Now();
  return WithPart(aState, key.mPart, std::move(part));
}

void OnNotice(core_context& aContext, const attempt_ended& aFact)
{
  if (aFact.mNotice == replica_notice{}) {
    return;
  }
  if (aFact.mNotice.mRetryAfter > micros(0)) {
    const instant until = aContext.Now() + aFact.mNotice.mRetryAfter;
    aContext.mBoard.Update<replica_deferrals>(
      kDeferralsKey, [until](const replica_deferrals* aOld) {
        return std::optional<replica_deferrals>(
          replica_deferrals{ aOld != nullptr ? std::max(aOld->mLatest, until) : until });
      });
  }
  aContext.Count(aFact.mNotice.mLeaving ? "forward.replica_leaving" : "forward.replica_deferred");
  aContext.Log("forward",
               "event=replica_notice replica=" + aFact.mReplica->mId +
                 " leaving=" + (aFact.mNotice.mLeaving ? "yes" : "no") +
                 " retry_after_ms=" + MsText(aFact.mNotice.mRetryAfter));
}

void OnAttemptEnded(core_context& aContext, const forward_hooks& aHooks, const attempt_ended& aFact)
{
  const bool success =
    aFact.mEnd == attempt_end::Answered && aFact.mReply && aFact.mReply->IsSuccess();
  aContext.mBoard.Update<replica_load>(aFact.mReplica->mId, [&](const replica_load* aKnown) {
    // For the choice of replicas an unsuccessful reply counts as a lost attempt.
    const attempt_end end =
      aFact.mEnd == attempt_end::Answered && !success ? attempt_end::Lost : aFact.mEnd;
    return std::optional<replica_load>(WithNotice(
      WithEnd(
        LoadOf(aKnown, *aFact.mReplica), aFact.mKey, { end, aFact.mNewConnection }, aContext.Now()),
      aFact.mNotice,
      aContext.Now()));
  });
  OnNotice(aContext, aFact);
  const auto state = aContext.mBoard.Read<forward_state>(ForwardRequestKey(aFact.mKey.mRequest));
  if (!success) {
    aContext.Count(std::string("forward.attempt.") + ToString(aFact.mEnd));
    aContext.Log("forward",
                 "event=attempt_failed request=" + Quoted(state ? state->mContent.mId : "") +
                   " part=" + std::to_string(aFact.mKey.mPart) + " replica=" + aFact.mReplica->mId +
                   " end=" + ToString(aFact.mEnd) +
                   (aFact.mReply ? " status=" + std::to_string(aFact.mReply->mStatus) : "") +
                   " reason=" + Quoted(Describe(aFact.mReason)));
  }
  if (!state) {
    return;
  }
  std::optional<forward_state> next = WithAttemptEnded(aContext, *state, aFact);
  if (next) {
    request_step(aContext, aHooks, std::move(*next)).Run();
  }
}

} // namespace

void AddForwardController(core_context& aContext, const forward_hooks& aHooks)
{
  blackboard& board = aContext.mBoard;
  board.OnFact<request_arrived>(
    [&aContext, aHooks](const std::string&, const request_arrived& aFact) {
      OnArrived(aContext, aHooks, aFact);
    });
  board.OnFact<request_abandoned>(
    [&aContext, aHooks](const std::string& aKey, const request_abandoned&) {
      if (const auto state = aContext.mBoard.Read<forward_state>(aKey)) {
        request_step(aContext, aHooks, *state).Abandon();
      }
    });
  board.OnFact<attempt_ended>([&aContext, aHooks](const std::string&, const attempt_ended& aFact) {
    OnAttemptEnded(aContext, aHooks, aFact);
  });
  board.OnFact<heartbeat_received>(
    [&aContext](const std::string&, const heartbeat_received& aFact) {
      OnTimeoutsReported(aContext, aFact.mHeartbeat);
    });
  board.OnFact<answer_now>([&aContext, aHooks](const std::string& aKey, const answer_now&) {
    if (const auto state = aContext.mBoard.Read<forward_state>(aKey)) {
      request_step(aContext, aHooks, *state).AnswerNow();
    }
  });
  board.OnFact<step_due>([&aContext, aHooks](const std::string& aKey, const step_due&) {
    if (const auto state = aContext.mBoard.Read<forward_state>(aKey)) {
      request_step(aContext, aHooks, *state).Run();
    }
  });
}

} // namespace redwingdock
