#include "forward/request_step.h"

#include "base/log_text.h"
#include "core/controller_facts.h"
#include "forward/admission.h"
#include "forward/gather.h"
#include "forward/room.h"

#include <algorithm>
#include <utility>

namespace redwingdock {

namespace {

// Limit on the sends of one part, including rejected ones.
constexpr std::size_t kMaxSends = 4;
// An attempt with less time than this left adds load and can hardly be answered in time.
constexpr micros kMinTimeLeft = std::chrono::milliseconds(4);
// Attempts that are still open after the answer usually end within this time, when the pause of
// their replica is over.
constexpr micros kCancelDelay = std::chrono::milliseconds(300);
// An attempt that has been open this long when it is cancelled was sent on a connection that no
// longer delivers data.
constexpr micros kSilenceThreshold = std::chrono::milliseconds(450);
// A request that can be sent only once is lost on a connection that no longer delivers data. A new
// connection shows within its connect time whether the replica is reachable.
constexpr micros kMaxIdleAge = std::chrono::seconds(1);
// Gives another daemon or replica time to recover before the client retries.
constexpr micros kRetryAfter = std::chrono::milliseconds(60);
// Share of a replica's connection limit that all daemons use together. The rest is reserved for
// connections that no longer deliver data but are still counted by the replica.
constexpr double kConnectionShare = 0.8;
constexpr std::uint32_t kMinConnections = 2;
// Share of the repeat budget that hedges may use. The rest is reserved for retries of attempts that
// ended without a reply, which always need one.
constexpr double kHedgeShare = 0.6;
// Shorter replies are no burden and are not recorded.
constexpr std::size_t kMinRecordedReply = std::size_t{ 16 } * 1024;
// Per-daemon limit for a service that publishes no connection limit.
constexpr std::uint32_t kDefaultConnections = 8;

} // namespace

std::string LatencyKey(const route_rule& aRoute)
{
  return "latency/" + aRoute.mName;
}

std::string AdmissionKey(const route_rule& aRoute)
{
  return "admission/" + aRoute.mServices.front().mService;
}

std::string BudgetKey(const std::string& aService)
{
  return "budget/" + aService;
}

request_step::request_step(core_context& aContext,
                           const forward_hooks& aHooks,
                           forward_state aState)
  : mContext(aContext)
  , mHooks(aHooks)
  , mSettings(aContext.ForwardConfig())
  , mState(std::move(aState))
  , mCatalog(aContext.mBoard.Read<catalog>(kCatalogKey))
  , mLatencies(aContext.mBoard.Read<latency_record>(LatencyKey(*mState.mRoute)))
{
}

void request_step::Begin()
{
  const auto deferrals = mContext.mBoard.Read<replica_deferrals>(kDeferralsKey);
  const bool deferred = deferrals && deferrals->mLatest > mContext.Now();
  for (std::uint32_t i = 0; i < mState.mParts.size(); ++i) {
    const forward_part& part = *mState.mParts[i];
    if (!deferred && mCatalog->mReplicas.contains(part.mService)) {
      continue;
    }
    const candidate_list candidates = Candidates(part);
    if (candidates.mReady.empty() && candidates.mNextAt >= UsefulUntil()) {
      forward_part next = part;
      next.mGivenUp = true;
      next.mAcceptedAt = candidates.mNextAt;
      mState = WithPart(std::move(mState), i, std::move(next));
    }
  }
  // Nothing is sent for a request that cannot succeed.
  if (HasEnoughParts(mState, PendingParts(mState))) {
    Run();
    return;
  }
  AnswerFailure(answer_kind::NotRun);
  Store();
}

void request_step::Run()
{
  if (!mState.mAnswered) {
    for (std::uint32_t i = 0; i < mState.mParts.size(); ++i) {
      Advance(i);
    }
    AnswerIfDue();
  }
  if (mState.mAnswered) {
    CancelOverdue();
  }
  Store();
}

void request_step::Abandon()
{
  mContext.Count("forward.abandoned");
  mContext.Log("forward",
               "event=abandoned request=" + Quoted(mState.mContent.mId) +
                 " after_ms=" + MsText(mContext.Now() - mState.mArrivedAt));
  CancelAll(false);
  mContext.mBoard.Erase<forward_state>(ForwardRequestKey(mState.mRequest));
}

micros request_step::Expected() const
{
  return ExpectedLatency(*mState.mRoute, mLatencies ? *mLatencies : latency_record{});
}

choice_input request_step::ChoiceInput(const std::string& aService) const
{
  const auto view = mContext.mBoard.Read<fleet_view>(kFleetKey);
  const std::uint32_t daemons = std::max<std::uint32_t>(view ? view->mMaxLiveDaemons : 1, 1);
  choice_input input{ mContext.Now(), mContext.mConfig.mZone, kDefaultConnections, 0 };
  const auto found = mCatalog->mServices.find(aService);
  if (found == mCatalog->mServices.end()) {
    return input;
  }
  if (found->second.mConnectionLimit > 0) {
    input.mConnections = std::max(
      kMinConnections,
      static_cast<std::uint32_t>(found->second.mConnectionLimit * kConnectionShare / daemons));
  }
  if (found->second.mColdRate > 0) {
    input.mColdRate = (found->second.mColdRate * mSettings->mColdOverage + mSettings->mColdSlack) /
                      std::max(daemons, mSettings->mMostDaemons);
  }
  return input;
}

request_step::candidate_list request_step::Candidates(const forward_part& aPart) const
{
  candidate_list candidates;
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
    const instant acceptsAt = AcceptsRequestsAt(load);
    if (acceptsAt <= mContext.Now()) {
      candidates.mReady.push_back(
        { replica, std::move(load), static_cast<double>(mContext.Random(1000)) / 1000.0 });
    } else {
      candidates.mNextAt = std::min(candidates.mNextAt, acceptsAt);
    }
  }
  return candidates;
}

