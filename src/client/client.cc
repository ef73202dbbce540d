#include "client/client.h"

#include "base/url.h"
#include "client/caller_json.h"
#include "client/name_map.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <random>

namespace redwingdock {

namespace {

// Requests per daemon for another VM when the one in its answer has failed.
constexpr int kFailedAnswers = 3;

std::uint64_t SeedOf(std::uint64_t aConfigured)
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

call_event EventOf(http_failure aFailure)
{
  switch (aFailure) {
    case http_failure::NotConnected:
      return call_event::NotConnected;
    case http_failure::Silent:
      return call_event::Silent;
    case http_failure::Cut:
      return call_event::Cut;
    case http_failure::Lost:
    case http_failure::None:
      break;
  }
  return call_event::Lost;
}

using on_entry = std::function<void(const result<entry_answer>&)>;

} // namespace

struct client::state : std::enable_shared_from_this<client::state>
{
  explicit state(client_config aConfig)
    : mConfig(std::move(aConfig))
    , mNonce(Hex(SeedOf(mConfig.mSeed)))
  {
  }

  client_config mConfig;
  std::string mNonce; // makes the request keys of this process unique
  std::atomic<std::uint64_t> mKeys{ 0 };
  std::atomic<std::uint64_t> mCalls{ 0 };
  std::atomic<std::uint64_t> mRepeats{ 0 };
  name_map<held_entry> mEntries; // by caller
  name_map<instant> mAvoided;    // by address
  std::unique_ptr<http_client> mHttp;

  instant AvoidUntil(const std::string& aAddress) const
  {
    return mAvoided.Get(aAddress).value_or(instant{});
  }

  void Avoid(const std::string& aAddress) { mAvoided.Set(aAddress, Now() + mConfig.mAvoidTime); }

  bool Budget() const
  {
    auto allowed = mConfig.mRepeatBudget * static_cast<double>(mCalls.load());
    return static_cast<double>(mRepeats.load()) < 1.0 + allowed;
  }

  std::string FreshKey(const std::string& aPrefix)
  {
    return aPrefix + mNonce + "-" + std::to_string(++mKeys);
  }

  void Log(const std::string& aText) const
  {
    if (mConfig.mLog) {
      mConfig.mLog(aText);
    }
  }
};

namespace {

// Asks the daemons one after the other until one returns a VM that is not avoided.
template<typename State>
class entry_ask : public std::enable_shared_from_this<entry_ask<State>>
{
public:
  entry_ask(std::shared_ptr<State> aState, std::string aCaller, instant aUntil, on_entry aOnEntry)
    : mState(std::move(aState))
    , mCaller(std::move(aCaller))
    , mUntil(aUntil)
    , mOnEntry(std::move(aOnEntry))
  {
    std::set<std::string> avoided;
    for (const std::string& each : mState->mConfig.mDaemons) {
      if (Now() < mState->AvoidUntil(each)) {
        avoided.insert(each);
      }
    }
    mOrder = AskingOrder(mState->mConfig.mDaemons, avoided, mCaller);
    mLast = { "ask for entry VM", "", "no daemon is known" };
  }

  void Next()
  {
    micros left = mUntil - Now();
    if (mNext >= mOrder.size() || left <= micros(0)) {
      mOnEntry({ mFallback, mLast });
      return;
    }
    http_call call{ .mAddress = mOrder[mNext],
                    .mTarget = "/v1/entry?caller=" + UrlEncode(AskingName(mCaller, mFailed)) };
    if (!mState->mConfig.mZone.empty()) {
      call.mTarget += "&zone=" + UrlEncode(mState->mConfig.mZone);
    }
    call.mTimeout = std::min(left, mState->mConfig.mEntryTimeout);
    mState->mHttp->Send(
      std::move(call),
      [self = this->shared_from_this()](const http_reply& aReply) { self->Take(aReply); });
  }

private:
  void Take(const http_reply& aReply)
  {
    const std::string& peer = mOrder[mNext];
    if (aReply.mFailure != http_failure::None) {
      mLast = aReply.mReason;
      if (aReply.mFailure != http_failure::Cut) {
        mState->Avoid(peer);
      }
      ++mNext;
      Next();
      return;
    }
    result<entry_answer> answer = aReply.mStatus == 200
                                    ? ParseEntry(aReply.mBody, peer)
                                    : Failure<entry_answer>("ask for entry VM", peer, aReply.mBody);
    if (!answer) {
      mLast = answer.mReason;
      ++mNext;
      Next();
      return;
    }
    if (Now() >= mState->AvoidUntil(answer->mAddress)) {
      mState->mEntries.Set(mCaller, { *answer, Now() + answer->mLifetime });
      mOnEntry(answer);
      return;
    }
    // The daemon has not detected the failure yet. Any daemon serves queries, so this one is the
    // fallback. Its own key prefix is unknown, so it can't be used for a submit without a key.
    mFallback = { "", peer, micros(0), "" };
    if (++mFailed > kFailedAnswers) {
      ++mNext;
      mFailed = 0;
    }
    Next();
  }

