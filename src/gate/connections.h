#ifndef REDWINGDOCK_GATE_CONNECTIONS_H
#define REDWINGDOCK_GATE_CONNECTIONS_H

#include "base/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <vector>

// The connections of one daemon to one backend server. Each connection belongs to a permit and
// counts against the connection limit of that permit.
//
//   if (CountConnections(connections, permit) < cap) {
//     connections = WithOpening(connections, id, permit, now);
//   }

namespace redwingdock {

enum class connection_phase
{
  Opening,
  Idle,
  Busy,      // carries a part without a reply yet
  Abandoned, // closed by this daemon while silent; the server may still count it
  Auxiliary, // opened by the front end for a liveness check or a cancellation; its id is 0
};

struct connection
{
  std::uint64_t mId = 0;
  std::uint32_t mPermit = 0;
  connection_phase mPhase = connection_phase::Opening;
  instant mSince{};        // start of the phase
  instant mUntil = kNever; // time at which an abandoned or auxiliary connection is dropped

  auto operator<=>(const connection&) const = default;
};

using connections = std::vector<connection>;

// Number of the permit's connections in any phase, which the server may all still count.
std::uint32_t CountConnections(const connections& aConnections, std::uint32_t aPermit);

// Whether any connection to the server process is open, idle or busy.
bool HasOpenConnection(const connections& aConnections);

bool IsOpening(const connections& aConnections, std::uint32_t aPermit);

// Whether the permit has an opening, idle or busy connection, or is below its limit aCap.
bool CanConnect(const connections& aConnections, std::uint32_t aPermit, std::uint32_t aCap);

// Null when there is none, and for id 0, which auxiliary connections have.
const connection* FindConnection(const connections& aConnections, std::uint64_t aId);

// The permit's most recently used idle connection, which is the least likely to be dead.
std::optional<std::uint64_t> FindIdle(const connections& aConnections, std::uint32_t aPermit);

// The permit's idle connections except the aKeep most recently used, least recently used first.
std::vector<std::uint64_t> ExcessIdle(const connections& aConnections,
                                      std::uint32_t aPermit,
                                      std::size_t aKeep);

// Each of these returns the connections after one change.
connections WithOpening(connections aConnections,
                        std::uint64_t aId,
                        std::uint32_t aPermit,
                        instant aNow);
connections WithPhase(connections aConnections,
                      std::uint64_t aId,
                      connection_phase aPhase,
                      instant aNow);
connections WithAbandoned(connections aConnections,
                          std::uint64_t aId,
                          instant aNow,
                          instant aUntil);
connections WithAuxiliary(connections aConnections,
                          std::uint32_t aPermit,
                          instant aNow,
                          instant aUntil);
connections WithoutAuxiliary(connections aConnections, std::uint32_t aPermit);
connections WithoutConnection(connections aConnections, std::uint64_t aId);

// Drops the abandoned and auxiliary connections whose mUntil has passed.
connections WithoutExpired(connections aConnections, instant aNow);

} // namespace redwingdock

#endif
