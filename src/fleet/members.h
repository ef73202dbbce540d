#ifndef REDWINGDOCK_FLEET_MEMBERS_H
#define REDWINGDOCK_FLEET_MEMBERS_H

#include "core/fleet.h"
#include "core/forward_config.h"

#include <functional>
#include <string>
#include <vector>

// Pure functions on the fleet_view.
//
//   fleet_view next = WithHeartbeat(view, received, config, now);
//   std::vector<std::string> addresses = CallAddresses(next, now);

namespace redwingdock {

// Time between heartbeats of a daemon with aPeers peers, which limits the datagrams it sends per
// second.
micros HeartbeatInterval(std::size_t aPeers, const forward_config& aConfig);

// Returns the view with the sender's state and its peers added. Ignores this daemon's own
// heartbeats and delayed ones of an earlier start of the sender.
fleet_view WithHeartbeat(const fleet_view& aView,
                         const heartbeat& aHeartbeat,
                         const forward_config& aConfig,
                         instant aNow);

// Removes peer addresses that have not answered since aSince, except those in aKept, and members
// not heard from since then.
fleet_view WithoutSilent(const fleet_view& aView,
                         const std::vector<std::string>& aKept,
                         instant aSince);

// Call addresses of the serving daemons: this one and the members that are not silent.
std::vector<std::string> CallAddresses(const fleet_view& aView, instant aNow);

// Peer addresses of the members that are not silent.
std::vector<std::string> LivePeers(const fleet_view& aView, instant aNow);

// A random sample of up to aLimit addresses. aRandom(n) returns a number in [0, n).
std::vector<std::string> RandomSample(std::vector<std::string> aAddresses,
                                      std::size_t aLimit,
                                      const std::function<std::uint64_t(std::uint64_t)>& aRandom);

} // namespace redwingdock

#endif