  std::shared_ptr<State> mState;
  std::string mCaller;
  instant mUntil;
  on_entry mOnEntry;
  std::vector<std::string> mOrder;
  std::size_t mNext = 0;
  int mFailed = 0;
  std::optional<entry_answer> mFallback;
  reason mLast;
};

template<typename State>
void FindEntry(const std::shared_ptr<State>& aState,
               const std::string& aCaller,
               instant aUntil,
               on_entry aOnEntry)
{
  std::optional<held_entry> held = aState->mEntries.Get(aCaller);
  if (held && EntryHolds(held, Now(), aState->AvoidUntil(held->mAnswer.mAddress))) {
    aOnEntry(Success(held->mAnswer));
    return;
  }
  std::make_shared<entry_ask<State>>(aState, aCaller, aUntil, std::move(aOnEntry))->Next();
}

// A call and its attempts. Replies, checks and timers run on any thread of the client; those of an
// attempt that has ended are ignored.
template<typename State>
class open_call : public std::enable_shared_from_this<open_call<State>>
{
public:
  open_call(std::shared_ptr<State> aState,
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
    ++mState->mCalls;
  }

  void Next()
  {
    FindEntry(mState,
              mRequest.mCaller,
              mDeadline,
              [self = this->shared_from_this()](const result<entry_answer>& aEntry) {
                self->SendTo(aEntry);
              });
  }

private:
  void SendTo(const result<entry_answer>& aEntry)
  {
    std::unique_lock lock(mLock);
    bool key = mOperation == operation::Submit && mRequest.mRequestKey.empty();
    if (!aEntry || (key && aEntry->mKeyPrefix.empty())) {
      reason why = aEntry ? reason{ "ask for entry VM", aEntry->mAddress, "no key prefix is known" }
                          : aEntry.mReason;
      lock.unlock();
      Finish(mMayHaveRun ? outcome::Unknown : outcome::NotRun, std::move(why));
      return;
    }
    micros left = mDeadline - Now();
    if (left < std::chrono::milliseconds(1)) {
      lock.unlock();
      Finish(mMayHaveRun ? outcome::Unknown : outcome::NotRun,
             { "send query", aEntry->mAddress, "the deadline has passed" });
      return;
    }
    if (key) {
      mRequest.mRequestKey = mState->FreshKey(aEntry->mKeyPrefix);
    }
    mRequest.mDeadline = left;
    mVm = aEntry->mVm;
    mAddress = aEntry->mAddress;
    int attempt = ++mAttempts;
    mOpen = true;
    http_call call{ .mAddress = mAddress,
                    .mMethod = "POST",
                    .mTarget = "/v1/query",
                    .mBody = WriteQuery(mRequest),
                    .mTimeout = left + mState->mConfig.mAnswerGrace };
    auto self = this->shared_from_this();
    mCancel = mState->mHttp->Send(std::move(call), [self, attempt](const http_reply& aReply) {
      self->TakeReply(attempt, aReply);
    });
    micros checkAfter = SilenceCheckAfter(left, mState->mConfig.mSilenceLimit);
    mState->mHttp->After(checkAfter,
                         [self, attempt, checkAfter] { self->Check(attempt, checkAfter); });
  }

  void TakeReply(int aAttempt, const http_reply& aReply)
  {
    if (aReply.mFailure != http_failure::None) {
      Take(aAttempt, EventOf(aReply.mFailure), { .mReason = aReply.mReason });
      return;
    }
    result<query_answer> answer = ParseAnswer(aReply.mBody, mAddress);
    if (!answer) {
      Take(aAttempt, call_event::Cut, { .mReason = answer.mReason });
    } else {
      Take(aAttempt, call_event::Answered, std::move(*answer));
    }
  }

