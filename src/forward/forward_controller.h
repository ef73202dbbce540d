#ifndef REDWINGDOCK_FORWARD_FORWARD_CONTROLLER_H
#define REDWINGDOCK_FORWARD_FORWARD_CONTROLLER_H

#include "core/context.h"
#include "forward/forward_hooks.h"

// Takes each request from its arrival to one final answer: route, replica of each part, repeats
// within the shared budget, partial answers, deadlines, and the end of work nobody waits for.
//
// Reads facts request_arrived, request_abandoned and attempt_ended, and the entries catalog,
// fleet_view and forward_config; writes forward_state, replica_load, repeat_budget, latency_record,
// patience_record and admission_level.

namespace redwingdock {

void AddForwardController(core_context& aContext, const forward_hooks& aHooks);

} // namespace redwingdock

#endif
