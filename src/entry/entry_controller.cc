#include "entry/entry_controller.h"

namespace redwingdock {

void AddEntryController(core_context& /*aContext*/) {}

} // namespace redwingdock
