#include "forward/room.h"

#include <algorithm>

namespace redwingdock {

namespace {

// The recent maximum loses this part with each shorter reply: 4% are left after 50 of them, so that
// a single long reply does not have requests refused for long.
constexpr std::size_t kDecayDivisor = 16;
// Part of a limit up to which a request gets all the memory that it needs.
constexpr std::size_t kCalmDivisor = 4;
// Part of the memory that is left which one request may take otherwise.
constexpr std::size_t kLeftDivisor = 4;

bool Fits(std::size_t aNeeded, std::size_t aUsed, std::size_t aLimit)
{
  if (aLimit == 0) {
    return true;
  }
  const std::size_t left = aLimit - std::min(aLimit, aUsed);
  return aNeeded <= (aUsed <= aLimit / kCalmDivisor ? left : left / kLeftDivisor);
}

} // namespace

std::string ReplySizesKey(const route_rule& aRoute)
{
  return "reply_sizes/" + aRoute.mName;
}

reply_sizes WithReplySize(const reply_sizes& aSizes, std::size_t aBytes)
{
  return { std::max(aBytes, aSizes.mRecentMax - aSizes.mRecentMax / kDecayDivisor) };
}

bool IsCrowded(const client_room& aRoom)
{
  constexpr std::size_t kFreeDivisor = 16;
  return aRoom.mMaxConnections > 0 &&
         aRoom.mConnections >= aRoom.mMaxConnections - aRoom.mMaxConnections / kFreeDivisor;
}

bool HasPlace(const client_room& aRoom, std::size_t aOpenOnRoute)
{
  return aOpenOnRoute + aRoom.mOpenRequests <= aRoom.mMaxConnections;
}

bool HasMemory(const client_room& aRoom, std::size_t aReplyBytes)
{
  return Fits(aRoom.mRequestBytes, aRoom.mOpenBytes, aRoom.mOpenLimit) &&
         Fits(aReplyBytes, aRoom.mReplyBytes, aRoom.mReplyLimit);
}

} // namespace redwingdock
