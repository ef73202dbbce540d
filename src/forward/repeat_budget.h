#ifndef REDWINGDOCK_FORWARD_REPEAT_BUDGET_H
#define REDWINGDOCK_FORWARD_REPEAT_BUDGET_H

#include "base/time.h"

#include <array>
#include <compare>
#include <cstdint>

// Sliding-window budget for repeats, which are retries and hedges: sends of a request to a service
// after the first one.
//
//   repeat_budget next = WithRequest(budget, now);
//   if (MayRepeat(next, limits, now)) { next = WithRepeat(next, now); ... }

namespace redwingdock {

inline constexpr std::size_t kBudgetSlices = 44;
inline constexpr micros kBudgetSlice = std::chrono::milliseconds(250);
// Longest window that MayRepeat can enforce. It also reads the two slices around the window.
inline constexpr micros kMaxRepeatWindow = (kBudgetSlices - 2) * kBudgetSlice;

// Counts by time slice, as a ring buffer. Entry key: BudgetKey.
struct repeat_budget
{
  std::array<std::uint16_t, kBudgetSlices> mRequests{};
  std::array<std::uint16_t, kBudgetSlices> mRepeats{};
  std::int64_t mSlice = 0; // newest slice, in units of kBudgetSlice

  auto operator<=>(const repeat_budget&) const = default;
};

struct repeat_limits
{
  double mRatio = 0; // repeats per request
  double mSlack = 0; // additional repeats in a window, this daemon's share
  micros mWindow{ 0 };

  auto operator<=>(const repeat_limits&) const = default;
};

repeat_budget WithRequest(const repeat_budget& aBudget, instant aNow);
repeat_budget WithRepeat(const repeat_budget& aBudget, instant aNow);

// Whether one more repeat stays within ratio * requests + slack. Each daemon enforces its own
// share: per-daemon ratios add up to the ratio of the fleet, and the slack is divided among the
// daemons.
bool MayRepeat(const repeat_budget& aBudget, const repeat_limits& aLimits, instant aNow);

} // namespace redwingdock

#endif
