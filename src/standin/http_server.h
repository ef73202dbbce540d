#ifndef REDWINGDOCK_STANDIN_HTTP_SERVER_H
#define REDWINGDOCK_STANDIN_HTTP_SERVER_H

#include "base/reason.h"
#include "base/time.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

// An HTTP/1.1 server on one port that reports requests through hooks. Connection numbers are unique
// across all servers of the process. All calls are made on the thread that runs the io_context.
//
//   http_server server(
//     io, "127.0.1.1:20001", { .mOnOpened = ..., .mOnRequest = ..., .mOnClosed = ... });
//   server.Listen();

namespace redwingdock::standin {

struct http_request
{
  std::string mMethod;
  std::string mTarget; // path and query
  std::string mBody;
};

struct http_reply
{
  unsigned mStatus = 200;
  std::string mContentType = "application/json";
  std::string mBody;
  std::map<std::string, std::string> mHeaders;
  bool mTruncated = false; // sends half of the body and closes the connection
};

struct http_hooks
{
  // A connection was accepted. Nothing is read from it until Serve is called.
  std::function<void(std::uint64_t)> mOnOpened;
  std::function<void(std::uint64_t, const http_request&)> mOnRequest;
  // The peer closed the connection or sent malformed HTTP.
  std::function<void(std::uint64_t)> mOnClosed;
};

namespace detail {
class http_connection;
}

class http_server
{
public:
  http_server(boost::asio::io_context& aIo, std::string aAddress, http_hooks aHooks);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // Opens the port. Fails when the address is invalid or cannot be bound.
  result<bool> Listen();

  // Closes the port and resets all connections.
  void Close();

  // Starts to read requests after the delay. Each request is read only after the reply to the
  // previous one.
  void Serve(std::uint64_t aConnection, micros aDelay);
  void Reply(std::uint64_t aConnection, http_reply aReply);

  // Resets the connection. mOnClosed is not called.
  void Drop(std::uint64_t aConnection);

private:
  struct listener;
  std::shared_ptr<listener> mListener;
};

} // namespace redwingdock::standin

#endif