  // Checks on a new connection whether the VM responds at all.
  void Check(int aAttempt, micros aTimeout)
  {
    std::lock_guard lock(mLock);
    if (!mOpen || aAttempt != mAttempts) {
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
          self->Take(aAttempt, call_event::Silent, { .mReason = aReply.mReason });
          return;
        }
        self->mState->mHttp->After(aTimeout, [self, aAttempt] {
          reason why{ "wait for answer", "", "the VM responds, but this request is overdue" };
          self->Take(aAttempt, call_event::StalledReply, { .mReason = std::move(why) });
        });
      });
  }

  void Take(int aAttempt, call_event aEvent, query_answer aAnswer)
  {
    std::unique_lock lock(mLock);
    if (!mOpen || aAttempt != mAttempts) {
      return;
    }
    call_state state{ .mOperation = mOperation,
                      .mAttempts = mAttempts,
                      .mMaxAttempts = mState->mConfig.mMaxAttempts,
                      .mMayHaveRun = mMayHaveRun,
                      .mRemaining = mDeadline - Now(),
                      .mBudget = mState->Budget() };
    call_decision next = DecideCall(state, aEvent, aAnswer.mOutcome);
    if (aEvent == call_event::StalledReply && next.mStep == call_step::Finish) {
      return;
    }
    mOpen = false;
    mMayHaveRun = next.mMayHaveRun;
    mCut = mCut || aEvent == call_event::Cut;
    if (next.mAvoidAddress) {
      mState->Avoid(mAddress);
    }
    if (aEvent == call_event::Silent || aEvent == call_event::StalledReply) {
      mCancel();
    }
    if (next.mStep == call_step::Finish) {
      lock.unlock();
      aAnswer.mOutcome = next.mOutcome;
      FinishWith(std::move(aAnswer));
      return;
    }
    if (aEvent == call_event::Answered || aEvent == call_event::StalledReply) {
      ++mState->mRepeats;
    }
    if (next.mStep == call_step::SendFreshKey) {
      mRequest.mRequestKey.clear();
    }
    mState->Log("call of " + mRequest.mCaller + " is retried after attempt " +
                std::to_string(mAttempts) + ": " + Describe(aAnswer.mReason));
    mState->mHttp->After(next.mDelay, [self = this->shared_from_this()] { self->Next(); });
  }

  void Finish(outcome aOutcome, reason aReason)
  {
    query_answer answer;
    answer.mOutcome = aOutcome;
    answer.mReason = std::move(aReason);
    FinishWith(std::move(answer));
  }

  void FinishWith(query_answer aAnswer)
  {
    call_result done;
    {
      std::lock_guard lock(mLock);
      done = { std::move(aAnswer), mVm,  mAddress,        mRequest.mRequestKey,
               mAttempts,          mCut, Now() - mStarted };
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
  bool mOpen = false; // whether an attempt waits for its reply
  bool mCut = false;
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
  std::make_shared<open_call<state>>(mState, aOperation, std::move(aRequest), std::move(aOnResult))
    ->Next();
}

call_result client::Query(query_request aRequest)
{
  std::promise<call_result> promised;
  Start(operation::Search, std::move(aRequest), [&promised](const call_result& aResult) {
    promised.set_value(aResult);
  });
  return promised.get_future().get();
}

call_result client::Submit(query_request aRequest)
{
  std::promise<call_result> promised;
  Start(operation::Submit, std::move(aRequest), [&promised](const call_result& aResult) {
    promised.set_value(aResult);
  });
  return promised.get_future().get();
}

result<entry_answer> client::Entry(const std::string& aCaller)
{
  std::promise<result<entry_answer>> promised;
  instant until = Now() + mState->mConfig.mEntryTimeout *
                            static_cast<std::int64_t>(mState->mConfig.mDaemons.size() + 1);
  FindEntry(mState, aCaller, until, [&promised](const result<entry_answer>& aEntry) {
    promised.set_value(aEntry);
  });
  return promised.get_future().get();
}

} // namespace redwingdock
