#ifndef REDWINGDOCK_DAEMON_ENDPOINT_H
#define REDWINGDOCK_DAEMON_ENDPOINT_H

#include "daemon/tcp.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <cstdint>
#include <optional>
#include <string>

// Helpers that the TCP and UDP sockets share; internal to them.

namespace redwingdock::detail {

struct endpoint
{
  boost::asio::ip::address mAddress;
  std::uint16_t mPort = 0;
};

// Parses "ip:port", with an IPv6 address in brackets; nullopt when malformed.
std::optional<endpoint> ParseEndpoint(const std::string& aAddress);

boost::asio::io_context& ContextOf(io_loop& aLoop);

} // namespace redwingdock::detail

#endif
