#ifndef REDWINGDOCK_BASE_COMMAND_LINE_H
#define REDWINGDOCK_BASE_COMMAND_LINE_H

#include "base/reason.h"

#include <map>
#include <string>
#include <vector>

// Parses the command lines of the programs according to a usage text in the format of docopt.
//
//   parsed_arguments arguments = ParseArguments(kUsage, argc, argv);
//   if (arguments.mExitCode) {
//     return *arguments.mExitCode;
//   }
//   std::string file = arguments.Text("EXPERIMENT");

namespace redwingdock {

// Exit codes of the programs; 64 to 76 follow sysexits.h.
inline constexpr int kExitOk = 0;
inline constexpr int kExitDifference = 1; // a check failed, the answer is partial or daemons differ
inline constexpr int kExitUsage = 64;
inline constexpr int kExitBadData = 65;
inline constexpr int kExitUnreachable = 69;
inline constexpr int kExitNotRun = 75;  // the request was not executed and may be sent again
inline constexpr int kExitUnknown = 76; // the request may have been executed

struct parsed_arguments
{
  std::optional<int> mExitCode; // set after --help, --version or a usage error
  std::map<std::string, std::vector<std::string>> mValues;

  // Returns whether the command or flag was given.
  bool Has(const std::string& aName) const;
  // Returns the first value, or the default if none was given.
  std::string Text(const std::string& aName, const std::string& aDefault = "") const;
  std::vector<std::string> List(const std::string& aName) const;

  auto operator<=>(const parsed_arguments&) const = default;
};

parsed_arguments ParseArguments(const char* aUsage, int aArgc, char** aArgv);

// Returns the whole content of a file.
result<std::string> ReadFile(const std::string& aPath);

// Replaces the content of the file. Returns the error if it can't be written.
std::optional<reason> WriteFile(const std::string& aPath, const std::string& aText);

} // namespace redwingdock

#endif
