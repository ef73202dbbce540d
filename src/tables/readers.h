#ifndef REDWINGDOCK_TABLES_READERS_H
#define REDWINGDOCK_TABLES_READERS_H

#include "core/values.h"

#include <string>
#include <vector>

// Selects the VMs that read the configuration service on behalf of their zone.
//
//   std::vector<std::string> readers = SelectReaders(list, "xela", 2);

namespace redwingdock {

// Returns the live VMs of the zone with the highest rendezvous weights, at most aCount, by falling
// weight.
std::vector<std::string> SelectReaders(const vm_list& aList,
                                       const std::string& aZone,
                                       std::uint32_t aCount);

} // namespace redwingdock

#endif
