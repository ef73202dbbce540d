#include "testing/fault_schedule.h"

#include <docopt/docopt.h>

#include <cstdlib>
#include <iostream>

namespace {

constexpr char kUsage[] =
  R"(Runs random fault schedules against the fake fleet and checks its invariants.

Usage:
  fault_schedules [--first SEED] [--count N] [--log]
  fault_schedules (-h | --help)

Options:
  --first SEED  First seed [default: 1].
  --count N     Number of seeds [default: 1000].
  --log         Prints each schedule with its totals and every decision.

Exit codes: 0 no violation, 1 a violation was found, 64 usage.
)";

using redwingdock::testing::schedule_result;

void Print(const redwingdock::testing::fault_schedule& aSchedule, const schedule_result& aResult)
{
  const auto& totals = aResult.mTotals;
  std::cout << Describe(aSchedule) << "\n  " << totals.mQueries << " queries: " << totals.mComplete
            << " complete, " << totals.mPartial << " partial, " << totals.mNotRun << " not run, "
            << totals.mUnknown << " unknown, " << totals.mDaemonLost << " interrupted by a kill\n";
  for (const std::string& line : aResult.mLog) {
    std::cout << line << "\n";
  }
  for (const std::string& violation : aResult.mViolations) {
    std::cout << "  violation: " << violation << "\n";
  }
}

} // namespace

int main(int aCount, char** aArguments)
{
  auto options = docopt::docopt(kUsage, { aArguments + 1, aArguments + aCount }, true);
  const bool log = options["--log"].asBool();
  const auto first = static_cast<std::uint64_t>(options["--first"].asLong());
  const auto count = static_cast<std::uint64_t>(options["--count"].asLong());
  std::uint64_t failed = 0;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    auto schedule = redwingdock::testing::MakeRandomSchedule(seed);
    schedule.mFleet.mLogDecisions = log;
    const schedule_result result = RunSchedule(schedule);
    failed += result.mViolations.empty() ? 0 : 1;
    if (log || !result.mViolations.empty()) {
      Print(schedule, result);
    }
  }
  std::cout << count - failed << " of " << count << " seeds without a violation\n";
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
