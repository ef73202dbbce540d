#ifndef REDWINGDOCK_DAEMON_OPERATOR_VIEW_H
#define REDWINGDOCK_DAEMON_OPERATOR_VIEW_H

#include "blackboard/blackboard.h"
#include "core/config.h"

#include <string>

// What operators see of the core, as JSON made from blackboard entries.
//
//   std::string view = FormatView(core.Board(), core.Config(), SteadyNow());

namespace redwingdock {

// Body of GET /v1/view.
std::string FormatView(const blackboard& aBoard, const core_config& aConfig, instant aNow);

// Body of GET /v1/explain: for each pool of the route, the shards that own the position of the
// record, their replicas with their status, and for each permit why this daemon can use it or not.
result<std::string> FormatExplanation(const blackboard& aBoard,
                                      const core_config& aConfig,
                                      instant aNow,
                                      const std::string& aRoute,
                                      const std::string& aRecordId);

} // namespace redwingdock

#endif
