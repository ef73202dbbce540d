#ifndef REDWINGDOCK_TABLES_TABLE_CONTROLLER_H
#define REDWINGDOCK_TABLES_TABLE_CONTROLLER_H

#include "core/context.h"

namespace redwingdock {

// Registers the hooks of the controller on the blackboard.
void AddTableController(core_context& aContext);

} // namespace redwingdock

#endif
