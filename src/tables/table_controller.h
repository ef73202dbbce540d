#ifndef REDWINGDOCK_TABLES_TABLE_CONTROLLER_H
#define REDWINGDOCK_TABLES_TABLE_CONTROLLER_H

#include "core/context.h"
#include "tables/table_hooks.h"

// Reads the published tables, or gets them from the daemons that do, and selects the pair in
// force. Writes tables_in_force, vm_list and list_confirmation, all under kTablesKey.

namespace redwingdock {

// Registers the hooks of the controller on the blackboard.
void AddTableController(core_context& aContext, const table_hooks& aHooks = {});

} // namespace redwingdock

#endif
