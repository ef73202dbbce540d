#ifndef REDWINGDOCK_STANDIN_ADMIN_H
#define REDWINGDOCK_STANDIN_ADMIN_H

#include "standin/board.h"

// Parses administrative requests (docs/interfaces.md, section 6) into events for the blackboard.
//
//   result<admin_change> change = ReadAdminRequest("/admin/platform", body, board);

namespace redwingdock::standin {

// Events to post for one request.
struct admin_change
{
  std::vector<std::pair<std::string, server_event>>
    mServers; // server name and event, in posting order
  std::vector<platform_event> mPlatform;
  bool mResetRuns = false; // also clears the run counts

  auto operator<=>(const admin_change&) const = default;
};

// Parses the body, YAML or JSON, of a request to the path. Fails on an unknown path, key, server or
// table entry, and on a value out of range.
result<admin_change> ReadAdminRequest(const std::string& aTarget,
                                      const std::string& aBody,
                                      const standin_board& aBoard);

} // namespace redwingdock::standin

#endif
