#ifndef REDWINGDOCK_FORWARD_GATHER_H
#define REDWINGDOCK_FORWARD_GATHER_H

#include "core/forwarding.h"

#include <string>
#include <vector>

// Merges the part replies of a gather into one answer.
//
//   std::string body = MergeGreatestRecords(parts, 20);

namespace redwingdock {

// Size of a record in a part's body. Bytes after the last whole record are ignored.
inline constexpr std::size_t kRecordBytes = 16;

// Returns up to aLimit of the greatest records of all parts in descending order, compared as
// unsigned bytes. Duplicates are kept.
std::string MergeGreatestRecords(const std::vector<reply_pointer>& aParts, std::uint32_t aLimit);

} // namespace redwingdock

#endif
