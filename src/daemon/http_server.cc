#include "daemon/http_server.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace redwingdock {

namespace {

// Bytes of pipelined requests that are buffered while a connection waits for its reply. Above that,
// reading pauses until the reply. The end of a paused connection is noticed only then, which the
// deadline of the open request bounds.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{ 128 } * 1024;

// Between looks at the unsent bytes of a connection: an eighth of the time for which they have
// waited, so that the measured time is as precise and slow clients cost little.
constexpr int kFollowDivisor = 8;
constexpr micros kMinFollowInterval = std::chrono::milliseconds(10);
constexpr micros kMaxFollowInterval = std::chrono::milliseconds(250);

// The request was not read whole, so it was not run. Clients that were given up are gone in a
// second.
const http_response kNoRoom{ 503, "", "", { { "Retry-After", "1" } } };

std::string ReasonJson(const reason& aReason)
{
  // These texts are constants of this program and need no JSON escaping.
  return R"({"reason": {"step": ")" + aReason.mStep + R"(", "peer": "", "text": ")" +
         aReason.mText + "\"}}";
}

} // namespace

http_server::http_server(io_loop& aLoop,
                         request_id_source& aRequestIds,
                         http_server_hooks aHooks,
                         http_limits aLimits,
                         client_memory* aMemory)
  : mLoop(aLoop)
  , mRequestIds(aRequestIds)
  , mHooks(std::move(aHooks))
  , mMemory(aMemory)
  , mLimits(aLimits)
{
  if (mMemory != nullptr) {
    mMemory->AddHolder(
      { [this](memory_use aUse) { return Holdings(aUse); },
        [this](memory_use aUse, const client_holding& aHolding) { GiveUp(aUse, aHolding); } });
  }
}

http_server::~http_server() = default;

http_limits http_server::Limits() const
{
  const std::lock_guard lock(mLimitsLock);
  return mLimits;
}

void http_server::SetLimits(const http_limits& aLimits)
{
  const std::lock_guard lock(mLimitsLock);
  mLimits = aLimits;
}

void http_server::session::CloseAfterSend(const char* aReason)
{
  mClosing = true;
  mConnection->CloseAfterSend(aReason);
  // Nothing more is read. What was read would stay until the client closes.
  mReader = http_reader(http_side::Server, {});
  Count();
}

bool http_server::session::IsIdle() const
{
  return mRequestId == 0 && !mClosing && !mReader.Started() && !mConnection->HasUnread();
}

void http_server::session::SendReply(std::string aText)
{
  const std::size_t size = aText.size();
  mConnection->Send(std::move(aText));
  mLastActive = SteadyNow();
  mDelivery = WithReply(std::move(mDelivery),
                        std::exchange(mRequestName, {}),
                        size,
                        mConnection->UnsentBytes(),
                        mLastActive);
}

void http_server::session::Count()
{
  mReading.Set(mReader.HeldBytes());
  mSending.Set(mConnection->HeldBytes());
}

connection_use http_server::session::Use() const
{
  if (mRequestId != 0) {
    return connection_use::Open;
  }
  if (mClosing || mConnection->UnsentBytes() > 0) {
    return connection_use::Sending;
  }
  if (!mUsed) {
    return connection_use::Unused;
  }
  return mReader.Started() ? connection_use::Partial : connection_use::Idle;
}

void http_server::session::GiveUpReading(const http_read_limits& aLimits)
{
  if (mRequestId != 0) {
    mReader = http_reader(http_side::Server, aLimits);
    // Nothing of what follows was read, as the reply to the open request tells by its end.
    mKeepAlive = false;
    mIgnoresInput = true;
    mConnection->PauseReading();
    return;
  }
  if (IsPartlyRead() && !IsBusy()) {
    SendReply(FormatReply(kNoRoom, false));
  }
  CloseAfterSend("no memory for requests");
}

void http_server::CloseIdle(bool aUnused)
{
  mClosing = true;
  if (mListener) {
    mListener->AcceptPendingAndStop();
  }
  mSessions.ForEach([aUnused](std::uint64_t, session& aSession) {
    if ((aUnused || aSession.mUsed) && aSession.IsIdle()) {
      aSession.CloseAfterSend("daemon is shutting down");
    }
  });
}

