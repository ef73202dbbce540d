#include "client/client.h"

#include "base/url.h"
#include "client/caller_json.h"
#include "client/striped_map.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <random>

namespace redwingdock {

namespace {

// Requests per daemon for another VM when the one in its answer has failed.
constexpr int kMaxFailedAnswers = 3;

std::uint64_t ResolveSeed(std::uint64_t aConfigured)
{
  if (aConfigured != 0) {
    return aConfigured;
  }
  std::random_device device;
  return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

std::string Hex(std::uint64_t aValue)
{
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (int shift = 60; shift >= 0; shift -= 4) {
    text += kDigits[(aValue >> static_cast<unsigned>(shift)) & 15U];
  }
  return text;
}

call_event ToEvent(http_failure aFailure)
{
  switch (aFailure) {
    case http_failure::NotConnected:
      return call_event::NotConnected;
    case http_failure::TimedOut:
      return call_event::Silent;
    case http_failure::Truncated:
      return call_event::InvalidAnswer;
    case http_failure::ConnectionLost:
    case http_failure::None:
      break;
  }
  return call_event::ConnectionLost;
}

using on_entry = std::function<void(const result<entry_answer>&)>;

} // namespace

struct client::state : std::enable_shared_from_this<client::state>
{
  explicit state(client_config aConfig)
    : mConfig(std::move(aConfig))
    , mNonce(Hex(ResolveSeed(mConfig.mSeed)))
  {
  }

  client_config mConfig;
  std::string mNonce; // makes the request keys of this process unique
  std::atomic<std::uint64_t> mKeyCount{ 0 };
  std::atomic<std::uint64_t> mCallCount{ 0 };
  std::atomic<std::uint64_t> mRepeatCount{ 0 };
  striped_map<cached_entry> mEntries; // by caller
  striped_map<instant> mAvoidUntil;   // by address
  std::unique_ptr<http_client> mHttp;

  instant AvoidUntil(const std::string& aAddress) const
  {
    return mAvoidUntil.Get(aAddress).value_or(instant{});
  }

  void Avoid(const std::string& aAddress)
  {
    mAvoidUntil.Set(aAddress, Now() + mConfig.mAvoidDuration);
  }

  bool HasRepeatBudget() const
  {
    auto allowed = mConfig.mRepeatBudget * static_cast<double>(mCallCount.load());
    return static_cast<double>(mRepeatCount.load()) < 1.0 + allowed;
  }

  std::string NewRequestKey(const std::string& aPrefix)
  {
    return aPrefix + mNonce + "-" + std::to_string(++mKeyCount);
  }

  void Log(const std::string& aText) const
  {
    if (mConfig.mLog) {
      mConfig.mLog(aText);
    }
  }
};

namespace {

// Whether the answer is enough for a call. A daemon that has just started knows no key prefixes
// yet.
bool IsSufficient(const entry_answer& aAnswer, bool aNeedsKeyPrefix)
{
  return !aNeedsKeyPrefix || !aAnswer.mKeyPrefix.empty();
}

// Asks the daemons one after the other until one returns a VM that is not avoided, with a key
// prefix if one is needed.
template<typename State>
class entry_lookup : public std::enable_shared_from_this<entry_lookup<State>>
{
public:
  entry_lookup(std::shared_ptr<State> aState,
               std::string aCaller,
               bool aNeedsKeyPrefix,
               instant aDeadline,
               on_entry aOnEntry)
    : mState(std::move(aState))
    , mCaller(std::move(aCaller))
    , mNeedsKeyPrefix(aNeedsKeyPrefix)
    , mLookupDeadline(aDeadline)
    , mOnEntry(std::move(aOnEntry))
  {
    std::set<std::string> avoided;
    for (const std::string& each : mState->mConfig.mDaemons) {
      if (Now() < mState->AvoidUntil(each)) {
        avoided.insert(each);
      }
    }
    mOrder = EntryRequestOrder(mState->mConfig.mDaemons, avoided, mCaller);
    mLastFailure = { "request entry VM", "", "no daemon is known" };
  }

