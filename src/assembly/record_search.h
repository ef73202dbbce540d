#ifndef REDWINGDOCK_ASSEMBLY_RECORD_SEARCH_H
#define REDWINGDOCK_ASSEMBLY_RECORD_SEARCH_H

#include "assembly/record_search_hooks.h"
#include "core/core.h"

// The controllers that search and submit records, which have positions and index versions.
//
//   core decisions(config, RecordSearch(record_search_hooks{}));

namespace redwingdock {

assembly_hook RecordSearch(record_search_hooks aHooks);

} // namespace redwingdock

#endif
