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
  const char* mRoute; // empty when there is none
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
  testing::Values(route_row{ "a shorter prefix wins", "h", "/a/b/c", "long" },
                  route_row{ "the longer prefix is not given back", "h", "/a/bc", "short" },
                  route_row{ "a prefix without its slash", "h", "/a", "" },
                  route_row{ "another host's route", "h", "/x/", "" },
                  route_row{ "an unknown host", "x", "/a/", "" },
                  route_row{ "a port in the host", "h:8080", "/a/", "short" },
                  route_row{ "the root prefix", "g", "/any", "other" }));

} // namespace
} // namespace redwingdock
