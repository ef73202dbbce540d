#ifndef REDWINGDOCK_DAEMON_CLIENT_CONNECTIONS_H
#define REDWINGDOCK_DAEMON_CLIENT_CONNECTIONS_H

#include "settings/process_limits.h"

#include <compare>
#include <cstddef>

// How many connections each server of a process may have, so that the descriptors last for the
// other servers and for the connections that the process opens itself.
//
//   connection_shares shares = ConnectionShares(WithKernelLimit(settings.mLimits));

namespace redwingdock {

// Limits on connections.
struct connection_shares
{
  std::size_t mCallers = 0;
  std::size_t mAddresses = 0; // clients that ask for addresses, or operators
  std::size_t mReadiness = 0;
  std::size_t mMetrics = 0;

  auto operator<=>(const connection_shares&) const = default;
};

connection_shares ConnectionShares(const process_limits& aLimits);

// With the descriptors that the kernel allows the process (RLIMIT_NOFILE), if these are fewer.
process_limits WithKernelLimit(process_limits aLimits);

} // namespace redwingdock

#endif
