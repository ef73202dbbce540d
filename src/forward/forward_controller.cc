#include "forward/forward_controller.h"

#include "catalog/routes.h"
#include "core/core_facts.h"
#include "forward/crashes.h"
#include "forward/forward_state.h"
#include "forward/gather.h"

#include <algorithm>
#include <utility>

namespace redwingdock {

namespace {

// Sends of one part, with those that were refused.
constexpr std::size_t kMostSends = 4;
// An attempt with less time than this left is not worth its arrival.
constexpr micros kLeastTime = std::chrono::milliseconds(4);
// The final answer leaves this much before the deadline.
constexpr micros kDeadlineMargin = std::chrono::milliseconds(5);
// Pause before a part is tried again while no replica has room or the budget is used up.
constexpr micros kRetryPause = std::chrono::milliseconds(12);
// Attempts that are open after the answer usually end within a pause of their replica.
constexpr micros kCancelAfterAnswer = std::chrono::milliseconds(300);
// An attempt that is open this long after an answer without it has met a silent connection.
constexpr micros kSilentAfter = std::chrono::milliseconds(450);
// A client that is refused comes back when another daemon or replica has had time to recover.
constexpr micros kRetryAfter = std::chrono::milliseconds(60);
constexpr micros kRetryAfterStart = std::chrono::milliseconds(250);
// A request that ends its replicas is refused for longer than its client waits.
constexpr micros kRetryAfterCrash = std::chrono::seconds(2);
// Of the connections that a replica accepts, the share that all daemons use together; the rest is
// for connections that went silent.
constexpr double kConnectionShare = 0.8;
constexpr std::uint32_t kLeastConnections = 2;
// Of the budget of repeats. The rest is for attempts that ended without a reply, which are certain
// to need one.
constexpr double kHedgeShare = 0.6;
// While the service does not say.
constexpr std::uint32_t kDefaultConnections = 8;

// The next step of a request is due.
struct step_due
{
  std::uint64_t mRequest = 0;

  auto operator<=>(const step_due&) const = default;
};

// A crash_record may have expired.
struct crash_expiry
{
  std::uint64_t mFingerprint = 0;

  auto operator<=>(const crash_expiry&) const = default;
};

// Requests so far on a route with weights. Entry key: "split/" and the route.
struct split_position
{
  std::uint64_t mCount = 0;

  auto operator<=>(const split_position&) const = default;
};

std::string LatencyKey(const route_rule& aRoute)
{
  return "latency/" + aRoute.mName;
}

std::string BudgetKey(const std::string& aService)
{
  return "budget/" + aService;
}

std::string Quoted(const std::string& aText)
{
  return '"' + aText + '"';
}

double Ms(micros aTime)
{
  return static_cast<double>(aTime.count()) / 1000.0;
}

std::string MsText(micros aTime)
{
  return std::to_string(static_cast<std::int64_t>(Ms(aTime)));
}

class request_step
{
public:
  request_step(core_context& aContext, const forward_hooks& aHooks, forward_state aState)
    : mContext(aContext)
    , mHooks(aHooks)
    , mState(std::move(aState))
    , mCatalog(aContext.mBoard.Read<catalog>(kCatalogKey))
  {
  }

  // Advances all parts, gives the answer when it is due, and keeps the state.
  void Run()
  {
    if (!mState.mAnswered) {
      for (std::uint32_t i = 0; i < mState.mParts.size(); ++i) {
        Advance(i);
      }
      Conclude();
    }
    if (mState.mAnswered) {
      CancelOverdue();
    }
    Keep();
  }

  void Abandon()
  {
    mContext.Count("forward.abandoned");
    mContext.Log("forward",
                 "event=abandoned request=" + Quoted(mState.mContent.mId) +
                   " after_ms=" + MsText(mContext.Now() - mState.mArrivedAt));
    CancelAll(false);
    mContext.mBoard.Erase<forward_state>(RequestKey(mState.mRequest));
  }

private:
  micros Expected() const { return ExpectedLatency(*mState.mRoute, Latencies()); }

