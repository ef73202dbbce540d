#ifndef REDWINGDOCK_DAEMON_CLIENT_CHOICE_H
#define REDWINGDOCK_DAEMON_CLIENT_CHOICE_H

#include "base/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <vector>

// Chooses the clients whose connections are given up when a crowd holds too much memory or too many
// connections. Pure functions on what the servers observe.
//
//   for (const client_holding& each : ChooseHoldings(server.Holdings(), excess)) { ... }

namespace redwingdock {

// What one connection makes the process hold and the client can give back: unsent bytes of a reply,
// or bytes of a request that has not been read whole.
struct client_holding
{
  std::size_t mServer = 0; // index of the server that has the connection
  std::uint64_t mSession = 0;
  std::size_t mBytes = 0; // held
  std::size_t mMoved = 0; // taken from, or sent by, the client since it holds them
  micros mAge{ 0 };       // since then

  auto operator<=>(const client_holding&) const = default;
};

// How long the client is likely to hold its bytes at the speed that it has shown. Grows with the
// age of a client that stalls, and settles for one that moves steadily.
micros ExpectedHold(const client_holding& aHolding);

// The holdings to give up so that at least aBytes become free: those held longest by ExpectedHold
// first, so that a client that moves keeps its connection while others stall. All of them if they
// are not enough.
std::vector<client_holding> ChooseHoldings(std::vector<client_holding> aHoldings,
                                           std::size_t aBytes);

// How a connection is used, in the order in which connections are closed to make room for others.
enum class connection_use
{
  Unused,  // no request has been read whole
  Idle,    // no request since the last reply
  Partial, // a further request is read in part
  Sending, // the client has not taken all of a reply
  Open,    // a request is open; its answer is owed
};

struct client_connection
{
  connection_use mUse = connection_use::Unused;
  instant mLastActive{}; // when bytes arrived or a reply was handed over
  std::uint64_t mSession = 0;

  auto operator<=>(const client_connection&) const = default;
};

// Up to aCount connections to close, none of them with an open request: by use, then those that
// have been without activity for longest.
std::vector<client_connection> ChooseConnections(std::vector<client_connection> aConnections,
                                                 std::size_t aCount);

} // namespace redwingdock

#endif
