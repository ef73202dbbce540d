#include "ctl/log_trace.h"

#include <algorithm>
#include <cctype>

namespace redwingdock::ctl {

namespace {

constexpr std::string_view kTimeFormat = "0000-00-00T00:00:00.000Z";

bool StartsWithTime(std::string_view aText)
{
  return aText.size() >= kTimeFormat.size() &&
         std::equal(
           kTimeFormat.begin(), kTimeFormat.end(), aText.begin(), [](char aExpected, char aChar) {
             return aExpected == '0' ? std::isdigit(static_cast<unsigned char>(aChar)) != 0
                                     : aExpected == aChar;
           });
}

std::size_t FindTime(std::string_view aLine)
{
  for (std::size_t at = 0; at + kTimeFormat.size() <= aLine.size(); ++at) {
    if (StartsWithTime(aLine.substr(at))) {
      return at;
    }
  }
  return std::string_view::npos;
}

std::string LastWord(std::string_view aText)
{
  const std::size_t end = aText.find_last_not_of(' ');
  if (end == std::string_view::npos) {
    return {};
  }
  const std::size_t begin = aText.find_last_of(' ', end);
  return std::string(begin == std::string_view::npos ? aText.substr(0, end + 1)
                                                     : aText.substr(begin + 1, end - begin));
}

// Parses fields of the form name=value or name="value with spaces".
std::map<std::string, std::string> ReadFields(std::string_view aText)
{
  std::map<std::string, std::string> fields;
  std::size_t at = 0;
  while (at < aText.size()) {
    const std::size_t equals = aText.find('=', at);
    if (equals == std::string_view::npos) {
      break;
    }
    const std::string name = LastWord(aText.substr(at, equals - at));
    std::size_t begin = equals + 1;
    std::size_t end = 0;
    if (begin < aText.size() && aText[begin] == '"') {
      ++begin;
      end = std::min(aText.find('"', begin), aText.size());
      at = end + 1;
    } else {
      end = std::min(aText.find(' ', begin), aText.size());
      at = end;
    }
    fields[name] = std::string(aText.substr(begin, end - begin));
  }
  return fields;
}

const trace_line* FindLastEvent(const std::vector<trace_line>& aLines, const char* aEvent)
{
  const auto found =
    std::find_if(aLines.rbegin(), aLines.rend(), [aEvent](const trace_line& aLine) {
      return aLine.Field("event") == aEvent;
    });
  return found == aLines.rend() ? nullptr : &*found;
}

// Counts the failed attempts by how they ended, with the last reason of each, for example
// "failed attempts: 2 lost (last: read reply ...: timed out), 1 rejected (last: ...)".
std::string FailedAttempts(const std::vector<trace_line>& aLines)
{
  std::map<std::string, std::pair<int, std::string>> byEnd;
  for (const trace_line& line : aLines) {
    if (line.Field("event") == "attempt_failed") {
      auto& [count, reason] = byEnd[line.Field("end")];
      ++count;
      reason = line.Field("reason") +
               (line.Field("status").empty() ? "" : " status " + line.Field("status"));
    }
  }
  std::string text;
  for (const auto& [end, counted] : byEnd) {
    text += (text.empty() ? "" : ", ") + std::to_string(counted.first) + " " + end +
            " (last: " + counted.second + ")";
  }
  return text.empty() ? "no attempt failed" : "failed attempts: " + text;
}

std::string AnswerCause(const trace_line& aAnswer, const std::vector<trace_line>& aLines)
{
  const std::string outcome = aAnswer.Field("outcome");
  const std::string after = aAnswer.Field("after_ms") + " ms";
  const std::string missing = aAnswer.Field("missing");
  if (outcome == "no_route") {
    return "refused: " + aAnswer.Field("reason");
  }
  if (outcome == "not_run") {
    return "refused as not run: " + (aAnswer.Field("reason").empty()
                                       ? missing + "; " + FailedAttempts(aLines)
                                       : aAnswer.Field("reason"));
  }
  if (outcome == "timed_out") {
    return "the deadline passed after " + after + "; without reply: " + missing + "; " +
           FailedAttempts(aLines);
  }
  if (outcome == "failed") {
    return "failed after " + after + ", too many parts failed; without reply: " + missing + "; " +
           FailedAttempts(aLines);
  }
  if (outcome == "gathered" && !missing.empty()) {
    return "answered after " + after + " with " + aAnswer.Field("parts") +
           " parts; without reply: " + missing + "; " + FailedAttempts(aLines);
  }
  return "answered after " + after + " (" + outcome +
         (aAnswer.Field("status").empty() ? "" : ", status " + aAnswer.Field("status")) +
         (aAnswer.Field("replica").empty() ? "" : " of replica " + aAnswer.Field("replica")) +
         "); " + FailedAttempts(aLines);
}

} // namespace

std::string trace_line::Field(const std::string& aName) const
{
  const auto found = mFields.find(aName);
  return found == mFields.end() ? std::string() : found->second;
}

std::optional<trace_line> ParseLine(std::string_view aLine, const std::string& aStream)
{
  const std::size_t at = FindTime(aLine);
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  trace_line line;
  line.mTime = std::string(aLine.substr(at, kTimeFormat.size()));
  line.mSource = LastWord(aLine.substr(0, at));
  if (line.mSource.empty()) {
    line.mSource = aStream;
  }
  const std::string_view rest = aLine.substr(std::min(aLine.size(), at + kTimeFormat.size() + 1));
  const std::size_t colon = rest.find(": ");
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  line.mComponent = LastWord(rest.substr(0, colon));
  line.mFields = ReadFields(rest.substr(colon + 2));
  line.mText = std::string(rest);
  return line;
}

std::vector<trace_line> ReadRequestLines(std::istream& aInput,
                                         const std::string& aStream,
                                         const std::string& aRequest)
{
  std::vector<trace_line> lines;
  std::string text;
  while (std::getline(aInput, text)) {
    // Skips the lines of other requests, which are the most, before the more expensive parsing.
    if (text.find(aRequest) == std::string::npos) {
      continue;
    }
    std::optional<trace_line> line = ParseLine(text, aStream);
    if (line && line->Field("request") == aRequest) {
      lines.push_back(std::move(*line));
    }
  }
  return lines;
}

std::string DetermineCause(const std::vector<trace_line>& aLines)
{
  if (aLines.empty()) {
    return "no line names this request: it reached none of these daemons";
  }
  if (const trace_line* answer = FindLastEvent(aLines, "answer")) {
    return AnswerCause(*answer, aLines);
  }
  if (const trace_line* abandoned = FindLastEvent(aLines, "abandoned")) {
    return "the client closed its connection after " + abandoned->Field("after_ms") + " ms; " +
           FailedAttempts(aLines);
  }
  return "there is no answer: the process ended, or lines were left out (event=lines_omitted); " +
         FailedAttempts(aLines);
}

} // namespace redwingdock::ctl
