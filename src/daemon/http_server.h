#ifndef REDWINGDOCK_DAEMON_HTTP_SERVER_H
#define REDWINGDOCK_DAEMON_HTTP_SERVER_H

#include "base/sharded_map.h"
#include "daemon/client_memory.h"
#include "daemon/http_text.h"
#include "daemon/reply_delivery.h"
#include "daemon/tcp.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

// Asynchronous HTTP/1.1 server: each request has an ID, and any thread may reply to it later.
//
//   http_server server(
//     loop, requestIds, { .mOnRequest = [&](std::uint64_t aId, const http_message& aRequest) {
//       server.Reply(aId, { 200, "application/json", "{}" });
//     } });
//   result<std::string> address = server.ListenOn("127.0.0.1:7001");

namespace redwingdock {

struct http_server_hooks
{
  std::function<void(std::uint64_t, const http_message&)> mOnRequest;
  // The connection of an unanswered request was closed.
  std::function<void(std::uint64_t)> mOnDisconnected;
  // A request was not answered within http_limits::mReplyTimeout; Reply() still works.
  std::function<void(std::uint64_t)> mOnTimeout;
  // Names a request in UnfinishedConnections().
  std::function<std::string(const http_message&)> mNameOf = nullptr;
  // Status 502 was sent instead of a reply that HTTP/1.1 does not allow: the name of its request,
  // and the ReplyError.
  std::function<void(const std::string&, const std::string&)> mOnInvalidReply = nullptr;
  // Connections were closed to make room for others: their number.
  std::function<void(std::size_t)> mOnRoomMade = nullptr;
};

// What is unfinished on a connection.
struct unfinished_connection
{
  bool mUnanswered = false;
  std::string mRequest;            // the name of the unanswered request
  bool mPartlyRead = false;        // the beginning of a request has arrived
  std::size_t mPipelinedBytes = 0; // that arrived behind the unanswered request
  std::vector<unsent_reply> mUnsentReplies;

  auto operator<=>(const unfinished_connection&) const = default;
};

struct http_limits
{
  http_read_limits mRead{ std::size_t{ 64 } * 1024 };
  // Above it, connections without an open request are closed for new ones.
  std::size_t mConnections = 4096;
  micros mHeaderTimeout = std::chrono::seconds(10);  // from the first byte to the end of the header
  micros mRequestTimeout = std::chrono::seconds(10); // from the first byte to the last byte
  micros mIdleTimeout = std::chrono::seconds(120);   // without a request
  // Above the longest query deadline (5 s), within which the core answers late queries
  // itself.
  micros mReplyTimeout = std::chrono::seconds(7);
  // From when a reply is handed over until the kernel has taken its last byte, however the client
  // reads. Twice the longest time that a daemon waits for an answer (a minute), so that a client
  // with a deadline does not meet it.
  micros mDeliveryTimeout = std::chrono::minutes(2);
};

// Counter for request IDs, shared by all servers of a process.
using request_id_source = std::atomic<std::uint64_t>;

class http_server
{
public:
  http_server(io_loop& aLoop,
              request_id_source& aRequestIds,
              http_server_hooks aHooks,
              http_limits aLimits = {},
              client_memory* aMemory = nullptr);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // Accepts connections on "ip:port"; returns the bound address.
  result<std::string> ListenOn(const std::string& aAddress);

  // Replies to a request. Does nothing when its connection was closed or it was already answered.
  void Reply(std::uint64_t aRequestId, const http_response& aReply);

  // Closes the connection of an unanswered request without a reply.
  void Disconnect(std::uint64_t aRequestId);

  // Round-trip time of the connection of an unanswered request; 0 when not known.
  micros RoundTrip(std::uint64_t aRequestId);

  // How long a reply to an unanswered request is likely to wait, when it is handed over, until the
  // kernel has taken it; 0 when no reply on its connection has waited.
  micros DeliveryTime(std::uint64_t aRequestId);

  // Replaces the limits. A message whose first byte was read keeps the previous ones.
  void SetLimits(const http_limits& aLimits);