  void SendRequest()
  {
    micros remaining = mLookupDeadline - Now();
    if (mDaemonIndex >= mOrder.size() || remaining <= micros(0)) {
      mOnEntry({ mFallback, mLastFailure });
      return;
    }
    http_call call{ .mAddress = mOrder[mDaemonIndex],
                    .mTarget =
                      "/v1/entry?caller=" + UrlEncode(EntryRequestName(mCaller, mFailedAnswers)) };
    if (!mState->mConfig.mZone.empty()) {
      call.mTarget += "&zone=" + UrlEncode(mState->mConfig.mZone);
    }
    call.mTimeout = std::min(remaining, mState->mConfig.mEntryTimeout);
    mState->mHttp->Send(
      std::move(call),
      [self = this->shared_from_this()](const http_reply& aReply) { self->OnReply(aReply); });
  }

private:
  void OnReply(const http_reply& aReply)
  {
    const std::string& peer = mOrder[mDaemonIndex];
    if (aReply.mFailure != http_failure::None) {
      mLastFailure = aReply.mReason;
      if (aReply.mFailure != http_failure::Truncated) {
        mState->Avoid(peer);
      }
      ++mDaemonIndex;
      SendRequest();
      return;
    }
    result<entry_answer> answer = aReply.mStatus == 200
                                    ? ParseEntry(aReply.mBody, peer)
                                    : Failure<entry_answer>("request entry VM", peer, aReply.mBody);
    if (!answer) {
      mLastFailure = answer.mReason;
      ++mDaemonIndex;
      SendRequest();
      return;
    }
    if (Now() >= mState->AvoidUntil(answer->mAddress)) {
      mState->mEntries.Set(mCaller, { *answer, Now() + answer->mLifetime });
      if (IsSufficient(*answer, mNeedsKeyPrefix)) {
        mOnEntry(answer);
        return;
      }
      mFallback = *answer;
      ++mDaemonIndex;
      SendRequest();
      return;
    }
    // The daemon has not detected the failure yet. Any daemon serves queries, so this one is the
    // fallback. Its own key prefix is unknown, so it can't be used for a submit without a key.
    mFallback = { "", peer, micros(0), "" };
    if (++mFailedAnswers > kMaxFailedAnswers) {
      ++mDaemonIndex;
      mFailedAnswers = 0;
    }
    SendRequest();
  }

  std::shared_ptr<State> mState;
  std::string mCaller;
  bool mNeedsKeyPrefix;
  instant mLookupDeadline;
  on_entry mOnEntry;
  std::vector<std::string> mOrder;
  std::size_t mDaemonIndex = 0;
  int mFailedAnswers = 0;
  std::optional<entry_answer> mFallback;
  reason mLastFailure;
};

template<typename State>
void FindEntry(const std::shared_ptr<State>& aState,
               const std::string& aCaller,
               bool aNeedsKeyPrefix,
               instant aDeadline,
               on_entry aOnEntry)
{
  std::optional<cached_entry> cached = aState->mEntries.Get(aCaller);
  if (cached && IsSufficient(cached->mAnswer, aNeedsKeyPrefix) &&
      IsEntryUsable(cached, Now(), aState->AvoidUntil(cached->mAnswer.mAddress))) {
    aOnEntry(Success(cached->mAnswer));
    return;
  }
  std::make_shared<entry_lookup<State>>(
    aState, aCaller, aNeedsKeyPrefix, aDeadline, std::move(aOnEntry))
    ->SendRequest();
}

// A call and its attempts. Replies, checks and timers run on any thread of the client; those of an
// attempt that has ended are ignored.
template<typename State>
class pending_call : public std::enable_shared_from_this<pending_call<State>>
{
public:
  pending_call(std::shared_ptr<State> aState,
               operation aOperation,
               query_request aRequest,
               client::on_result aOnResult)
    : mState(std::move(aState))
    , mOperation(aOperation)
    , mOnResult(std::move(aOnResult))
    , mStarted(Now())
    , mDeadline(mStarted + aRequest.mDeadline.value_or(mState->mConfig.mDefaultDeadline))
    , mRequest(std::move(aRequest))
  {
    ++mState->mCallCount;
  }

