#include "tables/table_controller.h"

namespace redwingdock {

void AddTableController(core_context& /*aContext*/) {}

} // namespace redwingdock
