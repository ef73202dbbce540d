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
    // Added before the forward controller, whose hook of the same fact removes the request state
    // that this controller reads.
    AddCrashController(aContext);
    AddForwardController(aContext, hooks);
  };
}

} // namespace redwingdock
