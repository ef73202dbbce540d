#ifndef REDWINGDOCK_DAEMON_TCP_H
#define REDWINGDOCK_DAEMON_TCP_H

#include "base/reason.h"
#include "base/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

// TCP, timers and threads of the front end, on Boost.Asio. Protocols sit on top as state machines
// that take and give bytes.
//
//   io_loop loop(2);
//   auto listener = Listen(loop, "127.0.0.1:7001", [](auto aConnection) { ... });
//   auto connection = Connect(loop, "127.0.0.1:9001", std::chrono::seconds(1), hooks);
//   connection->Send("...");
//
// Hooks run on the threads of the loop and never while a lock of this module is held, so a caller
// may call any function here under a lock of its own.

namespace redwingdock {

// Time of the steady clock that the daemon posts to its core.
instant SteadyNow();

namespace detail {
struct io_loop_state;
struct connection_state;
struct listener_state;
struct timer_state;
} // namespace detail

class io_loop
{
public:
  explicit io_loop(std::size_t aThreads);
  ~io_loop();
  io_loop(const io_loop&) = delete;
  io_loop& operator=(const io_loop&) = delete;

  void Start();
  // Stops the threads and joins them; not from a thread of the loop. Pending work is dropped.
  void Stop();

  void Post(std::function<void()> aWork);
  void After(micros aDelay, std::function<void()> aWork);
  // Calls the hook for each SIGINT and SIGTERM. Before Start().
  void OnStopSignals(std::function<void()> aHook);
  // Calls the hook for each SIGHUP. Before Start().
  void OnReloadSignals(std::function<void()> aHook);

  detail::io_loop_state& State() { return *mState; }

private:
  std::unique_ptr<detail::io_loop_state> mState;
};

// A timer with one due time; setting it again replaces the due time.
class loop_timer
{
public:
  loop_timer(io_loop& aLoop, std::function<void()> aHook);
  ~loop_timer();
  loop_timer(const loop_timer&) = delete;
  loop_timer& operator=(const loop_timer&) = delete;

  void Set(instant aDue);

private:
  std::shared_ptr<detail::timer_state> mState;
};

// How a connection ended.
struct tcp_end
{
  std::string mWhy;
  bool mOrderly = false; // the other side closed it after its last byte
  bool mExpired = false; // ExpireAfter was over

  auto operator<=>(const tcp_end&) const = default;
};

struct tcp_hooks
{
  std::function<void()> mOnOpen;                  // connected (outgoing connections)
  std::function<void(std::string_view)> mOnBytes; // one call at a time per connection
  std::function<void()> mOnExpired;               // ExpireAfter is over; closes when not set
  std::function<void(const tcp_end&)> mOnClosed;  // once
};

// A TCP connection. Its socket and buffers are guarded by a lock of its own.
class tcp_connection
{
public:
  explicit tcp_connection(std::shared_ptr<detail::connection_state> aState);

  // Sets the hooks of an accepted connection and starts to read.
  void Start(tcp_hooks aHooks);
  void Send(std::string aBytes);
  void Close(std::string aWhy);
  // Sends what is queued, takes no more bytes, and closes when the other side has closed or after
  // a second.
  void CloseAfterSend(std::string aWhy);
  // Replaces the time limit; kNoLimit removes it.
  void ExpireAfter(micros aDelay);
  std::size_t UnsentBytes() const;
  // Smoothed round trip time as the kernel has measured it; 0 when it does not tell.
  micros RoundTrip() const;

  static constexpr micros kNoLimit = micros::max();

private:
  std::shared_ptr<detail::connection_state> mState;
};

// Opens a connection to "ip:port". Failure is reported through mOnClosed.
std::shared_ptr<tcp_connection> Connect(io_loop& aLoop,
                                        const std::string& aAddress,
                                        micros aTimeout,
                                        tcp_hooks aHooks);

class tcp_listener
{
public:
  explicit tcp_listener(std::shared_ptr<detail::listener_state> aState);
  ~tcp_listener();
  tcp_listener(const tcp_listener&) = delete;
  tcp_listener& operator=(const tcp_listener&) = delete;

  // The bound "ip:port"; differs from the requested address when that had port 0.
  std::string Address() const;

private:
  std::shared_ptr<detail::listener_state> mState;
};

using accept_hook = std::function<void(const std::shared_ptr<tcp_connection>&)>;

result<std::shared_ptr<tcp_listener>> Listen(io_loop& aLoop,
                                             const std::string& aAddress,
                                             accept_hook aOnAccept);

} // namespace redwingdock

#endif
