#ifndef REDWINGDOCK_ENTRY_ENTRY_CHOICE_H
#define REDWINGDOCK_ENTRY_ENTRY_CHOICE_H

#include "core/values.h"

#include <optional>
#include <string>
#include <vector>

// Selects the entry VM for a caller.

namespace redwingdock {

struct entry_candidate
{
  vm_spec mVm;
  std::string mIncarnation;
  bool mReachable = false; // this daemon, or a peer with an open stream
  bool mDraining = false;

  auto operator<=>(const entry_candidate&) const = default;
};

// Returns the reachable candidate with the highest rendezvous weight for the caller. Prefers VMs
// that are live, not draining and outside closed zones, then VMs in the caller's zone. Returns
// nullopt only when no candidate is reachable, so that a caller is never refused while a daemon can
// answer.
std::optional<entry_candidate> ChooseEntry(const std::vector<entry_candidate>& aCandidates,
                                           const std::string& aCaller,
                                           const std::string& aZone,
                                           const std::set<std::string>& aClosedZones);

} // namespace redwingdock

#endif
