#ifndef REDWINGDOCK_ENTRY_ENTRY_CHOICE_H
#define REDWINGDOCK_ENTRY_ENTRY_CHOICE_H

#include "core/values.h"

#include <optional>
#include <string>
#include <vector>

// Choice of the VM that a caller is told to use.

namespace redwingdock {

struct entry_candidate
{
  vm_spec mVm;
  std::string mIncarnation;
  bool mReachable = false; // this daemon, or one with an open stream
  bool mDraining = false;

  auto operator<=>(const entry_candidate&) const = default;
};

// The candidate with the highest rendezvous weight for the caller: reachable ones that are live,
// not draining and outside closed zones first, in the caller's zone before others. When none is
// left, any reachable one, so that a caller is never sent away while a daemon can answer.
std::optional<entry_candidate> ChooseEntry(const std::vector<entry_candidate>& aCandidates,
                                           const std::string& aCaller,
                                           const std::string& aZone,
                                           const std::set<std::string>& aClosedZones);

} // namespace redwingdock

#endif
