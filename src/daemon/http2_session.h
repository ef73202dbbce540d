#ifndef REDWINGDOCK_DAEMON_HTTP2_SESSION_H
#define REDWINGDOCK_DAEMON_HTTP2_SESSION_H

#include "base/reason.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

// One endpoint of an HTTP/2 connection, without I/O. The implementation is nghttp2.
//
//   http2_session session(http2_side::Client, 4 * 1024 * 1024);
//   session.Post("/v1/messages", "127.0.0.1:7101", body);
//   connection.Send(session.TakeOutput());

namespace redwingdock {

enum class http2_side
{
  Client,
  Server,
};

struct http2_request
{
  std::int32_t mStream = 0;
  std::string mMethod;
  std::string mPath;
  std::string mBody;
  bool mTooLarge = false; // the body exceeded the limit; mBody is empty

  auto operator<=>(const http2_request&) const = default;
};

// Events in a batch of received bytes.
struct http2_events
{
  std::vector<http2_request> mRequests; // complete requests (server)
  std::vector<std::uint32_t> mStatuses; // status of each closed stream, 0 when reset (client)
  bool mPingAcked = false;              // a ping was acknowledged

  auto operator<=>(const http2_events&) const = default;
};

class http2_session
{
public:
  // aBodyLimit is the largest accepted request body, in bytes.
  http2_session(http2_side aSide, std::size_t aBodyLimit);
  ~http2_session();
  http2_session(http2_session&&) noexcept;
  http2_session& operator=(http2_session&&) noexcept;

  // Processes received bytes. Fails when they are not HTTP/2 or the peer ended the session; the
  // connection must then be closed.
  result<http2_events> Receive(std::string_view aBytes);

  // Returns the bytes to send; call after Receive, Post, Reply and Ping.
  std::string TakeOutput();

  // Opens a stream with a POST request; false when the session accepts no more streams.
  bool Post(const std::string& aPath, const std::string& aAuthority, std::string aBody);
  void Reply(std::int32_t aStream, unsigned aStatus);
  void Ping();

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace redwingdock

#endif
