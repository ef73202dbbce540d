#ifndef REDWINGDOCK_CATALOG_CATALOG_CONTROLLER_H
#define REDWINGDOCK_CATALOG_CATALOG_CONTROLLER_H

#include "core/context.h"

// Joins the published items into the catalog in force. The version of the configuration never goes
// back, an unreadable configuration replaces none, and an entry of an earlier start of a replica
// replaces no later one.
//
// Reads published_items; writes catalog.

namespace redwingdock {

void AddCatalogController(core_context& aContext);

} // namespace redwingdock

#endif
