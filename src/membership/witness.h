#ifndef REDWINGDOCK_MEMBERSHIP_WITNESS_H
#define REDWINGDOCK_MEMBERSHIP_WITNESS_H

#include "core/values.h"

#include <map>
#include <string>
#include <vector>

// Witnesses of a VM: a set of listed VMs, the VM itself included. The view of the VM stays
// confirmed while a strict majority of them answers its probes. All daemons with the same list
// compute the same witnesses.
//
//   std::vector<std::string> witnesses = WitnessesOf(list, "vm-xela-1", 9);

namespace redwingdock {

// Returns the VM and the at most aCount - 1 other VMs of highest rendezvous weight.
std::vector<std::string> WitnessesOf(const vm_list& aList,
                                     const std::string& aVm,
                                     std::uint32_t aCount);

// Size of the smallest strict majority.
constexpr std::size_t Majority(std::size_t aVoters)
{
  return aVoters / 2 + 1;
}

// How many of the other witnesses must be known to have a revision, so that every majority under a
// list that differs in one VM contains one of them. The process that asks is not counted because a
// restart loses its own vote.
constexpr std::size_t RecoveryQuorum(std::size_t aVoters)
{
  return aVoters - Majority(aVoters) + 1;
}

// Returns the latest time at or after which a strict majority of the witnesses has answered a
// probe; instant{} when no majority has. aAnswered gives, by VM, the send time of the latest probe
// with a confirming reply; aSelf always counts as answering. A list of one VM has no other voter,
// so only the configuration service confirms it.
instant MajorityAnsweredSince(const std::vector<std::string>& aWitnesses,
                              const std::string& aSelf,
                              const std::map<std::string, instant>& aAnswered);

} // namespace redwingdock

#endif
