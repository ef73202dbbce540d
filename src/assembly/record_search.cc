#include "assembly/record_search.h"

#include "entry/entry_controller.h"
#include "gate/gate_controller.h"
#include "membership/membership_controller.h"
#include "query/query_controller.h"
#include "safety/safety_controller.h"
#include "tables/table_controller.h"

#include <utility>

namespace redwingdock {

assembly_hook RecordSearch(record_search_hooks aHooks)
{
  return [hooks = std::move(aHooks)](core_context& aContext) {
    AddTableController(aContext, hooks.mTables);
    AddMembershipController(aContext, hooks.mMembership);
    AddGateController(aContext, hooks.mGate);
    AddSafetyController(aContext);
    AddQueryController(aContext, hooks.mQuery);
    AddEntryController(aContext);
  };
}

} // namespace redwingdock
