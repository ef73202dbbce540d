#ifndef REDWINGDOCK_CTL_ANSWER_TEXT_H
#define REDWINGDOCK_CTL_ANSWER_TEXT_H

#include "client/client.h"

// Formats results for operators as text and JSON, and maps outcomes to exit codes.
//
//   std::cout << FormatCall(result);
//   return ExitCode(result.mAnswer.mOutcome);

namespace redwingdock::ctl {

// Outcome, coverage and records of a call, as text for operators and as JSON.
std::string FormatCall(const call_result& aResult);
std::string CallToJson(const call_result& aResult);

std::string EntryToJson(const entry_answer& aEntry);

// {"ok": ..., "errors": [...], "warnings": [...]}
std::string ChecksToJson(const std::vector<std::string>& aErrors,
                         const std::vector<std::string>& aWarnings);

std::string ReasonToJson(const reason& aReason);

// Indents the JSON text. Returns text that is not JSON unchanged.
std::string PrettyJson(const std::string& aBody);

// Exit code of the program for the outcome of a call.
int ExitCode(outcome aOutcome);

// Returns a Bash completion script for the program's commands and options.
std::string BashCompletion();

} // namespace redwingdock::ctl

#endif
