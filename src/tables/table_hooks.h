#ifndef REDWINGDOCK_TABLES_TABLE_HOOKS_H
#define REDWINGDOCK_TABLES_TABLE_HOOKS_H

#include "tables/parse.h"
#include "tables/table_history.h"

#include <functional>

// Rules of the table controller. Tests replace a rule to show that their checks fail without it.

namespace redwingdock {

// Revisions of a routes table and a pools table; 0 stands for no table.
struct pair_revisions
{
  table_revision mRoutes;
  table_revision mPools;

  auto operator<=>(const pair_revisions&) const = default;
};

// Returns whether at least one revision is higher and neither is lower.
bool IsNewerPair(const pair_revisions& aNext, const pair_revisions& aInForce);

struct table_hooks
{
  std::function<result<routes_table>(const std::string&, const std::string&)> mParseRoutes =
    ParseRoutes;
  std::function<result<pools_table>(const std::string&, const std::string&)> mParsePools =
    ParsePools;
  std::function<result<vm_list>(const std::string&, const std::string&)> mParseVmList = ParseVmList;
  std::function<std::optional<reason>(const routes_table&, const pools_table&)> mCheckConsistency =
    CheckConsistency;
  // Whether the first pair may replace the second one, which is in force.
  std::function<bool(const pair_revisions&, const pair_revisions&)> mMayReplace = IsNewerPair;
  // Whether a VM list of revision aNext may replace the current one.
  std::function<bool(const table_revision& aNext, const table_revision& aCurrent)>
    mMayReplaceVmList = std::greater<>();
  // The revision of a table that the service returned under a number, by the hash of its text.
  std::function<table_revision(const table_history&, std::uint64_t, std::uint64_t)>
    mRevisionOfAnswer = RevisionOfAnswer;
  // Whether a daemon that is no reader reads the configuration service itself when it last heard
  // from a reader aSilence ago.
  std::function<bool(micros aSilence, micros aLimit)> mMayReadAsFallback = std::greater<>();
};

} // namespace redwingdock

#endif
