#ifndef REDWINGDOCK_CTL_LOG_TRACE_H
#define REDWINGDOCK_CTL_LOG_TRACE_H

#include <compare>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Extracts the log lines of one forwarded request and determines the cause of its outcome.
//
//   std::vector<trace_line> lines = ReadRequestLines(stream, "vm-1.log", "9c41d07be2a35f68");
//   std::cout << DetermineCause(lines);

namespace redwingdock::ctl {

// A log line with fields, for example
// `vm-1 2026-01-31T12:00:00.000Z info forward: event=answer request="9c" outcome=failed`.
struct trace_line
{
  std::string mTime;      // ISO 8601 in UTC, so that it sorts as text
  std::string mSource;    // the word before the time, or else the name of the stream
  std::string mComponent; // part of the daemon, for example "forward"
  std::map<std::string, std::string> mFields; // values without quotes
  std::string mText;                          // the line after the time

  // Returns the value of a field, or an empty string.
  std::string Field(const std::string& aName) const;
  auto operator<=>(const trace_line&) const = default;
};

// Parses a line of the stream named aStream. Returns nullopt if the line has another format.
std::optional<trace_line> ParseLine(std::string_view aLine, const std::string& aStream);

// Reads the stream named aStream and returns the lines whose field "request" is aRequest.
std::vector<trace_line> ReadRequestLines(std::istream& aInput,
                                         const std::string& aStream,
                                         const std::string& aRequest);

// Returns the cause of the outcome in one sentence. The lines must be sorted by time.
std::string DetermineCause(const std::vector<trace_line>& aLines);

} // namespace redwingdock::ctl

#endif
