#include "tables/table_state.h"

#include <gtest/gtest.h>

namespace redwingdock {

namespace {

published_routes Routes(const table_revision& aRevision)
{
  return { std::make_shared<const std::string>(),
           std::make_shared<const routes_table>(routes_table{ aRevision, {} }) };
}

published_pools Pools(const table_revision& aRevision)
{
  return { std::make_shared<const std::string>(),
           std::make_shared<const pools_table>(pools_table{ aRevision, {}, {} }) };
}

struct select_case
{
  const char* mName;
  pair_revisions mInForce;
  pair_revisions mLatest;
  std::set<pair_revisions> mConsistent;
  std::optional<pair_revisions> mSelected;
};

class select_pair_test : public testing::TestWithParam<select_case>
{};

TEST_P(select_pair_test, SelectsPairInForce)
{
  const select_case& row = GetParam();
  SCOPED_TRACE(row.mName);
  table_hooks hooks;
  hooks.mCheckConsistency = [&row](const routes_table& aRoutes,
                                   const pools_table& aPools) -> std::optional<reason> {
    if (row.mConsistent.contains({ aRoutes.mRevision, aPools.mRevision })) {
      return std::nullopt;
    }
    return reason{ "join", "", "gap" };
  };
  std::string error;
  const auto selected = SelectPair({ Routes(row.mInForce.mRoutes), Pools(row.mInForce.mPools) },
                                   Routes(row.mLatest.mRoutes),
                                   Pools(row.mLatest.mPools),
                                   hooks,
                                   error);
  ASSERT_EQ(selected.has_value(), row.mSelected.has_value());
  if (selected) {
    EXPECT_EQ(selected->Revisions(), *row.mSelected);
  }
}

const select_case kSelectCases[] = {
  { "a consistent newer pair is not selected",
    { 1, 1 },
    { 2, 2 },
    { { 2, 2 } },
    pair_revisions{ 2, 2 } },
  { "an inconsistent routes table blocks the pools table",
    { 1, 1 },
    { 2, 2 },
    { { 1, 2 } },
    pair_revisions{ 1, 2 } },
  { "an inconsistent pools table blocks the routes table",
    { 1, 1 },
    { 2, 2 },
    { { 2, 1 } },
    pair_revisions{ 2, 1 } },
  { "daemons choose different tables when both mixed pairs are consistent",
    { 1, 1 },
    { 2, 2 },
    { { 1, 2 }, { 2, 1 } },
    std::nullopt },
  { "a service with an older table reverts it",
    { 2, 2 },
    { 3, 1 },
    { { 3, 1 }, { 2, 2 } },
    std::nullopt },
  { "the same pair is put into force again", { 2, 2 }, { 2, 2 }, { { 2, 2 } }, std::nullopt },
  { "inconsistent tables are put into force", { 1, 1 }, { 2, 2 }, {}, std::nullopt },
};

INSTANTIATE_TEST_SUITE_P(tables, select_pair_test, testing::ValuesIn(kSelectCases));

} // namespace

} // namespace redwingdock
