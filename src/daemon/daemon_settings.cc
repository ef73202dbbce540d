#include "daemon/daemon_settings.h"

#include "base/yaml_reader.h"

#include <utility>

namespace redwingdock {

namespace {

constexpr std::uint64_t kWorkersLimit = 64;

} // namespace

result<daemon_settings> ParseSettings(const std::string& aText, const std::string& aFile)
{
  yaml_errors errors{ "parse settings", aFile, std::nullopt };
  yaml_mapping root = LoadYaml(aText, errors);
  daemon_settings settings;
  core_config& core = settings.mCore;
  core.mVm = root.Name("vm");
  core.mZone = root.Name("zone");
  yaml_mapping listen = root.Mapping("listen", true);
  settings.mListenCallers = listen.Address("callers");
  settings.mListenPeers = listen.Address("peers");
  if (listen.Node()["operators"]) {
    settings.mListenOperators = listen.Address("operators");
  }
  listen.Finish();
  core.mCallAddress = settings.mListenCallers;
  core.mAddress = settings.mListenPeers;
  settings.mOperatorsOnCallers = root.Flag("operator", false);
  settings.mConfigurationService = root.Addresses("configuration_service");
  root.Each("seeds", false, [&core](yaml_mapping& aSeed) {
    vm_spec seed;
    seed.mName = aSeed.Name("name");
    seed.mZone = aSeed.Name("zone");
    seed.mAddress = aSeed.Address("address");
    seed.mCallAddress = aSeed.Address("call_address");
    core.mSeeds.push_back(std::move(seed));
  });
  settings.mWorkers = root.Integer("workers", 1, kWorkersLimit, settings.mWorkers);
  yaml_mapping log = root.Mapping("log", false);
  settings.mLogLevel =
    log.OneOf("level", { "info", "warning" }, 0) == 0 ? log_level::Info : log_level::Warning;
  settings.mLogFile = log.Text("file", settings.mLogFile);
  log.Finish();
  root.Finish();
  if (errors.mFirst) {
    return { std::nullopt, *errors.mFirst };
  }
  return Success(std::move(settings));
}

} // namespace redwingdock
