#ifndef REDWINGDOCK_DAEMON_HTTP_POOL_H
#define REDWINGDOCK_DAEMON_HTTP_POOL_H

#include "base/sharded_map.h"
#include "daemon/http_text.h"
#include "daemon/tcp.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
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
  using done_hook = std::function<void(const pool_result&)>;

  explicit http_pool(io_loop& aLoop);
  http_pool(const http_pool&) = delete;
  http_pool& operator=(const http_pool&) = delete;

  // Calls the hook once, unless the request is cancelled.
  void Start(pool_request aRequest, done_hook aDone);

  // Cancels a request by closing its connection; its hook is not called. With aCloseIdle, also
  // closes the idle connections to the same address.
  void Cancel(std::uint64_t aId, bool aCloseIdle);

  std::size_t Connections() const { return mConnections.Size(); }
  std::uint64_t Opened() const { return mNextConnection; }

private:
  struct exchange
  {
    pool_request mRequest;
    done_hook mDone;
  };

  struct connection
  {
    std::string mAddress;
    std::shared_ptr<tcp_connection> mTcp;
    http_reader mReader;
    std::unique_ptr<exchange> mExchange; // null while idle
    bool mRequestSent = false;           // the request was passed to an established connection
    bool mUnexpectedBytes = false;       // other bytes than the expected reply arrived; no reuse
    bool mAnsweredBefore = false;        // an earlier request was answered
    bool mCounted = true;                // included in peer::mCount
  };

  struct idle_connection
  {
    std::uint64_t mId = 0;
    instant mLastUsed{};
  };

  // Connections to one address.
  struct peer
  {
    std::vector<idle_connection> mIdle; // most recently used last
    std::uint32_t mCount = 0;
  };

  // Removes and returns an idle connection whose last reply came at aUsedSince or later; 0 when
  // there is none.
  std::uint64_t TakeIdle(const std::string& aAddress, instant aUsedSince = {});
  // Closes the least recently used idle connection.
  void CloseLeastRecentlyUsed(const std::string& aAddress);
  // Counts a new connection to the address; false when aLimit connections exist.
  bool Reserve(const std::string& aAddress, std::uint32_t aLimit);
  void Release(const std::string& aAddress, std::uint64_t aConnection);
  // Sends the request on an idle connection. Returns false when that was closed meanwhile;
  // aExchange then stays with the caller.
  bool SendOn(std::uint64_t aConnection, std::unique_ptr<exchange>& aExchange);
  void Open(std::unique_ptr<exchange> aExchange);
  void Opened(std::uint64_t aConnection);
  void Received(std::uint64_t aConnection, std::string_view aBytes);
  void Finish(std::uint64_t aConnection, http_message aReply, std::unique_ptr<exchange> aExchange);
  void Closed(std::uint64_t aConnection, const tcp_close_info& aInfo);

  io_loop& mLoop;
  std::atomic<std::uint64_t> mNextConnection{ 0 };
  sharded_map<std::uint64_t, connection> mConnections;
  sharded_map<std::uint64_t, std::uint64_t> mConnectionByRequest; // connection ID by request ID
  sharded_map<std::string, peer> mPeers;                          // by address
};

} // namespace redwingdock

#endif
