#ifndef REDWINGDOCK_CTL_TABLE_CHECK_H
#define REDWINGDOCK_CTL_TABLE_CHECK_H

#include "core/values.h"

// Lints tables: finds contents that the daemons accept but that are probably mistakes.
//
//   for (const std::string& each : TableWarnings(routes, pools, vms)) { ... }

namespace redwingdock::ctl {

// Returns warnings about pools that no route uses, connection limits and slots that are too low for
// the number of daemons, shards without a server that is in use, shards that lose all replicas with
// one zone, and closed zones without servers. If aVms is null, five daemons are assumed.
std::vector<std::string> TableWarnings(const routes_table& aRoutes,
                                       const pools_table& aPools,
                                       const vm_list* aVms);

} // namespace redwingdock::ctl

#endif