void http_server::CloseAll()
{
  mSessions.ForEach([](std::uint64_t, session& aSession) {
    if (aSession.IsIdle()) {
      aSession.CloseAfterSend("daemon is shutting down");
    }
  });
}

std::size_t http_server::RefusePartlyRead(const http_response& aReply)
{
  std::size_t count = 0;
  mSessions.ForEach([&aReply, &count](std::uint64_t, session& aSession) {
    if (aSession.IsPartlyRead()) {
      ++count;
      aSession.SendReply(FormatReply(aReply, false));
      aSession.CloseAfterSend("daemon is shutting down");
    }
  });
  return count;
}

result<std::string> http_server::ListenOn(const std::string& aAddress)
{
  auto listener = Listen(
    mLoop,
    aAddress,
    [this](const std::shared_ptr<tcp_connection>& aConnection) { Accepted(aConnection); },
    [this] { MakeRoom(); });
  if (!listener) {
    return { std::nullopt, listener.mReason };
  }
  mListener = *listener;
  return Success(mListener->Address());
}

void http_server::Accepted(const std::shared_ptr<tcp_connection>& aConnection)
{
  const std::uint64_t id = ++mNextSessionId;
  const http_limits limits = Limits();
  if (mSessions.Size() >= limits.mConnections && !MakeRoom()) {
    aConnection->Close("too many connections");
    return;
  }
  session added{ aConnection, http_reader(http_side::Server, limits.mRead), 0, true };
  added.mLastActive = SteadyNow();
  if (mMemory != nullptr) {
    added.mReading = memory_charge(mMemory->Budget(memory_use::Reading));
    added.mSending = memory_charge(mMemory->Budget(memory_use::Replies));
  }
  mSessions.Insert(id, std::move(added));
  aConnection->ExpireAfter(limits.mIdleTimeout);
  tcp_hooks hooks;
  hooks.mOnBytes = [this, id](std::string_view aBytes) { Received(id, aBytes); };
  hooks.mOnExpired = [this, id] { Expired(id); };
  hooks.mOnSent = [this, id] { Sent(id); };
  hooks.mOnClosed = [this, id](const tcp_close_info&) { Closed(id); };
  aConnection->Start(std::move(hooks));
}

bool http_server::MakeRoom()
{
  // Closing some at once keeps the cost of the choice low for each new connection.
  constexpr std::size_t kBatchDivisor = 32;
  std::vector<client_connection> connections;
  mSessions.ForEach([&connections](std::uint64_t aId, const session& aSession) {
    connections.push_back({ aSession.Use(), aSession.mLastActive, aId });
  });
  const std::size_t batch = std::max<std::size_t>(Limits().mConnections / kBatchDivisor, 1);
  std::size_t closed = 0;
  for (const client_connection& each : ChooseConnections(std::move(connections), batch)) {
    mSessions.With(each.mSession, [&each, &closed](session& aSession) {
      if (aSession.Use() == each.mUse && aSession.mLastActive == each.mLastActive) {
        ++closed;
        aSession.mClosing = true;
        aSession.mConnection->Close("room for other connections");
      }
    });
  }
  mClosedForRoom += closed;
  if (closed > 0 && mHooks.mOnRoomMade) {
    mHooks.mOnRoomMade(closed);
  }
  return closed > 0;
}

