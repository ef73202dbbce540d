#ifndef REDWINGDOCK_GATE_GATE_QUEUE_H
#define REDWINGDOCK_GATE_GATE_QUEUE_H

#include "core/requests.h"
#include "gate/shared_value.h"

#include <functional>

// Queue of the parts that wait for a permit of one server: dispatch order and load shedding.
//
//   queue_step step = AfterArrival(queue, part, config.mQueueLimit, DispatchByUrgency);
//   step = AfterShedding(step.mQueue, permitsFreeAt, serviceTime, now, ShedWhenLate);
//   for (const waiting_part& shed : step.mRemoved) { ... }

namespace redwingdock {

struct waiting_part
{
  std::string mFrom; // VM that receives the result
  part_request mRequest;

  auto operator<=>(const waiting_part&) const = default;
};

// In dispatch order.
using gate_queue = std::vector<shared_value<waiting_part>>;

// The queue after a change, and the parts that the change removed.
struct queue_step
{
  gate_queue mQueue;
  gate_queue mRemoved;

  auto operator<=>(const queue_step&) const = default;
};

// Whether the first part is dispatched before the second.
using dispatch_order = std::function<bool(const part_request&, const part_request&)>;
// Whether to shed a part now. aStart is the earliest time at which it can be sent, aService the
// usual service time.
using shed_rule = std::function<bool(const part_request&, instant aStart, micros aService)>;

// Orders by urgency, then by deadline.
bool DispatchByUrgency(const part_request& aLeft, const part_request& aRight);

// Sheds when less than twice the usual service time would be left before the deadline. A part that
// expires at the server can block its permit for mDeadlineSlack, which costs more than shedding it.
bool ShedWhenLate(const part_request& aRequest, instant aStart, micros aService);

// Null when the attempt is not in the queue.
const waiting_part* FindWaiting(const gate_queue& aQueue, const attempt_id& aAttempt);

// Adds a part. When the queue exceeds aLimit, removes the last part in dispatch order, which may be
// the new one.
queue_step AfterArrival(gate_queue aQueue,
                        waiting_part aPart,
                        std::size_t aLimit,
                        const dispatch_order& aBefore);

// Removes the parts for which aRemove returns true.
queue_step AfterRemoval(const gate_queue& aQueue,
                        const std::function<bool(const waiting_part&)>& aRemove);

// Removes the parts that are expected to miss their deadlines. aFreeAt holds the time at which each
// usable permit becomes free; aService is the usual service time, 0 when unknown. When a permit is
// free now and every part would be removed, the part with the latest deadline stays: its reply
// updates the service time estimate after the server has become faster.
queue_step AfterShedding(const gate_queue& aQueue,
                         std::vector<instant> aFreeAt,
                         micros aService,
                         instant aNow,
                         const shed_rule& aShed);

} // namespace redwingdock

#endif