bool request_step::HasTried(const forward_part& aPart, const replica_entry& aReplica)
{
  return std::any_of(
    aPart.mAttempts.begin(), aPart.mAttempts.end(), [&aReplica](const forward_attempt& aAttempt) {
      return aAttempt.mReplica->mId == aReplica.mId &&
             (aAttempt.mOpen || aAttempt.mEnd != attempt_end::Rejected);
    });
}

instant request_step::UsefulUntil() const
{
  return (mContext.Now() < mState.mPartialAt ? mState.mPartialAt : mState.mDeadline) - kMinTimeLeft;
}

bool request_step::MayRepeat(const forward_part& aPart) const
{
  const std::size_t run = PossiblyRunAttempts(aPart);
  return aPart.mAttempts.size() < kMaxSends && run < mState.mMaxAttempts &&
         (mState.mRoute->mIdempotent || run == 0) &&
         mState.mDeadline - mContext.Now() > kMinTimeLeft;
}

void request_step::Advance(std::uint32_t aIndex)
{
  const forward_part& part = *mState.mParts[aIndex];
  if (part.mReply || part.mGivenUp || mContext.Now() < part.mNextAttemptAt) {
    return;
  }
  // AdvancePart reads mState, so it must return before mState is moved from.
  forward_part next = AdvancePart(aIndex, part);
  mState = WithPart(std::move(mState), aIndex, std::move(next));
}

forward_part request_step::AdvancePart(std::uint32_t aIndex, forward_part aPart)
{
  const std::size_t open = OpenAttempts(aPart);
  if (open == 0 && !MayRepeat(aPart)) {
    aPart.mGivenUp = true;
    return aPart;
  }
  if (open == 0) {
    const bool first = aPart.mAttempts.empty();
    return SendPart(aIndex, std::move(aPart), first ? "first" : "retry");
  }
  if (open > 1 || !mState.mRoute->mIdempotent || !MayRepeat(aPart)) {
    aPart.mNextAttemptAt = kNever;
    return aPart;
  }
  return SendPart(aIndex, std::move(aPart), "hedge");
}

