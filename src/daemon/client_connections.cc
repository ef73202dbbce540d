#include "daemon/client_connections.h"

#include <algorithm>
#include <sys/resource.h>

namespace redwingdock {

namespace {

// The platform reserves this number of a process's descriptors for files.
constexpr std::size_t kFileDescriptors = 200;
// Parts of the other descriptors. A third is left for connections to replicas and to the store.
constexpr double kCallers = 9.0 / 16;
constexpr double kAddresses = 1.0 / 16;
constexpr double kReadiness = 1.0 / 64;
constexpr double kMetrics = 1.0 / 64;
constexpr std::size_t kMinConnections = 4;

} // namespace

connection_shares ConnectionShares(const process_limits& aLimits)
{
  const std::size_t sockets =
    aLimits.mDescriptors - std::min(kFileDescriptors, aLimits.mDescriptors / 2);
  const auto share = [sockets](double aPart) {
    return std::max(kMinConnections,
                    static_cast<std::size_t>(static_cast<double>(sockets) * aPart));
  };
  return { share(kCallers), share(kAddresses), share(kReadiness), share(kMetrics) };
}

process_limits WithKernelLimit(process_limits aLimits)
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    aLimits.mDescriptors =
      static_cast<std::size_t>(std::min<rlim_t>(aLimits.mDescriptors, limit.rlim_cur));
  }
  return aLimits;
}

} // namespace redwingdock
