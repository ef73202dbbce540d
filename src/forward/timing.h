#ifndef REDWINGDOCK_FORWARD_TIMING_H
#define REDWINGDOCK_FORWARD_TIMING_H

#include "core/catalog.h"
#include "query/latency.h"

// When a request takes its next step.

namespace redwingdock {

// Usual latency of an attempt on the route; a share of the target while it is not known.
micros ExpectedLatency(const route_rule& aRoute, const latency_record& aRecent);

// What of the client's time this daemon does not have.
struct client_time
{
  micros mSpent{ 0 };     // before the request arrived
  micros mRoundTrip{ 0 }; // between client and daemon

  auto operator<=>(const client_time&) const = default;
};

// Time from the arrival after which a gather answers with the parts it has, because a whole answer
// would reach the client after the target.
micros PartialAnswerAfter(const route_rule& aRoute, const client_time& aClient);

// Time from an attempt after which another replica is asked as well. aPartialAfter is the time
// until the partial answer.
micros HedgeAfter(const route_rule& aRoute, const latency_record& aRecent, micros aPartialAfter);

} // namespace redwingdock

#endif
