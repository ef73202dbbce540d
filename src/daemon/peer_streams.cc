#include "daemon/peer_streams.h"

#include "codec/peer_codec.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace redwingdock {

namespace {

constexpr char kMessagesPath[] = "/v1/messages";
// Bytes of an envelope that are reserved for the sender's name and incarnation.
constexpr std::size_t kEnvelopeHeaderBytes = 1024;
// An incoming connection is closed after this long without bytes; a live peer pings every second.
constexpr micros kIncomingIdleTimeout = std::chrono::seconds(10);
// At most one line about refused input per interval, so that a hostile sender cannot fill the log.
constexpr micros kRefusalLogInterval = std::chrono::seconds(1);

} // namespace

peer_streams::peer_streams(io_loop& aLoop,
                           peer_identity aSelf,
                           peer_hooks aHooks,
                           peer_limits aLimits)
  : mLoop(aLoop)
  , mSelf(std::move(aSelf))
  , mHooks(std::move(aHooks))
  , mLimits(aLimits)
{
}

result<std::string> peer_streams::ListenOn(const std::string& aAddress)
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

void peer_streams::Send(const send_to_peer& aCommand)
{
  std::string bytes = EncodeMessage(aCommand.mMessage);
  bool wasUp = false;
  mOutgoing.WithOrInsert(aCommand.mVm, [&](outgoing& aPeer) {
    const instant now = SteadyNow();
    if (aPeer.mAddress != aCommand.mAddress) {
      if (aPeer.mConnection) {
        aPeer.mConnection->Close("address of the peer changed");
      }
      wasUp = aPeer.mReportedUp;
      DropOldest(aPeer, aPeer.mQueue.size());
      aPeer = outgoing{};
      aPeer.mAddress = aCommand.mAddress;
    }
    aPeer.mLastSend = now;
    if (bytes.size() + kEnvelopeHeaderBytes > kMaxEnvelopeBytes ||
        aPeer.mQueueBytes + bytes.size() > mLimits.mMaxQueueBytes ||
        (aPeer.mId == 0 && now < aPeer.mRetryAt)) {
      ++mDropped;
      return;
    }
    aPeer.mQueueBytes += bytes.size();
    aPeer.mQueue.push_back({ std::move(bytes), now });
    if (aPeer.mId == 0) {
      Connect(aCommand.mVm, aPeer);
    } else if (aPeer.mOpen && !aPeer.mFlushPosted) {
      aPeer.mFlushPosted = true;
      mLoop.Post([this, vm = aCommand.mVm] { Flush(vm); });
    }
  });
  if (wasUp) {
    mHooks.mPost(peer_connection_changed{ aCommand.mVm, false });
  }
}

void peer_streams::Connect(const std::string& aVm, outgoing& aPeer)
{
  const std::uint64_t id = ++mNextId;
  tcp_hooks hooks;
  hooks.mOnOpen = [this, aVm, id] { Opened(aVm, id); };
  hooks.mOnBytes = [this, aVm, id](std::string_view aBytes) { ReceivedReply(aVm, id, aBytes); };
  hooks.mOnClosed = [this, aVm, id](const tcp_close_info&) { Disconnected(aVm, id); };
  aPeer.mId = id;
  aPeer.mSession = std::make_unique<http2_session>(http2_side::Client, kMaxEnvelopeBytes);
  aPeer.mConnection =
    redwingdock::Connect(mLoop, aPeer.mAddress, mLimits.mConnectTimeout, std::move(hooks));
}

void peer_streams::Opened(const std::string& aVm, std::uint64_t aId)
{
  mOutgoing.With(aVm, [&](outgoing& aPeer) {
    if (aPeer.mId == aId) {
      aPeer.mOpen = true;
      FlushLocked(aPeer);
    }
  });
  CheckConnection(aVm, aId);
}

void peer_streams::Flush(const std::string& aVm)
{
  mOutgoing.With(aVm, [&](outgoing& aPeer) {
    aPeer.mFlushPosted = false;
    if (aPeer.mOpen) {
      FlushLocked(aPeer);
    }
  });
}

void peer_streams::DropOldest(outgoing& aPeer, std::size_t aCount)
{
  mDropped += aCount;
  for (; aCount > 0; --aCount) {
    aPeer.mQueueBytes -= aPeer.mQueue.front().mBytes.size();
    aPeer.mQueue.pop_front();
  }
}

