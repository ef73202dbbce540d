#ifndef REDWINGDOCK_MEMBERSHIP_PERMIT_PLAN_H
#define REDWINGDOCK_MEMBERSHIP_PERMIT_PLAN_H

#include "membership/membership_state.h"

#include <functional>

// Computes the holders of all permits under the current tables, and the claims of earlier holders
// on the permits of this daemon. All functions are pure.
//
//   permit_plan plan = PlanPermits(list, state, "vm-xela-1", 9);

namespace redwingdock {

struct permit_plan
{
  permit_holders mHolders;
  std::map<permit_id, std::vector<claim>> mClaims; // by permit of this daemon that needs claims

  bool operator==(const permit_plan&) const = default;
};

// Assigns the permits under aList and collects claims from every combination of earlier lists and
// earlier shapes in aState, because another daemon may have an older list with a newer shape or the
// reverse. aNeedsClaims returns whether claims are collected for a permit of aSelf; the others are
// left out of mClaims. aWitnesses is the number of witnesses per VM.
permit_plan PlanPermits(const vm_list& aList,
                        const membership_state& aState,
                        const std::string& aSelf,
                        std::uint32_t aWitnesses,
                        const std::function<bool(const permit_id&)>& aNeedsClaims);

// Whether a VM is in both lists with the same address. If not, it was removed or replaced.
bool SameAddress(const vm_list& aBefore, const vm_list& aNow, const std::string& aVm);

// Whether two claims have the same kind, holder and revisions, whatever has been learned about them
// since.
bool SameClaim(const claim& aLeft, const claim& aRight);

// Returns the shapes of aBefore that aAfter changes for at least one server that is in both.
std::vector<replaced_shape> ReplacedShapes(const std::vector<permit_shape>& aBefore,
                                           const std::vector<permit_shape>& aAfter,
                                           const table_revision& aPoolsRevision,
                                           instant aNow);

} // namespace redwingdock

#endif
