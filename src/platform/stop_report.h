#ifndef REDWINGDOCK_PLATFORM_STOP_REPORT_H
#define REDWINGDOCK_PLATFORM_STOP_REPORT_H

#include "core/commands.h"
#include "daemon/http_server.h"

#include <vector>

// Log lines about the planned stop of a daemon, from which the end of a single request can be told.
//
//   for (const log_line& line : StopReport(summary, server.UnfinishedConnections(), SteadyNow())) {
//     Log(line);
//   }

namespace redwingdock::platform {

// Limit on the lines about single requests and connections. A cut of many has one cause, which
// these show.
inline constexpr std::size_t kMaxOpenLines = 20;

// How the process ends.
struct stop_summary
{
  micros mAfterSignal{ 0 };     // since the first stop signal
  bool mTimeLimit = false;      // the process does not wait any longer for its clients
  std::size_t mConnections = 0; // that are open, also those without unfinished work

  auto operator<=>(const stop_summary&) const = default;
};

// The line of a stop signal; aNumber counts from 1. All but the first are ignored.
log_line StopSignalLine(std::size_t aNumber);

// The last lines of the process.
std::vector<log_line> StopReport(const stop_summary& aSummary,
                                 const std::vector<unfinished_connection>& aOpen,
                                 instant aNow);

} // namespace redwingdock::platform

#endif
