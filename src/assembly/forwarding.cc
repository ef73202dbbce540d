#include "assembly/forwarding.h"

#include "catalog/catalog_controller.h"
#include "fleet/fleet_controller.h"
#include "follow/follow_controller.h"
#include "forward/crash_controller.h"
#include "forward/forward_controller.h"

#include <utility>

namespace redwingdock {

assembly_hook Forwarding(forward_hooks aHooks)
{
  return [hooks = std::move(aHooks)](core_context& aContext) {
    AddFollowController(aContext);
    AddCatalogController(aContext);
    AddFleetController(aContext);
    // Reads the state of a request before the next hook of the same fact removes it.
    AddCrashController(aContext);
    AddForwardController(aContext, hooks);
  };
}

} // namespace redwingdock
