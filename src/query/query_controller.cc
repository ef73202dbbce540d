#include "query/query_controller.h"

namespace redwingdock {

void AddQueryController(core_context& /*aContext*/, const query_hooks& /*aHooks*/) {}

} // namespace redwingdock
