#ifndef REDWINGDOCK_STANDIN_SCAN_H
#define REDWINGDOCK_STANDIN_SCAN_H

#include "standin/records.h"

// Searches a record file directly, as the reference for the answers of the query tier.
//
//   result<std::vector<std::string>> ids = Scan(text, "cases.jsonl", { "office=Solola" }, 41);

namespace redwingdock::standin {

// Returns the sorted ids of the records of the index version that match all "field=value" filters.
result<std::vector<std::string>> Scan(const std::string& aText,
                                      const std::string& aFile,
                                      const std::vector<std::string>& aFilter,
                                      std::uint64_t aVersion);

} // namespace redwingdock::standin

#endif
