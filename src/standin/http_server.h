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

// A small HTTP/1.1 server on one port, driven by hooks. Connections have numbers that are unique
// over all servers of the process. All calls come from the thread that runs the io_context.
//
//   http_server server(io, "127.0.1.1:20001", { .mOpened = ..., .mRequest = ..., .mClosed = ... });
//   server.Listen();

namespace redwingdock::standin {

struct http_request
{
  std::string mMethod;
  std::string mTarget; // with the query
  std::string mBody;
};

struct http_reply
{
  unsigned mStatus = 200;
  std::string mContentType = "application/json";
  std::string mBody;
  std::map<std::string, std::string> mHeaders;
  bool mTruncated = false; // sends half of the body, then closes the connection
};

struct http_hooks
{
  // A connection was accepted; nothing is read before Serve.
  std::function<void(std::uint64_t)> mOnOpened;
  std::function<void(std::uint64_t, const http_request&)> mOnRequest;
  // The peer closed the connection, or sent something other than HTTP.
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

  // Opens the port. A reason when it cannot.
  result<bool> Listen();

  // Closes the port and resets all connections.
  void Close();

  // Starts to read requests after the delay. The next request is read after the reply to the
  // last one.
  void Serve(std::uint64_t aConnection, micros aDelay);
  void Reply(std::uint64_t aConnection, http_reply aReply);

  // Resets the connection; mClosed is not called.
  void Drop(std::uint64_t aConnection);

private:
  struct listener;
  std::shared_ptr<listener> mListener;
};

} // namespace redwingdock::standin

#endif
