#include "membership/test_fleet.h"

#include <benchmark/benchmark.h>

// Measures the control traffic per daemon on a manual clock: messages, bytes (sum of field sizes)
// and reads from the configuration service per second, and the time until a published table of 1 MB
// has reached all daemons.

namespace redwingdock {

namespace {

using std::chrono::seconds;

traffic TotalTraffic(const test_fleet& aFleet)
{
  traffic sum;
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    const traffic& each = aFleet.Process(static_cast<int>(i)).mTraffic;
    sum.mMessages += each.mMessages;
    sum.mBytes += each.mBytes;
    sum.mReads += each.mReads;
  }
  return sum;
}

bool AllHavePools(const test_fleet& aFleet, std::uint64_t aPools)
{
  for (std::size_t i = 0; i < aFleet.Size(); ++i) {
    const auto tables =
      aFleet.Process(static_cast<int>(i)).mCore->mBoard.Read<tables_in_force>(kTablesKey);
    if (!tables || tables->PoolsRevision() != aPools) {
      return false;
    }
  }
  return true;
}

void Fleet(benchmark::State& aState)
{
  const int daemons = static_cast<int>(aState.range(0));
  for (auto each : aState) {
    fleet_options options;
    options.mProcesses = daemons;
    options.mZones = daemons < 50 ? 4 : 10;
    options.mTableBytes = 1000000;
    test_fleet fleet(options);
    std::vector<int> all;
    all.reserve(static_cast<std::size_t>(daemons));
    for (int i = 0; i < daemons; ++i) {
      all.push_back(i);
    }
    fleet.Publish(table_kind::Vms, 1, fleet.VmTable(1, all));
    fleet.Publish(table_kind::Routes, 1, fleet.RoutesTable(1, { "main" }));
    fleet.Publish(table_kind::Pools, 1, fleet.PoolsTable(1, { "main" }));
    fleet.StartAll();
    fleet.RunUntil(seconds(20));
    const double startReads = static_cast<double>(TotalTraffic(fleet).mReads);
    const traffic before = TotalTraffic(fleet);
    fleet.RunUntil(seconds(30));
    const traffic after = TotalTraffic(fleet);
    const double daemonSeconds = 10.0 * daemons;
    aState.counters["messages_s"] =
      static_cast<double>(after.mMessages - before.mMessages) / daemonSeconds;
    aState.counters["bytes_s"] = static_cast<double>(after.mBytes - before.mBytes) / daemonSeconds;
    aState.counters["reads_s"] = static_cast<double>(after.mReads - before.mReads) / daemonSeconds;
    aState.counters["fleet_reads_s"] = static_cast<double>(after.mReads - before.mReads) / 10;
    aState.counters["start_reads"] = startReads;

    fleet.Publish(table_kind::Pools, 2, fleet.PoolsTable(2, { "main" }));
    int ms = 30000;
    while (!AllHavePools(fleet, 2) && ms < 45000) {
      ms += 50;
      fleet.RunUntil(std::chrono::milliseconds(ms));
    }
    aState.counters["spread_ms"] = ms - 30000;
    const traffic spread = TotalTraffic(fleet);
    aState.counters["spread_bytes"] = static_cast<double>(spread.mBytes - after.mBytes) / daemons;
  }
}
BENCHMARK(Fleet)->Arg(5)->Arg(50)->Arg(200)->Arg(710)->Iterations(1)->Unit(benchmark::kSecond);

} // namespace

} // namespace redwingdock
