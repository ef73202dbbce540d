#include "base/command_line.h"
#include "base/heap.h"
#include "base/process_signals.h"
#include "daemon/logging.h"
#include "daemon/query_daemon.h"

#include <chrono>
#include <cstdio>
#include <exception>

// redwingdockd: one daemon of the query tier.

namespace {

constexpr char kUsage[] = R"(redwingdockd: one daemon of the query tier.

Usage:
  redwingdockd --settings FILE [--check]
  redwingdockd --help
  redwingdockd --version

Options:
  --settings FILE  Settings in YAML.
  --check          Check the settings and exit.
  --help           Show this text.
  --version        Show the version.

Exit codes: 0 ok, 64 usage, 65 bad settings, 69 an address or file cannot be opened,
70 internal error.
)";

constexpr int kExitInternalError = 70; // from sysexits.h, like the codes in command_line.h
// The last log lines are written within this time, unless their reader stalls.
constexpr auto kLogFlushTime = std::chrono::milliseconds(50);

int Fail(int aCode, const redwingdock::reason& aReason)
{
  std::fprintf(stderr, "redwingdockd: %s\n", redwingdock::Describe(aReason).c_str());
  return aCode;
}

int Run(const std::string& aFile, bool aCheckOnly)
{
  using namespace redwingdock;
  const result<std::string> text = ReadFile(aFile);
  if (!text) {
    return Fail(kExitBadData, text.mReason);
  }
  const result<daemon_settings> settings = ParseSettings(*text, aFile);
  if (!settings) {
    return Fail(kExitBadData, settings.mReason);
  }
  if (aCheckOnly) {
    std::printf("%s: ok\n", aFile.c_str());
    return 0;
  }
  const result<bool> logging = StartLogging(settings->mLogThreshold, settings->mLogFile);
  if (!logging) {
    return Fail(kExitUnreachable, logging.mReason);
  }
  query_daemon daemon(*settings, record_search_hooks{});
  daemon.StopOnSignals();
  const result<daemon_addresses> bound = daemon.Start();
  if (!bound) {
    return Fail(kExitUnreachable, bound.mReason);
  }
  DeliverSignals();
  daemon.WaitForEnd();
  return 0;
}

} // namespace

int main(int aCount, char** aArguments)
{
  redwingdock::IgnoreBrokenPipes();
  redwingdock::HoldSignals();
  const redwingdock::parsed_arguments arguments =
    redwingdock::ParseArguments(kUsage, aCount, aArguments);
  if (arguments.mExitCode) {
    return *arguments.mExitCode;
  }
  try {
    const int code = Run(arguments.Text("--settings"), arguments.Has("--check"));
    redwingdock::FlushLog(kLogFlushTime);
    return code;
  } catch (const std::exception& error) {
    return Fail(kExitInternalError, { "run", "", error.what() });
  }
}
