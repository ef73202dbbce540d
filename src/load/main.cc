#include "client/command_line.h"
#include "load/plot.h"
#include "load/report_json.h"
#include "load/run.h"
#include "tables/parse.h"

#include <iostream>
#include <mutex>

namespace {

constexpr char kUsage[] =
  R"(Sends the calls of an experiment to daemons and reports how they were answered.

Usage:
  redwingdock_load run EXPERIMENT --daemon ADDRESS... [--records FILE]... [--standin ADDRESS]
                   [--pids DIR] [--routes FILE] [--pools FILE]
                   [--json FILE] [--svg FILE] [--baseline FILE] [--name NAME] [--verbose]
  redwingdock_load check EXPERIMENT
  redwingdock_load (-h | --help | --version)

Options:
  --daemon ADDRESS    Caller address of a daemon, ip:port; any of them is enough to start.
  --records FILE      Records behind the servers (JSON lines), to check answers against.
  --standin ADDRESS   Admin address of the stand-in, for events and server counts.
  --pids DIR          Folder with the NAME.pid files of the daemons that events signal.
  --routes FILE       Routes table, with --pools: to compute the parts that calls need.
  --pools FILE        Pools table.
  --json FILE         Writes the report as JSON.
  --svg FILE          Writes a plot over time.
  --baseline FILE     Compares with an earlier JSON report.
  --name NAME         Name of the report instead of the experiment's.
  --verbose           Prints events and failovers as they happen.

Exit codes: 0 ok, 1 a check on outcomes failed, 64 usage, 65 bad file, 69 nothing reachable.
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
result<T> Load(const std::string& aPath,
               result<T> (*aParse)(const std::string&, const std::string&))
{
  result<std::string> text = ReadFile(aPath);
  return text ? aParse(*text, aPath) : result<T>{ std::nullopt, text.mReason };
}

int RunExperiment(const parsed_arguments& aArguments, experiment aExperiment)
{
  run_config config{ .mDaemons = aArguments.List("--daemon"),
                     .mStandin = aArguments.Text("--standin"),
                     .mPidFolder = aArguments.Text("--pids") };
  for (const std::string& path : aArguments.List("--records")) {
    result<record_list> records = Load(path, ReadRecordFile);
    if (!records) {
      return Fail(records.mReason, kExitBadData);
    }
    config.mRecords.insert(config.mRecords.end(), records->begin(), records->end());
  }
  if (aArguments.Has("--routes") && aArguments.Has("--pools")) {
    result<routes_table> routes = Load(aArguments.Text("--routes"), ParseRoutes);
    result<pools_table> pools = Load(aArguments.Text("--pools"), ParsePools);
    if (!routes || !pools) {
      return Fail(routes ? pools.mReason : routes.mReason, kExitBadData);
    }
    config.mRoutes = std::make_shared<const routes_table>(std::move(*routes));
    config.mPools = std::make_shared<const pools_table>(std::move(*pools));
  }
  std::optional<load_report> baseline;
  if (aArguments.Has("--baseline")) {
    result<load_report> read = Load(aArguments.Text("--baseline"), ParseReport);
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
    bool unreachable = report.mReason.mStep == kReachDaemons;
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
  if (arguments.mExit) {
    return *arguments.mExit;
  }
  result<experiment> planned = Load(arguments.Text("EXPERIMENT"), ParseExperiment);
  if (!planned) {
    return Fail(planned.mReason, kExitBadData);
  }
  for (const load_event& each : planned->mEvents) {
    bool admin = each.mKind == event_kind::Admin;
    bool daemon = each.mKind == event_kind::Signal || each.mKind == event_kind::Restart;
    if (arguments.Has("run") &&
        ((admin && !arguments.Has("--standin")) || (daemon && !arguments.Has("--pids")))) {
      std::cerr << "event " << each.mLabel << " needs " << (admin ? "--standin" : "--pids") << '\n';
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