  latency_record Latencies() const
  {
    const auto record = mContext.mBoard.Read<latency_record>(LatencyKey(*mState.mRoute));
    return record ? *record : latency_record{};
  }

  choice_input ChoiceInput(const std::string& aService) const
  {
    const auto view = mContext.mBoard.Read<fleet_view>(kFleetKey);
    const std::uint32_t daemons = std::max<std::uint32_t>(view ? view->mMostSeen : 1, 1);
    const forward_config& config = mContext.mConfig.mForward;
    choice_input input{ mContext.Now(), mContext.mConfig.mZone, kDefaultConnections, 0 };
    const auto found = mCatalog->mServices.find(aService);
    if (found == mCatalog->mServices.end()) {
      return input;
    }
    if (found->second.mConnections > 0) {
      input.mConnections = std::max(
        kLeastConnections,
        static_cast<std::uint32_t>(found->second.mConnections * kConnectionShare / daemons));
    }
    if (found->second.mColdRate > 0) {
      input.mColdRate = (found->second.mColdRate * config.mColdOverage + config.mColdSlack) /
                        std::max(daemons, config.mMostDaemons);
    }
    return input;
  }

  std::vector<choice_candidate> Candidates(const forward_part& aPart) const
  {
    std::vector<choice_candidate> candidates;
    const auto replicas = mCatalog->mReplicas.find(aPart.mService);
    if (replicas == mCatalog->mReplicas.end()) {
      return candidates;
    }
    for (const replica_pointer& replica : replicas->second) {
      if (replica->mDraining || mCatalog->mClosedZones.contains(replica->mZone) ||
          HasTried(aPart, *replica)) {
        continue;
      }
      const auto known = mContext.mBoard.Read<replica_load>(replica->mId);
      replica_load load = LoadOf(known.get(), *replica);
      if (!load.mGone) {
        candidates.push_back(
          { replica, std::move(load), static_cast<double>(mContext.Random(1000)) / 1000.0 });
      }
    }
    return candidates;
  }

  // A replica that refused a part for want of room may have room later.
  static bool HasTried(const forward_part& aPart, const replica_entry& aReplica)
  {
    return std::any_of(
      aPart.mAttempts.begin(), aPart.mAttempts.end(), [&aReplica](const forward_attempt& aAttempt) {
        return aAttempt.mReplica->mId == aReplica.mId &&
               (aAttempt.mOpen || aAttempt.mEnd != attempt_end::Rejected);
      });
  }

  bool MayRepeat(const forward_part& aPart) const
  {
    const std::size_t run = RunAttempts(aPart);
    return aPart.mAttempts.size() < kMostSends && run < mState.mRoute->mAttempts &&
           (mState.mRoute->mIdempotent || run == 0) &&
           mState.mDeadline - mContext.Now() > kLeastTime;
  }

  void Advance(std::uint32_t aIndex)
  {
    forward_part& part = mState.mParts[aIndex];
    if (part.mReply || part.mGivenUp || mContext.Now() < part.mNextAt) {
      return;
    }
    const std::size_t open = OpenAttempts(part);
    if (open == 0 && !MayRepeat(part)) {
      part.mGivenUp = true;
      return;
    }
    if (open == 0) {
      Send(aIndex, part.mAttempts.empty() ? "first" : "retry");
      return;
    }
    if (open > 1 || !mState.mRoute->mIdempotent || !MayRepeat(part)) {
      part.mNextAt = kNever;
      return;
    }
    Send(aIndex, "hedge");
  }

