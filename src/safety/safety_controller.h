#ifndef REDWINGDOCK_SAFETY_SAFETY_CONTROLLER_H
#define REDWINGDOCK_SAFETY_SAFETY_CONTROLLER_H

#include "core/context.h"

// Keeps the suspect entries: adds lost servers, applies run results, exchanges entries with other
// daemons, and erases expired ones.

namespace redwingdock {

// Registers the hooks of the controller on the blackboard.
void AddSafetyController(core_context& aContext);

} // namespace redwingdock

#endif
