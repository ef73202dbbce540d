#ifndef REDWINGDOCK_FORWARD_ROOM_H
#define REDWINGDOCK_FORWARD_ROOM_H

#include "core/forwarding.h"

#include <string>

// Admission control for what requests make the process hold. The load pattern is a crowd of clients
// on few routes whose requests are large or stay open, or whose replies are long and read slowly.
// What there is no room for is refused before a replica works on it, and a crowd on one route
// leaves room to the others.
//
//   reply_sizes sizes = WithReplySize(sizes, bytes);
//   if (!HasMemory(room, sizes.mRecentMax)) { ... refuse ... }

namespace redwingdock {

// Sizes of the replies on a route. Entry key: ReplySizesKey.
struct reply_sizes
{
  std::size_t mRecentMax = 0; // bytes; decreases slowly while replies are shorter

  auto operator<=>(const reply_sizes&) const = default;
};

std::string ReplySizesKey(const route_rule& aRoute);

// aBytes is the size of a reply, or the sum over the parts of a gather.
reply_sizes WithReplySize(const reply_sizes& aSizes, std::size_t aBytes);

// Whether there is memory for the request and a reply of aReplyBytes. While little is in use,
// anything that fits is admitted; later only what is small against the memory that is left, so that
// ordinary requests find room beside a crowd of large ones.
bool HasMemory(const client_room& aRoom, std::size_t aReplyBytes);

// Whether the connections are nearly used up, so that the open requests of a route have to be
// counted.
bool IsCrowded(const client_room& aRoom);

// Whether a route with aOpenOnRoute open requests may have a further one: while it has fewer than
// the connections without an open request, which can be closed for other clients. So requests of
// one route that stay open leave room to other routes.
bool HasPlace(const client_room& aRoom, std::size_t aOpenOnRoute);

} // namespace redwingdock

#endif
