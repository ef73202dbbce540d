#include "daemon/http_server.h"

#include <optional>
#include <utility>

namespace redwingdock {

namespace {

// Most bytes of pipelined requests that are buffered while a connection waits for its reply.
constexpr std::size_t kAheadLimit = std::size_t{ 128 } * 1024;

std::string ReasonBody(const reason& aReason)
{
  // These texts are constants of this program and need no JSON escaping.
  return R"({"reason": {"step": ")" + aReason.mStep + R"(", "peer": "", "text": ")" +
         aReason.mText + "\"}}";
}

} // namespace

http_server::http_server(io_loop& aLoop,
                         number_source& aNumbers,
                         http_server_hooks aHooks,
                         http_limits aLimits)
  : mLoop(aLoop)
  , mNumbers(aNumbers)
  , mHooks(std::move(aHooks))
  , mLimits(aLimits)
{
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

void http_server::CloseIdle()
{
  mClosing = true;
  mListener.reset();
  mSessions.ForEach([](std::uint64_t, const session& aState) {
    if (aState.mRequest == 0 && !aState.mReader.Started()) {
      aState.mConnection->CloseAfterSend("daemon is shutting down");
    }
  });
}

result<std::string> http_server::ListenOn(const std::string& aAddress)
{
  auto listener =
    Listen(mLoop, aAddress, [this](const std::shared_ptr<tcp_connection>& aConnection) {
      Accepted(aConnection);
    });
  if (!listener) {
    return { std::nullopt, listener.mReason };
  }
  mListener = *listener;
  return Success(mListener->Address());
}

void http_server::Accepted(const std::shared_ptr<tcp_connection>& aConnection)
{
  const std::uint64_t id = ++mNextSession;
  const http_limits limits = Limits();
  if (mSessions.Size() >= limits.mConnections) {
    aConnection->Close("too many connections");
    return;
  }
  mSessions.Insert(id,
                   session{ aConnection, http_reader(http_side::Server, limits.mRead), 0, true });
  aConnection->ExpireAfter(limits.mIdleTime);
  tcp_hooks hooks;
  hooks.mOnBytes = [this, id](std::string_view aBytes) { Received(id, aBytes); };
  hooks.mOnExpired = [this, id] { Expired(id); };
  hooks.mOnClosed = [this, id](const tcp_end&) { Closed(id); };
  aConnection->Start(std::move(hooks));
}

void http_server::Received(std::uint64_t aSession, std::string_view aBytes)
{
  std::optional<http_message> request;
  std::uint64_t number = 0;
  mSessions.With(aSession, [&](session& aState) {
    const bool started = aState.mReader.Started();
    const bool headerDone = aState.mReader.HeaderDone();
    const http_status status = aState.mReader.Feed(aBytes);
    if (aState.mRequest != 0) {
      if (aState.mReader.Buffered() > kAheadLimit) {
        aState.mConnection->Close("too many pipelined bytes");
      }
      return;
    }
    if (status == http_status::Complete) {
      request = BeginRequest(aSession, aState);
      number = aState.mRequest;
    } else if (status == http_status::Failed) {
      Refuse(aState);
    } else if (!started && aState.mReader.Started()) {
      aState.mConnection->ExpireAfter(aState.mReader.HeaderDone() ? Limits().mRequestTime
                                                                  : Limits().mHeaderTime);
    } else if (!headerDone && aState.mReader.HeaderDone()) {
      aState.mConnection->ExpireAfter(Limits().mRequestTime);
    }
  });
  if (request) {
    mHooks.mOnRequest(number, *request);
  }
}

http_message http_server::BeginRequest(std::uint64_t aSession, session& aState)
{
  http_message request = aState.mReader.Take();
  aState.mRequest = ++mNumbers;
  aState.mKeepAlive = request.mKeepAlive;
  const http_limits limits = Limits();
  aState.mReader.SetLimits(limits.mRead);
  aState.mConnection->ExpireAfter(limits.mAnswerTime);
  mWaiting.Insert(aState.mRequest, aSession);
  return request;
}

void http_server::Refuse(session& aState)
{
  const http_response refusal{
    aState.mReader.RefusalStatus(), "application/json", ReasonBody(aState.mReader.Why()), {}
  };
  aState.mConnection->Send(FormatReply(refusal, false));
  aState.mConnection->CloseAfterSend("invalid request");
}

void http_server::Reply(std::uint64_t aNumber, const http_response& aReply)
{
  const std::optional<std::uint64_t> id = mWaiting.Take(aNumber);
  if (!id) {
    return;
  }
  std::optional<http_message> next;
  std::uint64_t number = 0;
  mSessions.With(*id, [&](session& aState) {
    aState.mRequest = 0;
    const bool keepAlive = aState.mKeepAlive && !mClosing;
    aState.mConnection->Send(FormatReply(aReply, keepAlive));
    if (!keepAlive) {
      aState.mConnection->CloseAfterSend("reply sent");
      return;
    }
    // The client may have pipelined its next request.
    const http_status status = aState.mReader.Feed({});
    if (status == http_status::Complete) {
      next = BeginRequest(*id, aState);
      number = aState.mRequest;
    } else if (status == http_status::Failed) {
      Refuse(aState);
    } else {
      aState.mConnection->ExpireAfter(aState.mReader.Started() ? Limits().mRequestTime
                                                               : Limits().mIdleTime);
    }
  });
  if (next) {
    // Posted instead of called, so that pipelined requests with immediate replies do not recurse.
    mLoop.Post([this, number, request = std::move(*next)] { mHooks.mOnRequest(number, request); });
  }
}

micros http_server::RoundTrip(std::uint64_t aNumber)
{
  std::uint64_t id = 0;
  mWaiting.With(aNumber, [&id](std::uint64_t aSession) { id = aSession; });
  micros roundTrip{ 0 };
  mSessions.With(
    id, [&roundTrip](const session& aState) { roundTrip = aState.mConnection->RoundTrip(); });
  return roundTrip;
}

void http_server::Expired(std::uint64_t aSession)
{
  std::uint64_t late = 0;
  mSessions.With(aSession, [&](session& aState) {
    late = aState.mRequest;
    if (late == 0 && aState.mReader.Started()) {
      // The request is incomplete, so it had no effect and the client may repeat it.
      aState.mConnection->Send(FormatReply({ 408, "", "", {} }, false));
      aState.mConnection->CloseAfterSend("request timed out");
    } else if (late == 0) {
      aState.mConnection->Close("timed out");
    }
  });
  if (late != 0 && mHooks.mOnLate) {
    mHooks.mOnLate(late);
  }
}

void http_server::Closed(std::uint64_t aSession)
{
  const std::optional<session> closed = mSessions.Take(aSession);
  if (!closed || closed->mRequest == 0) {
    return;
  }
  if (mWaiting.Take(closed->mRequest) && mHooks.mOnGone) {
    mHooks.mOnGone(closed->mRequest);
  }
}

std::size_t http_server::UnsentBytes() const
{
  std::size_t bytes = 0;
  mSessions.ForEach(
    [&bytes](std::uint64_t, const session& aState) { bytes += aState.mConnection->UnsentBytes(); });
  return bytes;
}

} // namespace redwingdock
