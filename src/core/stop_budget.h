#ifndef REDWINGDOCK_CORE_STOP_BUDGET_H
#define REDWINGDOCK_CORE_STOP_BUDGET_H

#include "base/time.h"

#include <compare>

// How a stopping daemon divides the grace, which is the time from the stop signal until the
// platform kills the process.
//
//   stop_budget budget = StopBudget(std::chrono::seconds(6));
//   budget = WithLinger(budget, std::chrono::seconds(1));

namespace redwingdock {

// Times after the stop signal, in the order in which they pass.
struct stop_budget
{
  micros mLinger{ 0 };       // callers are accepted until then
  micros mLastForward{ 0 };  // no request is forwarded later
  micros mFinalAnswers{ 0 }; // each open request is answered now
  micros mFlush{ 0 };        // replies are sent until then; the process exits
  micros mGrace{ 0 };        // the process has ended

  auto operator<=>(const stop_budget&) const = default;
};

// A grace of less than about a second leaves no time to close callers.
stop_budget StopBudget(micros aGrace);

// Changed copies. WithLinger limits the time to half of that until the final answers.
// WithFinalAnswers moves the parts beside them; the process exits before the grace ends if the
// final answers do.
stop_budget WithLinger(const stop_budget& aBudget, micros aLinger);
stop_budget WithFinalAnswers(const stop_budget& aBudget, micros aFinalAnswers);

inline constexpr micros kDefaultGrace = std::chrono::seconds(6);

} // namespace redwingdock

#endif
