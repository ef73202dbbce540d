#ifndef REDWINGDOCK_CATALOG_ROUTES_H
#define REDWINGDOCK_CATALOG_ROUTES_H

#include "core/catalog.h"

#include <string_view>

// Finds the route of a request.
//
//   route_pointer route = FindRoute(known, "search.example", "/cases/17?full=1");

namespace redwingdock {

// Groups the routes by host, the longest prefix first.
std::map<std::string, std::vector<route_pointer>> IndexRoutes(
  const std::vector<route_rule>& aRoutes);

// Returns the route of the host with the longest prefix that matches the start of the path; null
// when no route matches. A port in the host is ignored.
route_pointer FindRoute(const catalog& aCatalog, std::string_view aHost, std::string_view aPath);

} // namespace redwingdock

#endif
