#ifndef REDWINGDOCK_DAEMON_DAEMON_SETTINGS_H
#define REDWINGDOCK_DAEMON_DAEMON_SETTINGS_H

#include "core/commands.h"
#include "core/config.h"

#include <cstddef>
#include <string>
#include <vector>

// Settings of one daemon process.
//
//   result<daemon_settings> settings = ParseSettings(text, "vm-xela-1.yaml");

namespace redwingdock {

struct daemon_settings
{
  core_config mCore; // mIncarnation and mSeed are left to the front end

  std::string mListenCallers;
  std::string mListenPeers;
  std::string mListenOperators;     // empty: no address of their own
  bool mOperatorsOnCallers = false; // serve operators on the address of callers as well
  std::vector<std::string> mConfigurationService;

  std::size_t mWorkers = 2; // threads that run the core; as many do the input and output
  log_level mLogLevel = log_level::Info;
  std::string mLogFile = "-"; // "-" is standard error

  bool operator==(const daemon_settings&) const = default;
};

result<daemon_settings> ParseSettings(const std::string& aText, const std::string& aFile);

} // namespace redwingdock

#endif
