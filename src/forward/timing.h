#ifndef REDWINGDOCK_FORWARD_TIMING_H
#define REDWINGDOCK_FORWARD_TIMING_H

#include "core/catalog.h"
#include "query/latency.h"

// When a request takes its next step.

namespace redwingdock {

// Usual latency of an attempt on the route; a share of the target while it is not known.
micros ExpectedLatency(const route_rule& aRoute, const latency_record& aRecent);

// Time from the arrival after which a gather answers with the parts it has, because a whole answer
// would come after the target.
micros PartialAnswerAfter(const route_rule& aRoute);

// Time from an attempt after which another replica is asked as well.
micros HedgeAfter(const route_rule& aRoute, const latency_record& aRecent);

} // namespace redwingdock

#endif
