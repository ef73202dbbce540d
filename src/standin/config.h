#ifndef REDWINGDOCK_STANDIN_CONFIG_H
#define REDWINGDOCK_STANDIN_CONFIG_H

#include "standin/behaviour.h"

// Configuration file of the stand-in (docs/interfaces.md, section 6).
//
//   result<standin_config> config = ParseConfig(text, "standin.yaml");

namespace redwingdock::standin {

struct dataset_config
{
  std::string mName;
  std::string mFile;               // relative to the configuration file
  std::vector<std::string> mPools; // that serve the records

  auto operator<=>(const dataset_config&) const = default;
};

struct standin_config
{
  std::string mPlatformAddress;
  std::string mAdminAddress;
  std::string mRoutesFile; // the table files are relative to the configuration file
  std::string mPoolsFile;
  std::string mVmsFile;
  std::uint64_t mSeed = 1;
  std::vector<dataset_config> mDatasets;
  behaviour mDefaults;
  std::map<std::string, behaviour> mPools; // by pool name, without the values of ReadPoolLimits,
                                           // which come from the pools table
  bool mStartWarm = false;                 // applies to all servers

  auto operator<=>(const standin_config&) const = default;
};

result<standin_config> ParseConfig(const std::string& aText, const std::string& aFile);

// Checks that each pool of the table has a data set and that each pool in the configuration is in
// the table. Returns the first mismatch, or nothing.
std::optional<reason> CheckPools(const standin_config& aConfig, const pools_table& aPools);

} // namespace redwingdock::standin

#endif
