#ifndef REDWINGDOCK_TABLES_READERS_H
#define REDWINGDOCK_TABLES_READERS_H

#include "core/values.h"

#include <string>
#include <vector>

// The VMs that read the configuration service for their zone.
//
//   std::vector<std::string> readers = ReadersOf(list, "xela", 2);

namespace redwingdock {

// Live VMs of the zone with the highest rendezvous weight, at most aCount.
std::vector<std::string> ReadersOf(const vm_list& aList,
                                   const std::string& aZone,
                                   std::uint32_t aCount);

} // namespace redwingdock

#endif
