#include "daemon/logging.h"
#include "daemon/query_daemon.h"

#include <cstdio>
#include <docopt/docopt.h>
#include <exception>
#include <fstream>
#include <iterator>
#include <sstream>

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

// From sysexits.h.
constexpr int kBadUsage = 64;
constexpr int kBadSettings = 65;
constexpr int kUnavailable = 69;
constexpr int kInternal = 70;

int Fail(int aCode, const redwingdock::reason& aReason)
{
  std::fprintf(stderr, "redwingdockd: %s\n", redwingdock::Describe(aReason).c_str());
  return aCode;
}

int Run(const std::string& aFile, bool aCheckOnly)
{
  using namespace redwingdock;
  std::ifstream input(aFile);
  if (!input) {
    return Fail(kBadSettings, { "read settings", aFile, "cannot be opened" });
  }
  const std::string text{ std::istreambuf_iterator<char>(input), {} };
  const result<daemon_settings> settings = ParseSettings(text, aFile);
  if (!settings) {
    return Fail(kBadSettings, settings.mReason);
  }
  if (aCheckOnly) {
    std::printf("%s: ok\n", aFile.c_str());
    return 0;
  }
  const result<bool> logging = StartLogging(settings->mLogThreshold, settings->mLogFile);
  if (!logging) {
    return Fail(kUnavailable, logging.mReason);
  }
  query_daemon daemon(*settings, core_hooks{});
  daemon.StopOnSignals();
  const result<daemon_addresses> bound = daemon.Start();
  if (!bound) {
    return Fail(kUnavailable, bound.mReason);
  }
  daemon.WaitForEnd();
  return 0;
}

} // namespace

int main(int aCount, char** aArguments)
{
  try {
    std::map<std::string, docopt::value> arguments;
    try {
      arguments = docopt::docopt_parse(kUsage, { aArguments + 1, aArguments + aCount }, true, true);
    } catch (const docopt::DocoptExitHelp&) {
      std::fputs(kUsage, stdout);
      return 0;
    } catch (const docopt::DocoptExitVersion&) {
      std::puts("redwingdockd " REDWINGDOCK_VERSION);
      return 0;
    } catch (const std::runtime_error&) {
      std::fputs(kUsage, stderr);
      return kBadUsage;
    }
    return Run(arguments["--settings"].asString(), arguments["--check"].asBool());
  } catch (const std::exception& error) {
    return Fail(kInternal, { "run", "", error.what() });
  }
}
