#ifndef REDWINGDOCK_ENTRY_ENTRY_CONTROLLER_H
#define REDWINGDOCK_ENTRY_ENTRY_CONTROLLER_H

#include "core/context.h"

namespace redwingdock {

// Registers the hooks of the controller on the blackboard.
void AddEntryController(core_context& aContext);

} // namespace redwingdock

#endif
