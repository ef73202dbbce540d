#ifndef REDWINGDOCK_FORWARD_REPEAT_BUDGET_H
#define REDWINGDOCK_FORWARD_REPEAT_BUDGET_H

#include "base/time.h"

#include <array>
#include <compare>
#include <cstdint>

// Requests for a service and arrivals beyond the first of each request, in a sliding window.
//
//   repeat_budget next = WithRequest(budget, now);
//   if (MayRepeat(next, limits, now)) { next = WithRepeat(next, now); ... }

namespace redwingdock {

inline constexpr std::size_t kBudgetSlices = 44;
inline constexpr micros kBudgetSlice = std::chrono::milliseconds(250);

// Counts by slice of time. Entry key: "budget/" and the service.
struct repeat_budget
{
  std::array<std::uint16_t, kBudgetSlices> mRequests{};
  std::array<std::uint16_t, kBudgetSlices> mRepeats{};
  std::int64_t mSlice = 0; // the newest

  auto operator<=>(const repeat_budget&) const = default;
};

struct repeat_limits
{
  double mRatio = 0; // repeats a request
  double mSlack = 0; // further repeats in a window, this daemon's share
  micros mWindow{ 0 };

  auto operator<=>(const repeat_limits&) const = default;
};

repeat_budget WithRequest(const repeat_budget& aBudget, instant aNow);
repeat_budget WithRepeat(const repeat_budget& aBudget, instant aNow);

// Whether one more repeat stays within ratio * requests + slack. Both are kept by each daemon for
// itself: shares of a ratio add up to the ratio, and the slack is divided.
bool MayRepeat(const repeat_budget& aBudget, const repeat_limits& aLimits, instant aNow);

} // namespace redwingdock

#endif
