#ifndef REDWINGDOCK_FORWARD_CRASH_CONTROLLER_H
#define REDWINGDOCK_FORWARD_CRASH_CONTROLLER_H

#include "core/context.h"

// Finds requests that crash the replicas that run them, and requests that such a request only
// shared its replicas with. A lost run is evidence once the process of its replica is known to have
// ended; a request that any replica answered is cleared.
//
//   AddCrashController(context);
//   if (VerdictOf(context, request) == crash_verdict::Refused) { ... }

namespace redwingdock {

enum class crash_verdict
{
  None,
  // Was refused before and may crash replicas again: it is sent to one replica of each service at
  // most, until one answers.
  Trial,
  Refused,
};

// What is known about a request that has just arrived.
crash_verdict VerdictOf(core_context& aContext, const forward_request& aRequest);

// Registers the hooks. Must be added before the forward controller, which removes the state of a
// request when its last attempt ends.
void AddCrashController(core_context& aContext);

} // namespace redwingdock

#endif
