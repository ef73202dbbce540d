#ifndef REDWINGDOCK_DAEMON_OPERATOR_VIEW_H
#define REDWINGDOCK_DAEMON_OPERATOR_VIEW_H

#include "blackboard/blackboard.h"
#include "core/config.h"

#include <string>

// Formats entries of the blackboard as JSON for operators.
//
//   std::string view = FormatView(core.Board(), core.Config(), SteadyNow());

namespace redwingdock {

// Body of GET /v1/view.
std::string FormatView(const blackboard& aBoard, const core_config& aConfig, instant aNow);

// Body of GET /v1/explain: for each pool of the route, the shards that own the position of the
// record, and their replicas with their status and permits. Each permit says whether this daemon
// can use it, and why not.
result<std::string> FormatExplanation(const blackboard& aBoard,
                                      const core_config& aConfig,
                                      instant aNow,
                                      const std::string& aRoute,
                                      const std::string& aRecordId);

} // namespace redwingdock

#endif