  // Sends the part to the cheapest replica; without one, or without budget, the part waits, and is
  // given up when nothing is open and no replica is left.
  void Send(std::uint32_t aIndex, const char* aWhy)
  {
    forward_part& part = mState.mParts[aIndex];
    const std::vector<choice_candidate> candidates = Candidates(part);
    const bool open = OpenAttempts(part) > 0;
    if (candidates.empty()) {
      part.mGivenUp = !open;
      part.mNextAt = kNever;
      return;
    }
    const choice_input input = ChoiceInput(part.mService);
    const std::optional<std::size_t> chosen = mHooks.mChoose(candidates, input);
    if (!chosen || (HasArrived(part) && !TakeRepeat(part.mService, open ? kHedgeShare : 1))) {
      part.mNextAt = mContext.Now() + kRetryPause;
      return;
    }
    const choice_candidate& target = candidates[*chosen];
    const attempt_key key{ mState.mRequest,
                           aIndex,
                           static_cast<std::uint32_t>(part.mAttempts.size()) };
    if (!part.mAttempts.empty()) {
      mContext.Count(std::string("forward.") + aWhy);
      mContext.Log("forward",
                   std::string("event=") + aWhy + " request=" + Quoted(mState.mContent.mId) +
                     " part=" + std::to_string(aIndex) + " service=" + part.mService + " replica=" +
                     target.mReplica->mId + " before=" + part.mAttempts.back().mReplica->mId +
                     " after_ms=" + MsText(mContext.Now() - mState.mArrivedAt) +
                     " open_there=" + std::to_string(target.mLoad.mOpen.size()));
    }
    part.mAttempts.push_back({ target.mReplica, mContext.Now() });
    part.mNextAt = mContext.Now() + mHooks.mHedgeAfter(*mState.mRoute, Latencies());
    const micros expected = Expected();
    mContext.mBoard.Update<replica_load>(target.mReplica->mId, [&](const replica_load* aKnown) {
      return std::optional<replica_load>(
        WithSend(LoadOf(aKnown, *target.mReplica), key, mContext.Now(), expected));
    });
    mContext.Emit(send_attempt{ key, target.mReplica, mState.mDeadline, input.mConnections });
  }

  // Takes a repeat while no more than the share of the budget is used.
  bool TakeRepeat(const std::string& aService, double aShare)
  {
    const forward_config& config = mContext.mConfig.mForward;
    const auto view = mContext.mBoard.Read<fleet_view>(kFleetKey);
    const std::uint32_t daemons = std::max(config.mMostDaemons, view ? view->mMostSeen : 1);
    const repeat_limits limits{ config.mRepeatRatio * aShare,
                                config.mRepeatSlack * aShare / daemons,
                                config.mRepeatWindow };
    const bool taken = mContext.mBoard.Update<repeat_budget>(
      BudgetKey(aService), [&](const repeat_budget* aKnown) -> std::optional<repeat_budget> {
        const repeat_budget known = aKnown != nullptr ? *aKnown : repeat_budget{};
        if (!mHooks.mMayRepeat(known, limits, mContext.Now())) {
          return std::nullopt;
        }
        return WithRepeat(known, mContext.Now());
      });
    if (!taken) {
      mContext.Count("forward.repeat_denied");
    }
    return taken;
  }

  void Conclude()
  {
    const instant now = mContext.Now();
    const std::size_t undecided = UndecidedParts(mState);
    const bool enough = IsEnough(mState);
    if (enough && (undecided == 0 || now >= mState.mPartialAt)) {
      AnswerSuccess();
    } else if (!IsEnough(mState, undecided)) {
      AnswerFailure(MayHaveRun(mState) ? answer_kind::Failed : answer_kind::NotRun);
    } else if (now >= mState.mDeadline) {
      AnswerFailure(MayHaveRun(mState) ? answer_kind::TimedOut : answer_kind::NotRun);
    }
  }

