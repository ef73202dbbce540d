#ifndef REDWINGDOCK_DAEMON_PORT_CHECK_H
#define REDWINGDOCK_DAEMON_PORT_CHECK_H

#include "daemon/tcp.h"

#include <functional>
#include <string>

// Finds out whether a process listens on an address, by opening a connection and closing it.
//
//   CheckPort(loop, "10.0.0.7:9001", std::chrono::milliseconds(400), [](port_status aStatus) {});

namespace redwingdock {

enum class port_status
{
  Open,
  Closed,  // the host refused the connection
  Unknown, // nothing answered within the time limit, or the address is malformed
};

// Calls the hook once, on a thread of the loop.
void CheckPort(io_loop& aLoop,
               const std::string& aAddress,
               micros aTimeout,
               std::function<void(port_status)> aDone);

} // namespace redwingdock

#endif
