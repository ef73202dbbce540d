#include "gate/gate_controller.h"

namespace redwingdock {

void AddGateController(core_context& /*aContext*/, const gate_hooks& /*aHooks*/) {}

} // namespace redwingdock