  void AnswerSuccess()
  {
    forward_answer answer;
    if (!mState.mRoute->mGather) {
      answer.mKind = answer_kind::Relayed;
      answer.mReply = mState.mParts.front().mReply;
      Answer(std::move(answer));
      return;
    }
    answer.mKind = answer_kind::Gathered;
    std::vector<reply_pointer> parts;
    for (const forward_part& part : mState.mParts) {
      if (part.mReply) {
        parts.push_back(part.mReply);
        answer.mSignatures.push_back(part.mReply->mSignature);
      }
    }
    answer.mMissing = static_cast<std::uint32_t>(mState.mParts.size() - parts.size());
    answer.mBody = GreatestRecords(parts, mState.mRoute->mGather->mGreatest);
    Answer(std::move(answer));
  }

  void AnswerFailure(answer_kind aKind)
  {
    forward_answer answer;
    const forward_part& first = mState.mParts.front();
    if (!mState.mRoute->mGather && first.mFailure && aKind == answer_kind::Failed) {
      answer.mKind = answer_kind::Relayed;
      answer.mReply = first.mFailure;
    } else {
      answer.mKind = aKind;
      answer.mRetryAfter = kRetryAfter;
      answer.mReason = { "forward", first.mService, MissingText() };
    }
    Answer(std::move(answer));
  }

  // "service:last end" of the parts without a reply.
  std::string MissingText() const
  {
    std::string text;
    for (const forward_part& part : mState.mParts) {
      if (part.mReply) {
        continue;
      }
      text += (text.empty() ? "" : ",") + part.mService + ":";
      if (part.mAttempts.empty()) {
        text += "no_replica";
      } else if (part.mAttempts.back().mOpen) {
        text += "open";
      } else {
        text += ToString(part.mAttempts.back().mEnd);
      }
    }
    return text;
  }

  void Answer(forward_answer aAnswer)
  {
    const micros elapsed = mContext.Now() - mState.mArrivedAt;
    mContext.Count(std::string("forward.answer.") + ToString(aAnswer.mKind));
    std::string line = std::string("event=answer request=") + Quoted(mState.mContent.mId) +
                       " route=" + mState.mRoute->mName +
                       " version=" + std::to_string(mState.mVersion) +
                       " outcome=" + ToString(aAnswer.mKind) + " after_ms=" + MsText(elapsed) +
                       " parts=" + std::to_string(AnsweredParts(mState)) + "/" +
                       std::to_string(mState.mParts.size());
    if (!mState.mRoute->mGather && !mState.mParts.front().mAttempts.empty()) {
      line += " replica=" + mState.mParts.front().mAttempts.back().mReplica->mId;
    }
    if (aAnswer.mReply) {
      line += " status=" + std::to_string(aAnswer.mReply->mStatus);
    }
    const std::string missing = MissingText();
    if (!missing.empty()) {
      line += " missing=" + Quoted(missing);
    }
    mContext.Log("forward", std::move(line));
    mContext.Emit(answer_request{ mState.mRequest, std::move(aAnswer) });
    mState.mAnswered = true;
    mState.mCancelAt = mContext.Now() + kCancelAfterAnswer;
  }

  void CancelOverdue()
  {
    if (mContext.Now() >= mState.mCancelAt) {
      CancelAll(true);
    }
  }

  void CancelAll(bool aForSilence)
  {
    const instant now = mContext.Now();
    for (std::uint32_t i = 0; i < mState.mParts.size(); ++i) {
      std::vector<forward_attempt>& attempts = mState.mParts[i].mAttempts;
      for (std::uint32_t j = 0; j < attempts.size(); ++j) {
        if (!attempts[j].mOpen) {
          continue;
        }
        const attempt_key key{ mState.mRequest, i, j };
        const bool silent = aForSilence && now - attempts[j].mSentAt >= kSilentAfter;
        attempts[j].mOpen = false;
        attempts[j].mEnd = attempt_end::Lost;
        mContext.Emit(cancel_attempt{ key, silent });
        mContext.mBoard.Update<replica_load>(
          attempts[j].mReplica->mId, [&](const replica_load* aKnown) {
            const replica_load load = LoadOf(aKnown, *attempts[j].mReplica);
            return std::optional<replica_load>(aForSilence
                                                 ? WithCancel(load, key, now)
                                                 : WithEnd(load, key, attempt_end::Answered, now));
          });
        if (aForSilence) {
          mContext.Count("forward.cancelled");
          mContext.Log("forward",
                       "event=cancelled request=" + Quoted(mState.mContent.mId) +
                         " part=" + std::to_string(i) + " replica=" + attempts[j].mReplica->mId +
                         " open_ms=" + MsText(now - attempts[j].mSentAt) +
                         " silent=" + (silent ? "yes" : "no"));
        }
      }
    }
  }

