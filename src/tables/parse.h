#ifndef REDWINGDOCK_TABLES_PARSE_H
#define REDWINGDOCK_TABLES_PARSE_H

#include "core/values.h"

#include <optional>
#include <string>

// Parses and validates the published tables, which are YAML. An error gives the file, line and key,
// what was found and what is allowed. Unknown keys are errors.
//
//   result<pools_table> pools = ParsePools(text, "pools.yaml");

namespace redwingdock {

result<routes_table> ParseRoutes(const std::string& aText, const std::string& aFile);
result<pools_table> ParsePools(const std::string& aText, const std::string& aFile);
result<vm_list> ParseVmList(const std::string& aText, const std::string& aFile);

// Returns an error if the two tables are inconsistent. Every route must name existing pools, which
// must have at least one partition map. For each partition map, the ranges of the shards of the
// route's pools must cover each position in [0, kPositions) exactly once.
std::optional<reason> CheckConsistency(const routes_table& aRoutes, const pools_table& aPools);

} // namespace redwingdock

#endif