  void StartAttempt()
  {
    FindEntry(mState,
              mRequest.mCaller,
              NeedsKeyPrefix(),
              mDeadline,
              [self = this->shared_from_this()](const result<entry_answer>& aEntry) {
                self->SendTo(aEntry);
              });
  }

private:
  bool NeedsKeyPrefix() const
  {
    return mOperation == operation::Submit && mRequest.mRequestKey.empty();
  }

  void SendTo(const result<entry_answer>& aEntry)
  {
    std::unique_lock lock(mLock);
    const bool needsKey = NeedsKeyPrefix();
    if (!aEntry || !IsSufficient(*aEntry, needsKey)) {
      reason failure = aEntry
                         ? reason{ "request entry VM", aEntry->mAddress, "no key prefix is known" }
                         : aEntry.mReason;
      lock.unlock();
      Finish(mMayHaveRun ? outcome::Unknown : outcome::NotRun, std::move(failure));
      return;
    }
    micros remaining = mDeadline - Now();
    if (remaining < std::chrono::milliseconds(1)) {
      lock.unlock();
      Finish(mMayHaveRun ? outcome::Unknown : outcome::NotRun,
             { "send query", aEntry->mAddress, "the deadline has passed" });
      return;
    }
    if (needsKey) {
      mRequest.mRequestKey = mState->NewRequestKey(aEntry->mKeyPrefix);
    }
    mRequest.mDeadline = remaining;
    mVm = aEntry->mVm;
    mAddress = aEntry->mAddress;
    int attempt = ++mAttempts;
    mAttemptOpen = true;
    http_call call{ .mAddress = mAddress,
                    .mMethod = "POST",
                    .mTarget = "/v1/query",
                    .mBody = WriteQuery(mRequest),
                    .mTimeout = remaining + mState->mConfig.mReplyGrace };
    auto self = this->shared_from_this();
    mCancel = mState->mHttp->Send(std::move(call), [self, attempt](const http_reply& aReply) {
      self->OnQueryReply(attempt, aReply);
    });
    micros checkAfter = SilenceCheckDelay(remaining, mState->mConfig.mSilenceLimit);
    mState->mHttp->RunAfter(
      checkAfter, [self, attempt, checkAfter] { self->CheckForSilence(attempt, checkAfter); });
  }

  void OnQueryReply(int aAttempt, const http_reply& aReply)
  {
    if (aReply.mFailure != http_failure::None) {
      OnEvent(aAttempt, ToEvent(aReply.mFailure), { .mReason = aReply.mReason });
      return;
    }
    result<query_answer> answer = ParseAnswer(aReply.mBody, mAddress);
    if (!answer) {
      OnEvent(aAttempt, call_event::InvalidAnswer, { .mReason = answer.mReason });
    } else {
      OnEvent(aAttempt, call_event::Answered, std::move(*answer));
    }
  }

  // Checks on a new connection whether the VM responds at all.
  void CheckForSilence(int aAttempt, micros aTimeout)
  {
    std::lock_guard lock(mLock);
    if (!mAttemptOpen || aAttempt != mAttempts) {
      return;
    }
    http_call call{ .mAddress = mAddress,
                    .mTarget = "/v1/entry?caller=" + UrlEncode(mRequest.mCaller),
                    .mTimeout = aTimeout,
                    .mNewConnection = true };
    mState->mHttp->Send(
      std::move(call),
      [self = this->shared_from_this(), aAttempt, aTimeout](const http_reply& aReply) {
        if (aReply.mFailure != http_failure::None) {
          self->OnEvent(aAttempt, call_event::Silent, { .mReason = aReply.mReason });
          return;
        }
        self->mState->mHttp->RunAfter(aTimeout, [self, aAttempt] {
          reason failure{ "wait for answer", "", "the VM responds, but this request is overdue" };
          self->OnEvent(aAttempt, call_event::StalledReply, { .mReason = std::move(failure) });
        });
      });
  }

