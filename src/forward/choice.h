#ifndef REDWINGDOCK_FORWARD_CHOICE_H
#define REDWINGDOCK_FORWARD_CHOICE_H

#include "forward/replica_load.h"

#include <optional>
#include <string>
#include <vector>

// Choice of the replica for an attempt.
//
//   std::optional<std::size_t> chosen = ChooseReplica(candidates, input);

namespace redwingdock {

struct choice_candidate
{
  replica_pointer mReplica;
  replica_load mLoad;
  double mNoise = 0; // random, in [0, 1); spreads requests over equal replicas

  auto operator<=>(const choice_candidate&) const = default;
};

struct choice_input
{
  instant mNow{};
  std::string mZone;              // of this daemon
  std::uint32_t mConnections = 1; // this daemon's share of what a replica accepts
  double mColdRate = 0;           // this daemon's share for a cold replica in a second; 0: no limit

  auto operator<=>(const choice_input&) const = default;
};

// Expected time until the reply, in multiples of the usual latency, with penalties for what would
// cost more than time (bytes between zones).
double CostOf(const choice_candidate& aCandidate, const choice_input& aInput);

// Index of the cheapest candidate that has room; nothing when none has.
std::optional<std::size_t> ChooseReplica(const std::vector<choice_candidate>& aCandidates,
                                         const choice_input& aInput);

} // namespace redwingdock

#endif
