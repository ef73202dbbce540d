#ifndef REDWINGDOCK_CLIENT_HTTP_CLIENT_H
#define REDWINGDOCK_CLIENT_HTTP_CLIENT_H

#include "base/reason.h"
#include "base/time.h"

#include <functional>
#include <memory>
#include <string>

// HTTP/1.1 client with timeouts and persistent connections. The header doesn't include Boost.Beast.
//
//   http_client http(1);
//   http_reply reply = http.SendAndWait({ .mAddress = "127.0.0.1:7001", .mTarget = "/v1/view" });
//   http.Send(call, [](const http_reply& aReply) { ... }); // on a thread of the client

namespace redwingdock {

// Time of the steady clock.
instant Now();

enum class http_failure
{
  None,
  NotConnected,   // the request was not sent
  ConnectionLost, // the connection ended before the reply was complete
  TimedOut,       // no complete reply before the timeout
  Truncated,      // the body ended early, or the reply states no length
};

struct http_call
{
  std::string mAddress; // "ip:port"
  std::string mMethod = "GET";
  std::string mTarget = "/";
  std::string mBody;
  micros mTimeout = std::chrono::seconds(1);
  bool mNewConnection = false;

  auto operator<=>(const http_call&) const = default;
};

struct http_reply
{
  http_failure mFailure = http_failure::None;
  int mStatus = 0;
  std::string mBody;
  reason mReason;

  bool Ok() const { return mFailure == http_failure::None && mStatus == 200; }
  auto operator<=>(const http_reply&) const = default;
};

class http_client
{
public:
  using on_reply = std::function<void(const http_reply&)>;
  using cancel = std::function<void()>;

  explicit http_client(int aThreads);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  // Joins the threads; drops open calls without calling back.
  void Stop();

  // Sends a request and calls back once on a thread of the client. The returned function closes the
  // connection of an open call, which then ends as ConnectionLost.
  cancel Send(http_call aCall, on_reply aOnReply);

  // Blocks until the reply or the timeout; must not be used in callbacks.
  http_reply SendAndWait(http_call aCall);

  // Runs the function once, after the delay, on a thread of the client.
  void RunAfter(micros aDelay, std::function<void()> aRun);

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace redwingdock

#endif
