#include "daemon/peer_streams.h"

#include "codec/peer_codec.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

namespace redwingdock {

namespace {

constexpr char kPath[] = "/v1/messages";
// Bytes of an envelope that are reserved for the sender's name and incarnation.
constexpr std::size_t kHeadBytes = 1024;
// An incoming connection is closed after this long without bytes; a live peer pings every second.
constexpr micros kIncomingIdle = std::chrono::seconds(10);
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
      Drop(aPeer, aPeer.mQueue.size());
      aPeer = outgoing{};
      aPeer.mAddress = aCommand.mAddress;
    }
    aPeer.mLastSend = now;
    if (bytes.size() + kHeadBytes > kEnvelopeLimit ||
        aPeer.mQueueBytes + bytes.size() > mLimits.mQueueBytes ||
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
  hooks.mOnBytes = [this, aVm, id](std::string_view aBytes) { Answered(aVm, id, aBytes); };
  hooks.mOnClosed = [this, aVm, id](const tcp_end&) { Disconnected(aVm, id); };
  aPeer.mId = id;
  aPeer.mSession = std::make_unique<http2_session>(http2_side::Client, kEnvelopeLimit);
  aPeer.mConnection =
    redwingdock::Connect(mLoop, aPeer.mAddress, mLimits.mConnectTime, std::move(hooks));
}

void peer_streams::Opened(const std::string& aVm, std::uint64_t aId)
{
  mOutgoing.With(aVm, [&](outgoing& aPeer) {
    if (aPeer.mId == aId) {
      aPeer.mOpen = true;
      FlushLocked(aPeer);
    }
  });
  Tick(aVm, aId);
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

void peer_streams::Drop(outgoing& aPeer, std::size_t aCount)
{
  mDropped += aCount;
  for (; aCount > 0; --aCount) {
    aPeer.mQueueBytes -= aPeer.mQueue.front().mBytes.size();
    aPeer.mQueue.pop_front();
  }
}

void peer_streams::FlushLocked(outgoing& aPeer)
{
  const instant oldest = SteadyNow() - mLimits.mStaleAfter;
  const auto fresh = std::find_if(aPeer.mQueue.begin(),
                                  aPeer.mQueue.end(),
                                  [&](const queued& aItem) { return aItem.mSince >= oldest; });
  Drop(aPeer, static_cast<std::size_t>(fresh - aPeer.mQueue.begin()));
  while (!aPeer.mQueue.empty() && aPeer.mStreams < mLimits.mStreams &&
         aPeer.mConnection->UnsentBytes() < mLimits.mUnsentBytes) {
    std::vector<std::string> batch;
    std::size_t size = kHeadBytes;
    while (!aPeer.mQueue.empty()) {
      const std::size_t next = aPeer.mQueue.front().mBytes.size() + kMessageOverhead;
      if (!batch.empty() && size + next > kEnvelopeLimit) {
        break;
      }
      size += next;
      aPeer.mQueueBytes -= aPeer.mQueue.front().mBytes.size();
      batch.push_back(std::move(aPeer.mQueue.front().mBytes));
      aPeer.mQueue.pop_front();
    }
    if (!aPeer.mSession->Post(
          kPath, aPeer.mAddress, JoinMessages(mSelf.mVm, mSelf.mIncarnation, batch))) {
      mDropped += batch.size();
      aPeer.mConnection->Close("HTTP/2 session accepts no more streams");
      return;
    }
    ++aPeer.mStreams;
    aPeer.mConnection->Send(aPeer.mSession->TakeOutput());
  }
  aPeer.mConnection->Send(aPeer.mSession->TakeOutput());
}

void peer_streams::Answered(const std::string& aVm, std::uint64_t aId, std::string_view aBytes)
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
    connected = !aPeer.mReportedUp || events->mPong;
    aPeer.mReportedUp = true;
    aPeer.mAnswered = true;
    aPeer.mBackoff = micros(0);
    aPeer.mStreams -= std::min(aPeer.mStreams, events->mStatuses.size());
    if (events->mPong) {
      aPeer.mPingOutstanding = false;
    }
    aPeer.mConnection->ExpireAfter(aPeer.mPingOutstanding ? mLimits.mSilence
                                                          : tcp_connection::kNoLimit);
    FlushLocked(aPeer);
  });
  if (connected) {
    mHooks.mPost(peer_connection_changed{ aVm, true });
  }
}

void peer_streams::Tick(const std::string& aVm, std::uint64_t aId)
{
  bool goOn = false;
  mOutgoing.With(aVm, [&](outgoing& aPeer) {
    if (aPeer.mId != aId) {
      return;
    }
    if (SteadyNow() - aPeer.mLastSend > mLimits.mIdleTime) {
      aPeer.mEndedIdle = true;
      aPeer.mConnection->Close("idle: no messages to send");
      return;
    }
    goOn = true;
    if (!aPeer.mPingOutstanding) {
      aPeer.mPingOutstanding = true;
      aPeer.mConnection->ExpireAfter(mLimits.mSilence);
      aPeer.mSession->Ping();
    }
    FlushLocked(aPeer);
  });
  if (goOn) {
    mLoop.After(mLimits.mPingInterval, [this, aVm, aId] { Tick(aVm, aId); });
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
        std::min(std::max(aPeer.mBackoff * 2, mLimits.mFirstBackoff), mLimits.mLongestBackoff);
      aPeer.mRetryAt = SteadyNow() + aPeer.mBackoff;
    }
    // A connection that this side closed as idle does not mean that the peer is down.
    down = aPeer.mReportedUp && !aPeer.mEndedIdle;
    Drop(aPeer, aPeer.mQueue.size());
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
           SteadyNow() - aPeer.mLastSend > mLimits.mIdleTime;
  });
  if (down) {
    mHooks.mPost(peer_connection_changed{ aVm, false });
  }
}

void peer_streams::Accepted(const std::shared_ptr<tcp_connection>& aConnection)
{
  if (mIncoming.Size() >= mLimits.mIncoming) {
    aConnection->Close("too many connections");
    return;
  }
  const std::uint64_t id = ++mNextId;
  auto session = std::make_unique<http2_session>(http2_side::Server, kEnvelopeLimit);
  aConnection->Send(session->TakeOutput());
  aConnection->ExpireAfter(kIncomingIdle);
  mIncoming.Insert(id, { aConnection, std::move(session) });
  tcp_hooks hooks;
  hooks.mOnBytes = [this, id](std::string_view aBytes) { Received(id, aBytes); };
  hooks.mOnClosed = [this, id](const tcp_end&) { mIncoming.Take(id); };
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
    aPeer.mConnection->ExpireAfter(kIncomingIdle);
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
    statuses.push_back(Handle(request));
  }
  mIncoming.With(aId, [&](incoming& aPeer) {
    for (std::size_t i = 0; i < statuses.size(); ++i) {
      aPeer.mSession->Reply(events->mRequests[i].mStream, statuses[i]);
    }
    aPeer.mConnection->Send(aPeer.mSession->TakeOutput());
  });
}

unsigned peer_streams::Handle(const http2_request& aRequest)
{
  if (aRequest.mPath != kPath) {
    return 404;
  }
  if (aRequest.mMethod != "POST") {
    return 405;
  }
  if (aRequest.mTooLarge) {
    LogRefusal(
      { "read envelope", "", "body is over " + std::to_string(kEnvelopeLimit) + " bytes" });
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