  void OnEvent(int aAttempt, call_event aEvent, query_answer aAnswer)
  {
    std::unique_lock lock(mLock);
    if (!mAttemptOpen || aAttempt != mAttempts) {
      return;
    }
    call_state state{ .mOperation = mOperation,
                      .mAttempts = mAttempts,
                      .mMaxAttempts = mState->mConfig.mMaxAttempts,
                      .mMayHaveRun = mMayHaveRun,
                      .mRemaining = mDeadline - Now(),
                      .mRepeatAllowed = mState->HasRepeatBudget() };
    call_decision next = DecideCall(state, aEvent, aAnswer.mOutcome);
    if (aEvent == call_event::StalledReply && next.mStep == call_step::Finish) {
      return;
    }
    mAttemptOpen = false;
    mMayHaveRun = next.mMayHaveRun;
    mInvalidAnswer = mInvalidAnswer || aEvent == call_event::InvalidAnswer;
    if (next.mAvoidAddress) {
      mState->Avoid(mAddress);
    }
    if (aEvent == call_event::Silent || aEvent == call_event::StalledReply) {
      mCancel();
    }
    if (next.mStep == call_step::Finish) {
      lock.unlock();
      aAnswer.mOutcome = next.mOutcome;
      ReportResult(std::move(aAnswer));
      return;
    }
    if (aEvent == call_event::Answered || aEvent == call_event::StalledReply) {
      ++mState->mRepeatCount;
    }
    if (next.mStep == call_step::RetryWithNewKey) {
      mRequest.mRequestKey.clear();
    }
    mState->Log("call of " + mRequest.mCaller + " is retried after attempt " +
                std::to_string(mAttempts) + ": " + Describe(aAnswer.mReason));
    mState->mHttp->RunAfter(next.mDelay,
                            [self = this->shared_from_this()] { self->StartAttempt(); });
  }

  void Finish(outcome aOutcome, reason aReason)
  {
    query_answer answer;
    answer.mOutcome = aOutcome;
    answer.mReason = std::move(aReason);
    ReportResult(std::move(answer));
  }

  void ReportResult(query_answer aAnswer)
  {
    call_result done;
    {
      std::lock_guard lock(mLock);
      done = { std::move(aAnswer), mVm, mAddress, mRequest.mRequestKey, mAttempts, mInvalidAnswer,
               Now() - mStarted };
    }
    mOnResult(done);
  }

  std::shared_ptr<State> mState;
  operation mOperation;
  client::on_result mOnResult;
  instant mStarted;
  instant mDeadline;

  std::mutex mLock;
  query_request mRequest;
  std::string mVm;
  std::string mAddress;
  http_client::cancel mCancel;
  int mAttempts = 0;
  bool mMayHaveRun = false;
  bool mAttemptOpen = false; // whether an attempt waits for its reply
  bool mInvalidAnswer = false;
};

} // namespace

client::client(client_config aConfig)
  : mState(std::make_shared<state>(std::move(aConfig)))
{
  mState->mHttp = std::make_unique<http_client>(mState->mConfig.mThreads);
}

client::~client()
{
  // Handlers use mHttp until its threads have ended, and own mState until it is destroyed.
  mState->mHttp->Stop();
  mState->mHttp.reset();
}

void client::Start(operation aOperation, query_request aRequest, on_result aOnResult)
{
  std::make_shared<pending_call<state>>(
    mState, aOperation, std::move(aRequest), std::move(aOnResult))
    ->StartAttempt();
}

call_result client::Query(query_request aRequest)
{
  std::promise<call_result> resultPromise;
  Start(operation::Search, std::move(aRequest), [&resultPromise](const call_result& aResult) {
    resultPromise.set_value(aResult);
  });
  return resultPromise.get_future().get();
}

call_result client::Submit(query_request aRequest)
{
  std::promise<call_result> resultPromise;
  Start(operation::Submit, std::move(aRequest), [&resultPromise](const call_result& aResult) {
    resultPromise.set_value(aResult);
  });
  return resultPromise.get_future().get();
}

result<entry_answer> client::Entry(const std::string& aCaller)
{
  std::promise<result<entry_answer>> resultPromise;
  instant until = Now() + mState->mConfig.mEntryTimeout *
                            static_cast<std::int64_t>(mState->mConfig.mDaemons.size() + 1);
  FindEntry(mState, aCaller, false, until, [&resultPromise](const result<entry_answer>& aEntry) {
    resultPromise.set_value(aEntry);
  });
  return resultPromise.get_future().get();
}

} // namespace redwingdock
