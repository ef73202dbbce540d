#ifndef REDWINGDOCK_STANDIN_ADMIN_H
#define REDWINGDOCK_STANDIN_ADMIN_H

#include "standin/board.h"

// Operators' requests to the stand-in (docs/interfaces.md, section 6), as events for its board.
//
//   result<admin_change> change = ReadAdmin("/admin/platform", body, board);

namespace redwingdock::standin {

struct admin_change
{
  std::vector<std::pair<std::string, server_event>> mServers;
  std::vector<platform_event> mPlatform;
  bool mResetRuns = false;

  auto operator<=>(const admin_change&) const = default;
};

result<admin_change> ReadAdminRequest(const std::string& aTarget,
                                      const std::string& aBody,
                                      const standin_board& aBoard);

} // namespace redwingdock::standin

#endif
