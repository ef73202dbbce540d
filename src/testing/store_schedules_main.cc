#include "testing/store_schedule.h"

#include <docopt/docopt.h>

#include <cstdlib>
#include <iostream>

namespace {

constexpr char kUsage[] =
  R"(Runs random schedules of a store that daemons follow and checks what the daemons use.

Usage:
  store_schedules [--first SEED] [--count N] [--log]
  store_schedules (-h | --help)

Options:
  --first SEED  First seed [default: 1].
  --count N     Number of seeds [default: 1000].
  --log         Prints writes, faults and the log lines of the daemons.

Exit codes: 0 no violation, 1 a violation was found, 64 usage.
)";

} // namespace

int main(int aCount, char** aArguments)
{
  auto options = docopt::docopt(kUsage, { aArguments + 1, aArguments + aCount }, true);
  const bool log = options["--log"].asBool();
  const auto first = static_cast<std::uint64_t>(options["--first"].asLong());
  const auto count = static_cast<std::uint64_t>(options["--count"].asLong());
  std::uint64_t failed = 0;
  redwingdock::testing::store_schedule_totals totals;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    const auto result = redwingdock::testing::RunStoreSchedule(seed, log);
    for (const std::string& line : result.mLog) {
      std::cout << line << "\n";
    }
    failed += result.mViolations.empty() ? 0 : 1;
    for (const std::string& violation : result.mViolations) {
      std::cout << result.mDescription << ": " << violation << "\n";
    }
    totals.mWrites += result.mTotals.mWrites;
    totals.mReturns += result.mTotals.mReturns;
    totals.mOutages += result.mTotals.mOutages;
    totals.mOtherFaults += result.mTotals.mOtherFaults;
    totals.mListings += result.mTotals.mListings;
    totals.mChecks += result.mTotals.mChecks;
  }
  std::cout << count - failed << " of " << count << " seeds without a violation; " << totals.mWrites
            << " writes, " << totals.mReturns << " returns from a copy, " << totals.mOutages
            << " outages, " << totals.mOtherFaults << " other faults, " << totals.mListings
            << " listings, " << totals.mChecks << " checks\n";
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
