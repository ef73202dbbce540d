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

// HTTP/1.1 requests on connections that are kept open, one request at a time on each.
//
//   http_pool pool(loop);
//   pool.Start({ .mId = 7, .mAddress = "127.0.0.1:9001", .mText = FormatRequest(request) },
//              [](const pool_result& aResult) { ... });
//   pool.Cancel(7, false);

namespace redwingdock {

struct pool_request
{
  std::uint64_t mId = 0; // unique among the requests that are open
  std::string mAddress;  // "ip:port"
  std::string mText;
  std::uint32_t mConnections = 8; // to the address at most
  // Only a connection that has answered within this time is used again; any when zero.
  micros mFreshness{ 0 };
  micros mConnectTime = std::chrono::seconds(1);
  micros mReplyTime = std::chrono::seconds(30);             // from the send on
  std::size_t mReplyLimit = std::size_t{ 4 } * 1024 * 1024; // bytes of the body
  // Whether a reply belongs to this request; others are passed over. Every reply when not set.
  std::function<bool(const http_message&)> mOwns;
};

enum class pool_end
{
  Answered,
  NotSent, // no connection; nothing of the request was written
  Broken,  // the connection ended without a whole reply
  Expired, // no whole reply within mReplyTime
};

struct pool_result
{
  pool_end mEnd = pool_end::NotSent;
  bool mNewConnection = false; // nothing had been answered on the connection before
  http_message mReply;
  reason mReason;
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

  // Closes the connection of a request; its hook is not called. With aDropIdle, the idle
  // connections to the same address are closed too.
  void Cancel(std::uint64_t aId, bool aDropIdle);

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
    bool mWritten = false;               // the request was given to an open connection
    bool mLeftover = false;              // bytes of another reply were seen
    bool mAnswered = false;              // a request before the present one was
    bool mCounted = true;                // among the connections to the address
  };

  struct idle_connection
  {
    std::uint64_t mId = 0;
    instant mSince{};
  };

  // Connections to one address.
  struct peer
  {
    std::vector<idle_connection> mIdle; // last used at the end
    std::uint32_t mCount = 0;
  };

  // An idle connection that was last used at aSince or later; 0 when there is none.
  std::uint64_t TakeIdle(const std::string& aAddress, instant aSince = {});
  // Closes the idle connection that was not used for the longest time.
  void DropOldest(const std::string& aAddress);
  bool Reserve(const std::string& aAddress, std::uint32_t aMost);
  void Release(const std::string& aAddress, std::uint64_t aConnection);
  bool SendOn(std::uint64_t aConnection, std::unique_ptr<exchange>& aExchange);
  void Open(std::unique_ptr<exchange> aExchange);
  void Opened(std::uint64_t aConnection);
  void Received(std::uint64_t aConnection, std::string_view aBytes);
  void Finish(std::uint64_t aConnection, http_message aReply, std::unique_ptr<exchange> aExchange);
  void Closed(std::uint64_t aConnection, const tcp_end& aEnd);

  io_loop& mLoop;
  std::atomic<std::uint64_t> mNextConnection{ 0 };
  sharded_map<std::uint64_t, connection> mConnections;
  sharded_map<std::uint64_t, std::uint64_t> mOpen; // connection by request
  sharded_map<std::string, peer> mPeers;           // by address
};

} // namespace redwingdock

#endif
