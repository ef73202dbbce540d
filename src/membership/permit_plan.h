#ifndef REDWINGDOCK_MEMBERSHIP_PERMIT_PLAN_H
#define REDWINGDOCK_MEMBERSHIP_PERMIT_PLAN_H

#include "membership/membership_state.h"

#include <functional>

// Holders of all permits under the current tables, and the claims of earlier holders on the
// permits of this daemon. Pure functions.
//
//   permit_plan plan = PlanPermits(list, state, "vm-xela-1", 9);

namespace redwingdock {

struct permit_plan
{
  permit_holders mHolders;
  std::map<permit_id, std::vector<claim>> mClaims; // for each permit of this daemon

  bool operator==(const permit_plan&) const = default;
};

// Claims come from every earlier list and every earlier shape in the state, in all combinations,
// because another daemon may have one without the other. aNeedsClaims tells for which of its own
// permits the daemon needs them.
permit_plan PlanPermits(const vm_list& aList,
                        const membership_state& aState,
                        const std::string& aSelf,
                        std::uint32_t aWitnesses,
                        const std::function<bool(const permit_id&)>& aNeedsClaims);

// Whether a VM is in both lists under one address. Otherwise its VM was replaced.
bool SameAddress(const vm_list& aBefore, const vm_list& aNow, const std::string& aVm);

// Whether two claims differ in nothing but what has been found out about them.
bool SameClaim(const claim& aLeft, const claim& aRight);

// Shapes that differ from those before, for servers that are in both.
std::vector<older_shape> ReplacedShapes(const std::vector<permit_shape>& aBefore,
                                        const std::vector<permit_shape>& aAfter,
                                        std::uint64_t aPoolsRevision,
                                        instant aNow);

} // namespace redwingdock

#endif
