#ifndef REDWINGDOCK_CTL_TABLE_CHECK_H
#define REDWINGDOCK_CTL_TABLE_CHECK_H

#include "core/values.h"

// Checks of published tables that go beyond their form: what is accepted, but probably not meant.
//
//   for (const std::string& each : TableWarnings(routes, pools, vms)) { ... }

namespace redwingdock::ctl {

// Warns of pools that no route uses, of limits that the daemons cannot share, of shards that lose
// all replicas with one zone, and of closed zones without servers. The VM list may be null; then
// five daemons are assumed.
std::vector<std::string> TableWarnings(const routes_table& aRoutes,
                                       const pools_table& aPools,
                                       const vm_list* aVms);

} // namespace redwingdock::ctl

#endif
