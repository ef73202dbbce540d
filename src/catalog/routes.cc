#include "catalog/routes.h"

#include <algorithm>

namespace redwingdock {

std::map<std::string, std::vector<route_pointer>> IndexRoutes(
  const std::vector<route_rule>& aRoutes)
{
  std::map<std::string, std::vector<route_pointer>> routes;
  for (const route_rule& route : aRoutes) {
    routes[route.mHost].push_back(std::make_shared<const route_rule>(route));
  }
  for (auto& [host, hostRoutes] : routes) {
    std::stable_sort(hostRoutes.begin(),
                     hostRoutes.end(),
                     [](const route_pointer& aLeft, const route_pointer& aRight) {
                       return aLeft->mPrefix.size() > aRight->mPrefix.size();
                     });
  }
  return routes;
}

route_pointer FindRoute(const catalog& aCatalog, std::string_view aHost, std::string_view aPath)
{
  const auto found = aCatalog.mRoutes.find(std::string(aHost.substr(0, aHost.find(':'))));
  if (found == aCatalog.mRoutes.end()) {
    return nullptr;
  }
  const auto route =
    std::find_if(found->second.begin(), found->second.end(), [aPath](const route_pointer& aRoute) {
      return aPath.starts_with(aRoute->mPrefix);
    });
  return route == found->second.end() ? nullptr : *route;
}

} // namespace redwingdock
