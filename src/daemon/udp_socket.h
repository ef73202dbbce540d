#ifndef REDWINGDOCK_DAEMON_UDP_SOCKET_H
#define REDWINGDOCK_DAEMON_UDP_SOCKET_H

#include "daemon/tcp.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

// A UDP socket that is bound to one address.
//
//   udp_socket socket(loop, [](std::string_view aBytes) { ... });
//   result<std::string> bound = socket.Open("127.0.0.1:7380");
//   socket.Send("127.0.0.2:7380", "hello");

namespace redwingdock {

namespace detail {
struct udp_socket_state;
} // namespace detail

class udp_socket
{
public:
  using receive_hook = std::function<void(std::string_view)>;

  // The hook gets each received datagram, on threads of the loop, one call at a time.
  udp_socket(io_loop& aLoop, receive_hook aOnReceive);
  ~udp_socket();
  udp_socket(const udp_socket&) = delete;
  udp_socket& operator=(const udp_socket&) = delete;

  // Binds to "ip:port" and starts to receive; returns the bound address.
  result<std::string> Open(const std::string& aAddress);

  // Sends a datagram, or drops it when the socket would block. Returns whether the kernel accepted
  // it.
  bool Send(const std::string& aAddress, const std::string& aBytes);

private:
  std::shared_ptr<detail::udp_socket_state> mState;
};

} // namespace redwingdock

#endif