void http_server::Received(std::uint64_t aSessionId, std::string_view aBytes)
{
  std::optional<begun_request> request;
  mSessions.With(aSessionId, [&](session& aSession) {
    if (aSession.mClosing || aSession.mIgnoresInput) {
      return; // a request that is read now could not be answered
    }
    const bool started = aSession.mReader.Started();
    aSession.mLastActive = SteadyNow();
    if (!started && aSession.mReader.Buffered() == 0) {
      aSession.mReader.SetLimits(Limits().mRead);
      aSession.mReadSince = aSession.mLastActive;
      aSession.mReadBytes = 0;
    }
    aSession.mReadBytes += aBytes.size();
    const bool headerDone = aSession.mReader.HeaderDone();
    const http_read_status status = aSession.mReader.Feed(aBytes);
    if (aSession.IsBusy()) {
      if (aSession.mReader.Buffered() > kMaxPipelinedBytes) {
        aSession.mConnection->PauseReading();
      }
    } else if (status == http_read_status::Complete) {
      request = BeginRequest(aSessionId, aSession);
    } else if (status == http_read_status::Failed) {
      RejectRequest(aSession);
    } else if (!started && aSession.mReader.Started()) {
      aSession.mConnection->ExpireAfter(aSession.mReader.HeaderDone() ? Limits().mRequestTimeout
                                                                      : Limits().mHeaderTimeout);
    } else if (!headerDone && aSession.mReader.HeaderDone()) {
      aSession.mConnection->ExpireAfter(Limits().mRequestTimeout);
    }
    aSession.Count();
  });
  if (request) {
    mHooks.mOnRequest(request->first, request->second);
  }
}

void http_server::Sent(std::uint64_t aSessionId)
{
  std::optional<begun_request> next;
  mSessions.With(aSessionId, [&](session& aSession) {
    if (aSession.mClosing || aSession.IsBusy()) {
      return;
    }
    next = BeginNext(aSessionId, aSession);
    aSession.mConnection->ResumeReading();
    aSession.Count();
  });
  if (next) {
    mHooks.mOnRequest(next->first, next->second);
  }
}

std::optional<http_server::begun_request> http_server::BeginNext(std::uint64_t aSessionId,
                                                                 session& aSession)
{
  const http_read_status status = aSession.mReader.Feed({});
  if (status == http_read_status::Complete) {
    return BeginRequest(aSessionId, aSession);
  }
  if (status == http_read_status::Failed) {
    RejectRequest(aSession);
  } else {
    aSession.mConnection->ExpireAfter(aSession.mReader.Started() ? Limits().mRequestTimeout
                                                                 : Limits().mIdleTimeout);
  }
  return std::nullopt;
}

http_server::begun_request http_server::BeginRequest(std::uint64_t aSessionId, session& aSession)
{
  http_message request = aSession.mReader.Take();
  aSession.mRequestId = ++mRequestIds;
  aSession.mUsed = true;
  aSession.mKeepAlive = request.mKeepAlive;
  aSession.mRequestName = mHooks.mNameOf ? mHooks.mNameOf(request) : std::string();
  const http_limits limits = Limits();
  aSession.mReader.SetLimits(limits.mRead);
  aSession.mConnection->ExpireAfter(limits.mReplyTimeout);
  mSessionByRequest.Insert(aSession.mRequestId, aSessionId);
  return { aSession.mRequestId, std::move(request) };
}

void http_server::RejectRequest(session& aSession)
{
  const http_response refusal{
    aSession.mReader.ErrorStatus(), "application/json", ReasonJson(aSession.mReader.Error()), {}
  };
  aSession.SendReply(FormatReply(refusal, false));
  aSession.CloseAfterSend("invalid request");
}

void http_server::Reply(std::uint64_t aRequestId, const http_response& aReply)
{
  const std::optional<std::uint64_t> id = mSessionByRequest.Take(aRequestId);
  if (!id) {
    return;
  }
  const std::optional<std::string> invalid = ReplyError(aReply);
  std::string name;
  std::optional<begun_request> next;
  mSessions.With(*id, [&](session& aSession) {
    aSession.mRequestId = 0;
    if (invalid) {
      name = aSession.mRequestName;
    }
    // The client may have pipelined its next request, which is answered before the connection
    // closes.
    const bool pipelined = aSession.mReader.Started() || aSession.mReader.Buffered() > 0 ||
                           (mClosing && aSession.mConnection->HasUnread());
    const bool keepAlive = aSession.mKeepAlive && (!mClosing || pipelined);
    aSession.SendReply(FormatReply(aReply, keepAlive));
    aSession.Count();
    if (!aSession.mFollowed && aSession.mDelivery.mUnsent > 0) {
      aSession.mFollowed = true;
      mLoop.After(kMinFollowInterval, [this, session = *id] { FollowDelivery(session); });
    }
    if (!keepAlive) {
      aSession.mConnection->ExpireAfter(Limits().mIdleTimeout);
      aSession.CloseAfterSend("reply sent");
      return;
    }
    if (aSession.IsBusy()) {
      // Reads what is pipelined, so that it is known; Sent begins it, or refuses it if it is
      // invalid.
      aSession.mReader.Feed({});
      aSession.mConnection->ExpireAfter(Limits().mIdleTimeout);
      return;
    }
    next = BeginNext(*id, aSession);
    if (aSession.mRequestId == 0 || aSession.mReader.Buffered() <= kMaxPipelinedBytes) {
      aSession.mConnection->ResumeReading();
    }
    aSession.Count();
  });
  if (invalid && mHooks.mOnInvalidReply) {
    mHooks.mOnInvalidReply(name, *invalid);
  }
  if (next) {
    // Posted instead of called, so that pipelined requests with immediate replies do not recurse.
    mLoop.Post(
      [this, request = std::move(*next)] { mHooks.mOnRequest(request.first, request.second); });
  }
}

