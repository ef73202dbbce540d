#ifndef REDWINGDOCK_QUERY_BUDGET_H
#define REDWINGDOCK_QUERY_BUDGET_H

#include "blackboard/blackboard.h"

#include <compare>
#include <string>

// Token budgets for extra attempts. Each first attempt earns a fraction of a token; each hedge or
// retry spends one, so that the extra load of all daemons together stays below the same fraction.
//
//   AddTokens(board, kHedgeBudgetKey, 0.05 * parts);
//   if (TryTakeToken(board, kHedgeBudgetKey)) { ... send the hedge ... }

namespace redwingdock {

struct token_budget
{
  double mTokens = 0.0;

  auto operator<=>(const token_budget&) const = default;
};

inline constexpr char kHedgeBudgetKey[] = "budget/hedge";
inline constexpr char kRetryBudgetKey[] = "budget/retry";

// Unspent tokens above this are lost, which bounds a burst after a quiet time.
inline constexpr double kMaxBudgetTokens = 50.0;

// Available to a daemon that just started, so that its first queries can recover from a failure.
inline constexpr double kInitialBudgetTokens = 10.0;

void AddTokens(blackboard& aBoard, const std::string& aKey, double aTokens);

// Takes one token; false when there is none.
bool TryTakeToken(blackboard& aBoard, const std::string& aKey);

} // namespace redwingdock

#endif