forward_part request_step::SendPart(std::uint32_t aIndex, forward_part aPart, const char* aReason)
{
  const auto [candidates, nextAt] = Candidates(aPart);
  const bool open = OpenAttempts(aPart) > 0;
  if (candidates.empty()) {
    const bool worthWaiting = nextAt < UsefulUntil();
    aPart.mGivenUp = !open && !worthWaiting;
    aPart.mAcceptedAt = nextAt;
    aPart.mNextAttemptAt = worthWaiting ? nextAt : kNever;
    return aPart;
  }
  const choice_input input = ChoiceInput(aPart.mService);
  const std::optional<std::size_t> chosen = mHooks.mChooseReplica(candidates, input);
  if (!chosen || (MayHaveArrived(aPart) && !TakeRepeat(aPart.mService, open ? kHedgeShare : 1))) {
    aPart.mNextAttemptAt = mContext.Now() + kRetryDelay;
    return aPart;
  }
  const choice_candidate& target = candidates[*chosen];
  const attempt_key key{ mState.mRequest,
                         aIndex,
                         static_cast<std::uint32_t>(aPart.mAttempts.size()) };
  if (!aPart.mAttempts.empty()) {
    mContext.Count(std::string("forward.") + aReason);
    mContext.Log("forward",
                 std::string("event=") + aReason + " request=" + Quoted(mState.mContent.mId) +
                   " part=" + std::to_string(aIndex) + " service=" + aPart.mService + " replica=" +
                   target.mReplica->mId + " before=" + aPart.mAttempts.back().mReplica->mId +
                   " after_ms=" + MsText(mContext.Now() - mState.mArrivedAt) +
                   " open_there=" + std::to_string(target.mLoad.mOpen.size()));
  }
  aPart.mAttempts.push_back({ target.mReplica, mContext.Now() });
  aPart.mNextAttemptAt =
    mContext.Now() + mHooks.mHedgeDelay(*mState.mRoute,
                                        mLatencies ? *mLatencies : latency_record{},
                                        mState.mPartialAt - mContext.Now());
  const micros expected = Expected();
  mContext.mBoard.Update<replica_load>(target.mReplica->mId, [&](const replica_load* aKnown) {
    return std::optional<replica_load>(
      WithSend(LoadOf(aKnown, *target.mReplica), key, mContext.Now(), expected));
  });
  mContext.Emit(send_attempt{ key,
                              target.mReplica,
                              mState.mDeadline,
                              input.mConnections,
                              mState.mRoute->mIdempotent ? micros(0) : kMaxIdleAge,
                              mState.mReplyBytes });
  return aPart;
}

