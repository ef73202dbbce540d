#include "core/controller_facts.h"
#include "membership/view_exchange.h"
#include "testing/fake_fleet.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string_view>

// Measures how tables and membership changes propagate through fleets of several sizes, on the
// manual clock: time until the last daemon has a new pools table or VM list and until every daemon
// knows of a restart, reads of the configuration service, and confirmed views while the regions are
// partitioned. With "parts": messages between daemons and processor time (of all daemons,
// fake servers and this program) per part of a search, at several numbers of shards.
//
//   fake_fleet_benchmark [DAEMONS...]
//   fake_fleet_benchmark parts

namespace redwingdock::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr micros kPollInterval = milliseconds(100);
constexpr micros kLimit = seconds(60);

// Simulated seconds until the condition holds for every running daemon; -1 when it doesn't within
// kLimit.
double TimeUntil(fake_fleet& aFleet, const std::function<bool(std::size_t)>& aCondition)
{
  for (micros spent = kPollInterval; spent <= kLimit; spent += kPollInterval) {
    aFleet.RunFor(kPollInterval);
    bool all = true;
    for (std::size_t i = 0; all && i < aFleet.DaemonCount(); ++i) {
      all = !aFleet.IsRunning(i) || aCondition(i);
    }
    if (all) {
      return std::chrono::duration<double>(spent).count();
    }
  }
  return -1;
}

std::uint64_t PoolsRevisionOf(const fake_fleet& aFleet, std::size_t aDaemon)
{
  const auto tables = aFleet.Core(aDaemon).Board().Read<tables_in_force>(kTablesKey);
  return tables ? tables->PoolsRevision().mNumber : 0;
}

std::uint64_t VmsRevisionOf(const fake_fleet& aFleet, std::size_t aDaemon)
{
  const auto view = aFleet.Core(aDaemon).Board().Read<member_view>(kMembersKey);
  return view ? view->mVms.mRevision.mNumber : 0;
}

std::size_t CountConfirmedViews(fake_fleet& aFleet)
{
  std::size_t confirmed = 0;
  for (std::size_t i = 0; i < aFleet.DaemonCount(); ++i) {
    const auto view = aFleet.Core(i).Board().Read<member_view>(kMembersKey);
    confirmed += view && view->mConfirmedUntil > aFleet.Events().Now() ? 1 : 0;
  }
  return confirmed;
}

// Number of table texts sent so far, by daemon.
std::vector<std::uint64_t> TablesSent(const fake_fleet& aFleet)
{
  std::vector<std::uint64_t> sent;
  for (std::size_t i = 0; i < aFleet.DaemonCount(); ++i) {
    const auto count = aFleet.Core(i).Board().Read<counter>("tables.sent");
    sent.push_back(count ? count->mCount : 0);
  }
  return sent;
}

void MeasurePropagation(std::uint32_t aDaemons)
{
  fleet_options options;
  options.mDaemons = aDaemons;
  options.mShards = aDaemons * 5100 / 710 / 2;
  options.mZones = 10;
  fake_fleet fleet(options);
  const double ready =
    TimeUntil(fleet, [&](std::size_t aDaemon) { return PoolsRevisionOf(fleet, aDaemon) > 0; });
  const std::uint64_t startReads = fleet.PlatformReads();
  fleet.RunFor(seconds(20));
  const std::uint64_t messages = fleet.PeerMessages();
  const std::uint64_t reads = fleet.PlatformReads();
  fleet.RunFor(seconds(20));
  const double messageRate = static_cast<double>(fleet.PeerMessages() - messages) / 20.0 / aDaemons;
  const double readRate = static_cast<double>(fleet.PlatformReads() - reads) / 20.0;

  const auto before = TablesSent(fleet);
  fleet.Publish(table_kind::Pools);
  const std::uint64_t pools = fleet.Revision(table_kind::Pools);
  const double poolsTime =
    TimeUntil(fleet, [&](std::size_t aDaemon) { return PoolsRevisionOf(fleet, aDaemon) == pools; });
  fleet.RunFor(seconds(3)); // lets redundant transfers finish
  const auto after = TablesSent(fleet);
  std::uint64_t all = 0;
  std::uint64_t most = 0;
  for (std::size_t i = 0; i < after.size(); ++i) {
    all += after[i] - before[i];
    most = std::max(most, after[i] - before[i]);
  }
  std::printf("%4u daemons: %llu pools texts sent for one change, %llu of them by one daemon\n",
              aDaemons,
              static_cast<unsigned long long>(all),
              static_cast<unsigned long long>(most));
  fleet.Publish(table_kind::Vms);
  const std::uint64_t vms = fleet.Revision(table_kind::Vms);
  const double vmsTime =
    TimeUntil(fleet, [&](std::size_t aDaemon) { return VmsRevisionOf(fleet, aDaemon) == vms; });

  const std::size_t restarted = aDaemons - 1;
  fleet.Kill(restarted);
  fleet.RunFor(seconds(1));
  fleet.Start(restarted);
  const auto self = fleet.Core(restarted).Config();
  const double restartTime = TimeUntil(fleet, [&](std::size_t aDaemon) {
    const auto peer = fleet.Core(aDaemon).Board().Read<peer_state>(PeerKey(self.mVm));
    return aDaemon == restarted || (peer && peer->mIncarnation == self.mIncarnation);
  });

  // Partitions region 0 (zones 0 to 3) from the rest, first with the configuration service
  // reachable, then without it.
  std::set<std::size_t> region;
  for (std::size_t i = 0; i < aDaemons; ++i) {
    if (i % 10 < 4) {
      region.insert(i);
    }
  }
  fleet.Partition(region);
  const std::uint64_t partitionReads = fleet.PlatformReads();
  fleet.RunFor(seconds(60));
  const double partitionReadRate =
    static_cast<double>(fleet.PlatformReads() - partitionReads) / 60.0;
  const std::size_t partitionConfirmed = CountConfirmedViews(fleet);
  fleet.SetPlatformDown(true);
  fleet.RunFor(seconds(30));
  const std::size_t outageConfirmed = CountConfirmedViews(fleet);
  std::printf("%4u daemons: ready %.1f s, reads at start %llu; messages per daemon %.1f/s, reads "
              "%.2f/s; pools everywhere %.1f s, VM list %.1f s, restart known %.1f s; regions "
              "partitioned: reads %.2f/s, confirmed %zu; and service down: confirmed %zu\n",
              aDaemons,
              ready,
              static_cast<unsigned long long>(startReads),
              messageRate,
              readRate,
              poolsTime,
              vmsTime,
              restartTime,
              partitionReadRate,
              partitionConfirmed,
              outageConfirmed);
  std::fflush(stdout);
}

