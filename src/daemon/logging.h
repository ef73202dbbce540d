#ifndef REDWINGDOCK_DAEMON_LOGGING_H
#define REDWINGDOCK_DAEMON_LOGGING_H

#include "base/time.h"
#include "core/commands.h"
#include "settings/settings.h"

#include <cstdint>
#include <string>

// Log of the process, in lines "2026-01-31T12:00:00.000Z info prefix: text". Logging never blocks:
// a separate thread writes the lines, lines of a component over a limit per second are counted and
// omitted, and when the file cannot keep up, the oldest queued lines are discarded. Lines that were
// discarded or could not be written are counted, in the log itself when it can be written again.
//
//   StartLogging(log_threshold::Info, "-");
//   Log({ log_level::Warning, "peer", "refused input: read envelope: body is over 4 bytes" });

namespace redwingdock {

// Drops lines below the threshold. The file "-" is standard output, which is also used before the
// first call. Fails when the file cannot be opened. Call before other threads log.
result<bool> StartLogging(log_threshold aThreshold, const std::string& aFile);

// Replaces control characters in the text, so that text from outside cannot forge a log line.
void Log(const log_line& aLine);

// Waits until the lines that were logged so far are written or lost, for the limit at most. Call at
// the end of a program; returns false if lines are left.
bool FlushLog(micros aLimit);

// Lines that were discarded or could not be written.
std::uint64_t LostLogLines();

// "prefix: text" of a line, which follows the time and level.
std::string FormatLine(const log_line& aLine);

} // namespace redwingdock

#endif
