#include "membership/membership_controller.h"

namespace redwingdock {

void AddMembershipController(core_context& /*aContext*/) {}

} // namespace redwingdock
