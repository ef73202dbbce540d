#ifndef REDWINGDOCK_PLATFORM_EDGE_SETTINGS_H
#define REDWINGDOCK_PLATFORM_EDGE_SETTINGS_H

#include "core/config.h"
#include "settings/settings.h"

// Settings of a daemon on the users' platform, read from YAML. deploy/settings.yaml is the template
// that the platform fills in.
//
//   result<edge_settings> settings = ParseEdgeSettings(text, "boot.yaml");

namespace redwingdock::platform {

struct edge_settings
{
  core_config mCore;          // mIncarnation is empty; the daemon chooses it at each start
  std::string mListenCallers; // "ip:port", like the next four
  std::string mListenReadiness;
  std::string mListenAddresses; // serves requests for the addresses that callers may use
  std::string mListenPeers;     // UDP
  std::string mListenMetrics;
  std::string mStore;
  std::uint32_t mWorkers = 2; // threads
  std::uint32_t mBoardShards = 64;
  log_threshold mLogThreshold = log_threshold::Info;
  process_limits mLimits;
  // From the command line: time from the stop signal until the platform ends the process; 0 when
  // not given.
  micros mGrace{ 0 };

  bool operator==(const edge_settings&) const = default;
};

// aFile is the file name for error messages, which also name the line and the key. aGrace is
// edge_settings::mGrace; the limit of a stop follows from it unless the text sets one.
result<edge_settings> ParseEdgeSettings(const std::string& aText,
                                        const std::string& aFile,
                                        micros aGrace = micros(0));

// Parses the time of the command line, in seconds from 1 to 3600 with an optional fraction.
result<micros> ParseGrace(const std::string& aText);

} // namespace redwingdock::platform

#endif
