#include "daemon/logging.h"
#include "platform/edge_daemon.h"

#include <cstdio>
#include <docopt/docopt.h>
#include <exception>
#include <fstream>
#include <iterator>

// redwingdock_edge: a daemon of the query tier on the users' platform.

namespace {

constexpr char kUsage[] = R"(redwingdock_edge: a daemon of the query tier on the users' platform.

Usage:
  redwingdock_edge --settings FILE [--check]
  redwingdock_edge --help
  redwingdock_edge --version

Options:
  --settings FILE  Settings in YAML.
  --check          Check the settings and exit.
  --help           Show this text.
  --version        Show the version.

Exit codes: 0 ok, 64 usage, 65 bad settings, 69 an address cannot be opened, 70 internal error.
)";

// From sysexits.h.
constexpr int kBadUsage = 64;
constexpr int kBadSettings = 65;
constexpr int kUnavailable = 69;
constexpr int kInternal = 70;

using namespace redwingdock;

int Fail(int aCode, const reason& aReason)
{
  std::fprintf(stderr, "redwingdock_edge: %s\n", Describe(aReason).c_str());
  return aCode;
}

result<platform::edge_settings> ReadSettings(const std::string& aFile)
{
  std::ifstream input(aFile);
  if (!input) {
    return Failure<platform::edge_settings>("read settings", aFile, "cannot be opened");
  }
  const std::string text{ std::istreambuf_iterator<char>(input), {} };
  return platform::ParseEdgeSettings(text, aFile);
}

int Run(const std::string& aFile, bool aCheckOnly)
{
  const result<platform::edge_settings> settings = ReadSettings(aFile);
  if (!settings) {
    return Fail(kBadSettings, settings.mReason);
  }
  if (aCheckOnly) {
    std::printf("%s: ok\n", aFile.c_str());
    return 0;
  }
  const result<bool> logging = StartLogging(settings->mLogThreshold, "-");
  if (!logging) {
    return Fail(kUnavailable, logging.mReason);
  }
  platform::edge_daemon daemon(*settings, forward_hooks{});
  daemon.OnSignals([aFile] {
    const result<platform::edge_settings> read = ReadSettings(aFile);
    Log({ read ? log_level::Info : log_level::Warning,
          "entry",
          std::string("event=reload outcome=") +
            (read ? "checked, in force with the next start"
                  : "refused reason=\"" + Describe(read.mReason) + "\"") });
  });
  const result<platform::edge_addresses> bound = daemon.Start();
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
      std::puts("redwingdock_edge " REDWINGDOCK_VERSION);
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