  // Makes each connection close after its next reply, which says "Connection: close", unless a
  // further request of the connection has arrived by then.
  void AnnounceClose() { mClosing = true; }
  // Stops accepting connections and closes the idle ones that have had a request, unless a further
  // request has arrived. With aUnused, also those whose first request may be on the way. Calls
  // AnnounceClose as well.
  void CloseIdle(bool aUnused);
  // Closes all connections that have no request, after their replies have been sent.
  void CloseAll();
  // Replies to the requests that were read in part, and closes their connections. Returns their
  // number.
  std::size_t RefusePartlyRead(const http_response& aReply);

  // Unanswered requests, and bytes of replies that the kernel has not accepted yet.
  std::size_t PendingRequests() const { return mSessionByRequest.Size(); }
  std::size_t UnsentBytes() const;
  // Unsent bytes and those that the clients have not received.
  std::size_t UndeliveredBytes() const;
  // Connections that are not closing: a request is open, read in part, or waits to be read.
  std::size_t ActiveConnections() const;
  std::size_t Connections() const { return mSessions.Size(); }
  // Connections that were closed to make room for others.
  std::uint64_t ClosedForRoom() const { return mClosedForRoom; }
  // The connections on which something is unfinished.
  std::vector<unfinished_connection> UnfinishedConnections() const;

private:
  struct session
  {
    std::shared_ptr<tcp_connection> mConnection;
    http_reader mReader;
    std::uint64_t mRequestId = 0; // the unanswered request, 0 when there is none
    bool mKeepAlive = true;
    bool mUsed = false;       // a request was read
    bool mClosing = false;    // closes after its last reply; what arrives from now on is ignored
    std::string mRequestName; // of the unanswered request
    reply_delivery mDelivery{};

    bool mFollowed = false; // FollowDelivery is due

    bool mIgnoresInput = false; // the open request is the last one
    instant mLastActive{};      // when bytes arrived or a reply was handed over
    instant mReadSince{};       // when the first unanswered byte arrived
    std::size_t mReadBytes = 0; // since then
    memory_charge mReading{};
    memory_charge mSending{};

    // Whether the next request has to wait: the one before it is open, or its reply is not sent.
    // A client that pipelines requests and reads no replies would otherwise fill the memory.
    bool IsBusy() const { return mRequestId != 0 || mConnection->UnsentBytes() > 0; }
    // No request has arrived, also none that waits to be read.
    bool IsIdle() const;
    bool IsPartlyRead() const { return mRequestId == 0 && !mClosing && mReader.Started(); }
    void SendReply(std::string aText);
    void CloseAfterSend(const char* aReason);
    // Gives up what was read of further requests. A request that is read in part is refused.
    void GiveUpReading(const http_read_limits& aLimits);
    // Counts the memory that the connection holds.
    void Count();
    connection_use Use() const;
  };

  void Accepted(const std::shared_ptr<tcp_connection>& aConnection);
  // Closes some of the connections that are missed least. Returns whether there were any.
  bool MakeRoom();
  void Received(std::uint64_t aSessionId, std::string_view aBytes);
  // The replies of the connection are sent, after some of their bytes had to wait.
  void Sent(std::uint64_t aSessionId);
  void Expired(std::uint64_t aSessionId);
  void Closed(std::uint64_t aSessionId);
  // Looks at unsent bytes from time to time until there are none.
  void FollowDelivery(std::uint64_t aSessionId);
  // A request and its ID.
  using begun_request = std::pair<std::uint64_t, http_message>;
  // Begins the next request if it has been read whole.
  std::optional<begun_request> BeginNext(std::uint64_t aSessionId, session& aSession);
  begun_request BeginRequest(std::uint64_t aSessionId, session& aSession);
  void RejectRequest(session& aSession);
  std::vector<client_holding> Holdings(memory_use aUse);
  void GiveUp(memory_use aUse, const client_holding& aHolding);

  io_loop& mLoop;
  request_id_source& mRequestIds;
  const http_server_hooks mHooks;
  client_memory* const mMemory; // null: memory is not counted
  http_limits Limits() const;

  mutable std::mutex mLimitsLock;
  http_limits mLimits;
  std::atomic<bool> mClosing{ false };
  std::atomic<std::uint64_t> mClosedForRoom{ 0 };
  std::atomic<std::uint64_t> mNextSessionId{ 0 };
  sharded_map<std::uint64_t, session> mSessions;
  sharded_map<std::uint64_t, std::uint64_t> mSessionByRequest; // session ID by request ID
  std::shared_ptr<tcp_listener> mListener;
};

} // namespace redwingdock

#endif
