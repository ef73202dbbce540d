#ifndef REDWINGDOCK_DAEMON_HTTP_EXCHANGE_H
#define REDWINGDOCK_DAEMON_HTTP_EXCHANGE_H

#include "base/sharded_map.h"
#include "daemon/http_text.h"
#include "daemon/tcp.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>

// HTTP client that opens one connection per request and closes it after the reply.
//
//   http_exchange_client client(loop);
//   client.Start({ .mAddress = "127.0.0.1:9001", .mMethod = "GET", .mTarget = "/v1/health" },
//                   [](const result<http_message>& aReply) { ... });

namespace redwingdock {

// One request with its limits.
struct http_exchange
{
  std::string mAddress; // "ip:port"
  std::string mMethod;
  std::string mTarget;
  std::string mBody;
  std::size_t mReplyLimit = std::size_t{ 64 } * 1024; // bytes of the body
  micros mConnectTimeout = std::chrono::seconds(1);
  micros mReplyTimeout = std::chrono::seconds(1); // from when the connection is established
};

class http_exchange_client
{
public:
  using done_hook = std::function<void(const result<http_message>&)>;

  explicit http_exchange_client(io_loop& aLoop);

  // Calls the hook once, with the reply or an error.
  void Start(const http_exchange& aExchange, done_hook aDone);

private:
  struct pending
  {
    std::shared_ptr<tcp_connection> mConnection;
    http_reader mReader;
    done_hook mDone;
    std::string mAddress;
  };

  void Received(std::uint64_t aId, std::string_view aBytes);
  void Closed(std::uint64_t aId, const tcp_close_info& aInfo);

  io_loop& mLoop;
  std::atomic<std::uint64_t> mNextId{ 0 };
  sharded_map<std::uint64_t, pending> mPending;
};

} // namespace redwingdock

#endif
