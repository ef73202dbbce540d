#ifndef REDWINGDOCK_DAEMON_LOGGING_H
#define REDWINGDOCK_DAEMON_LOGGING_H

#include "core/commands.h"
#include "settings/settings.h"

#include <string>

// The log of the process: lines "2026-01-31T12:00:00.000Z info prefix: text". Logging never blocks:
// a thread of its own writes, lines beyond a number a second are counted and left out, and a file
// that takes no more costs the oldest lines.
//
//   StartLogging(log_threshold::Info, "-");
//   Log({ log_level::Warning, "peer", "refused an envelope" });

namespace redwingdock {

// Lines below the threshold are dropped. The file "-" is standard output, which is also where lines
// go before the first call. Fails when the file cannot be opened.
result<bool> StartLogging(log_threshold aThreshold, const std::string& aFile);

// Control characters in the text are replaced, so that foreign text cannot forge a line.
void Log(const log_line& aLine);

// Text of a line as it is written after the time and level.
std::string LineText(const log_line& aLine);

} // namespace redwingdock

#endif
