#ifndef REDWINGDOCK_QUERY_QUERY_CONTROLLER_H
#define REDWINGDOCK_QUERY_QUERY_CONTROLLER_H

#include "core/context.h"
#include "query/query_hooks.h"

// Serves callers' queries: plan, replica choice, gather, hedges, retries, answer.

namespace redwingdock {

// Registers the hooks of the controller on the blackboard.
void AddQueryController(core_context& aContext, const query_hooks& aHooks);

} // namespace redwingdock

#endif
