#ifndef REDWINGDOCK_CTL_LOG_TRACE_H
#define REDWINGDOCK_CTL_LOG_TRACE_H

#include <compare>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Puts the log lines of one forwarded request in order and names the cause of its outcome.
//
//   std::vector<trace_line> lines = LinesOf(stream, "vm-1.log", "9c41d07be2a35f68");
//   std::cout << CauseOf(lines);

namespace redwingdock::ctl {

// "... 2026-01-31T12:00:00.000Z info forward: event=answer request="9c" outcome=failed".
struct trace_line
{
  std::string mTime;   // as written, which sorts
  std::string mSource; // the word before the time, or the name of the stream
  std::string mPart;
  std::map<std::string, std::string> mFields; // without the quotes
  std::string mText;                          // after the time

  std::string Field(const std::string& aName) const;
  auto operator<=>(const trace_line&) const = default;
};

// Nothing for a line of another form.
std::optional<trace_line> ParseLine(std::string_view aLine, const std::string& aStream);

// The lines that name the request.
std::vector<trace_line> LinesOf(std::istream& aInput,
                                const std::string& aStream,
                                const std::string& aRequest);

// One sentence. The lines must be sorted.
std::string CauseOf(const std::vector<trace_line>& aLines);

} // namespace redwingdock::ctl

#endif