bool request_step::TakeRepeat(const std::string& aService, double aShare)
{
  const auto view = mContext.mBoard.Read<fleet_view>(kFleetKey);
  const std::uint32_t daemons = std::max(mSettings->mMostDaemons, view ? view->mMaxLiveDaemons : 1);
  const repeat_limits limits{ mSettings->mRepeatRatio * aShare,
                              mSettings->mRepeatSlack * aShare / daemons,
                              mSettings->mRepeatWindow };
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

void request_step::AnswerIfDue()
{
  const instant now = mContext.Now();
  const std::size_t pending = PendingParts(mState);
  const bool enough = HasEnoughParts(mState);
  if (now >= mState.mPartialAt || (enough && pending == 0)) {
    UpdateAdmission();
  }
  if (enough && (pending == 0 || now >= mState.mPartialAt)) {
    AnswerSuccess();
  } else if (now >= mState.mDeadline || !HasEnoughParts(mState, pending)) {
    AnswerUnanswered(now >= mState.mDeadline || HasExpiredAttempt(mState));
  }
}

void request_step::AnswerUnanswered(bool aTimedOut)
{
  AnswerFailure(!MayHaveRun(mState) ? answer_kind::NotRun
                : aTimedOut         ? answer_kind::TimedOut
                                    : answer_kind::Failed);
}

void request_step::AnswerNow()
{
  if (mState.mAnswered) {
    return;
  }
  if (HasEnoughParts(mState)) {
    AnswerSuccess();
  } else {
    AnswerUnanswered(true);
  }
  CancelAll(false);
  Store();
}

void request_step::UpdateAdmission()
{
  if (mState.mAdmissionUpdated || !mState.mRoute->mGather) {
    return;
  }
  mState.mAdmissionUpdated = true;
  const std::size_t parts = mState.mParts.size();
  const std::size_t late = parts - AnsweredParts(mState);
  double before = 1;
  double after = 1;
  mContext.mBoard.Update<admission_level>(
    AdmissionKey(*mState.mRoute), [&](const admission_level* aKnown) {
      const admission_level known = aKnown != nullptr ? *aKnown : admission_level{};
      const admission_level next = WithGather(known, late, parts);
      before = known.mShare;
      after = next.mShare;
      return std::optional<admission_level>(next);
    });
  if ((before < 1) != (after < 1)) {
    mContext.Log("forward",
                 std::string("event=admission outcome=") + (after < 1 ? "limited" : "all") +
                   " service=" + mState.mRoute->mServices.front().mService + " request=" +
                   Quoted(mState.mContent.mId) + " parts=" + std::to_string(AnsweredParts(mState)) +
                   "/" + std::to_string(mState.mParts.size()));
  }
}

void request_step::AnswerSuccess()
{
  forward_answer answer;
  if (!mState.mRoute->mGather) {
    answer.mKind = answer_kind::Relayed;
    answer.mReply = mState.mParts.front()->mReply;
    Answer(std::move(answer));
    return;
  }
  answer.mKind = answer_kind::Gathered;
  std::vector<reply_pointer> parts;
  for (const part_pointer& part : mState.mParts) {
    if (part->mReply) {
      parts.push_back(part->mReply);
      answer.mShardStamps.push_back(part->mReply->mResponseStamp);
    }
  }
  answer.mMissing = static_cast<std::uint32_t>(mState.mParts.size() - parts.size());
  answer.mBody = MergeGreatestRecords(parts, mState.mRoute->mGather->mTopK);
  Answer(std::move(answer));
}

void request_step::AnswerFailure(answer_kind aKind)
{
  forward_answer answer;
  const forward_part& first = *mState.mParts.front();
  if (!mState.mRoute->mGather && first.mFailure && aKind == answer_kind::Failed) {
    answer.mKind = answer_kind::Relayed;
    answer.mReply = first.mFailure;
  } else {
    answer.mKind = aKind;
    answer.mRetryAfter = RetryAfter();
    answer.mReason = { "forward", first.mService, MissingText() };
  }
  Answer(std::move(answer));
}

micros request_step::RetryAfter() const
{
  std::vector<instant> acceptedAt;
  for (const part_pointer& part : mState.mParts) {
    if (part->mGivenUp && part->mAcceptedAt != kNever) {
      acceptedAt.push_back(part->mAcceptedAt);
    }
  }
  std::sort(acceptedAt.begin(), acceptedAt.end());
  // The request can succeed as soon as enough of the parts have a replica again.
  const std::size_t pending = PendingParts(mState);
  for (std::size_t i = 0; i < acceptedAt.size(); ++i) {
    if (HasEnoughParts(mState, pending + i + 1)) {
      return std::max(kRetryAfter, acceptedAt[i] - mContext.Now());
    }
  }
  return kRetryAfter;
}

std::string request_step::MissingText() const
{
  std::string text;
  for (const part_pointer& part : mState.mParts) {
    if (part->mReply) {
      continue;
    }
    text += (text.empty() ? "" : ",") + part->mService + ":";
    if (part->mAttempts.empty()) {
      text += "no_replica";
    } else if (part->mAttempts.back().mOpen) {
      text += "open";
    } else {
      text += ToString(part->mAttempts.back().mEnd);
    }
  }
  return text;
}

void request_step::RecordReplySize(const forward_answer& aAnswer)
{
  std::size_t bytes = aAnswer.mReply ? aAnswer.mReply->mBody.size() : 0;
  if (aAnswer.mKind == answer_kind::Gathered) {
    for (const part_pointer& part : mState.mParts) {
      bytes += part->mReply ? part->mReply->mBody.size() : 0;
    }
  }
  if (bytes < kMinRecordedReply && mState.mReplyBytes < kMinRecordedReply) {
    return;
  }
  mContext.mBoard.Update<reply_sizes>(
    ReplySizesKey(*mState.mRoute), [bytes](const reply_sizes* aKnown) {
      return std::optional<reply_sizes>(
        WithReplySize(aKnown != nullptr ? *aKnown : reply_sizes{}, bytes));
    });
}

void request_step::Answer(forward_answer aAnswer)
{
  RecordReplySize(aAnswer);
  const micros elapsed = mContext.Now() - mState.mArrivedAt;
  mContext.Count(std::string("forward.answer.") + ToString(aAnswer.mKind));
  std::string line =
    std::string("event=answer request=") + Quoted(mState.mContent.mId) +
    " route=" + mState.mRoute->mName + " version=" + std::to_string(mState.mVersion) +
    " outcome=" + ToString(aAnswer.mKind) + " after_ms=" + MsText(elapsed) +
    " parts=" + std::to_string(AnsweredParts(mState)) + "/" + std::to_string(mState.mParts.size());
  if (!mState.mRoute->mGather && !mState.mParts.front()->mAttempts.empty()) {
    line += " replica=" + mState.mParts.front()->mAttempts.back().mReplica->mId;
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
  mState.mCancelAt = mContext.Now() + kCancelDelay;
}

void request_step::CancelOverdue()
{
  if (mContext.Now() >= mState.mCancelAt) {
    CancelAll(true);
  }
}

void request_step::CancelAll(bool aIsOverdue)
{
  for (std::uint32_t i = 0; i < mState.mParts.size(); ++i) {
    const forward_part& part = *mState.mParts[i];
    if (OpenAttempts(part) > 0) {
      // CancelPart reads mState, so it must return before mState is moved from.
      forward_part next = CancelPart(i, part, aIsOverdue);
      mState = WithPart(std::move(mState), i, std::move(next));
    }
  }
}

forward_part request_step::CancelPart(std::uint32_t aIndex, forward_part aPart, bool aIsOverdue)
{
  const instant now = mContext.Now();
  for (std::uint32_t i = 0; i < aPart.mAttempts.size(); ++i) {
    forward_attempt& attempt = aPart.mAttempts[i];
    if (!attempt.mOpen) {
      continue;
    }
    const attempt_key key{ mState.mRequest, aIndex, i };
    const bool silent = aIsOverdue && now - attempt.mSentAt >= kSilenceThreshold;
    attempt.mOpen = false;
    attempt.mEnd = attempt_end::Lost;
    mContext.Emit(cancel_attempt{ key, silent });
    mContext.mBoard.Update<replica_load>(attempt.mReplica->mId, [&](const replica_load* aKnown) {
      const replica_load load = LoadOf(aKnown, *attempt.mReplica);
      return std::optional<replica_load>(aIsOverdue ? WithCancel(load, key, now)
                                                    : WithAbandoned(load, key));
    });
    if (aIsOverdue) {
      mContext.Count("forward.cancelled");
      mContext.Log("forward",
                   "event=cancelled request=" + Quoted(mState.mContent.mId) +
                     " part=" + std::to_string(aIndex) + " replica=" + attempt.mReplica->mId +
                     " open_ms=" + MsText(now - attempt.mSentAt) +
                     " silent=" + (silent ? "yes" : "no"));
    }
  }
  return aPart;
}

bool request_step::IsFinished() const
{
  return mState.mAnswered &&
         std::all_of(mState.mParts.begin(), mState.mParts.end(), [](const part_pointer& aPart) {
           return OpenAttempts(*aPart) == 0;
         });
}

instant request_step::NextStep() const
{
  if (mState.mAnswered) {
    return mState.mCancelAt;
  }
  instant next = mState.mDeadline;
  if (mState.mPartialAt > mContext.Now()) {
    next = std::min(next, mState.mPartialAt);
  }
  for (const part_pointer& part : mState.mParts) {
    if (!part->mReply && !part->mGivenUp) {
      next = std::min(next, part->mNextAttemptAt);
    }
  }
  return next;
}

void request_step::Store()
{
  const std::string key = ForwardRequestKey(mState.mRequest);
  if (IsFinished()) {
    mContext.mBoard.Erase<forward_state>(key);
    return;
  }
  const instant now = mContext.Now();
  const instant next = NextStep();
  if (mState.mTimerAt <= now || next < mState.mTimerAt) {
    mState.mTimerAt = std::max(next, now + micros(1));
    mContext.After(mState.mTimerAt - now, key, step_due{ mState.mRequest });
  }
  mContext.mBoard.Write(key, std::move(mState));
}

} // namespace redwingdock
