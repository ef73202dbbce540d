#ifndef REDWINGDOCK_TABLES_TABLE_HOOKS_H
#define REDWINGDOCK_TABLES_TABLE_HOOKS_H

#include "tables/parse.h"

#include <functional>

// Behaviour of the table controller that tests replace to show what it protects against.

namespace redwingdock {

// Whether a pair may replace the one in force (revision 0 when there is none).
struct pair_revisions
{
  std::uint64_t mRoutes = 0;
  std::uint64_t mPools = 0;

  auto operator<=>(const pair_revisions&) const = default;
};

// Neither revision is lower and one is higher.
bool IsNewerPair(const pair_revisions& aNext, const pair_revisions& aInForce);

struct table_hooks
{
  std::function<result<routes_table>(const std::string&, const std::string&)> mParseRoutes =
    ParseRoutes;
  std::function<result<pools_table>(const std::string&, const std::string&)> mParsePools =
    ParsePools;
  std::function<result<vm_list>(const std::string&, const std::string&)> mParseVmList = ParseVmList;
  std::function<std::optional<reason>(const routes_table&, const pools_table&)> mCheckJoin =
    CheckJoin;
  std::function<bool(const pair_revisions&, const pair_revisions&)> mMayReplace = IsNewerPair;
  std::function<bool(std::uint64_t aNext, std::uint64_t aCurrent)> mMayReplaceVms =
    std::greater<>();
  // Whether a daemon reads the service itself after no reader was heard for this long.
  std::function<bool(micros aSilence, micros aLimit)> mReadsAlone = std::greater<>();
};

} // namespace redwingdock

#endif
