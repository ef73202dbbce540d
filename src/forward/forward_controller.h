#ifndef REDWINGDOCK_FORWARD_FORWARD_CONTROLLER_H
#define REDWINGDOCK_FORWARD_FORWARD_CONTROLLER_H

#include "core/context.h"
#include "forward/forward_hooks.h"

// Forwards each request from its arrival to exactly one answer: matches its route, selects a
// replica for each part, repeats parts within the shared budget, answers in part or at the
// deadline, and cancels work that no client waits for.
//
// Reads facts request_arrived, request_abandoned and attempt_ended, and the entries catalog,
// fleet_view and forward_config; writes forward_state, replica_load, repeat_budget, latency_record,
// client_timeout_record and admission_level.

namespace redwingdock {

void AddForwardController(core_context& aContext, const forward_hooks& aHooks);

} // namespace redwingdock

#endif