void http_server::Disconnect(std::uint64_t aRequestId)
{
  if (const std::optional<std::uint64_t> id = mSessionByRequest.Take(aRequestId)) {
    mSessions.With(*id,
                   [](session& aSession) { aSession.mConnection->Close("no reply will follow"); });
  }
}

micros http_server::RoundTrip(std::uint64_t aRequestId)
{
  std::uint64_t id = 0;
  mSessionByRequest.With(aRequestId, [&id](std::uint64_t aSessionId) { id = aSessionId; });
  micros roundTrip{ 0 };
  mSessions.With(
    id, [&roundTrip](const session& aSession) { roundTrip = aSession.mConnection->RoundTrip(); });
  return roundTrip;
}

micros http_server::DeliveryTime(std::uint64_t aRequestId)
{
  std::uint64_t id = 0;
  mSessionByRequest.With(aRequestId, [&id](std::uint64_t aSessionId) { id = aSessionId; });
  micros expected{ 0 };
  mSessions.With(id, [&expected](session& aSession) {
    aSession.mDelivery =
      WithUnsent(std::move(aSession.mDelivery), aSession.mConnection->UnsentBytes(), SteadyNow());
    expected = ExpectedDelivery(aSession.mDelivery);
  });
  return expected;
}

void http_server::FollowDelivery(std::uint64_t aSessionId)
{
  std::optional<micros> next;
  const micros limit = Limits().mDeliveryTimeout;
  mSessions.With(aSessionId, [&next, limit](session& aSession) {
    const instant now = SteadyNow();
    aSession.mDelivery =
      WithUnsent(std::move(aSession.mDelivery), aSession.mConnection->UnsentBytes(), now);
    if (HeldSince(aSession.mDelivery) < now - limit) {
      // Bytes taken now and then keep all other limits from passing.
      aSession.mClosing = true;
      aSession.mConnection->Close("the client has not taken a reply in time");
      return;
    }
    aSession.mFollowed = aSession.mDelivery.mUnsent > 0;
    aSession.Count();
    if (aSession.mFollowed) {
      next = std::clamp((now - aSession.mDelivery.mWaitingSince) / kFollowDivisor,
                        kMinFollowInterval,
                        kMaxFollowInterval);
    }
  });
  if (next) {
    mLoop.After(*next, [this, aSessionId] { FollowDelivery(aSessionId); });
  }
}

void http_server::Expired(std::uint64_t aSessionId)
{
  std::uint64_t lateRequest = 0;
  mSessions.With(aSessionId, [&](session& aSession) {
    if (!aSession.mConnection->LimitPassed()) {
      return; // bytes that arrived meanwhile began another state with its own limit
    }
    lateRequest = aSession.mRequestId;
    if (lateRequest == 0 && aSession.mConnection->Sending()) {
      aSession.mConnection->ExpireAfter(Limits().mIdleTimeout);
    } else if (lateRequest == 0 && !aSession.IsBusy() && aSession.mReader.Started()) {
      // The request is incomplete, so it had no effect and the client may repeat it.
      aSession.SendReply(FormatReply({ 408, "", "", {} }, false));
      aSession.mConnection->ExpireAfter(Limits().mIdleTimeout);
      aSession.CloseAfterSend("request timed out");
    } else if (lateRequest == 0 && !aSession.IsBusy() && aSession.mConnection->HasUnread()) {
      aSession.mConnection->ExpireAfter(Limits().mHeaderTimeout);
    } else if (lateRequest == 0) {
      aSession.mClosing = true;
      aSession.mConnection->Close("timed out");
    }
  });
  if (lateRequest != 0 && mHooks.mOnTimeout) {
    mHooks.mOnTimeout(lateRequest);
  }
}

