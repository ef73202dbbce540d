#ifndef REDWINGDOCK_FORWARD_CRASH_CONTROLLER_H
#define REDWINGDOCK_FORWARD_CRASH_CONTROLLER_H

#include "core/context.h"
#include "core/forwarding.h"

// Recognises requests that end the replicas that run them, here and by the heartbeats of others.
//
// Reads facts attempt_ended and heartbeat_received, and the entries forward_state and replica_load;
// writes crash_record.

namespace redwingdock {

void AddCrashController(core_context& aContext);

// Whether a request must be refused because it has ended replicas before. Renews the refusal.
bool EndsReplicas(core_context& aContext, const forward_request& aRequest);

} // namespace redwingdock

#endif
