#ifndef REDWINGDOCK_FLEET_MEMBERS_H
#define REDWINGDOCK_FLEET_MEMBERS_H

#include "core/fleet.h"

#include <string>
#include <vector>

// Pure functions on the view of the fleet.
//
//   fleet_view next = WithHeartbeat(view, received, now);
//   std::vector<std::string> addresses = CallAddresses(next, now - ttl);

namespace redwingdock {

// A heartbeat of an earlier start of its sender changes nothing.
fleet_view WithHeartbeat(const fleet_view& aView, const heartbeat& aHeartbeat, instant aNow);

// Without peer addresses that have not answered since the given time, and without members not heard
// since then. Addresses in aKept stay.
fleet_view WithoutSilent(const fleet_view& aView,
                         const std::vector<std::string>& aKept,
                         instant aSince);

// Call addresses of this daemon and the members heard at aSince or later, as far as they serve.
std::vector<std::string> CallAddresses(const fleet_view& aView, instant aSince);

// Peer addresses of the members heard at aSince or later.
std::vector<std::string> LivePeers(const fleet_view& aView, instant aSince);

} // namespace redwingdock

#endif
