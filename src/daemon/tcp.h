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

// Event loop, timers and TCP connections on Boost.Asio. Protocols are separate state machines that
// consume and produce bytes.
//
//   io_loop loop(2);
//   auto listener = Listen(loop, "127.0.0.1:7001", [](auto aConnection) { ... });
//   auto connection = Connect(loop, "127.0.0.1:9001", std::chrono::seconds(1), hooks);
//   connection->Send("...");
//
// Hooks run on the threads of the loop and never while a lock of this module is held, so a caller
// may call any function of this header while it holds its own lock.

namespace redwingdock {

// Current time of the steady clock, in the unit that the core expects.
instant SteadyNow();

namespace detail {
struct io_loop_state;
struct connection_state;
struct listener_state;
struct timer_state;
} // namespace detail

// An event loop on a pool of threads.
class io_loop
{
public:
  // Runs at least one thread.
  explicit io_loop(std::size_t aThreads);
  ~io_loop();
  io_loop(const io_loop&) = delete;
  io_loop& operator=(const io_loop&) = delete;

  void Start();
  // Stops and joins the threads; pending work is dropped. Must not be called from a thread of the
  // loop.
  void Stop();

  void Post(std::function<void()> aWork);
  void After(micros aDelay, std::function<void()> aWork);
  // Calls the hook, on a thread of the loop, with the text of an exception that leaves other work
  // of the loop; a connection whose work it left is closed. Without this hook such an exception
  // ends the process. Call before Start().
  void OnUnexpectedError(std::function<void(const std::string&)> aHook);
  // Passes an error to that hook.
  void ReportUnexpectedError(const std::string& aText);
  // Calls the hook for each SIGINT and SIGTERM. Call before Start().
  void OnStopSignals(std::function<void()> aHook);
  // Calls the hook for each SIGHUP. Call before Start().
  void OnReloadSignals(std::function<void()> aHook);

  detail::io_loop_state& State() { return *mState; }

private:
  std::unique_ptr<detail::io_loop_state> mState;
};

// A one-shot timer; setting it again replaces its due time.
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

// Why and how a connection was closed.
struct tcp_close_info
{
  std::string mDescription;
  bool mOrderly = false; // the peer closed it with a FIN, not a reset
  bool mExpired = false; // the time limit of ExpireAfter passed
  bool mRefused = false; // nothing listens on the address

  auto operator<=>(const tcp_close_info&) const = default;
};

struct tcp_hooks
{
  std::function<void()> mOnOpen;                        // an outgoing connection is established
  std::function<void(std::string_view)> mOnBytes;       // one call at a time per connection
  std::function<void()> mOnExpired;                     // time limit passed; when not set, closes
  std::function<void()> mOnSent;                        // the last bytes that had to wait were sent
  std::function<void(const tcp_close_info&)> mOnClosed; // once
};

// A TCP connection. Each connection guards its socket and buffers by its own lock.
class tcp_connection
{
public:
  explicit tcp_connection(std::shared_ptr<detail::connection_state> aState);

  // Sets the hooks of an accepted connection and starts to read.
  void Start(tcp_hooks aHooks);
  // Returns false when the connection was closed before any of the bytes was passed to the kernel.
  bool Send(std::string aBytes);
  void Close(std::string aReason);
  // Sends the queued bytes, ignores further Send calls and received bytes, and closes once the peer
  // has closed, or one second after it has received the last of them. The time limit in force
  // applies to each part of the bytes.
  void CloseAfterSend(std::string aReason);
  // Stops reading, so that the kernel makes the peer wait once its buffers are full. One more call
  // of mOnBytes may follow, and the end of the connection is noticed only after ResumeReading.
  void PauseReading();
  void ResumeReading();
  // Sets a time limit from now, which replaces the previous one; kNoLimit removes it.
  void ExpireAfter(micros aDelay);
  // Whether the latest time limit has passed. While mOnExpired is called, another thread may have
  // set a new one.
  bool LimitPassed() const;
  // Whether bytes or the end of the connection have arrived and were not read yet.
  bool HasUnread() const;
  // Whether bytes wait to be sent and some were sent since the time limit was set.
  bool Sending() const;
  std::size_t UnsentBytes() const;
  // Memory of the bytes that wait to be sent.
  std::size_t HeldBytes() const;
  // Unsent bytes, and those that the kernel has taken and the peer has not received. The latter
  // count as 0 where the kernel does not tell.
  std::size_t UndeliveredBytes() const;
  // The smoothed round-trip time that the kernel measured; 0 when it is not available.
  micros RoundTrip() const;

  static constexpr micros kNoLimit = micros::max();

private:
  std::shared_ptr<detail::connection_state> mState;
};

// Opens a connection to "ip:port". A failure is reported through mOnClosed.
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

  // Has the kernel establish no more connections, accepts those that are established, and closes
  // about a millisecond later, if the loop runs.
  void AcceptPendingAndStop();

  // The bound "ip:port"; for a requested port 0, with the port that the kernel assigned.
  std::string Address() const;

private:
  std::shared_ptr<detail::listener_state> mState;
};

using accept_hook = std::function<void(const std::shared_ptr<tcp_connection>&)>;

// Accepts connections on "ip:port" until the listener is destroyed. Fails when the address is
// malformed or cannot be bound. aOnExhausted is called when a connection cannot be accepted because
// the process has no descriptor left; it is accepted later.
result<std::shared_ptr<tcp_listener>> Listen(io_loop& aLoop,
                                             const std::string& aAddress,
                                             accept_hook aOnAccept,
                                             std::function<void()> aOnExhausted = nullptr);

} // namespace redwingdock

#endif
