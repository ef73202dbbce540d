#ifndef REDWINGDOCK_MEMBERSHIP_VIEW_EXCHANGE_H
#define REDWINGDOCK_MEMBERSHIP_VIEW_EXCHANGE_H

#include "core/context.h"

#include <string>
#include <vector>

// Contents and receivers of the periodic view messages. Both are bounded, so the cost per daemon
// does not grow with the fleet.

namespace redwingdock {

inline constexpr std::size_t kDigestEntries = 8;
inline constexpr std::size_t kViewSuspects = 4;
inline constexpr std::size_t kSuspectServers = 4;

// Key of a peer_state entry.
std::string PeerKey(const std::string& aVm);

// This daemon's own entry, then other daemons: half those heard of last, half by rotation.
view_message MakeView(core_context& aContext, std::uint64_t aRotation);

} // namespace redwingdock

#endif
