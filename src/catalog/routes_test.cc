#include "catalog/routes.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

route_rule Rule(const std::string& aName, const std::string& aHost, const std::string& aPrefix)
{
  route_rule rule;
  rule.mName = aName;
  rule.mHost = aHost;
  rule.mPrefix = aPrefix;
  return rule;
}

struct route_row
{
  const char* mGuardsAgainst;
  const char* mHost;
  const char* mPath;
  const char* mRoute; // name of the expected route; empty for none
};

class route_test : public testing::TestWithParam<route_row>
{};

TEST_P(route_test, Found)
{
  catalog known;
  known.mRoutes =
    IndexRoutes({ Rule("short", "h", "/a/"), Rule("long", "h", "/a/b/"), Rule("other", "g", "/") });
  const route_pointer route = FindRoute(known, GetParam().mHost, GetParam().mPath);
  EXPECT_EQ(route ? route->mName : "", GetParam().mRoute) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  route_test,
  testing::Values(
    route_row{ "a shorter prefix is preferred to a longer one", "h", "/a/b/c", "long" },
    route_row{ "a shorter prefix is not found when a longer one almost matches",
               "h",
               "/a/bc",
               "short" },
    route_row{ "a prefix matches a path without its final slash", "h", "/a", "" },
    route_row{ "the route of another host matches", "h", "/x/", "" },
    route_row{ "an unknown host matches a route", "x", "/a/", "" },
    route_row{ "a port in the host prevents a match", "h:8080", "/a/", "short" },
    route_row{ "the prefix of the root path does not match", "g", "/any", "other" }));

} // namespace
} // namespace redwingdock
