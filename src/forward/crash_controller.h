#ifndef REDWINGDOCK_FORWARD_CRASH_CONTROLLER_H
#define REDWINGDOCK_FORWARD_CRASH_CONTROLLER_H

#include "core/context.h"
#include "core/forwarding.h"

// Detects requests that crash the replicas that run them, from this daemon's own attempts and from
// the heartbeats of other daemons.
//
// Reads facts attempt_ended and heartbeat_received, and the entries forward_state and replica_load;
// writes crash_record.

namespace redwingdock {

void AddCrashController(core_context& aContext);

// Whether a request must be refused because it has crashed replicas before. If so, extends the time
// for which it is refused.
bool IsCrashingRequest(core_context& aContext, const forward_request& aRequest);

} // namespace redwingdock

#endif
