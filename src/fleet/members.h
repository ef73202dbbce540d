#ifndef REDWINGDOCK_FLEET_MEMBERS_H
#define REDWINGDOCK_FLEET_MEMBERS_H

#include "core/fleet.h"
#include "core/forward_config.h"

#include <functional>
#include <string>
#include <vector>

// Pure functions on the view of the fleet.
//
//   fleet_view next = WithHeartbeat(view, received, config, now);
//   std::vector<std::string> addresses = CallAddresses(next, now);

namespace redwingdock {

// Time between heartbeats of a daemon with as many peers.
micros HeartbeatInterval(std::size_t aPeers, const forward_config& aConfig);

// A heartbeat of an earlier start of its sender changes nothing.
fleet_view WithHeartbeat(const fleet_view& aView,
                         const heartbeat& aHeartbeat,
                         const forward_config& aConfig,
                         instant aNow);

// Without peer addresses that have not answered since the given time, and without members not heard
// since then. Addresses in aKept stay.
fleet_view WithoutSilent(const fleet_view& aView,
                         const std::vector<std::string>& aKept,
                         instant aSince);

// Call addresses of this daemon and the members that are not silent, as far as they serve.
std::vector<std::string> CallAddresses(const fleet_view& aView, instant aNow);

// Peer addresses of the members that are not silent.
std::vector<std::string> LivePeers(const fleet_view& aView, instant aNow);

// At most as many of the addresses, drawn by a function that returns numbers below its argument.
std::vector<std::string> Sample(std::vector<std::string> aAddresses,
                                std::size_t aMost,
                                const std::function<std::uint64_t(std::uint64_t)>& aRandom);

} // namespace redwingdock

#endif
