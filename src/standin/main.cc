#include "base/process_signals.h"
#include "standin/frontend.h"
#include "standin/scan.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <docopt/docopt.h>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

constexpr char kUsage[] =
  R"(Simulates the configuration service and the backend servers of a deployment.

Usage:
  redwingdock_standin serve CONFIG
  redwingdock_standin scan --records FILE [--version N] [--filter FIELD=VALUE]...
  redwingdock_standin (-h | --help)

Options:
  --records FILE        Record file (JSON lines).
  --version N           Index version to scan [default: 40].
  --filter FIELD=VALUE  Field value that records must have; repeatable.

serve runs until SIGINT or SIGTERM. scan prints the sorted ids of the matching records.
)";

int Serve(const std::string& aConfig)
{
  using namespace redwingdock::standin;
  auto input = ReadInput(aConfig);
  if (!input) {
    std::cerr << Describe(input.mReason) << '\n';
    return 1;
  }
  boost::asio::io_context io(1);
  standin_frontend frontend(io, std::move(*input));
  if (const auto listening = frontend.Listen(); !listening) {
    std::cerr << Describe(listening.mReason) << '\n';
    return 1;
  }
  boost::asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait(
    [&](const boost::system::error_code& /*aError*/, int /*aSignal*/) { io.stop(); });
  redwingdock::DeliverSignals();
  std::cout << "ready" << std::endl;
  io.run();
  return 0;
}

int ScanFile(const std::string& aFile,
             std::uint64_t aVersion,
             const std::vector<std::string>& aFilter)
{
  std::ifstream file(aFile, std::ios::binary);
  std::ostringstream text;
  text << file.rdbuf();
  if (!file) {
    std::cerr << "scan " << aFile << ": cannot read the file\n";
    return 1;
  }
  const auto ids = redwingdock::standin::Scan(text.str(), aFile, aFilter, aVersion);
  if (!ids) {
    std::cerr << Describe(ids.mReason) << '\n';
    return 1;
  }
  for (const std::string& id : *ids) {
    std::cout << id << '\n';
  }
  return 0;
}

} // namespace

int main(int aCount, char** aArguments)
{
  redwingdock::IgnoreBrokenPipes();
  redwingdock::HoldSignals();
  auto options = docopt::docopt(kUsage, { aArguments + 1, aArguments + aCount });
  if (options["serve"].asBool()) {
    return Serve(options["CONFIG"].asString());
  }
  const auto version = redwingdock::ParseInteger(options["--version"].asString(), 0, 1ULL << 62U);
  if (!version) {
    std::cerr << "--version: found \"" << options["--version"].asString()
              << "\", allowed: a non-negative integer\n";
    return 64;
  }
  return ScanFile(options["--records"].asString(), *version, options["--filter"].asStringList());
}
