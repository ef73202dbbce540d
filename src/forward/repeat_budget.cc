#include "forward/repeat_budget.h"

#include <algorithm>
#include <cstddef>

namespace redwingdock {

namespace {

std::int64_t SliceOf(instant aNow)
{
  return aNow.time_since_epoch() / kBudgetSlice;
}

std::size_t IndexOf(std::int64_t aSlice)
{
  return static_cast<std::size_t>(aSlice) % kBudgetSlices;
}

// Advances the budget to aNow and clears the slices that are reused.
repeat_budget AdvancedTo(const repeat_budget& aBudget, instant aNow)
{
  repeat_budget next = aBudget;
  const std::int64_t slice = SliceOf(aNow);
  const std::int64_t first =
    std::max(aBudget.mSlice + 1, slice - static_cast<std::int64_t>(kBudgetSlices) + 1);
  for (std::int64_t each = first; each <= slice; ++each) {
    next.mRequests[IndexOf(each)] = 0;
    next.mRepeats[IndexOf(each)] = 0;
  }
  next.mSlice = std::max(slice, aBudget.mSlice);
  return next;
}

template<typename Counts>
double Sum(const Counts& aCounts, std::int64_t aNewest, std::int64_t aSlices)
{
  double sum = 0;
  for (std::int64_t i = 0; i < std::min<std::int64_t>(aSlices, kBudgetSlices); ++i) {
    sum += aCounts[IndexOf(aNewest - i)];
  }
  return sum;
}

} // namespace

repeat_budget WithRequest(const repeat_budget& aBudget, instant aNow)
{
  repeat_budget next = AdvancedTo(aBudget, aNow);
  ++next.mRequests[IndexOf(next.mSlice)];
  return next;
}

repeat_budget WithRepeat(const repeat_budget& aBudget, instant aNow)
{
  repeat_budget next = AdvancedTo(aBudget, aNow);
  ++next.mRepeats[IndexOf(next.mSlice)];
  return next;
}

bool MayRepeat(const repeat_budget& aBudget, const repeat_limits& aLimits, instant aNow)
{
  const repeat_budget present = AdvancedTo(aBudget, aNow);
  const std::int64_t slices = aLimits.mWindow / kBudgetSlice;
  // A window that starts anywhere within a slice overlaps at most slices + 2 slices and contains at
  // least slices - 1 whole ones, so that the limit holds for every window.
  const double repeats = Sum(present.mRepeats, present.mSlice, slices + 2);
  const double requests = Sum(present.mRequests, present.mSlice, slices - 1);
  return repeats + 1 <= aLimits.mRatio * requests + aLimits.mSlack;
}

} // namespace redwingdock
