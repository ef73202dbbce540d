#ifndef REDWINGDOCK_TESTING_FAULT_SCHEDULE_H
#define REDWINGDOCK_TESTING_FAULT_SCHEDULE_H

#include "testing/fleet_checker.h"

#include <string>
#include <vector>

// Schedules of faults over a fake fleet under load.
//
//   schedule_result result = RunSchedule(MakeRandomSchedule(seed));

namespace redwingdock::testing {

enum class fault_kind
{
  KillDaemon,
  RestartDaemon, // killed and started again with an empty memory
  PauseDaemon,
  PartitionDaemons, // daemons 0..count-1 against the rest
  PlatformDown,
  CutFromPlatform, // one daemon
  ReplaceVm,       // the old process lives on, cut off from the others and the platform
  CrashServer,
  TurnServerCold,
  SilenceConnections, // of one daemon to one server
  SlowServer,
  StragglerServer,
  DrainServer,
  CloseZone,
  NewVersion,   // servers get 41 one after the other, then drop 40
  Repartition,  // the same with partition map 4
  CrashRequest, // a caller sends a crashing request to each daemon in turn
  StopDaemon,   // planned
};

const char* ToString(fault_kind aKind);

struct fault
{
  fault_kind mKind = fault_kind::KillDaemon;
  micros mAt{ 0 };       // after the load began
  micros mDuration{ 0 }; // until it is undone; zero for faults without an end
  std::size_t mTarget = 0;
  std::size_t mCount = 1;

  auto operator<=>(const fault&) const = default;
};

struct fault_schedule
{
  fleet_options mFleet;
  std::vector<fault> mFaults;
  micros mLength = std::chrono::seconds(12);   // of the load
  micros mGap = std::chrono::milliseconds(25); // mean time between queries
  std::uint32_t mSubmitShare = 10;             // in 100
  micros mDeadline = std::chrono::milliseconds(500);
  std::function<void(fake_fleet&)> mPrepare; // called before the load begins; may be empty
};

struct schedule_result
{
  std::vector<std::string> mViolations; // first ones, with the time
  fleet_totals mTotals;
  std::uint64_t mServersLost = 0;
  std::uint64_t mDaemonsStopped = 0; // by a planned stop, before the load ended
  std::vector<std::string> mLog;
};

// Runs the load and the faults; checks servers and answers after every step of 100 ms, and that
// nothing is lost at the end. Callers send a submit that ended unknown, or whose daemon died, again
// under the same key to another daemon.
schedule_result RunSchedule(const fault_schedule& aSchedule);

// One to four faults of any kinds, drawn from the seed; pairs overlap in time.
fault_schedule MakeRandomSchedule(std::uint64_t aSeed);

std::string Describe(const fault_schedule& aSchedule);

} // namespace redwingdock::testing

#endif
