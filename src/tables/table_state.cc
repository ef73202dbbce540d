#include "tables/table_state.h"

namespace redwingdock {

namespace {

std::optional<reason> FindInconsistency(const table_pair& aPair, const table_hooks& aHooks)
{
  if (!aPair.mRoutes.mTable || !aPair.mPools.mTable) {
    return reason{ "join", "", "a table is missing" };
  }
  return aHooks.mCheckConsistency(*aPair.mRoutes.mTable, *aPair.mPools.mTable);
}

} // namespace

bool IsNewerPair(const pair_revisions& aNext, const pair_revisions& aInForce)
{
  return aNext.mRoutes >= aInForce.mRoutes && aNext.mPools >= aInForce.mPools && aNext != aInForce;
}

std::optional<table_pair> SelectPair(const table_pair& aInForce,
                                     const published_routes& aRoutes,
                                     const published_pools& aPools,
                                     const table_hooks& aHooks,
                                     std::string& aError)
{
  const pair_revisions now = aInForce.Revisions();
  const table_pair latest{ aRoutes, aPools };
  if (!aHooks.mMayReplace(latest.Revisions(), now)) {
    return std::nullopt;
  }
  const std::optional<reason> fault = FindInconsistency(latest, aHooks);
  if (!fault) {
    return latest;
  }
  aError = Describe(*fault);
  const table_pair withRoutes{ aRoutes, aInForce.mPools };
  const table_pair withPools{ aInForce.mRoutes, aPools };
  const bool routesHold =
    aHooks.mMayReplace(withRoutes.Revisions(), now) && !FindInconsistency(withRoutes, aHooks);
  const bool poolsHold =
    aHooks.mMayReplace(withPools.Revisions(), now) && !FindInconsistency(withPools, aHooks);
  if (routesHold != poolsHold) {
    return routesHold ? withRoutes : withPools;
  }
  return std::nullopt;
}

} // namespace redwingdock
