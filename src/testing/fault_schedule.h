#ifndef REDWINGDOCK_TESTING_FAULT_SCHEDULE_H
#define REDWINGDOCK_TESTING_FAULT_SCHEDULE_H

#include "testing/fleet_checker.h"

#include <string>
#include <vector>

// Runs schedules of faults against a fake fleet under load.
//
//   schedule_result result = RunSchedule(MakeRandomSchedule(seed));

namespace redwingdock::testing {

enum class fault_kind
{
  KillDaemon,
  RestartDaemon, // killed and started again at once, with empty state
  PauseDaemon,
  PartitionDaemons, // mCount daemons from mTarget on against the rest
  PlatformDown,
  CutFromPlatform, // one daemon
  ReplaceVm,       // the old process keeps running, cut off from the other daemons and the platform
  CrashServer,
  TurnServerCold,
  SilenceConnections, // those of daemon mCount to server mTarget
  SlowServer,
  StragglerServer,
  DrainServer,
  CloseZone,
  NewVersion,  // servers add the next version (41 first) one after the other, then drop the old one
  Repartition, // the same, switching to the other partition map (3 or 4)
  CrashRequest, // a caller sends a crashing request to each daemon in turn
  StopDaemon,   // planned
};

const char* ToString(fault_kind aKind);

struct fault
{
  fault_kind mKind = fault_kind::KillDaemon;
  micros mAt{ 0 };       // after the start of the load
  micros mDuration{ 0 }; // until the fault is undone; zero if it stays
  std::size_t mTarget = 0;
  std::size_t mCount = 1;

  auto operator<=>(const fault&) const = default;
};

struct fault_schedule
{
  fleet_options mFleet;
  std::vector<fault> mFaults;
  micros mLoadDuration = std::chrono::seconds(12);
  micros mMeanInterval = std::chrono::milliseconds(25); // mean time between queries
  std::uint32_t mSubmitPercent = 10;                    // of queries
  micros mDeadline = std::chrono::milliseconds(500);
  std::function<void(fake_fleet&)> mPrepare; // called before the load starts; may be empty
};

struct schedule_result
{
  std::vector<std::string> mViolations; // the first five, each with its time
  fleet_totals mTotals;
  std::uint64_t mServersLost = 0;
  std::uint64_t mDaemonsStopped = 0; // planned stops that finished before the load ended
  std::vector<std::string> mLog;
};

// Runs the load and the faults. Checks servers and answers every 100 ms and, at the end, that every
// query was answered. Callers resend a submit that ended unknown, or whose daemon was killed, under
// the same key to another daemon.
schedule_result RunSchedule(const fault_schedule& aSchedule);

// Draws one to four faults of any kind from the seed; they may overlap in time.
fault_schedule MakeRandomSchedule(std::uint64_t aSeed);

std::string Describe(const fault_schedule& aSchedule);

} // namespace redwingdock::testing

#endif
