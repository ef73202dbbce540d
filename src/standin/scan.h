#ifndef REDWINGDOCK_STANDIN_SCAN_H
#define REDWINGDOCK_STANDIN_SCAN_H

#include "standin/records.h"

// A direct scan of a record file, to check answers against.
//
//   result<std::vector<std::string>> ids = Scan(text, "cases.jsonl", { "office=Solola" }, 41);

namespace redwingdock::standin {

// Sorted ids of the records of the version that fit all "field=value" texts.
result<std::vector<std::string>> Scan(const std::string& aText,
                                      const std::string& aFile,
                                      const std::vector<std::string>& aFilter,
                                      std::uint64_t aVersion);

} // namespace redwingdock::standin

#endif
