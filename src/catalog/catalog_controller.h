#ifndef REDWINGDOCK_CATALOG_CATALOG_CONTROLLER_H
#define REDWINGDOCK_CATALOG_CATALOG_CONTROLLER_H

#include "core/context.h"

// Builds the active catalog from the published items. The configuration version never decreases, an
// unreadable configuration does not replace a readable one, and an entry from an earlier start of a
// replica does not replace one from a later start.
//
// Reads published_items; writes catalog.

namespace redwingdock {

// Registers the hook of the controller on the blackboard.
void AddCatalogController(core_context& aContext);

} // namespace redwingdock

#endif