void peer_streams::FlushLocked(outgoing& aPeer)
{
  const instant oldest = SteadyNow() - mLimits.mMaxQueueTime;
  const auto fresh =
    std::find_if(aPeer.mQueue.begin(), aPeer.mQueue.end(), [&](const queued_message& aItem) {
      return aItem.mQueuedAt >= oldest;
    });
  DropOldest(aPeer, static_cast<std::size_t>(fresh - aPeer.mQueue.begin()));
  while (!aPeer.mQueue.empty() && aPeer.mOpenStreams < mLimits.mMaxStreams &&
         aPeer.mConnection->UnsentBytes() < mLimits.mMaxUnsentBytes) {
    std::vector<std::string> batch;
    std::size_t size = kEnvelopeHeaderBytes;
    while (!aPeer.mQueue.empty()) {
      const std::size_t next = aPeer.mQueue.front().mBytes.size() + kMaxMessageOverheadBytes;
      if (!batch.empty() && size + next > kMaxEnvelopeBytes) {
        break;
      }
      size += next;
      aPeer.mQueueBytes -= aPeer.mQueue.front().mBytes.size();
      batch.push_back(std::move(aPeer.mQueue.front().mBytes));
      aPeer.mQueue.pop_front();
    }
    if (!aPeer.mSession->Post(
          kMessagesPath, aPeer.mAddress, AssembleEnvelope(mSelf.mVm, mSelf.mIncarnation, batch))) {
      mDropped += batch.size();
      aPeer.mConnection->Close("HTTP/2 session accepts no more streams");
      return;
    }
    ++aPeer.mOpenStreams;
    aPeer.mConnection->Send(aPeer.mSession->TakeOutput());
  }
  aPeer.mConnection->Send(aPeer.mSession->TakeOutput());
}

void peer_streams::ReceivedReply(const std::string& aVm, std::uint64_t aId, std::string_view aBytes)
{
  bool connected = false;
  mOutgoing.With(aVm, [&](outgoing& aPeer) {
    if (aPeer.mId != aId) {
      return;
    }
    const result<http2_events> events = aPeer.mSession->Receive(aBytes);
    if (!events) {
      aPeer.mConnection->Close(events.mReason.mText);
      return;
    }
    // Reported again with each ping reply, since the core ignores the fact until it knows the VM.
    connected = !aPeer.mReportedUp || events->mPingAcked;
    aPeer.mReportedUp = true;
    aPeer.mAnswered = true;
    aPeer.mBackoff = micros(0);
    aPeer.mOpenStreams -= std::min(aPeer.mOpenStreams, events->mStatuses.size());
    if (events->mPingAcked) {
      aPeer.mPingOutstanding = false;
    }
    aPeer.mConnection->ExpireAfter(aPeer.mPingOutstanding ? mLimits.mPingTimeout
                                                          : tcp_connection::kNoLimit);
    FlushLocked(aPeer);
  });
  if (connected) {
    mHooks.mPost(peer_connection_changed{ aVm, true });
  }
}

void peer_streams::CheckConnection(const std::string& aVm, std::uint64_t aId)
{
  bool reschedule = false;
  mOutgoing.With(aVm, [&](outgoing& aPeer) {
    if (aPeer.mId != aId) {
      return;
    }
    if (SteadyNow() - aPeer.mLastSend > mLimits.mIdleTimeout) {
      aPeer.mClosedIdle = true;
      aPeer.mConnection->Close("idle: no messages to send");
      return;
    }
    reschedule = true;
    if (!aPeer.mPingOutstanding) {
      aPeer.mPingOutstanding = true;
      aPeer.mConnection->ExpireAfter(mLimits.mPingTimeout);
      aPeer.mSession->Ping();
    }
    FlushLocked(aPeer);
  });
  if (reschedule) {
    mLoop.After(mLimits.mPingInterval, [this, aVm, aId] { CheckConnection(aVm, aId); });
  }
}

