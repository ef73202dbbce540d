#include "base/command_line.h"
#include "load/plot.h"
#include "load/report_json.h"
#include "load/run.h"
#include "standin/config.h"
#include "tables/parse.h"

#include <algorithm>
#include <iostream>
#include <mutex>

namespace {

constexpr char kUsage[] =
  R"(Runs a load experiment against daemons, checks the answers and reports the results.

Usage:
  redwingdock_load run EXPERIMENT --daemon ADDRESS... [--deployment DIR]
                   [--standin ADDRESS] [--pids DIR] [--json FILE] [--svg FILE] [--baseline FILE] [--name NAME] [--verbose]
  redwingdock_load check EXPERIMENT
  redwingdock_load (-h | --help | --version)

Options:
  --daemon ADDRESS    Caller address of a daemon, ip:port; one reachable daemon is enough.
  --deployment DIR    Directory with the stand-in's configuration, tables and records, for checking
                      answers and computing the number of parts that calls need.
  --standin ADDRESS   Admin address of the stand-in, for events and server counts.
  --pids DIR          Directory with the NAME.pid files of the daemons, for signals and restarts.
  --json FILE         Writes the report to a JSON file.
  --svg FILE          Writes a plot over time to an SVG file.
  --baseline FILE     Compares the results with an earlier JSON report.
  --name NAME         Name of the report; the experiment's if not given.
  --verbose           Logs events, failovers and incomplete calls to standard error.

Exit codes: 0 ok, 1 violations found, 64 usage error, 65 invalid file or failed event,
69 no daemon reachable.
)";

using namespace redwingdock;
using namespace redwingdock::load;

int Fail(const reason& aReason, int aCode)
{
  std::cerr << Describe(aReason) << '\n';
  return aCode;
}

// Reads and parses a file.
template<typename T>
result<T> ParseFile(const std::string& aPath,
                    result<T> (*aParse)(const std::string&, const std::string&))
{
  result<std::string> text = ReadFile(aPath);
  return text ? aParse(*text, aPath) : result<T>{ std::nullopt, text.mReason };
}

// Reads the tables and records that the stand-in's configuration in the directory refers to.
std::optional<reason> ReadDeployment(const std::string& aDirectory, run_config& aConfig)
{
  result<standin::standin_config> standinConfig =
    ParseFile(aDirectory + "/standin.yaml", standin::ParseConfig);
  if (!standinConfig) {
    return standinConfig.mReason;
  }
  result<routes_table> routes =
    ParseFile(aDirectory + "/" + standinConfig->mRoutesFile, ParseRoutes);
  result<pools_table> pools = ParseFile(aDirectory + "/" + standinConfig->mPoolsFile, ParsePools);
  if (!routes || !pools) {
    return routes ? pools.mReason : routes.mReason;
  }
  aConfig.mRoutes = std::make_shared<const routes_table>(*routes);
  aConfig.mPools = std::make_shared<const pools_table>(*pools);
  for (const standin::dataset_config& dataset : standinConfig->mDatasets) {
    result<record_list> records = ParseFile(aDirectory + "/" + dataset.mFile, ReadRecordFile);
    if (!records) {
      return records.mReason;
    }
    auto shared = std::make_shared<const record_list>(std::move(*records));
    for (const route_spec& route : routes->mRoutes) {
      // All pools of a route share one data set, in which each position has one owner, so the first
      // pool identifies the data set.
      if (std::find(dataset.mPools.begin(), dataset.mPools.end(), route.mPools.front()) !=
          dataset.mPools.end()) {
        aConfig.mRecords[route.mName] = shared;
      }
    }
  }
  return std::nullopt;
}

int RunExperiment(const parsed_arguments& aArguments, experiment aExperiment)
{
  run_config config{ .mDaemons = aArguments.List("--daemon"),
                     .mStandin = aArguments.Text("--standin"),
                     .mPidDirectory = aArguments.Text("--pids") };
  if (aArguments.Has("--deployment")) {
    if (auto why = ReadDeployment(aArguments.Text("--deployment"), config)) {
      return Fail(*why, kExitBadData);
    }
  }
  std::optional<load_report> baseline;
  if (aArguments.Has("--baseline")) {
    result<load_report> read = ParseFile(aArguments.Text("--baseline"), ParseReport);
    if (!read) {
      return Fail(read.mReason, kExitBadData);
    }
    baseline = *read;
  }
  std::mutex lock;
  if (aArguments.Has("--verbose")) {
    config.mLog = [&lock](const std::string& aLine) {
      std::lock_guard guard(lock);
      std::cerr << aLine << '\n';
    };
  }
  aExperiment.mName = aArguments.Text("--name", aExperiment.mName);
  result<load_report> report = Run(aExperiment, config);
  if (!report) {
    bool unreachable = report.mReason.mStep == kReachDaemonsStep;
    return Fail(report.mReason, unreachable ? kExitUnreachable : kExitBadData);
  }
  std::cout << ToText(*report, baseline);
  for (const auto& [option, text] : { std::pair("--json", WriteReport(*report)),
                                      std::pair("--svg", ToSvg(*report, baseline)) }) {
    if (aArguments.Has(option)) {
      if (auto why = WriteFile(aArguments.Text(option), text)) {
        return Fail(*why, kExitBadData);
      }
    }
  }
  return Passed(*report) ? kExitOk : kExitDifference;
}

} // namespace

int main(int aCount, char** aArguments)
{
  parsed_arguments arguments = ParseArguments(kUsage, aCount, aArguments);
  if (arguments.mExitCode) {
    return *arguments.mExitCode;
  }
  result<experiment> planned = ParseFile(arguments.Text("EXPERIMENT"), ParseExperiment);
  if (!planned) {
    return Fail(planned.mReason, kExitBadData);
  }
  for (const load_event& each : planned->mEvents) {
    bool admin = each.mKind == event_kind::Admin;
    bool daemon = each.mKind == event_kind::Signal || each.mKind == event_kind::Restart;
    if (arguments.Has("run") &&
        ((admin && !arguments.Has("--standin")) || (daemon && !arguments.Has("--pids")))) {
      std::cerr << "event \"" << each.mLabel << "\" requires " << (admin ? "--standin" : "--pids")
                << '\n';
      return kExitUsage;
    }
  }
  if (arguments.Has("check")) {
    std::cout << planned->mName << ": " << planned->mMix.size() << " kinds of request, "
              << planned->mEvents.size() << " events\n";
    return kExitOk;
  }
  return RunExperiment(arguments, std::move(*planned));
}
