#include "base/command_line.h"
#include "base/yaml_reader.h"
#include "platform/soak/soak_run.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <sys/resource.h>
#include <unistd.h>

// redwingdock_edge_soak: planned work and faults of real daemons, judged by what their clients and
// replicas see.

namespace {

constexpr char kUsage[] =
  R"(redwingdock_edge_soak: planned work and faults of real daemons, judged by what their clients and
replicas see.

Usage:
  redwingdock_edge_soak --edge PROGRAM [--first SEED] [--count N] [--daemons N] [--seconds S]
                        [--reply-bytes N] [--keep-logs FOLDER] [--without NAME]...
                        [--plan-only]
  redwingdock_edge_soak --help
  redwingdock_edge_soak --version

Options:
  --edge PROGRAM      Path of redwingdock_edge.
  --first SEED        First seed [default: 1].
  --count N           Number of seeds, 1 to 1000 [default: 1].
  --daemons N         Processes of the daemon, 2 to 100 [default: 5].
  --seconds S         Time of the traffic before all daemons are stopped, 5 to 600 [default: 14].
  --reply-bytes N     Size of the replies that are not parts of a gather; 0 draws it from the seed
                      [default: 0].
  --keep-logs FOLDER  Keep the daemons' logs of the seeds that fail in this folder.
  --without NAME      Leave this part out of each plan: a profile of clients, log_pipes,
                      early_signals, stops or quota.
  --plan-only         Print the plans and exit.
  --help              Show this text.
  --version           Show the version.

Exit codes: 0 no promise is broken, 1 a promise is broken, 64 usage, 69 an address cannot be opened.
)";

using namespace redwingdock;
using namespace redwingdock::platform;
using std::chrono::seconds;

// The replicas of a soak with 60 daemons hold thousands of connections.
void RaiseDescriptorLimit()
{
  rlimit limit{};
  if (::getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &limit);
  }
}

constexpr std::size_t kMaxLines = 60; // that are printed for a seed

void Print(const soak_plan& aPlan, const soak_result& aResult)
{
  std::string counts;
  for (const auto& [found, count] : aResult.mCounts) {
    counts += std::string(" ") + ToString(found) + "=" + std::to_string(count);
  }
  std::printf("%s%s in_touch=%zu refused=%zu ended_by_itself=%zu ended_before_main=%zu "
              "exceeded_grace=%zu %s\n",
              aResult.IsClean() ? "ok   " : "FAIL ",
              Describe(aPlan).c_str(),
              aResult.mInTouch,
              aResult.mRefused,
              aResult.mEndedByThemselves,
              aResult.mEndedBeforeMain,
              aResult.mExceededGrace,
              counts.c_str());
  for (std::size_t i = 0; i < std::min(aResult.mLines.size(), kMaxLines); ++i) {
    std::printf("  %s\n", aResult.mLines[i].c_str());
  }
  if (aResult.mLines.size() > kMaxLines) {
    std::printf("  and %zu more\n", aResult.mLines.size() - kMaxLines);
  }
  std::fflush(stdout);
}

int Run(const parsed_arguments& aArguments)
{
  const auto first = ParseInteger(aArguments.Text("--first"), 0, 1'000'000'000);
  const auto count = ParseInteger(aArguments.Text("--count"), 1, 1000);
  const auto daemons = ParseInteger(aArguments.Text("--daemons"), 2, 100);
  const auto duration = ParseInteger(aArguments.Text("--seconds"), 5, 600);
  const auto replyBytes = ParseInteger(aArguments.Text("--reply-bytes"), 0, 4'000'000);
  if (!first || !count || !daemons || !duration || !replyBytes) {
    std::fputs(kUsage, stderr);
    return kExitUsage;
  }
  const std::vector<std::string> without = aArguments.List("--without");
  std::size_t failed = 0;
  for (std::uint64_t seed = *first; seed < *first + *count; ++seed) {
    const soak_plan plan =
      Without(MakeSoakPlan({ seed, *daemons, seconds(static_cast<int>(*duration)), *replyBytes }),
              { without.begin(), without.end() });
    if (aArguments.Has("--plan-only")) {
      std::printf("%s\n", Describe(plan).c_str());
      continue;
    }
    const std::filesystem::path folder =
      std::filesystem::temp_directory_path() /
      ("redwingdock-soak-" + std::to_string(::getpid()) + "-" + std::to_string(seed));
    std::filesystem::create_directories(folder);
    // Runs at the same time need addresses of their own.
    const auto pid = static_cast<unsigned>(::getpid());
    const std::string network =
      "127." + std::to_string(2 + pid / 250 % 250) + "." + std::to_string(1 + pid % 250);
    std::optional<soak_result> result;
    bool interrupted = false;
    {
      soak_run run(plan, { aArguments.Text("--edge"), folder.string(), network });
      result = run.Run();
      interrupted = run.WasInterrupted();
    }
    if (!result) {
      std::printf("FAIL %s: the deployment did not start, or the run was interrupted\n",
                  Describe(plan).c_str());
      ++failed;
    } else {
      Print(plan, *result);
      failed += result->IsClean() ? 0 : 1;
    }
    std::error_code ignored;
    if (aArguments.Has("--keep-logs") && (!result || !result->IsClean())) {
      const std::filesystem::path kept =
        std::filesystem::path(aArguments.Text("--keep-logs")) / ("seed-" + std::to_string(seed));
      std::filesystem::create_directories(kept, ignored);
      std::filesystem::copy(folder, kept, std::filesystem::copy_options::recursive, ignored);
    }
    std::filesystem::remove_all(folder, ignored);
    if (interrupted) {
      break;
    }
  }
  std::printf("%zu of %llu seeds failed\n", failed, static_cast<unsigned long long>(*count));
  return failed == 0 ? kExitOk : kExitDifference;
}

} // namespace

int main(int aCount, char** aArguments)
{
  const parsed_arguments arguments = ParseArguments(kUsage, aCount, aArguments);
  if (arguments.mExitCode) {
    return *arguments.mExitCode;
  }
  RaiseDescriptorLimit();
  return Run(arguments);
}
