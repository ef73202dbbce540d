#ifndef REDWINGDOCK_QUERY_BUDGET_H
#define REDWINGDOCK_QUERY_BUDGET_H

#include "blackboard/blackboard.h"

#include <compare>
#include <string>

// Token buckets that bound the extra load of hedges and retries. Each first attempt adds a fraction
// of a token and each hedge or retry takes one, so that the extra load of all daemons together
// stays below the same fraction.
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

// Capacity of a bucket, in tokens. Bounds the burst of extra attempts after an idle period.
inline constexpr double kMaxBudgetTokens = 50.0;

// Tokens of a bucket at process start, so that the first queries can recover from a failure.
inline constexpr double kInitialBudgetTokens = 10.0;

// Adds tokens to the budget under aKey, up to kMaxBudgetTokens.
void AddTokens(blackboard& aBoard, const std::string& aKey, double aTokens);

// Takes one token. Returns false, and takes nothing, if less than one is left.
bool TryTakeToken(blackboard& aBoard, const std::string& aKey);

} // namespace redwingdock

#endif
