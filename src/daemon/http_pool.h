#ifndef REDWINGDOCK_DAEMON_HTTP_POOL_H
#define REDWINGDOCK_DAEMON_HTTP_POOL_H

#include "base/sharded_map.h"
#include "daemon/connection_places.h"
#include "daemon/http_text.h"
#include "daemon/memory_budget.h"
#include "daemon/tcp.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

// HTTP/1.1 client with a pool of persistent connections, each with one request at a time.
//
//   http_pool pool(loop);
//   pool.Start({ .mId = 7, .mAddress = "127.0.0.1:9001", .mText = FormatRequest(request) },
//              [](const pool_result& aResult) { ... });
//   pool.Cancel(7, false);

namespace redwingdock {

struct pool_request
{
  std::uint64_t mId = 0;          // unique among the open requests
  std::string mAddress;           // "ip:port"
  std::string mText;              // formatted request
  std::uint32_t mConnections = 8; // limit for this address
  // An idle connection is reused only if its last reply is at most this old; 0 means no limit.
  micros mMaxIdleAge{ 0 };
  micros mConnectTimeout = std::chrono::seconds(1);
  micros mReplyTimeout = std::chrono::seconds(30);          // from the send
  std::size_t mReplyLimit = std::size_t{ 4 } * 1024 * 1024; // bytes of the body
  // Whether a reply belongs to this request; other replies are skipped. When not set, every reply
  // does.
  std::function<bool(const http_message&)> mMatchesReply;
  // Equal for repeats of one request; 0 when there are none. A connection on which the server has
  // replied to one of them is not used for another: a second copy of that reply could not be told
  // from the reply to the repeat.
  std::uint64_t mRepeatKey = 0;
};

struct pool_limits
{
  // Bytes of incomplete replies over all connections. Above it, the connections with the largest
  // ones are closed.
  std::size_t mIncompleteBytes = std::size_t{ 32 } * 1024 * 1024;
  // Complete replies to other requests that are skipped while a request waits for its own.
  std::uint32_t mSkippedReplies = 3;

  auto operator<=>(const pool_limits&) const = default;
};

// How a request ended.
enum class pool_outcome
{
  Answered,
  NotSent, // no connection; nothing of the request was written
  Broken,  // the connection was closed before the reply was complete
  Expired, // no complete reply within mReplyTimeout
};

struct pool_result
{
  pool_outcome mOutcome = pool_outcome::NotSent;
  bool mNewConnection = false; // the connection had served no earlier request
  http_message mReply;         // when answered
  reason mReason;              // otherwise
};

class http_pool
{
public:
  using done_hook = std::function<void(pool_result)>;

  // aBudget counts incomplete replies; null: they are not counted.
  explicit http_pool(io_loop& aLoop,
                     pool_limits aLimits = {},
                     std::shared_ptr<memory_budget> aBudget = nullptr);
  http_pool(const http_pool&) = delete;
  http_pool& operator=(const http_pool&) = delete;

  // Calls the hook once, unless the request is cancelled.
  void Start(pool_request aRequest, done_hook aDone);

  // Cancels a request by closing its connection; its hook is not called. With aCloseIdle, also
  // closes the idle connections to the same address.
  void Cancel(std::uint64_t aId, bool aCloseIdle);

  std::size_t Connections() const { return mConnections.Size(); }
  // Connections that count against the limits of their addresses.
  std::size_t PlacesHeld() const;
  std::uint64_t Opened() const { return mNextConnection; }

private:
  struct exchange
  {
    pool_request mRequest;
    done_hook mDone;
  };

  // Keys of the latest requests that were answered on a connection.
  using repeat_keys = std::array<std::uint64_t, 4>;

  struct connection
  {
    std::string mAddress;
    std::shared_ptr<tcp_connection> mTcp;
    http_reader mReader;
    std::unique_ptr<exchange> mExchange; // null while idle
    bool mRequestSent = false;           // an established connection accepted the request
    bool mUnexpectedBytes = false;       // other bytes than the expected reply arrived; no reuse
    bool mAnsweredBefore = false;        // an earlier request was answered
    std::size_t mIncompleteBytes = 0;    // received since the last complete reply
    std::uint32_t mSkippedReplies = 0;   // since the request was sent
    repeat_keys mAnswered{};
    memory_charge mCharge{}; // of the incomplete bytes
    // Given up when the connection is closed, by whichever thread closes it first.
    connection_place mPlace{};
  };

  struct idle_connection
  {
    std::uint64_t mId = 0;
    instant mLastUsed{};
    repeat_keys mAnswered{};
  };

  // Connections to one address.
  struct peer
  {
    std::vector<idle_connection> mIdle; // most recently used last
    std::shared_ptr<connection_places> mPlaces = std::make_shared<connection_places>();
  };

  // Removes and returns the most recently used idle connection whose last reply came at aUsedSince
  // or later and that has not answered a request with the key; 0 when there is none.
  std::uint64_t TakeIdle(const std::string& aAddress,
                         instant aUsedSince = {},
                         std::uint64_t aRepeatKey = 0);
  // Closes the least recently used idle connection.
  void CloseLeastRecentlyUsed(const std::string& aAddress);
  // Takes a place for a new connection to the address, or none when aLimit connections exist.
  connection_place Reserve(const std::string& aAddress, std::uint32_t aLimit);
  void RemoveIdle(const std::string& aAddress, std::uint64_t aConnection);
  // Sends the request on an idle connection. Returns false when that was closed before, by either
  // side, or has received bytes; aExchange then stays with the caller, unless the request was
  // cancelled meanwhile.
  bool SendOn(std::uint64_t aConnection, std::unique_ptr<exchange>& aExchange);
  void Open(std::unique_ptr<exchange> aExchange);
  void Opened(std::uint64_t aConnection);
  void Received(std::uint64_t aConnection, std::string_view aBytes);
  void Finish(std::uint64_t aConnection, http_message aReply, std::unique_ptr<exchange> aExchange);
  void Closed(std::uint64_t aConnection, const tcp_close_info& aInfo);
  // Reads what the connection received for its request. Returns the reply once it is complete;
  // closes the connection when a limit of a single reply is exceeded.
  std::optional<http_message> ReadReply(connection& aState, std::string_view aBytes);
  // Closes connections until the incomplete replies are within their limit.
  void LimitIncompleteReplies();

  io_loop& mLoop;
  const pool_limits mLimits;
  const std::shared_ptr<memory_budget> mBudget;
  std::atomic<std::size_t> mIncompleteBytes{ 0 }; // over all connections
  std::atomic<std::uint64_t> mNextConnection{ 0 };
  sharded_map<std::uint64_t, connection> mConnections;
  sharded_map<std::uint64_t, std::uint64_t> mConnectionByRequest; // connection ID by request ID
  sharded_map<std::string, peer> mPeers;                          // by address
};

} // namespace redwingdock

#endif
