#ifndef REDWINGDOCK_GATE_CONNECTIONS_H
#define REDWINGDOCK_GATE_CONNECTIONS_H

#include "base/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

// Connections of one daemon to one backend server, counted per permit.
//
//   if (CountOf(connections, permit) < cap) {
//     connections = Opening(connections, id, permit, now);
//   }

namespace redwingdock {

enum class connection_phase
{
  Opening,
  Idle,
  Busy, // carries a part that the server has not answered
  Held, // closed here after it went silent; the server may still count it
  Side, // opened by the front end for a check or a cancellation; its id is 0
};

struct connection
{
  std::uint64_t mId = 0;
  std::uint32_t mPermit = 0;
  connection_phase mPhase = connection_phase::Opening;
  instant mSince{}; // start of the phase
  instant mUntil = kNever;

  auto operator<=>(const connection&) const = default;
};

using connections = std::vector<connection>;

// Connections that the server may count for the permit, in every phase.
std::uint32_t CountOf(const connections& aAll, std::uint32_t aPermit);

// Whether any connection is open to the server process (idle or busy).
bool AnyOpen(const connections& aAll);

bool IsOpening(const connections& aAll, std::uint32_t aPermit);

// Whether the permit has a live connection or room for one.
bool CanConnect(const connections& aAll, std::uint32_t aPermit, std::uint32_t aCap);

const connection* FindConnection(const connections& aAll, std::uint64_t aId);

// The most recently used idle connection of the permit: least likely to have gone silent.
std::optional<std::uint64_t> IdleOf(const connections& aAll, std::uint32_t aPermit);

// Idle connections of the permit beyond the number to keep, least recently used first.
std::vector<std::uint64_t> IdleBeyond(const connections& aAll,
                                      std::uint32_t aPermit,
                                      std::size_t aKeep);

connections Opening(connections aAll, std::uint64_t aId, std::uint32_t aPermit, instant aNow);
connections InPhase(connections aAll, std::uint64_t aId, connection_phase aPhase, instant aNow);
connections HeldUntil(connections aAll, std::uint64_t aId, instant aNow, instant aUntil);
connections WithSide(connections aAll, std::uint32_t aPermit, instant aNow, instant aUntil);
connections WithoutSide(connections aAll, std::uint32_t aPermit);
connections Without(connections aAll, std::uint64_t aId);

// Drops held and side connections whose time is over.
connections AfterExpiry(connections aAll, instant aNow);

} // namespace redwingdock

#endif
