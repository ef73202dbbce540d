#ifndef REDWINGDOCK_MEMBERSHIP_PEER_ROTATION_H
#define REDWINGDOCK_MEMBERSHIP_PEER_ROTATION_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

// Receivers of the periodic view message.
//
//   std::vector<std::string> peers = PeersInRotation(names, 3, tick);

namespace redwingdock {

// aCount of the names from a position that moves on with aRotation; all of them when they are
// at most one more than aCount.
std::vector<std::string> PeersInRotation(const std::vector<std::string>& aNames,
                                         std::size_t aCount,
                                         std::uint64_t aRotation);

} // namespace redwingdock

#endif
