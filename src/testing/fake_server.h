#ifndef REDWINGDOCK_TESTING_FAKE_SERVER_H
#define REDWINGDOCK_TESTING_FAKE_SERVER_H

#include "core/requests.h"
#include "testing/event_queue.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

// Simulates a backend server on the manual clock, at the level of part requests and replies instead
// of network messages. Counts concurrent requests, connections, load while cold, and runs per
// request.

namespace redwingdock::testing {

struct server_options
{
  std::string mName;
  std::string mPool;
  std::string mShard;
  std::string mZone;
  std::uint32_t mSlots = 3;
  std::uint32_t mConnections = 30;
  micros mServiceTime = std::chrono::milliseconds(4);
  std::map<std::uint32_t, position_ranges> mRanges; // by partition map number
  bool mStartsCold = false;
  // Whether messages from one daemon reach the other, by daemon number. False across a partition.
  std::function<bool(std::size_t aFrom, std::size_t aTo)> mCanReach = [](std::size_t, std::size_t) {
    return true;
  };
};

// Counts load, limit violations and crashes from the server's point of view. Read by fleet_checker.
struct server_counts
{
  std::uint64_t mRuns = 0;
  std::uint64_t mOverSlots = 0;       // arrivals while all slots were in use
  std::uint64_t mOverConnections = 0; // connection attempts above the limit
  // Arrivals above the capacity of the cold server, from daemons that could know that it is cold.
  std::uint64_t mColdOverloads = 0;
  std::uint64_t mCrashes = 0; // by a crashing request or by overload
  std::uint32_t mMaxConcurrent = 0;
  std::uint32_t mMaxConnections = 0;
  instant mLastWork{};
  instant mWarmAt{};
};

// Faults that a schedule switches on and off.
struct server_faults
{
  bool mDead = false;
  bool mDraining = false;
  bool mReportsWarm = false; // replies report the server as warm while it is cold
  double mStragglerShare = 0.0;
  micros mStragglerDelay = std::chrono::milliseconds(200);
  micros mExtraServiceTime{ 0 }; // added to every request
};

using reply_hook = std::function<void(const part_reply&)>;

class fake_server
{
public:
  fake_server(server_options aOptions, event_queue& aEvents, std::uint64_t aSeed);

  const server_options& Options() const { return mOptions; }
  const server_counts& Counts() const { return mCounts; }
  server_faults& Faults() { return mFaults; }

  void SetVersions(std::vector<index_version> aVersions) { mVersions = std::move(aVersions); }

  // Opens a connection; returns whether the server accepts it. aOnLost runs when the server
  // crashes.
  bool Connect(const std::string& aConnection, std::function<void()> aOnLost);
  void Disconnect(const std::string& aConnection);
  // Models a connection that went silent, whose close never reaches the server: the server counts
  // it for aTimeout more.
  void AbandonConnection(const std::string& aConnection, micros aTimeout);

  // Handles a part that arrives on an open connection of the daemon with this number.
  void Run(std::size_t aDaemon, const part_request& aRequest, micros aRemaining, reply_hook aReply);
  void Cancel(const attempt_id& aAttempt);

  // Drops all connections and requests, and restarts cold as a new instance after aDownFor.
  void Crash(micros aDownFor);
  // Loses its caches while it runs; connections stay open.
  void TurnCold();

  bool IsCold() const { return mCold; }
  std::uint32_t Capacity() const;
  // Number of runs by request key or, without one, by the "tag" field of the filter.
  const std::map<std::string, std::uint32_t>& RunsByRequest() const { return mRunsByRequest; }

  // Records in the position ranges at an index version, as a direct scan of the data finds them.
  static std::vector<record> Scan(const position_ranges& aRanges, std::uint64_t aVersion);

private:
  struct run
  {
    std::uint64_t mEpoch = 0;
    std::size_t mDaemon = 0;
    reply_hook mReply;
  };

  server_evidence Evidence() const;
  void Refuse(const part_request& aRequest, part_failure aFailure, const reply_hook& aReply);
  // Whether the daemon could know that the server is cold.
  bool IsKnownCold(std::size_t aDaemon) const;
  void FinishRun(const part_request& aRequest, std::uint64_t aEpoch, std::uint64_t aVersion);
  void Start(std::size_t aDaemon,
             const part_request& aRequest,
             micros aRemaining,
             reply_hook aReply);

  server_options mOptions;
  event_queue& mEvents;
  seeded_random mRandom;
  server_counts mCounts;
  server_faults mFaults;
  std::vector<index_version> mVersions;
  std::map<std::string, std::function<void()>> mConnections;
  std::map<attempt_id, run> mRunning;
  std::map<std::string, std::uint32_t> mRunsByRequest;
  std::uint64_t mEpoch = 1; // number of the current start of the process
  bool mCold = false;
  std::uint32_t mRepliesSinceCold = 0; // successful replies since the server became cold
  instant mColdSince{};
  instant mStartedAt =
    kNever; // restart of the process; every daemon that connects knows it as cold
  std::map<std::size_t, instant> mColdReportedAt; // first reply while cold, by daemon number
};

} // namespace redwingdock::testing

#endif
