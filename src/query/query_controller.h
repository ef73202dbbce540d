#ifndef REDWINGDOCK_QUERY_QUERY_CONTROLLER_H
#define REDWINGDOCK_QUERY_QUERY_CONTROLLER_H

#include "core/context.h"
#include "query/query_hooks.h"

// Serves queries: plans parts, chooses replicas, gathers replies, hedges, retries and answers.

namespace redwingdock {

// Registers the hooks of the controller on the blackboard.
void AddQueryController(core_context& aContext, const query_hooks& aHooks);

} // namespace redwingdock

#endif
