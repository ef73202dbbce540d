#ifndef REDWINGDOCK_TABLES_PARSE_H
#define REDWINGDOCK_TABLES_PARSE_H

#include "core/values.h"

#include <optional>
#include <string>

// Parses and checks the published tables (YAML). Errors name file, line, key, what was found and
// what is allowed; unknown keys are refused.
//
//   result<pools_table> pools = ParsePools(text, "pools.yaml");

namespace redwingdock {

result<routes_table> ParseRoutes(const std::string& aText, const std::string& aFile);
result<pools_table> ParsePools(const std::string& aText, const std::string& aFile);
result<vm_list> ParseVmList(const std::string& aText, const std::string& aFile);

// Why the two tables do not fit together, or nothing. Every route names existing pools, and for
// each partition map of the route's pools the ranges of their shards cover each position in
// [0, kPositions) exactly once; at least one map exists.
std::optional<reason> CheckJoin(const routes_table& aRoutes, const pools_table& aPools);

} // namespace redwingdock

#endif
