#include "query/budget.h"

#include <algorithm>

namespace redwingdock {

namespace {

double TokensOf(const token_budget* aBudget)
{
  return aBudget != nullptr ? aBudget->mTokens : kInitialBudgetTokens;
}

} // namespace

void AddTokens(blackboard& aBoard, const std::string& aKey, double aTokens)
{
  aBoard.Update<token_budget>(aKey, [aTokens](const token_budget* aOld) {
    return std::optional(token_budget{ std::min(kMaxBudgetTokens, TokensOf(aOld) + aTokens) });
  });
}

bool TryTakeToken(blackboard& aBoard, const std::string& aKey)
{
  return aBoard.Update<token_budget>(aKey,
                                     [](const token_budget* aOld) -> std::optional<token_budget> {
                                       const double tokens = TokensOf(aOld);
                                       if (tokens < 1.0) {
                                         return std::nullopt;
                                       }
                                       return token_budget{ tokens - 1.0 };
                                     });
}

} // namespace redwingdock
