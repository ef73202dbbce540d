#include "core/stop_budget.h"

#include <algorithm>

namespace redwingdock {

namespace {

// Covers the time for which callers use the address of a daemon that has just told that it stops.
constexpr micros kLinger = std::chrono::milliseconds(2300);
// A process that is held to a quota of the processor may not run for a tenth of a second; a request
// that is forwarded later than that before the final answers may not be sent at all.
constexpr micros kMaxForwardMargin = std::chrono::milliseconds(100);
constexpr int kForwardMarginDivisor = 60;
// The platform accepts that work which still runs in the last sixth of the grace is not finished.
constexpr int kFinalDivisor = 6;
constexpr micros kMaxFinalTime = std::chrono::seconds(10); // sends large replies to slow clients
// Sends the final answers where a setting moves them to the end of the grace.
constexpr micros kMinFlushTime = std::chrono::milliseconds(200);
// Ends the threads and writes the log, also where a quota of the processor delays both.
constexpr int kExitDivisor = 30;
constexpr micros kMinExitTime = std::chrono::milliseconds(50);
constexpr micros kMaxExitTime = std::chrono::seconds(1);

micros ForwardMargin(micros aGrace)
{
  return std::min(kMaxForwardMargin, aGrace / kForwardMarginDivisor);
}

} // namespace

stop_budget StopBudget(micros aGrace)
{
  stop_budget budget;
  budget.mGrace = aGrace;
  budget.mFlush = aGrace - std::clamp(aGrace / kExitDivisor, kMinExitTime, kMaxExitTime);
  budget.mFinalAnswers = aGrace - std::min(kMaxFinalTime, aGrace / kFinalDivisor);
  budget.mLastForward = budget.mFinalAnswers - ForwardMargin(aGrace);
  return WithLinger(budget, kLinger);
}

stop_budget WithLinger(const stop_budget& aBudget, micros aLinger)
{
  stop_budget budget = aBudget;
  budget.mLinger = std::min(aLinger, budget.mFinalAnswers / 2);
  return budget;
}

stop_budget WithFinalAnswers(const stop_budget& aBudget, micros aFinalAnswers)
{
  stop_budget budget = aBudget;
  budget.mFinalAnswers = aFinalAnswers;
  budget.mLastForward = aFinalAnswers - std::min(ForwardMargin(budget.mGrace), aFinalAnswers / 2);
  const micros flushTime = aBudget.mFlush - aBudget.mFinalAnswers;
  budget.mFlush =
    std::max(aFinalAnswers + kMinFlushTime, std::min(aBudget.mFlush, aFinalAnswers + flushTime));
  budget.mGrace = std::max(aBudget.mGrace, budget.mFlush);
  return WithLinger(budget, budget.mLinger);
}

} // namespace redwingdock
