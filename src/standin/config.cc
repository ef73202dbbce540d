#include "standin/config.h"

#include <algorithm>

namespace redwingdock::standin {

result<standin_config> ParseConfig(const std::string& aText, const std::string& aFile)
{
  yaml_errors errors{ "parse stand-in configuration", aFile, {} };
  yaml_mapping root = LoadYaml(aText, errors);
  standin_config config;
  config.mPlatformAddress = root.Address("platform");
  config.mAdminAddress = root.Address("admin");
  config.mRoutesFile = root.Text("routes_file", "routes.yaml");
  config.mPoolsFile = root.Text("pools_file", "pools.yaml");
  config.mVmsFile = root.Text("vms_file", "vms.yaml");
  config.mSeed = root.Integer("seed", 1, 1'000'000'000, 1);
  config.mStartWarm = root.Flag("start_warm", false);
  yaml_mapping defaults = root.Mapping("defaults", false);
  config.mDefaults = ReadBehaviour(defaults, {});
  defaults.RejectUnknownKeys();
  std::set<std::string> pools;
  root.ForEach("pools", false, [&](yaml_mapping& aPool) {
    const std::string name = aPool.Name("name");
    aPool.RequireUnique("name", name, pools);
    config.mPools[name] = ReadBehaviour(aPool, config.mDefaults);
  });
  std::set<std::string> datasets;
  std::set<std::string> assigned;
  root.ForEach("datasets", true, [&](yaml_mapping& aDataset) {
    dataset_config dataset;
    dataset.mName = aDataset.Name("name");
    aDataset.RequireUnique("name", dataset.mName, datasets);
    dataset.mFile = aDataset.Text("file");
    dataset.mPools = aDataset.Names("pools", true);
    // Each pool serves the records of one data set.
    for (const std::string& pool : dataset.mPools) {
      aDataset.RequireUnique("pools", pool, assigned);
    }
    config.mDatasets.push_back(std::move(dataset));
  });
  root.RejectUnknownKeys();
  if (errors.mFirstError) {
    return { std::nullopt, std::move(*errors.mFirstError) };
  }
  return Success(std::move(config));
}

std::optional<reason> CheckPools(const standin_config& aConfig, const pools_table& aPools)
{
  std::set<std::string> unmatched;
  std::set<std::string> poolsWithDataset;
  for (const auto& [name, poolBehaviour] : aConfig.mPools) {
    unmatched.insert(name);
  }
  for (const dataset_config& dataset : aConfig.mDatasets) {
    unmatched.insert(dataset.mPools.begin(), dataset.mPools.end());
    poolsWithDataset.insert(dataset.mPools.begin(), dataset.mPools.end());
  }
  for (const pool_spec& pool : aPools.mPools) {
    if (poolsWithDataset.count(pool.mName) == 0) {
      return reason{ "check stand-in configuration", pool.mName, "the pool has no data set" };
    }
    unmatched.erase(pool.mName);
  }
  if (!unmatched.empty()) {
    return reason{ "check stand-in configuration",
                   *unmatched.begin(),
                   "the pool is not in the pools table" };
  }
  return std::nullopt;
}

} // namespace redwingdock::standin
