#ifndef REDWINGDOCK_MEMBERSHIP_PEER_ROTATION_H
#define REDWINGDOCK_MEMBERSHIP_PEER_ROTATION_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

// Chooses the receivers of the periodic view messages.
//
//   std::vector<std::string> peers = PeersInRotation(names, 3, tick);

namespace redwingdock {

// Returns aCount consecutive names, starting aRotation * aCount positions into the list and
// wrapping around. Returns all names when there are at most aCount + 1.
std::vector<std::string> PeersInRotation(const std::vector<std::string>& aNames,
                                         std::size_t aCount,
                                         std::uint64_t aRotation);

} // namespace redwingdock

#endif
