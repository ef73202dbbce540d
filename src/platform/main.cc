#include "base/command_line.h"
#include "base/heap.h"
#include "base/process_signals.h"
#include "daemon/logging.h"
#include "platform/edge_daemon.h"

#include <chrono>
#include <cstdio>
#include <exception>

// redwingdock_edge: a daemon of the query tier on the users' platform.

namespace {

constexpr char kUsage[] = R"(redwingdock_edge: a daemon of the query tier on the users' platform.

Usage:
  redwingdock_edge --settings FILE [--grace SECONDS] [--check]
  redwingdock_edge --help
  redwingdock_edge --version

Options:
  --settings FILE  Settings in YAML.
  --grace SECONDS  Time from the stop signal until the process is killed; 1 to
                   3600, with an optional fraction. Default: 6.
  --check          Check the settings and exit.
  --help           Show this text.
  --version        Show the version.

Exit codes: 0 ok, 64 usage, 65 bad settings, 69 an address cannot be opened, 70 internal error.
)";

constexpr int kExitInternalError = 70; // from sysexits.h, like the codes in command_line.h
// The last log lines are written within this time, unless their reader stalls.
constexpr auto kLogFlushTime = std::chrono::milliseconds(50);

using namespace redwingdock;

int Fail(int aCode, const reason& aReason)
{
  std::fprintf(stderr, "redwingdock_edge: %s\n", Describe(aReason).c_str());
  return aCode;
}

result<platform::edge_settings> ReadSettings(const std::string& aFile, micros aGrace)
{
  const result<std::string> text = ReadFile(aFile);
  if (!text) {
    return { std::nullopt, text.mReason };
  }
  return platform::ParseEdgeSettings(*text, aFile, aGrace);
}

int Run(const std::string& aFile, const std::string& aGrace, bool aCheckOnly)
{
  const result<micros> grace = aGrace.empty() ? Success(micros(0)) : platform::ParseGrace(aGrace);
  if (!grace) {
    return Fail(kExitUsage, grace.mReason);
  }
  const result<platform::edge_settings> settings = ReadSettings(aFile, *grace);
  if (!settings) {
    return Fail(kExitBadData, settings.mReason);
  }
  if (aCheckOnly) {
    std::printf("%s: ok\n", aFile.c_str());
    return 0;
  }
  const result<bool> logging = StartLogging(settings->mLogThreshold, "-");
  if (!logging) {
    return Fail(kExitUnreachable, logging.mReason);
  }
  platform::edge_daemon daemon(*settings, forward_hooks{});
  daemon.HandleSignalsAndReload(aFile);
  const result<platform::edge_addresses> bound = daemon.Start();
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
  ReturnFreedMemory();
  IgnoreBrokenPipes();
  HoldSignals();
  const parsed_arguments arguments = ParseArguments(kUsage, aCount, aArguments);
  if (arguments.mExitCode) {
    return *arguments.mExitCode;
  }
  try {
    const int code =
      Run(arguments.Text("--settings"), arguments.Text("--grace"), arguments.Has("--check"));
    FlushLog(kLogFlushTime);
    return code;
  } catch (const std::exception& error) {
    return Fail(kExitInternalError, { "run", "", error.what() });
  }
}
