#ifndef REDWINGDOCK_DAEMON_DATAGRAMS_H
#define REDWINGDOCK_DAEMON_DATAGRAMS_H

#include "daemon/tcp.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

// UDP on one address.
//
//   datagrams socket(loop, [](std::string_view aBytes) { ... });
//   result<std::string> bound = socket.Open("127.0.0.1:7380");
//   socket.Send("127.0.0.2:7380", "hello");

namespace redwingdock {

namespace detail {
struct datagram_state;
} // namespace detail

class datagrams
{
public:
  using receive_hook = std::function<void(std::string_view)>;

  // The hook is called on threads of the loop, one call at a time.
  datagrams(io_loop& aLoop, receive_hook aOnReceive);
  ~datagrams();
  datagrams(const datagrams&) = delete;
  datagrams& operator=(const datagrams&) = delete;

  // Returns the bound address.
  result<std::string> Open(const std::string& aAddress);

  // A datagram that cannot be sent at once is dropped, as the network may drop it. Returns whether
  // it was passed to the network.
  bool Send(const std::string& aAddress, const std::string& aBytes);

private:
  std::shared_ptr<detail::datagram_state> mState;
};

} // namespace redwingdock

#endif
