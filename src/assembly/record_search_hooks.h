#ifndef REDWINGDOCK_ASSEMBLY_RECORD_SEARCH_HOOKS_H
#define REDWINGDOCK_ASSEMBLY_RECORD_SEARCH_HOOKS_H

#include "core/values.h"
#include "gate/gate_hooks.h"
#include "membership/membership_hooks.h"
#include "query/query_hooks.h"
#include "tables/table_hooks.h"

// Replaceable rules of the record search. Each module declares its hooks and their defaults; a test
// replaces one to show which failure the default rule prevents.

namespace redwingdock {

struct record_search_hooks
{
  gate_hooks mGate;
  query_hooks mQuery;
  table_hooks mTables;
  membership_hooks mMembership;
};

} // namespace redwingdock

#endif