void http_server::Closed(std::uint64_t aSessionId)
{
  const std::optional<session> closed = mSessions.Take(aSessionId);
  if (!closed || closed->mRequestId == 0) {
    return;
  }
  if (mSessionByRequest.Take(closed->mRequestId) && mHooks.mOnDisconnected) {
    mHooks.mOnDisconnected(closed->mRequestId);
  }
}

std::vector<client_holding> http_server::Holdings(memory_use aUse)
{
  std::vector<client_holding> holdings;
  const instant now = SteadyNow();
  mSessions.ForEach([&](std::uint64_t aId, session& aSession) {
    aSession.Count();
    if (aUse == memory_use::Reading && aSession.mReading.Bytes() > 0 && !aSession.mClosing) {
      holdings.push_back(
        { 0, aId, aSession.mReading.Bytes(), aSession.mReadBytes, now - aSession.mReadSince });
    } else if (aUse == memory_use::Replies && aSession.mSending.Bytes() > 0) {
      aSession.mDelivery =
        WithUnsent(std::move(aSession.mDelivery), aSession.mConnection->UnsentBytes(), now);
      if (aSession.mDelivery.mUnsent > 0) {
        holdings.push_back({ 0,
                             aId,
                             aSession.mSending.Bytes(),
                             TakenWhileWaiting(aSession.mDelivery),
                             now - aSession.mDelivery.mWaitingSince });
      }
    }
  });
  return holdings;
}

void http_server::GiveUp(memory_use aUse, const client_holding& aHolding)
{
  const http_limits limits = Limits();
  mSessions.With(aHolding.mSession, [aUse, &limits](session& aSession) {
    if (aUse == memory_use::Reading && !aSession.mClosing) {
      aSession.GiveUpReading(limits.mRead);
    } else if (aUse == memory_use::Replies && aSession.mConnection->UnsentBytes() > 0) {
      // The length that the reply states shows that it is not whole.
      aSession.mClosing = true;
      aSession.mConnection->Close("no memory for replies");
    }
    aSession.Count();
  });
}

std::size_t http_server::UnsentBytes() const
{
  std::size_t bytes = 0;
  mSessions.ForEach([&bytes](std::uint64_t, const session& aSession) {
    bytes += aSession.mConnection->UnsentBytes();
  });
  return bytes;
}

std::size_t http_server::UndeliveredBytes() const
{
  std::size_t bytes = 0;
  mSessions.ForEach([&bytes](std::uint64_t, const session& aSession) {
    bytes += aSession.mConnection->UndeliveredBytes();
  });
  return bytes;
}

std::size_t http_server::ActiveConnections() const
{
  std::size_t count = 0;
  mSessions.ForEach(
    [&count](std::uint64_t, const session& aSession) { count += aSession.mClosing ? 0 : 1; });
  return count;
}

std::vector<unfinished_connection> http_server::UnfinishedConnections() const
{
  std::vector<unfinished_connection> open;
  mSessions.ForEach([&open](std::uint64_t, const session& aSession) {
    unfinished_connection each;
    each.mUnanswered = aSession.mRequestId != 0;
    each.mRequest = aSession.mRequestName;
    each.mPartlyRead = aSession.IsPartlyRead();
    each.mPipelinedBytes = each.mUnanswered ? aSession.mReader.Buffered() : 0;
    each.mUnsentReplies = UnsentReplies(aSession.mDelivery, aSession.mConnection->UnsentBytes());
    if (each != unfinished_connection{}) {
      open.push_back(std::move(each));
    }
  });
  return open;
}

} // namespace redwingdock
