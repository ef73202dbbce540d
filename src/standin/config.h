#ifndef REDWINGDOCK_STANDIN_CONFIG_H
#define REDWINGDOCK_STANDIN_CONFIG_H

#include "standin/behaviour.h"

// Configuration of the stand-in (docs/interfaces.md, section 6).
//
//   result<standin_config> config = ParseConfig(text, "standin.yaml");

namespace redwingdock::standin {

struct dataset_config
{
  std::string mName;
  std::string mFile; // relative to the configuration file
  std::vector<std::string> mPools;

  auto operator<=>(const dataset_config&) const = default;
};

struct standin_config
{
  std::string mPlatformAddress;
  std::string mAdminAddress;
  std::string mRoutesFile; // relative to the configuration file, as the next two
  std::string mPoolsFile;
  std::string mVmsFile;
  std::uint64_t mSeed = 1;
  std::vector<dataset_config> mDatasets;
  behaviour mDefaults;
  std::map<std::string, behaviour> mPools; // by pool; slots, connections and connection cost come
                                           // from the pools table
  bool mStartWarm = false;

  auto operator<=>(const standin_config&) const = default;
};

result<standin_config> ParseConfig(const std::string& aText, const std::string& aFile);

// Why the configuration does not fit the pools table, or nothing: each pool of the table has a
// data set, and each pool that the configuration names is in the table.
std::optional<reason> CheckPools(const standin_config& aConfig, const pools_table& aPools);

} // namespace redwingdock::standin

#endif
