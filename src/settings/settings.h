#ifndef REDWINGDOCK_SETTINGS_SETTINGS_H
#define REDWINGDOCK_SETTINGS_SETTINGS_H

#include "core/config.h"
#include "settings/process_limits.h"

// Settings of one daemon, read from YAML. An error gives the file, line and key, what was found and
// what is allowed. Unknown keys are errors.
//
//   result<daemon_settings> settings = ParseSettings(text, "vm-xela-1.yaml");

namespace redwingdock {

enum class log_threshold
{
  Debug,
  Info,
  Warning,
  Error,
};

struct daemon_settings
{
  // mIncarnation is empty; the daemon generates a new one at each start.
  core_config mCore;

  std::string mListenCallers; // "ip:port", like the next two
  std::string mListenPeers;
  std::string mListenOperators;
  bool mOperatorOnCallerAddress = false;          // serves operator requests at mListenCallers too
  std::vector<std::string> mConfigurationService; // addresses, tried in order
  std::uint32_t mWorkers = 2;                     // threads that run the hooks of controllers
  std::uint32_t mBoardShards = 64;
  log_threshold mLogThreshold = log_threshold::Info;
  std::string mLogFile = "-"; // "-" is standard output
  process_limits mLimits;

  bool operator==(const daemon_settings&) const = default;
};

result<daemon_settings> ParseSettings(const std::string& aText, const std::string& aFile);

} // namespace redwingdock

#endif
