#ifndef REDWINGDOCK_CATALOG_ROUTES_H
#define REDWINGDOCK_CATALOG_ROUTES_H

#include "core/catalog.h"

#include <string_view>

// Choice of the route of a request.
//
//   route_pointer route = FindRoute(known, "search.example", "/cases/17?full=1");

namespace redwingdock {

// Routes by host, those with the longest prefix first.
std::map<std::string, std::vector<route_pointer>> IndexRoutes(
  const std::vector<route_rule>& aRoutes);

// The route of the host whose prefix is the longest that begins the path; null when there is none.
// A port in the host is ignored.
route_pointer FindRoute(const catalog& aCatalog, std::string_view aHost, std::string_view aPath);

} // namespace redwingdock

#endif
