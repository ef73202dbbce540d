#ifndef REDWINGDOCK_DAEMON_HTTP_SERVER_H
#define REDWINGDOCK_DAEMON_HTTP_SERVER_H

#include "base/sharded_map.h"
#include "daemon/http_text.h"
#include "daemon/tcp.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

// HTTP/1.1 server whose requests are answered later, by number, from any thread.
//
//   http_server server(loop, numbers, { .mOnRequest = [&](std::uint64_t aNumber, const auto&
//   aRequest) {
//     server.Reply(aNumber, { 200, "application/json", "{}" });
//   } });
//   result<std::string> address = server.ListenOn("127.0.0.1:7001");

namespace redwingdock {

struct http_server_hooks
{
  std::function<void(std::uint64_t, const http_message&)> mOnRequest;
  // The connection of an unanswered request ended.
  std::function<void(std::uint64_t)> mOnGone;
  // A request was not answered within http_limits::mAnswerTime; Reply() still works.
  std::function<void(std::uint64_t)> mOnLate;
};

struct http_limits
{
  http_read_limits mRead{ std::size_t{ 64 } * 1024 };
  std::size_t mConnections = 4096;
  micros mHeaderTime = std::chrono::seconds(10);  // from the first byte of a request to its header
  micros mRequestTime = std::chrono::seconds(10); // from the first byte of a request to its last
  micros mIdleTime = std::chrono::seconds(120);   // without a request
  // The longest deadline is 5 s; the core answers late queries itself.
  micros mAnswerTime = std::chrono::seconds(7);
};

// Numbers requests; one source for all servers of a process.
using number_source = std::atomic<std::uint64_t>;

class http_server
{
public:
  http_server(io_loop& aLoop,
              number_source& aNumbers,
              http_server_hooks aHooks,
              http_limits aLimits = {});
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  // Returns the bound address.
  result<std::string> ListenOn(const std::string& aAddress);

  // Answers a request; ignored when its connection ended or it was answered before.
  void Reply(std::uint64_t aNumber, const http_response& aReply);

  // Between the client of a waiting request and this server; 0 when not known.
  micros RoundTrip(std::uint64_t aNumber);

  // Replaces the limits; a message that has begun keeps those it began with.
  void SetLimits(const http_limits& aLimits);

  // Announces the end of each connection with its next reply.
  void AnnounceClose() { mClosing = true; }
  // Stops accepting connections and closes those without a request.
  void CloseIdle();

  // Requests that wait for their answer, and bytes of answers not yet passed to the kernel.
  std::size_t Waiting() const { return mWaiting.Size(); }
  std::size_t UnsentBytes() const;
  std::size_t Connections() const { return mSessions.Size(); }

private:
  struct session
  {
    std::shared_ptr<tcp_connection> mConnection;
    http_reader mReader;
    std::uint64_t mRequest = 0; // the unanswered request, 0 when there is none
    bool mKeepAlive = true;
  };

  void Accepted(const std::shared_ptr<tcp_connection>& aConnection);
  void Received(std::uint64_t aSession, std::string_view aBytes);
  void Expired(std::uint64_t aSession);
  void Closed(std::uint64_t aSession);
  http_message BeginRequest(std::uint64_t aSession, session& aState);
  void Refuse(session& aState);

  io_loop& mLoop;
  number_source& mNumbers;
  const http_server_hooks mHooks;
  http_limits Limits() const;

  mutable std::mutex mLimitsLock;
  http_limits mLimits;
  std::atomic<bool> mClosing{ false };
  std::atomic<std::uint64_t> mNextSession{ 0 };
  sharded_map<std::uint64_t, session> mSessions;
  sharded_map<std::uint64_t, std::uint64_t> mWaiting; // session by request
  std::shared_ptr<tcp_listener> mListener;
};

} // namespace redwingdock

#endif
