#ifndef REDWINGDOCK_PLATFORM_SOAK_SOAK_PLAN_H
#define REDWINGDOCK_PLATFORM_SOAK_SOAK_PLAN_H

#include "base/time.h"
#include "platform/standin.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

// What one seed of the soak plays: a deployment, its clients, the faults of its replicas, and the
// planned work and faults of its daemons. The same seed and options give the same plan.

namespace redwingdock::platform {

struct soak_route
{
  std::string mName;
  std::string mKind; // "safe" or "unsafe"
  bool mGathers = false;
  micros mTimeout{ 0 };
  micros mTarget{ 0 };
  micros mWork{ 0 };          // of a replica
  std::size_t mBodyBytes = 0; // of the request

  auto operator<=>(const soak_route&) const = default;
};

// Kinds of requests of a deployment of the users.
struct soak_deployment
{
  std::string mName;
  std::vector<soak_route> mRoutes;

  auto operator<=>(const soak_deployment&) const = default;
};

const std::vector<soak_deployment>& SoakDeployments();

// Shares of the requests, 0 to 1.
struct replica_faults
{
  double mLostReplies = 0; // the request runs, and its reply is never sent
  double mStalls = 0;      // the replica works for longer than any client waits
  double mResets = 0;      // the replica closes the connection instead of the reply
  double mSlow = 0;        // the replica works for up to 4.5 s
  double mFailures = 0;    // the request runs and fails, also with statuses that mean "not run"

  auto operator<=>(const replica_faults&) const = default;
};

struct soak_client_profile
{
  const char* mName = "";
  std::uint32_t mCount = 0;
  std::uint32_t mPipelined = 1;     // requests that are sent at once
  std::uint32_t mReadBytesPerS = 0; // 0: as fast as they come
  micros mHalfDelay{ 0 };           // between the halves of a request
  micros mFirstUse{ 0 };            // from the opening of a connection to its first request
  micros mPause{ 0 };               // between an answer and the next request
  micros mDirectoryAge{ 0 };        // of the list of addresses that it uses
  std::size_t mBodyBytesBehind = 0; // of the pipelined requests behind the first; 0: as the route
  micros mLeaveAfter{ 0 };          // disconnects so long after it has sent; 0: never
  bool mSeeksStopping = false;      // connects to daemons that have got SIGTERM

  auto operator<=>(const soak_client_profile&) const = default;
};

enum class soak_action
{
  Terminate,      // SIGTERM; the daemon starts again at the same address when it has ended
  TerminateTwice, // and a second SIGTERM a second later
  Kill,
  Reload,      // SIGHUP with other settings
  LowerLimits, // a configuration with lower limits of bodies and idle connections
  RaiseLimits,
  DropRoute, // a configuration without the last route, which one client in ten uses
  RestoreRoute,
  DrainReplica,
  RemoveReplica,
  StoreDown,
  StoreUp,
  EvacuateZone,
  RestoreZone,
  MoveRoute, // a configuration with another service for the route that moves
  CopyStore, // for a later return of the store from this copy
  ReturnStore,
};

// The store returns from a copy of itself. What was written since is written again later.
struct store_return
{
  waiting_watches mWaiting = waiting_watches::Cut;
  std::uint32_t mWrites = 0; // of replicas, right after the copy was made
  micros mAway{ 0 };         // before it returns, the store answers nothing but errors
  micros mReplicaDelay{ 0 }; // until replicas write again
  micros mOperatorDelay{ 0 };

  auto operator<=>(const store_return&) const = default;
};

struct soak_event
{
  micros mAt{ 0 }; // from the start of the traffic
  soak_action mAction = soak_action::Terminate;
  std::size_t mTarget = 0; // daemon, replica, zone or return

  auto operator<=>(const soak_event&) const = default;
};

// A signal shortly after a start of a daemon, while it may not be ready to handle it.
struct early_signal
{
  std::size_t mDaemon = 0;
  std::size_t mStart = 0; // 0: the first start
  micros mAfter{ 0 };
  soak_action mAction = soak_action::Terminate; // or Reload

  auto operator<=>(const early_signal&) const = default;
};

// Where the daemons' standard output goes.
enum class log_sink
{
  File,
  UnreadPipe, // a pipe that nobody reads
  ClosedPipe, // a pipe whose reader goes away
};

struct soak_options
{
  std::uint64_t mSeed = 1;
  std::size_t mDaemons = 5;
  micros mDuration = std::chrono::seconds(14); // of the traffic, before all daemons are stopped
  std::size_t mReplyBytes = 0; // of the replies that are not parts of a gather; 0: drawn

  auto operator<=>(const soak_options&) const = default;
};

struct soak_plan
{
  soak_options mOptions;
  soak_deployment mDeployment;
  replica_faults mFaults;
  std::size_t mReplyBytes = 0;
  // In each 100 ms every daemon runs for this time and is then suspended, as under a quota of
  // processor time; 0: without a quota.
  micros mQuota{ 0 };
  std::vector<soak_client_profile> mClients;
  std::vector<soak_event> mEvents; // by time
  std::vector<early_signal> mEarlySignals;
  log_sink mLogSink = log_sink::File;
  std::vector<store_return> mReturns;
  bool mStatesEra = true; // the store does, in its answers

  bool operator==(const soak_plan&) const = default;
};

soak_plan MakeSoakPlan(const soak_options& aOptions);

// The plan without the named profiles of clients, "log_pipes", "early_signals", "stops" (and
// kills), and "quota".
soak_plan Without(soak_plan aPlan, const std::set<std::string>& aNames);

std::string Describe(const soak_plan& aPlan);

} // namespace redwingdock::platform

#endif
