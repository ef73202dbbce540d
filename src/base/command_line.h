#ifndef REDWINGDOCK_BASE_COMMAND_LINE_H
#define REDWINGDOCK_BASE_COMMAND_LINE_H

#include "base/reason.h"

#include <map>
#include <string>
#include <vector>

// Command lines of the programs, by a usage text in docopt's form.
//
//   parsed_arguments arguments = ParseArguments(kUsage, argc, argv);
//   if (arguments.mExit) {
//     return *arguments.mExit;
//   }
//   std::string file = arguments.Text("EXPERIMENT");

namespace redwingdock {

// Exit codes of the programs; 64 to 76 as in sysexits.h.
inline constexpr int kExitOk = 0;
inline constexpr int kExitDifference = 1; // a check failed, a partial answer, daemons differ
inline constexpr int kExitUsage = 64;
inline constexpr int kExitBadData = 65;
inline constexpr int kExitUnreachable = 69;
inline constexpr int kExitNotRun = 75;  // it may be sent again
inline constexpr int kExitUnknown = 76; // it may have run

struct parsed_arguments
{
  std::optional<int> mExit; // help and version were printed, or the usage was wrong
  std::map<std::string, std::vector<std::string>> mValues;

  // Whether a command or flag was given.
  bool Has(const std::string& aName) const;
  // The value, or the default when it was not given.
  std::string Text(const std::string& aName, const std::string& aDefault = "") const;
  std::vector<std::string> List(const std::string& aName) const;

  auto operator<=>(const parsed_arguments&) const = default;
};

parsed_arguments ParseArguments(const char* aUsage, int aCount, char** aArguments);

// Whole content of a file.
result<std::string> ReadFile(const std::string& aPath);

// Replaces the file; the reason says why it could not be written.
std::optional<reason> WriteFile(const std::string& aPath, const std::string& aText);

} // namespace redwingdock

#endif
