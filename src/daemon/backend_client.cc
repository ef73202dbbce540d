#include "daemon/backend_client.h"

#include "codec/server_json.h"

#include <algorithm>
#include <utility>

namespace redwingdock {

namespace {

// A new connection takes about 6 ms in the slowest pool.
constexpr micros kConnectTimeout = std::chrono::seconds(1);
constexpr micros kHealthCheckTimeout = std::chrono::seconds(1);
// The core closes silent connections itself. This only ends a part that the core has lost track of.
constexpr micros kReplySlack = std::chrono::seconds(2);
// Kept short because an open connection for cancels counts towards the server's connection limit.
constexpr micros kCancelIdleTimeout = std::chrono::seconds(1);
constexpr std::size_t kMaxQueuedCancels = 256;

part_reply MakeUnansweredReply(const part_request& aRequest,
                               part_result aResult,
                               part_failure aFailure,
                               const char* aStep,
                               std::string aText)
{
  part_reply reply;
  reply.mAttempt = aRequest.mAttempt;
  reply.mResult = aResult;
  reply.mFailure = aFailure;
  reply.mServer = aRequest.mServer;
  reply.mShard = aRequest.mShard;
  reply.mReason = { aStep, aRequest.mServer, std::move(aText) };
  return reply;
}

} // namespace

backend_client::backend_client(io_loop& aLoop, backend_hooks aHooks)
  : mLoop(aLoop)
  , mHooks(std::move(aHooks))
  , mExchanges(aLoop)
{
}

void backend_client::Open(const open_connection& aCommand)
{
  const std::uint64_t id = aCommand.mConnection;
  tcp_hooks hooks;
  hooks.mOnOpen = [this, id] { Opened(id); };
  hooks.mOnBytes = [this, id](std::string_view aBytes) { Received(id, aBytes); };
  hooks.mOnExpired = [this, id] { Expired(id); };
  hooks.mOnClosed = [this, id](const tcp_close_info& aEnd) { Closed(id, aEnd.mDescription); };
  const bool added =
    mConnections.Insert(id,
                        connection{ aCommand.mServer,
                                    aCommand.mAddress,
                                    nullptr,
                                    http_reader(http_side::Client, { kMaxPartReplyBytes }),
                                    std::nullopt,
                                    false });
  if (!added) {
    return;
  }
  // Connecting under the lock of the shard makes the hooks wait until mConnection is set.
  mConnections.With(id, [&](connection& aState) {
    aState.mConnection = Connect(mLoop, aCommand.mAddress, kConnectTimeout, std::move(hooks));
  });
}

void backend_client::Opened(std::uint64_t aId)
{
  std::string server;
  mConnections.With(aId, [&server](connection& aState) {
    aState.mOpen = true;
    server = aState.mServer;
  });
  if (!server.empty()) {
    mHooks.mPost(connection_changed{ server, aId, connection_event::Opened, {} });
  }
}

void backend_client::Close(const close_connection& aCommand)
{
  if (const std::optional<connection> closed = mConnections.Take(aCommand.mConnection)) {
    closed->mConnection->Close("closed by the core");
  }
}

void backend_client::Send(const send_part& aCommand)
{
  const part_request& request = aCommand.mRequest;
  const instant now = SteadyNow();
  std::string refusal;
  part_failure failure = part_failure::NotSent;
  if (now > aCommand.mNotAfter) {
    refusal = "the command expired " + std::to_string(ToMs(now - aCommand.mNotAfter)) + " ms ago";
  } else if (now >= request.mDeadline) {
    failure = part_failure::DeadlinePassed;
    refusal = "the deadline has passed";
  } else {
    const micros remaining = request.mDeadline - now;
    std::string text = "the connection does not exist";
    mConnections.With(aCommand.mConnection, [&](connection& aState) {
      if (!aState.mOpen) {
        text = "the connection is not open";
      } else if (aState.mPart) {
        text = "a part is in flight on the connection";
      } else if (aState.mConnection->HasUnread() ||
                 !aState.mConnection->Send(FormatRequest(
                   "POST", "/v1/part", aState.mAddress, FormatPartRequest(request, remaining)))) {
        text = "the connection has ended";
      } else {
        text.clear();
        aState.mPart = part_in_flight{ request, now };
        aState.mConnection->ExpireAfter(remaining + kReplySlack);
      }
    });
    refusal = text;
  }
  if (!refusal.empty()) {
    mHooks.mPost(
      part_replied{ request.mServer,
                    aCommand.mConnection,
                    MakeUnansweredReply(
                      request, part_result::NotRun, failure, "send part", std::move(refusal)) });
  }
}

void backend_client::Received(std::uint64_t aId, std::string_view aBytes)
{
  std::optional<part_in_flight> part;
  http_message message;
  std::string malformed;
  mConnections.With(aId, [&](connection& aState) {
    const http_read_status status = aState.mReader.Feed(aBytes);
    if (!aState.mPart) {
      aState.mConnection->Close("received bytes without a part in flight");
      return;
    }
    if (status == http_read_status::NeedMore) {
      return;
    }
    part = std::move(aState.mPart);
    aState.mPart.reset();
    aState.mConnection->ExpireAfter(tcp_connection::kNoLimit);
    if (status == http_read_status::Failed) {
      malformed = aState.mReader.Error().mText;
      aState.mConnection->Close("malformed reply");
      return;
    }
    message = aState.mReader.Take();
    if (!message.mKeepAlive || aState.mReader.Buffered() > 0) {
      aState.mConnection->Close(message.mKeepAlive
                                  ? "received bytes after the reply"
                                  : "the server does not keep the connection open");
    }
  });
  if (!part) {
    return;
  }
  ReportReply(
    aId,
    *part,
    malformed.empty()
      ? ParsePartReply(part->mRequest, message.mStatus, message.mBody)
      : MakeUnansweredReply(
          part->mRequest, part_result::Unknown, part_failure::Malformed, "read reply", malformed));
}

void backend_client::ReportReply(std::uint64_t aId, const part_in_flight& aPart, part_reply aReply)
{
  if (mHooks.mOnReply) {
    mHooks.mOnReply(SteadyNow() - aPart.mSentAt, aReply);
  }
  mHooks.mPost(part_replied{ aPart.mRequest.mServer, aId, std::move(aReply) });
}

void backend_client::Expired(std::uint64_t aId)
{
  std::optional<part_in_flight> part;
  mConnections.With(aId, [&part](connection& aState) {
    if (!aState.mConnection->LimitPassed()) {
      return; // the reply arrived meanwhile
    }
    part = std::move(aState.mPart);
    aState.mPart.reset();
    aState.mConnection->Close("no reply in time");
  });
  if (part) {
    ReportReply(aId,
                *part,
                MakeUnansweredReply(part->mRequest,
                                    part_result::Unknown,
                                    part_failure::Silent,
                                    "wait for reply",
                                    "no reply within the slack after the deadline"));
  }
}

void backend_client::Closed(std::uint64_t aId, const std::string& aCause)
{
  std::optional<connection> closed = mConnections.Take(aId);
  if (!closed) {
    return;
  }
  connection_event event = closed->mOpen ? connection_event::Closed : connection_event::Refused;
  // A reply without Content-Length or chunked encoding ends with the connection.
  const bool answered = closed->mPart && closed->mReader.FeedEof() == http_read_status::Complete;
  if (answered) {
    const http_message message = closed->mReader.Take();
    ReportReply(
      aId, *closed->mPart, ParsePartReply(closed->mPart->mRequest, message.mStatus, message.mBody));
  } else if (closed->mPart) {
    event = connection_event::Lost;
  }
  // Post the loss before the result of the part: after the result, the gate no longer knows which
  // part was in flight and marks no suspects.
  mHooks.mPost(connection_changed{
    closed->mServer,
    aId,
    event,
    { event == connection_event::Refused ? "connect" : "connection", closed->mServer, aCause } });
  if (event == connection_event::Lost) {
    ReportReply(aId,
                *closed->mPart,
                MakeUnansweredReply(closed->mPart->mRequest,
                                    part_result::Unknown,
                                    part_failure::ConnectionLost,
                                    "wait for reply",
                                    "connection lost: " + aCause));
  }
}

void backend_client::Check(const check_connection& aCommand)
{
  http_exchange exchange;
  exchange.mAddress = aCommand.mAddress;
  exchange.mMethod = "GET";
  exchange.mTarget = "/v1/health";
  exchange.mReplyTimeout = kHealthCheckTimeout;
  mExchanges.Start(exchange, [this, server = aCommand.mServer](const result<http_message>& aReply) {
    mHooks.mPost(check_answered{ server, aReply && aReply->mStatus == 200 });
  });
}

void backend_client::Cancel(const cancel_part& aCommand)
{
  mCancelQueues.WithOrInsert(aCommand.mAddress, [&](cancel_queue& aState) {
    if (aState.mId == 0) {
      aState.mId = ++mNextCancelQueue;
      OpenCancelConnection(aCommand.mAddress, aState);
    }
    if (aState.mWaiting.size() >= kMaxQueuedCancels) {
      return; // the server stops working on the part at its deadline
    }
    aState.mWaiting.push_back(aCommand.mAttempt);
    if (aState.mWaiting.size() == 1) {
      aState.mConnection->Send(
        FormatRequest("POST", "/v1/cancel", aCommand.mAddress, FormatCancel(aCommand.mAttempt)));
    }
  });
}

void backend_client::OpenCancelConnection(const std::string& aAddress, cancel_queue& aState)
{
  const std::uint64_t id = aState.mId;
  tcp_hooks hooks;
  hooks.mOnOpen = [this, aAddress, id] {
    mCancelQueues.With(aAddress, [id](cancel_queue& aOpened) {
      if (aOpened.mId == id) {
        aOpened.mConnection->ExpireAfter(kCancelIdleTimeout);
      }
    });
  };
  hooks.mOnBytes = [this, aAddress, id](std::string_view aBytes) {
    OnCancelReply(aAddress, id, aBytes);
  };
  hooks.mOnExpired = [this, aAddress, id] { CloseCancelConnection(aAddress, id); };
  hooks.mOnClosed = [this, aAddress, id](const tcp_close_info&) {
    CloseCancelConnection(aAddress, id);
  };
  aState.mConnection = Connect(mLoop, aAddress, kConnectTimeout, std::move(hooks));
}

void backend_client::OnCancelReply(const std::string& aAddress,
                                   std::uint64_t aId,
                                   std::string_view aBytes)
{
  mCancelQueues.With(aAddress, [&](cancel_queue& aState) {
    if (aState.mId != aId) {
      return;
    }
    const http_read_status status = aState.mReader.Feed(aBytes);
    if (status == http_read_status::NeedMore) {
      return;
    }
    if (status == http_read_status::Failed || aState.mWaiting.empty() ||
        !aState.mReader.Take().mKeepAlive) {
      aState.mConnection->Close("no more parts to cancel");
      return;
    }
    aState.mWaiting.pop_front();
    aState.mConnection->ExpireAfter(kCancelIdleTimeout);
    if (!aState.mWaiting.empty()) {
      aState.mConnection->Send(
        FormatRequest("POST", "/v1/cancel", aAddress, FormatCancel(aState.mWaiting.front())));
    }
  });
}

void backend_client::CloseCancelConnection(const std::string& aAddress, std::uint64_t aId)
{
  mCancelQueues.EraseIf(aAddress, [aId](cancel_queue& aState) {
    if (aState.mId != aId) {
      return false;
    }
    aState.mConnection->Close("no more parts to cancel");
    return true;
  });
}

} // namespace redwingdock