void peer_streams::Disconnected(const std::string& aVm, std::uint64_t aId)
{
  bool down = false;
  mOutgoing.With(aVm, [&](outgoing& aPeer) {
    if (aPeer.mId != aId) {
      return;
    }
    // Backoff applies only if the peer never answered on this connection; otherwise the next
    // message reconnects at once.
    if (!aPeer.mAnswered) {
      aPeer.mBackoff =
        std::min(std::max(aPeer.mBackoff * 2, mLimits.mInitialBackoff), mLimits.mMaxBackoff);
      aPeer.mRetryAt = SteadyNow() + aPeer.mBackoff;
    }
    // A connection that this side closed as idle does not mean that the peer is down.
    down = aPeer.mReportedUp && !aPeer.mClosedIdle;
    DropOldest(aPeer, aPeer.mQueue.size());
    outgoing next;
    next.mAddress = std::move(aPeer.mAddress);
    next.mLastSend = aPeer.mLastSend;
    next.mRetryAt = aPeer.mRetryAt;
    next.mBackoff = aPeer.mBackoff;
    next.mReportedUp = aPeer.mReportedUp && !down;
    next.mFlushPosted = aPeer.mFlushPosted;
    aPeer = std::move(next);
  });
  mOutgoing.EraseIf(aVm, [this](const outgoing& aPeer) {
    return aPeer.mId == 0 && !aPeer.mReportedUp &&
           SteadyNow() - aPeer.mLastSend > mLimits.mIdleTimeout;
  });
  if (down) {
    mHooks.mPost(peer_connection_changed{ aVm, false });
  }
}

void peer_streams::Accepted(const std::shared_ptr<tcp_connection>& aConnection)
{
  if (mIncoming.Size() >= mLimits.mMaxIncomingConnections) {
    aConnection->Close("too many connections");
    return;
  }
  const std::uint64_t id = ++mNextId;
  auto session = std::make_unique<http2_session>(http2_side::Server, kMaxEnvelopeBytes);
  aConnection->Send(session->TakeOutput());
  aConnection->ExpireAfter(kIncomingIdleTimeout);
  mIncoming.Insert(id, { aConnection, std::move(session) });
  tcp_hooks hooks;
  hooks.mOnBytes = [this, id](std::string_view aBytes) { Received(id, aBytes); };
  hooks.mOnClosed = [this, id](const tcp_close_info&) { mIncoming.Take(id); };
  aConnection->Start(std::move(hooks));
}

void peer_streams::Received(std::uint64_t aId, std::string_view aBytes)
{
  result<http2_events> events;
  mIncoming.With(aId, [&](incoming& aPeer) {
    events = aPeer.mSession->Receive(aBytes);
    if (!events) {
      aPeer.mConnection->Close(events.mReason.mText);
      return;
    }
    aPeer.mConnection->ExpireAfter(kIncomingIdleTimeout);
    aPeer.mConnection->Send(aPeer.mSession->TakeOutput());
  });
  if (!events) {
    LogRefusal(events.mReason);
    return;
  }
  if (events->mRequests.empty()) {
    return;
  }
  std::vector<unsigned> statuses;
  for (const http2_request& request : events->mRequests) {
    statuses.push_back(HandleRequest(request));
  }
  mIncoming.With(aId, [&](incoming& aPeer) {
    for (std::size_t i = 0; i < statuses.size(); ++i) {
      aPeer.mSession->Reply(events->mRequests[i].mStream, statuses[i]);
    }
    aPeer.mConnection->Send(aPeer.mSession->TakeOutput());
  });
}

unsigned peer_streams::HandleRequest(const http2_request& aRequest)
{
  if (aRequest.mPath != kMessagesPath) {
    return 404;
  }
  if (aRequest.mMethod != "POST") {
    return 405;
  }
  if (aRequest.mTooLarge) {
    LogRefusal(
      { "read envelope", "", "body is over " + std::to_string(kMaxEnvelopeBytes) + " bytes" });
    return 400;
  }
  result<peer_envelope> envelope = DecodeEnvelope(aRequest.mBody);
  if (!envelope) {
    LogRefusal(envelope.mReason);
    return 400;
  }
  for (peer_message& message : envelope.mValue->mMessages) {
    mHooks.mPost(
      peer_message_received{ envelope->mVm, envelope->mIncarnation, std::move(message) });
  }
  return 204;
}

void peer_streams::LogRefusal(const reason& aReason)
{
  ++mRefused;
  const std::int64_t now = SteadyNow().time_since_epoch().count();
  std::int64_t last = mLastRefusalLog.load();
  if (now - last >= kRefusalLogInterval.count() &&
      mLastRefusalLog.compare_exchange_strong(last, now)) {
    mHooks.mLog("refused input: " + Describe(aReason));
  }
}

} // namespace redwingdock
