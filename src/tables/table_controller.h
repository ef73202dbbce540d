#ifndef REDWINGDOCK_TABLES_TABLE_CONTROLLER_H
#define REDWINGDOCK_TABLES_TABLE_CONTROLLER_H

#include "core/context.h"
#include "tables/table_hooks.h"

// Reads the published tables from the configuration service, or pulls them from the daemons that
// do, and selects the pair of routes and pools tables that is in force. Writes tables_in_force,
// vm_list and list_confirmation to the blackboard, all under kTablesKey.

namespace redwingdock {

// Creates the controller and registers its hooks on the blackboard of aContext.
void AddTableController(core_context& aContext, const table_hooks& aHooks = {});

} // namespace redwingdock

#endif
