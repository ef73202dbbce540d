#ifndef REDWINGDOCK_MEMBERSHIP_WITNESS_H
#define REDWINGDOCK_MEMBERSHIP_WITNESS_H

#include "core/values.h"

#include <map>
#include <string>
#include <vector>

// Witnesses of a VM: the listed VMs, itself included, a strict majority of which keeps its view
// confirmed. All daemons with the same list compute the same witnesses.
//
//   std::vector<std::string> witnesses = WitnessesOf(list, "vm-xela-1", 9);

namespace redwingdock {

// The VM and at most aCount - 1 others by rendezvous weight.
std::vector<std::string> WitnessesOf(const vm_list& aList,
                                     const std::string& aVm,
                                     std::uint32_t aCount);

// Smallest strict majority.
constexpr std::size_t Majority(std::size_t aVoters)
{
  return aVoters / 2 + 1;
}

// How many of the other witnesses must be known to be at a revision, so that every majority of a
// list that differs in one VM contains one of them. The asking process has forgotten its own vote.
constexpr std::size_t RecoveryQuorum(std::size_t aVoters)
{
  return aVoters - Majority(aVoters) + 1;
}

// The latest time since which a strict majority of the witnesses has answered; instant{} when no
// majority has. aAnswered holds the send time of the newest valid answer by VM; aSelf always
// answers. A list of one VM has no other voter, so it is confirmed by the service only.
instant MajorityAnsweredSince(const std::vector<std::string>& aWitnesses,
                              const std::string& aSelf,
                              const std::map<std::string, instant>& aAnswered);

} // namespace redwingdock

#endif
