#ifndef REDWINGDOCK_GATE_GATE_QUEUE_H
#define REDWINGDOCK_GATE_GATE_QUEUE_H

#include "core/requests.h"

#include <functional>

// Parts that wait for a permit of one server: order and shedding.
//
//   queue_step step = AfterArrival(queue, part, config.mQueueLimit, DispatchByUrgency);
//   step = AfterShedding(step.mQueue, permitFreeAt, serviceTime, DispatchByUrgency, ...);
//   for (const waiting_part& shed : step.mRemoved) { ... }

namespace redwingdock {

struct waiting_part
{
  std::string mFrom; // VM that gets the result
  part_request mRequest;

  auto operator<=>(const waiting_part&) const = default;
};

// In dispatch order.
using gate_queue = std::vector<waiting_part>;

struct queue_step
{
  gate_queue mQueue;
  gate_queue mRemoved;

  auto operator<=>(const queue_step&) const = default;
};

// Whether the first part is sent before the second.
using dispatch_order = std::function<bool(const part_request&, const part_request&)>;
// Whether a part that can be sent at aStart, when parts usually take aService, is shed now.
using shed_rule = std::function<bool(const part_request&, instant aStart, micros aService)>;

// By urgency, then deadline.
bool DispatchByUrgency(const part_request& aLeft, const part_request& aRight);

// When less than twice the usual time would be left. A part that expires at the server can block
// its permit for mDeadlineSlack, which costs more than the part is worth.
bool ShedWhenLate(const part_request& aRequest, instant aStart, micros aService);

const waiting_part* FindWaiting(const gate_queue& aQueue, const attempt_id& aAttempt);

// Adds a part. Removes the last one in dispatch order, which may be the new one, when the queue is
// over its limit.
queue_step AfterArrival(gate_queue aQueue,
                        waiting_part aPart,
                        std::size_t aLimit,
                        const dispatch_order& aBefore);

// Removes the parts that aRemove names.
queue_step AfterRemoval(const gate_queue& aQueue,
                        const std::function<bool(const waiting_part&)>& aRemove);

// Removes parts that will not be sent in time. aFreeAt holds the time at which each usable permit
// is free; aService is the usual time that a part takes, 0 when unknown. When no part would be left
// for a permit that is free now, the one with the latest deadline stays, so that the service time
// is learned anew when the server has become faster.
queue_step AfterShedding(const gate_queue& aQueue,
                         std::vector<instant> aFreeAt,
                         micros aService,
                         instant aNow,
                         const shed_rule& aShed);

} // namespace redwingdock

#endif
