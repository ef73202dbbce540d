#include "daemon/http_server.h"

#include <optional>
#include <utility>

namespace redwingdock {

namespace {

// Bytes of further requests that a connection may send ahead of its answer.
constexpr std::size_t kAheadLimit = std::size_t{ 128 } * 1024;

std::string ReasonBody(const reason& aReason)
{
  // The texts come from this program and need no escaping.
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
  if (mSessions.Size() >= mLimits.mConnections) {
    aConnection->Close("too many connections");
    return;
  }
  mSessions.Insert(
    id, session{ aConnection, http_reader(http_side::Server, mLimits.mBodyLimit), 0, true });
  aConnection->ExpireAfter(mLimits.mIdleTime);
  tcp_hooks hooks;
  hooks.mOnBytes = [this, id](std::string_view aBytes) { Received(id, aBytes); };
  hooks.mOnExpired = [this, id] { Expired(id); };
  hooks.mOnClosed = [this, id](const std::string&) { Closed(id); };
  aConnection->Start(std::move(hooks));
}

void http_server::Received(std::uint64_t aSession, std::string_view aBytes)
{
  std::optional<http_message> request;
  std::uint64_t number = 0;
  mSessions.With(aSession, [&](session& aState) {
    const bool started = aState.mReader.Started();
    const http_status status = aState.mReader.Feed(aBytes);
    if (aState.mRequest != 0) {
      if (aState.mReader.Buffered() > kAheadLimit) {
        aState.mConnection->Close("sent too much before its answer");
      }
      return;
    }
    if (status == http_status::Complete) {
      request = BeginRequest(aSession, aState);
      number = aState.mRequest;
    } else if (status == http_status::Failed) {
      Refuse(aState);
    } else if (!started && aState.mReader.Started()) {
      aState.mConnection->ExpireAfter(mLimits.mRequestTime);
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
  aState.mConnection->ExpireAfter(mLimits.mAnswerTime);
  mWaiting.Insert(aState.mRequest, aSession);
  return request;
}

void http_server::Refuse(session& aState)
{
  const http_response refusal{
    aState.mReader.RefusalStatus(), "application/json", ReasonBody(aState.mReader.Why()), ""
  };
  aState.mConnection->Send(FormatReply(refusal, false));
  aState.mConnection->CloseAfterSend("request refused");
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
    aState.mConnection->Send(FormatReply(aReply, aState.mKeepAlive));
    if (!aState.mKeepAlive) {
      aState.mConnection->CloseAfterSend("answered");
      return;
    }
    // The caller may have sent its next request already.
    const http_status status = aState.mReader.Feed({});
    if (status == http_status::Complete) {
      next = BeginRequest(*id, aState);
      number = aState.mRequest;
    } else if (status == http_status::Failed) {
      Refuse(aState);
    } else {
      aState.mConnection->ExpireAfter(aState.mReader.Started() ? mLimits.mRequestTime
                                                               : mLimits.mIdleTime);
    }
  });
  if (next) {
    // Posted, so that a chain of requests that are answered at once does not recurse.
    mLoop.Post([this, number, request = std::move(*next)] { mHooks.mOnRequest(number, request); });
  }
}

void http_server::Expired(std::uint64_t aSession)
{
  std::uint64_t late = 0;
  mSessions.With(aSession, [&](session& aState) {
    late = aState.mRequest;
    if (late == 0) {
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
