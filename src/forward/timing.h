#ifndef REDWINGDOCK_FORWARD_TIMING_H
#define REDWINGDOCK_FORWARD_TIMING_H

#include "core/catalog.h"
#include "query/latency.h"

// Delays after which a forwarded request is hedged or answered in part.

namespace redwingdock {

// Median latency of an attempt on the route, or a fixed fraction of the target while no latency has
// been recorded.
micros ExpectedLatency(const route_rule& aRoute, const latency_record& aRecent);

// A latency that few attempts on the route exceed: the target, or several medians when that is
// more.
micros LongLatency(const route_rule& aRoute, const latency_record& aRecent);

// The part of the client's target that is spent outside this daemon.
struct client_delays
{
  micros mSpent{ 0 };     // before the request arrived
  micros mRoundTrip{ 0 }; // between client and daemon

  auto operator<=>(const client_delays&) const = default;
};

// Time from the arrival after which a gather answers with the parts it has, because a later answer
// would miss the client's target.
micros PartialAnswerDelay(const route_rule& aRoute, const client_delays& aClient);

// Time from an attempt until a hedge is sent to another replica. aPartialDelay is the time until
// the partial answer.
micros HedgeDelay(const route_rule& aRoute, const latency_record& aRecent, micros aPartialDelay);

} // namespace redwingdock

#endif
