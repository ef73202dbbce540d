#ifndef REDWINGDOCK_TESTING_FLEET_CHECKER_H
#define REDWINGDOCK_TESTING_FLEET_CHECKER_H

#include "testing/fake_fleet.h"

#include <string>
#include <vector>

// Checks the invariants of the fleet from what callers, servers and the platform observe, never
// from the state that a daemon reports.

namespace redwingdock::testing {

// Checks the servers' counts so far: slots, connections, load while cold, repeated runs of a
// request key, and new work in closed zones and on draining servers.
std::vector<std::string> CheckServers(const fake_fleet& aFleet);

// Compares every answer so far with a direct scan of the records. aChecked holds the numbers of the
// searches that are compared already; these are skipped, since an answer never changes.
std::vector<std::string> CheckAnswers(const fake_fleet& aFleet, std::set<std::uint64_t>& aChecked);

// Checks that each query whose daemon was not killed has exactly one answer. Call it after the load
// has ended and all deadlines have passed.
std::vector<std::string> CheckAllAnswered(const fake_fleet& aFleet);

struct fleet_totals
{
  std::uint64_t mQueries = 0;
  std::uint64_t mComplete = 0;
  std::uint64_t mPartial = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mDaemonLost = 0;
  std::uint64_t mRuns = 0;        // on servers
  double mCoverage = 0.0;         // mean share of covered positions over answered searches
  std::vector<micros> mLatencies; // of answered searches, ascending
};

fleet_totals ComputeTotals(const fake_fleet& aFleet);

// Quantile of the latencies; zero without latencies.
micros LatencyQuantile(const fleet_totals& aTotals, double aQuantile);

std::uint64_t CountRuns(const fake_fleet& aFleet, const std::string& aTag);

} // namespace redwingdock::testing

#endif
