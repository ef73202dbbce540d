#ifndef REDWINGDOCK_MEMBERSHIP_VIEW_EXCHANGE_H
#define REDWINGDOCK_MEMBERSHIP_VIEW_EXCHANGE_H

#include "core/context.h"

#include <string>
#include <vector>

// Contents of the view messages that daemons exchange. Their size is bounded, so that the cost per
// daemon does not grow with the fleet.

namespace redwingdock {

inline constexpr std::size_t kMaxDigestEntries = 8;  // other daemons per view
inline constexpr std::size_t kMaxViewSuspects = 4;   // suspects per view
inline constexpr std::size_t kMaxSuspectServers = 4; // lost servers per suspect

// Builds a view: the entry of this daemon, then up to kMaxDigestEntries other daemons (half of them
// those with the most recent information, half in rotation by aRotation), then up to
// kMaxViewSuspects suspects.
view_message MakeView(core_context& aContext, std::uint64_t aRotation);

} // namespace redwingdock

#endif
