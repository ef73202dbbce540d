#ifndef REDWINGDOCK_CTL_ANSWER_TEXT_H
#define REDWINGDOCK_CTL_ANSWER_TEXT_H

#include "client/client.h"

// Answers to operators as text and JSON, and the exit code for an outcome.
//
//   std::cout << FormatCall(result);
//   return ExitCode(result.mAnswer.mOutcome);

namespace redwingdock::ctl {

std::string FormatCall(const call_result& aResult);
std::string CallToJson(const call_result& aResult);

std::string EntryToJson(const entry_answer& aEntry);

// {"ok": ..., "errors": [...], "warnings": [...]}
std::string ChecksToJson(const std::vector<std::string>& aErrors,
                         const std::vector<std::string>& aWarnings);

std::string ReasonToJson(const reason& aReason);

// Indented text of a JSON body.
std::string PrettyJson(const std::string& aBody);

int ExitCode(outcome aOutcome);

// Bash completion of the program's commands and options.
std::string BashCompletion();

} // namespace redwingdock::ctl

#endif
