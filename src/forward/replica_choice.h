#ifndef REDWINGDOCK_FORWARD_REPLICA_CHOICE_H
#define REDWINGDOCK_FORWARD_REPLICA_CHOICE_H

#include "forward/replica_load.h"

#include <optional>
#include <string>
#include <vector>

// Selects the replica for an attempt.
//
//   std::optional<std::size_t> chosen = ChooseReplica(candidates, input);

namespace redwingdock {

struct choice_candidate
{
  replica_pointer mReplica;
  replica_load mLoad;
  double mTieBreaker = 0; // random, in [0, 1); breaks ties between equal replicas

  auto operator<=>(const choice_candidate&) const = default;
};

struct choice_input
{
  instant mNow{};
  std::string mZone;              // zone of this daemon
  std::uint32_t mConnections = 1; // this daemon's share of a replica's connection limit
  double mColdRate = 0; // this daemon's share of requests/s to a cold replica; 0: no limit

  auto operator<=>(const choice_input&) const = default;
};

// Expected time until the reply in multiples of the typical latency, plus penalties for costs other
// than time, such as traffic between zones.
double CostOf(const choice_candidate& aCandidate, const choice_input& aInput);

// Index of the candidate with the lowest cost among those with free capacity, or nullopt.
std::optional<std::size_t> ChooseReplica(const std::vector<choice_candidate>& aCandidates,
                                         const choice_input& aInput);

} // namespace redwingdock

#endif
