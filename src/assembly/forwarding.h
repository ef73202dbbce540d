#ifndef REDWINGDOCK_ASSEMBLY_FORWARDING_H
#define REDWINGDOCK_ASSEMBLY_FORWARDING_H

#include "core/core.h"
#include "forward/forward_hooks.h"

// The controllers that forward requests by host and path to replicas, which register themselves in
// the store.
//
//   core decisions(config, Forwarding(forward_hooks{}));

namespace redwingdock {

assembly_hook Forwarding(forward_hooks aHooks);

} // namespace redwingdock

#endif
