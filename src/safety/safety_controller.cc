#include "safety/safety_controller.h"

namespace redwingdock {

void AddSafetyController(core_context& /*aContext*/) {}

} // namespace redwingdock
