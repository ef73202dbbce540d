#ifndef REDWINGDOCK_DAEMON_PEER_STREAMS_H
#define REDWINGDOCK_DAEMON_PEER_STREAMS_H

#include "base/sharded_map.h"
#include "core/core.h"
#include "daemon/http2_session.h"
#include "daemon/tcp.h"

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <string>

// Exchanges messages with the other daemons over HTTP/2 (docs/interfaces.md, section 4), on one
// connection per peer and direction.
//
//   peer_streams peers(loop, { "vm-1", "5f2c" }, { .mPost = [&](fact aFact) { ... } });
//   peers.ListenOn("127.0.0.1:7101");
//   peers.Send({ "vm-2", "127.0.0.1:7102", probe_message{} });

namespace redwingdock {

struct peer_identity
{
  std::string mVm;
  std::string mIncarnation;
};

struct peer_hooks
{
  std::function<void(fact)> mPost;
  std::function<void(std::string)> mLog;
};

struct peer_limits
{
  micros mConnectTimeout = std::chrono::seconds(1);
  micros mPingInterval = std::chrono::seconds(1);
  // A connection is closed when no bytes arrive for this long while a ping is outstanding.
  micros mPingTimeout = std::chrono::seconds(3);
  micros mIdleTimeout = std::chrono::seconds(10); // closes a connection without messages to send
  // Older queued messages are dropped: the remaining times that they carry are no longer correct.
  micros mMaxQueueTime = std::chrono::milliseconds(500);
  micros mInitialBackoff = std::chrono::milliseconds(50);
  micros mMaxBackoff = std::chrono::seconds(1);
  std::size_t mMaxQueueBytes = std::size_t{ 8 } * 1024 * 1024; // per peer
  std::size_t mMaxUnsentBytes =
    std::size_t{ 4 } * 1024 * 1024; // per connection; above it, messages stay queued
  std::size_t mMaxStreams = 16;     // unanswered envelopes per peer
  std::size_t mMaxIncomingConnections = 4096;
};

class peer_streams
{
public:
  peer_streams(io_loop& aLoop, peer_identity aSelf, peer_hooks aHooks, peer_limits aLimits = {});
  peer_streams(const peer_streams&) = delete;
  peer_streams& operator=(const peer_streams&) = delete;

  // Accepts connections on "ip:port"; returns the bound address.
  result<std::string> ListenOn(const std::string& aAddress);

  // Queues a message and connects if there is no connection. The messages that are queued for a
  // peer before the loop flushes its queue share envelopes. A message is dropped when it is too
  // large for an envelope, during the backoff after a failed connection, when the queue is full,
  // when the connection is lost, when the address of the peer changes, and when it was queued for
  // longer than mMaxQueueTime.
  void Send(const send_to_peer& aCommand);

  std::uint64_t DroppedMessages() const { return mDropped; }
  std::uint64_t RefusedEnvelopes() const { return mRefused; }

private:
  struct queued_message
  {
    std::string mBytes; // encoded message
    instant mQueuedAt{};
  };

  struct outgoing
  {
    std::string mAddress;
    std::uint64_t mId = 0; // connection ID, 0 when there is none
    std::shared_ptr<tcp_connection> mConnection;
    std::unique_ptr<http2_session> mSession;
    std::deque<queued_message> mQueue;
    std::size_t mQueueBytes = 0;
    std::size_t mOpenStreams = 0;
    bool mFlushPosted = false;
    bool mOpen = false;
    bool mAnswered = false;   // the peer has sent bytes on this connection
    bool mReportedUp = false; // the last peer_connection fact said connected
    bool mClosedIdle = false; // closed by this side, as there were no messages
    bool mPingOutstanding = false;
    instant mLastSend{};
    instant mRetryAt{};
    micros mBackoff{ 0 };
  };

  struct incoming
  {
    std::shared_ptr<tcp_connection> mConnection;
    std::unique_ptr<http2_session> mSession;
  };

  void Connect(const std::string& aVm, outgoing& aPeer);
  void Opened(const std::string& aVm, std::uint64_t aId);
  void Flush(const std::string& aVm);
  void FlushLocked(outgoing& aPeer);
  void DropOldest(outgoing& aPeer, std::size_t aCount);
  void ReceivedReply(const std::string& aVm, std::uint64_t aId, std::string_view aBytes);
  void CheckConnection(const std::string& aVm, std::uint64_t aId);
  void Disconnected(const std::string& aVm, std::uint64_t aId);

  void Accepted(const std::shared_ptr<tcp_connection>& aConnection);
  void Received(std::uint64_t aId, std::string_view aBytes);
  unsigned HandleRequest(const http2_request& aRequest);
  void LogRefusal(const reason& aReason);

  io_loop& mLoop;
  const peer_identity mSelf;
  const peer_hooks mHooks;
  const peer_limits mLimits;
  std::atomic<std::uint64_t> mNextId{ 0 };
  std::atomic<std::uint64_t> mDropped{ 0 };
  std::atomic<std::uint64_t> mRefused{ 0 };
  std::atomic<std::int64_t> mLastRefusalLog{ 0 };
  sharded_map<std::string, outgoing> mOutgoing; // by VM
  sharded_map<std::uint64_t, incoming> mIncoming;
  std::shared_ptr<tcp_listener> mListener;
};

} // namespace redwingdock

#endif