double CpuMs()
{
  timespec now{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * 1e3 + static_cast<double>(now.tv_nsec) / 1e6;
}

void MeasureParts(std::uint32_t aDaemons, std::uint32_t aShards)
{
  fleet_options options;
  options.mDaemons = aDaemons;
  options.mShards = aShards;
  options.mZones = 10;
  fake_fleet fleet(options);
  constexpr int kQueries = 200;
  const auto ask = [&](int aCount) {
    for (int i = 0; i < aCount; ++i) {
      query_request request;
      request.mRoute = "search";
      request.mCaller = "benchmark";
      request.mFilter["tag"] = std::to_string(fleet.Queries().size());
      fleet.SendQuery(static_cast<std::size_t>(i) % aDaemons, request, seconds(1));
      fleet.RunFor(milliseconds(50));
    }
  };
  fleet.RunFor(seconds(15));
  ask(100); // warms up servers and latency estimates
  const std::size_t first = fleet.Queries().size();
  double cpu = CpuMs();
  std::uint64_t messages = fleet.PeerMessages();
  ask(kQueries);
  const double busyCpu = CpuMs() - cpu;
  const auto busyMessages = static_cast<double>(fleet.PeerMessages() - messages);
  cpu = CpuMs();
  messages = fleet.PeerMessages();
  fleet.RunFor(milliseconds(50) * kQueries);
  const double idleCpu = CpuMs() - cpu;
  const auto idleMessages = static_cast<double>(fleet.PeerMessages() - messages);
  int answered = 0;
  for (std::size_t i = first; i < fleet.Queries().size(); ++i) {
    answered += fleet.Queries()[i].mAnswerCount == 1 ? 1 : 0;
  }
  const double parts = static_cast<double>(kQueries) * aShards;
  std::printf(
    "%4u daemons %3u parts per query: %d of %d answered, %.2f messages and %.1f us per part\n",
    aDaemons,
    aShards,
    answered,
    kQueries,
    (busyMessages - idleMessages) / parts,
    (busyCpu - idleCpu) * 1e3 / parts);
  std::fflush(stdout);
}

} // namespace
} // namespace redwingdock::testing

int main(int aCount, char** aArguments)
{
  if (aCount > 1 && std::string_view(aArguments[1]) == "parts") {
    for (const std::uint32_t shards : { 13U, 26U, 53U }) {
      redwingdock::testing::MeasureParts(20, shards);
    }
    redwingdock::testing::MeasureParts(10, 53);
    redwingdock::testing::MeasureParts(40, 53);
    return 0;
  }
  if (aCount > 1) {
    for (int i = 1; i < aCount; ++i) {
      redwingdock::testing::MeasurePropagation(
        static_cast<std::uint32_t>(std::atoi(aArguments[i])));
    }
    return 0;
  }
  for (const std::uint32_t daemons : { 20U, 40U, 80U, 160U }) {
    redwingdock::testing::MeasurePropagation(daemons);
  }
  return 0;
}
