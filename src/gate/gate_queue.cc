#include "gate/gate_queue.h"

#include <algorithm>

namespace redwingdock {

bool DispatchByUrgency(const part_request& aLeft, const part_request& aRight)
{
  return aLeft.mUrgency != aRight.mUrgency ? aLeft.mUrgency < aRight.mUrgency
                                           : aLeft.mDeadline < aRight.mDeadline;
}

bool ShedWhenLate(const part_request& aRequest, instant aStart, micros aService)
{
  return aStart >= aRequest.mDeadline || aStart + 2 * aService > aRequest.mDeadline;
}

const waiting_part* FindWaiting(const gate_queue& aQueue, const attempt_id& aAttempt)
{
  const auto found = std::find_if(aQueue.begin(), aQueue.end(), [&](const waiting_part& aEach) {
    return aEach.mRequest.mAttempt == aAttempt;
  });
  return found == aQueue.end() ? nullptr : &*found;
}

queue_step AfterArrival(gate_queue aQueue,
                        waiting_part aPart,
                        std::size_t aLimit,
                        const dispatch_order& aBefore)
{
  const auto place =
    std::upper_bound(aQueue.begin(),
                     aQueue.end(),
                     aPart,
                     [&aBefore](const waiting_part& aLeft, const waiting_part& aRight) {
                       return aBefore(aLeft.mRequest, aRight.mRequest);
                     });
  aQueue.insert(place, std::move(aPart));
  queue_step step{ std::move(aQueue), {} };
  if (step.mQueue.size() > aLimit) {
    step.mRemoved.push_back(std::move(step.mQueue.back()));
    step.mQueue.pop_back();
  }
  return step;
}

queue_step AfterRemoval(const gate_queue& aQueue,
                        const std::function<bool(const waiting_part&)>& aRemove)
{
  queue_step step;
  for (const waiting_part& each : aQueue) {
    (aRemove(each) ? step.mRemoved : step.mQueue).push_back(each);
  }
  return step;
}

queue_step AfterShedding(const gate_queue& aQueue,
                         std::vector<instant> aFreeAt,
                         micros aService,
                         instant aNow,
                         const shed_rule& aShed)
{
  const bool freeNow =
    std::any_of(aFreeAt.begin(), aFreeAt.end(), [aNow](instant aAt) { return aAt <= aNow; });
  queue_step step;
  for (const waiting_part& each : aQueue) {
    const auto earliest = std::min_element(aFreeAt.begin(), aFreeAt.end());
    if (earliest == aFreeAt.end() || aShed(each.mRequest, *earliest, aService)) {
      step.mRemoved.push_back(each);
      continue;
    }
    *earliest += aService;
    step.mQueue.push_back(each);
  }
  if (step.mQueue.empty() && freeNow && !step.mRemoved.empty()) {
    const auto latest =
      std::max_element(step.mRemoved.begin(),
                       step.mRemoved.end(),
                       [](const waiting_part& aLeft, const waiting_part& aRight) {
                         return aLeft.mRequest.mDeadline < aRight.mRequest.mDeadline;
                       });
    step.mQueue.push_back(*latest);
    step.mRemoved.erase(latest);
  }
  return step;
}

} // namespace redwingdock
