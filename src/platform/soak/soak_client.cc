#include "platform/soak/soak_client.h"

#include <algorithm>

namespace redwingdock::platform {

namespace {

using std::chrono::milliseconds;

constexpr http_read_limits kAnswerLimits{ std::size_t{ 4 } * 1024 * 1024 };
constexpr micros kConnectTimeout = std::chrono::seconds(1);
constexpr micros kRetryDelay = milliseconds(50);
constexpr micros kSentInterval = milliseconds(5);
// Beyond its deadline a client waits for an answer that is on its way; a slow reader waits longer.
constexpr micros kPatience = milliseconds(1500);
constexpr micros kSlowReaderPatience = std::chrono::seconds(30);

} // namespace

soak_client::soak_client(io_loop& aLoop, soak_client_profile aProfile, soak_client_hooks aHooks)
  : mLoop(aLoop)
  , mProfile(aProfile)
  , mHooks(std::move(aHooks))
  , mReader(http_side::Client, kAnswerLimits)
{
}

void soak_client::Start()
{
  Open();
}

void soak_client::Stop()
{
  const std::lock_guard lock(mLock);
  mStopped = true;
}

std::size_t soak_client::OpenRequests() const
{
  const std::lock_guard lock(mLock);
  return mOpen.size();
}

void soak_client::After(micros aDelay, work aWork)
{
  mLoop.After(aDelay, [self = shared_from_this(), run = std::move(aWork)] { run(); });
}

void soak_client::Open()
{
  const std::lock_guard lock(mLock);
  if (mStopped) {
    return;
  }
  const std::optional<soak_target> target = mHooks.mChooseTarget();
  if (!target) {
    After(kRetryDelay, [this] { Open(); });
    return;
  }
  const std::uint64_t id = ++mConnection;
  mDaemon = target->mDaemon;
  mReader = http_reader(http_side::Client, kAnswerLimits);
  mCloseAnnounced = false;
  mHeldBack = 0;
  tcp_hooks hooks;
  hooks.mOnOpen = [self = shared_from_this(), id] { self->OnOpen(id); };
  hooks.mOnBytes = [self = shared_from_this(), id](std::string_view aBytes) {
    self->OnBytes(id, aBytes);
  };
  hooks.mOnClosed = [self = shared_from_this(), id](const tcp_close_info& aInfo) {
    self->OnClosed(id, aInfo);
  };
  // The hooks wait for the lock until mTcp is set.
  mTcp = Connect(mLoop, target->mAddress, kConnectTimeout, std::move(hooks));
}

void soak_client::OnOpen(std::uint64_t aConnection)
{
  After(mProfile.mFirstUse, [this, aConnection] { SendNext(aConnection); });
}

void soak_client::SendNext(std::uint64_t aConnection)
{
  const std::lock_guard lock(mLock);
  if (aConnection != mConnection || !mTcp || mStopped) {
    return;
  }
  std::string bytes;
  std::vector<std::size_t> ends;
  // A pipelined request is answered after those ahead of it.
  micros patience =
    mProfile.mHalfDelay + (mProfile.mReadBytesPerS > 0 ? kSlowReaderPatience : kPatience);
  for (std::uint32_t i = 0; i < mProfile.mPipelined; ++i) {
    soak_request request = mHooks.mMakeRequest(i == 0 ? 0 : mProfile.mBodyBytesBehind);
    request.mRecord.mClient = mProfile.mName;
    request.mRecord.mDaemon = mDaemon;
    request.mRecord.mSentAt = SteadyNow();
    bytes += request.mBytes;
    ends.push_back(bytes.size());
    patience += request.mRecord.mTimeout;
    After(patience, [this, aConnection, id = request.mRecord.mId] { GiveUp(aConnection, id); });
    mOpen.push_back({ std::move(request.mRecord) });
  }
  for (std::size_t i = 0; i < ends.size(); ++i) {
    mOpen[i].mBytesAfter = bytes.size() - ends[i];
  }
  if (mProfile.mLeaveAfter > micros(0)) {
    After(mProfile.mLeaveAfter, [this, aConnection] { Leave(aConnection); });
  }
  if (mProfile.mHalfDelay == micros(0)) {
    mTcp->Send(std::move(bytes));
  } else {
    const std::size_t half = bytes.size() / 2;
    mHeldBack = bytes.size() - half;
    mTcp->Send(bytes.substr(0, half));
    After(mProfile.mHalfDelay,
          [this, aConnection, rest = bytes.substr(half)] { SendRest(aConnection, rest); });
  }
  NoteSentLocked();
}

void soak_client::SendRest(std::uint64_t aConnection, const std::string& aBytes)
{
  const std::lock_guard lock(mLock);
  if (aConnection != mConnection || !mTcp || mHeldBack == 0) {
    return;
  }
  mHeldBack = 0;
  mTcp->Send(aBytes);
  NoteSentLocked();
}

void soak_client::NoteSentLocked()
{
  const std::size_t unsent = mHeldBack + mTcp->UnsentBytes();
  for (open_request& each : mOpen) {
    if (!each.mSent && each.mBytesAfter >= unsent) {
      each.mSent = true;
      each.mRecord.mSentAt = SteadyNow();
    }
  }
  if (unsent > 0) {
    After(kSentInterval, [this, connection = mConnection] {
      const std::lock_guard lock(mLock);
      if (connection == mConnection && mTcp) {
        NoteSentLocked();
      }
    });
  }
}

void soak_client::Leave(std::uint64_t aConnection)
{
  const std::lock_guard lock(mLock);
  if (aConnection != mConnection || !mTcp || mOpen.empty()) {
    return;
  }
  mOpen.clear();
  DropConnection("the client left");
}

void soak_client::GiveUp(std::uint64_t aConnection, const std::string& aId)
{
  const std::lock_guard lock(mLock);
  const bool open = std::any_of(mOpen.begin(), mOpen.end(), [&aId](const open_request& aEach) {
    return aEach.mRecord.mId == aId;
  });
  if (aConnection != mConnection || !mTcp || !open) {
    return;
  }
  EndOpen(request_end::GaveUp, "no answer in time");
  DropConnection("the client gave up");
}

void soak_client::DropConnection(const char* aReason)
{
  // Bytes that were read before are handed over after this; without mTcp they are ignored.
  std::exchange(mTcp, nullptr)->Close(aReason);
}

void soak_client::OnBytes(std::uint64_t aConnection, std::string_view aBytes)
{
  const std::lock_guard lock(mLock);
  if (aConnection != mConnection || !mTcp) {
    return;
  }
  if (mProfile.mReadBytesPerS > 0) {
    mTcp->PauseReading();
    After(micros(1'000'000 * aBytes.size() / mProfile.mReadBytesPerS), [this, aConnection] {
      const std::lock_guard relock(mLock);
      if (aConnection == mConnection && mTcp) {
        mTcp->ResumeReading();
      }
    });
  }
  http_read_status status = mReader.Feed(aBytes);
  while (status == http_read_status::Complete) {
    Answered(mReader.Take());
    status = mReader.Feed({});
  }
  if (status == http_read_status::Failed) {
    EndOpen(request_end::Malformed, "the answer is not HTTP");
    mTcp->Close("the answer is not HTTP");
    return;
  }
  if (!mOpen.empty() || mReader.Started()) {
    return;
  }
  if (mCloseAnnounced) {
    mTcp->Close("the daemon announced the close");
    return;
  }
  After(mProfile.mPause, [this, aConnection] { SendNext(aConnection); });
}

void soak_client::Answered(const http_message& aAnswer)
{
  mCloseAnnounced = mCloseAnnounced || !aAnswer.mKeepAlive;
  const bool success = aAnswer.mStatus >= 200 && aAnswer.mStatus < 300;
  if (mOpen.empty()) {
    if (success) {
      mHooks.mRecord({ .mId = "none",
                       .mClient = mProfile.mName,
                       .mDaemon = mDaemon,
                       .mSentAt = SteadyNow(),
                       .mEndedAt = SteadyNow(),
                       .mEnd = request_end::Unexpected,
                       .mStatus = aAnswer.mStatus });
    }
    return;
  }
  request_record record = std::move(mOpen.front().mRecord);
  mOpen.pop_front();
  record.mEndedAt = SteadyNow();
  record.mEnd = request_end::Answered;
  record.mStatus = aAnswer.mStatus;
  record.mIsReply = !success || mHooks.mIsReply(record, aAnswer);
  mHooks.mRecord(std::move(record));
}

void soak_client::EndOpen(request_end aEnd, const std::string& aReason)
{
  for (open_request& each : mOpen) {
    // The daemon cannot have read a request whose last byte was not sent.
    if (each.mSent) {
      each.mRecord.mEndedAt = SteadyNow();
      each.mRecord.mEnd = aEnd;
      each.mRecord.mCloseReason = aReason;
      mHooks.mRecord(std::move(each.mRecord));
    }
  }
  mOpen.clear();
}

void soak_client::OnClosed(std::uint64_t aConnection, const tcp_close_info& aInfo)
{
  const std::lock_guard lock(mLock);
  if (aConnection != mConnection) {
    return;
  }
  EndOpen(request_end::Closed, aInfo.mDescription);
  mTcp.reset();
  After(kRetryDelay, [this] { Open(); });
}

} // namespace redwingdock::platform
