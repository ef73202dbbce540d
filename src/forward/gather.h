#ifndef REDWINGDOCK_FORWARD_GATHER_H
#define REDWINGDOCK_FORWARD_GATHER_H

#include "core/forwarding.h"

#include <string>
#include <vector>

// Merges the parts of a gathered answer.
//
//   std::string body = GreatestRecords(parts, 20);

namespace redwingdock {

// A record of a part; bytes after the last whole record are none.
inline constexpr std::size_t kRecordBytes = 16;

// The greatest records of all parts, compared byte by byte as unsigned, in falling order. Equal
// records all count.
std::string GreatestRecords(const std::vector<reply_pointer>& aParts, std::uint32_t aMost);

} // namespace redwingdock

#endif