  bool IsFinished() const
  {
    return mState.mAnswered &&
           std::all_of(mState.mParts.begin(), mState.mParts.end(), [](const forward_part& aPart) {
             return OpenAttempts(aPart) == 0;
           });
  }

  instant NextStep() const
  {
    if (mState.mAnswered) {
      return mState.mCancelAt;
    }
    instant next = mState.mDeadline;
    if (mState.mPartialAt > mContext.Now()) {
      next = std::min(next, mState.mPartialAt);
    }
    for (const forward_part& part : mState.mParts) {
      if (!part.mReply && !part.mGivenUp) {
        next = std::min(next, part.mNextAt);
      }
    }
    return next;
  }

  void Keep()
  {
    const std::string key = RequestKey(mState.mRequest);
    if (IsFinished()) {
      mContext.mBoard.Erase<forward_state>(key);
      return;
    }
    const instant now = mContext.Now();
    const instant next = NextStep();
    if (mState.mCheckAt <= now || next < mState.mCheckAt) {
      mState.mCheckAt = std::max(next, now + micros(1));
      mContext.After(mState.mCheckAt - now, key, step_due{ mState.mRequest });
    }
    mContext.mBoard.Write(key, std::move(mState));
  }

  core_context& mContext;
  const forward_hooks& mHooks;
  forward_state mState;
  std::shared_ptr<const catalog> mCatalog;
};

// The service of a route with weights. Positions of consecutive requests spread evenly over the
// weights by multiples of the golden ratio.
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

// Answers a request before any replica is asked.
void AnswerAtOnce(core_context& aContext,
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

void KeepCrashRecord(core_context& aContext, crash_record aRecord)
{
  const std::uint64_t fingerprint = aRecord.mFingerprint;
  aContext.After(kCrashTime, CrashKey(fingerprint), crash_expiry{ fingerprint });
  aContext.mBoard.Write(CrashKey(fingerprint), std::move(aRecord));
}

// Whether that start of the replica has ended: its address refuses connections or belongs to
// another process, or the replica has started anew.
bool HasEnded(core_context& aContext, const std::string& aReplica, std::int64_t aBornMs)
{
  const auto load = aContext.mBoard.Read<replica_load>(aReplica);
  return load && (load->mBornMs != aBornMs || load->mGone || load->mRefusals > 0);
}

// Whether the request has ended replicas before, here or at another daemon.
bool EndsReplicas(core_context& aContext, const forward_request& aRequest)
{
  const auto record = aContext.mBoard.Read<crash_record>(CrashKey(aRequest.mFingerprint));
  if (aRequest.mFingerprint == 0 || !record) {
    return false;
  }
  const std::size_t ended =
    EndedReplicas(*record, [&aContext](const std::string& aReplica, std::int64_t aBornMs) {
      return HasEnded(aContext, aReplica, aBornMs);
    });
  if (!record->mRefused && ended < kCrashLosses) {
    return false;
  }
  crash_record next = *record;
  next.mRefused = true;
  next.mUntil = aContext.Now() + kCrashTime;
  aContext.Count("forward.crashing_refused");
  aContext.Log("forward",
               "event=crashing_request request=" + Quoted(aRequest.mId) +
                 " fingerprint=" + std::to_string(aRequest.mFingerprint) + " lost=" +
                 std::to_string(record->mLost.size()) + " ended=" + std::to_string(ended),
               log_level::Warning);
  KeepCrashRecord(aContext, std::move(next));
  return true;
}

void OnCrashExpiry(core_context& aContext, std::uint64_t aFingerprint)
{
  const auto record = aContext.mBoard.Read<crash_record>(CrashKey(aFingerprint));
  if (record && record->mUntil <= aContext.Now()) {
    aContext.mBoard.Erase<crash_record>(CrashKey(aFingerprint));
  }
}

// Requests that other daemons refuse are refused here too.
void OnRefusedElsewhere(core_context& aContext, const heartbeat& aHeartbeat)
{
  for (const std::uint64_t fingerprint : aHeartbeat.mRefused) {
    const auto known = aContext.mBoard.Read<crash_record>(CrashKey(fingerprint));
    if (known && known->mRefused) {
      continue;
    }
    crash_record record = known ? *known : crash_record{ fingerprint };
    record.mRefused = true;
    record.mUntil = aContext.Now() + kCrashTime;
    aContext.Log("forward",
                 "event=crashing_request_learnt fingerprint=" + std::to_string(fingerprint) +
                   " from=" + aHeartbeat.mSender.mVm);
    KeepCrashRecord(aContext, std::move(record));
  }
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
  state.mArrivedAt = aContext.Now();
  micros patience = aRoute->mTimeout;
  if (aFact.mContent.mPatience.count() > 0) {
    patience = std::min(patience, aFact.mContent.mPatience);
  }
  state.mDeadline = aContext.Now() + patience - kDeadlineMargin;
  state.mPartialAt = aContext.Now() + aHooks.mPartialAnswerAfter(*aRoute);
  if (aRoute->mGather) {
    for (const weighted_service& each : aRoute->mServices) {
      state.mParts.push_back({ each.mService });
    }
  } else {
    state.mParts.push_back({ ChooseService(aContext, *aRoute) });
  }
  return state;
}

void OnArrived(core_context& aContext, const forward_hooks& aHooks, const request_arrived& aFact)
{
  const auto known = aContext.mBoard.Read<catalog>(kCatalogKey);
  aContext.Count("forward.requests");
  if (!known || known->mVersion == 0) {
    AnswerAtOnce(
      aContext, aFact, answer_kind::NotRun, "no configuration is known yet", kRetryAfterStart);
    return;
  }
  const route_pointer route = FindRoute(*known, aFact.mContent.mHost, aFact.mContent.mPath);
  if (!route || route->mServices.empty()) {
    AnswerAtOnce(aContext, aFact, answer_kind::NoRoute, "no route for this path", micros(0));
    return;
  }
  if (EndsReplicas(aContext, aFact.mContent)) {
    AnswerAtOnce(aContext,
                 aFact,
                 answer_kind::NotRun,
                 "the request has ended the replicas that ran it",
                 kRetryAfterCrash);
    return;
  }
  forward_state state = NewState(aContext, aHooks, aFact, *known, route);
  for (const forward_part& part : state.mParts) {
    aContext.mBoard.Update<repeat_budget>(BudgetKey(part.mService), [&](const repeat_budget* aOld) {
      return std::optional<repeat_budget>(
        WithRequest(aOld != nullptr ? *aOld : repeat_budget{}, aContext.Now()));
    });
  }
  aContext.Log("forward",
               "event=routed request=" + Quoted(state.mContent.mId) + " route=" + route->mName +
                 " version=" + std::to_string(state.mVersion) +
                 " service=" + (route->mGather ? "gather" : state.mParts.front().mService) +
                 " parts=" + std::to_string(state.mParts.size()) +
                 " patience_ms=" + MsText(state.mContent.mPatience) +
                 " deadline_ms=" + MsText(state.mDeadline - state.mArrivedAt));
  request_step(aContext, aHooks, std::move(state)).Run();
}

void CountLatency(core_context& aContext, const forward_state& aState, micros aLatency)
{
  aContext.mBoard.Update<latency_record>(
    LatencyKey(*aState.mRoute), [aLatency](const latency_record* aOld) {
      return std::optional<latency_record>(
        AddLatency(aOld != nullptr ? *aOld : latency_record{}, aLatency));
    });
}

// The state with the attempt ended, or nothing when it had ended before.
std::optional<forward_state> WithEnded(core_context& aContext,
                                       const forward_state& aState,
                                       const attempt_ended& aFact)
{
  const attempt_key& key = aFact.mKey;
  if (key.mPart >= aState.mParts.size() ||
      key.mAttempt >= aState.mParts[key.mPart].mAttempts.size() ||
      !aState.mParts[key.mPart].mAttempts[key.mAttempt].mOpen) {
    return std::nullopt;
  }
  forward_state next = aState;
  forward_part& part = next.mParts[key.mPart];
  forward_attempt& attempt = part.mAttempts[key.mAttempt];
  attempt.mOpen = false;
  attempt.mEnd = aFact.mEnd;
  if (aFact.mEnd == attempt_end::Answered && aFact.mReply->IsSuccess()) {
    part.mReply = part.mReply ? part.mReply : aFact.mReply;
    CountLatency(aContext, aState, aContext.Now() - attempt.mSentAt);
    return next;
  }
  if (aFact.mEnd == attempt_end::Answered) {
    part.mFailure = aFact.mReply;
  }
  // Replicas that refused have room again after a moment; any other end is retried at once.
  part.mNextAt = aFact.mEnd == attempt_end::Rejected && part.mAttempts.size() > 1
                   ? aContext.Now() + kRetryPause
                   : aContext.Now();
  return next;
}

void OnEnded(core_context& aContext, const forward_hooks& aHooks, const attempt_ended& aFact)
{
  const bool success =
    aFact.mEnd == attempt_end::Answered && aFact.mReply && aFact.mReply->IsSuccess();
  aContext.mBoard.Update<replica_load>(aFact.mReplica->mId, [&](const replica_load* aKnown) {
    // A failure reply counts as a lost attempt for the choice of replicas.
    const attempt_end end =
      aFact.mEnd == attempt_end::Answered && !success ? attempt_end::Lost : aFact.mEnd;
    return std::optional<replica_load>(
      WithEnd(LoadOf(aKnown, *aFact.mReplica), aFact.mKey, end, aContext.Now()));
  });
  const auto state = aContext.mBoard.Read<forward_state>(RequestKey(aFact.mKey.mRequest));
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
  if (aFact.mEnd == attempt_end::Lost && state->mContent.mFingerprint != 0) {
    const std::uint64_t fingerprint = state->mContent.mFingerprint;
    const auto known = aContext.mBoard.Read<crash_record>(CrashKey(fingerprint));
    KeepCrashRecord(aContext,
                    WithLost(known ? *known : crash_record{ fingerprint },
                             aFact.mReplica->mId,
                             aFact.mReplica->mBornMs,
                             aContext.Now()));
  }
  std::optional<forward_state> next = WithEnded(aContext, *state, aFact);
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
    OnEnded(aContext, aHooks, aFact);
  });
  board.OnFact<crash_expiry>([&aContext](const std::string&, const crash_expiry& aFact) {
    OnCrashExpiry(aContext, aFact.mFingerprint);
  });
  board.OnFact<heartbeat_received>(
    [&aContext](const std::string&, const heartbeat_received& aFact) {
      OnRefusedElsewhere(aContext, aFact.mHeartbeat);
    });
  board.OnFact<step_due>([&aContext, aHooks](const std::string& aKey, const step_due&) {
    if (const auto state = aContext.mBoard.Read<forward_state>(aKey)) {
      request_step(aContext, aHooks, *state).Run();
    }
  });
}

} // namespace redwingdock
