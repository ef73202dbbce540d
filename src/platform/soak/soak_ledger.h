#ifndef REDWINGDOCK_PLATFORM_SOAK_SOAK_LEDGER_H
#define REDWINGDOCK_PLATFORM_SOAK_SOAK_LEDGER_H

#include "platform/standin.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// What clients, replicas and the operator of a soak saw, and which promises that breaks. Nothing
// here knows what the daemons say of themselves.

namespace redwingdock::platform {

enum class request_end
{
  Answered,   // the whole answer arrived
  Closed,     // the connection ended first
  GaveUp,     // the client stopped waiting after its deadline
  Malformed,  // bytes that are no answer in the protocol arrived
  Unexpected, // a success arrived while no request was waiting
};

// One attempt of a client.
struct request_record
{
  std::string mId;
  std::string mRoute;
  std::string mClient; // name of its profile
  bool mIdempotent = true;
  std::size_t mDaemon = 0;
  instant mSentAt{}; // last byte
  instant mEndedAt{};
  micros mTimeout{ 0 }; // that the client stated
  request_end mEnd = request_end::Answered;
  unsigned mStatus = 0;
  bool mIsReply = true; // a 2xx answer has the body and the stamp of a reply to this request
  std::string mCloseReason;

  auto operator<=>(const request_record&) const = default;
};

// One process of a daemon, from its start to its end. Times are kNever while they have not come.
struct process_record
{
  std::size_t mDaemon = 0;
  instant mStartedAt{};
  instant mStopAt = kNever; // the first SIGTERM
  instant mKilledAt = kNever;
  instant mEndedAt = kNever;
  bool mKillPlanned = false; // killed as a fault, not because it was still running after its grace
  int mEndSignal = 0;        // the signal that ended it, if one did
  // SIGHUP was sent while the process neither blocked nor handled it, as before its main function.
  bool mReloadedBeforeMain = false;

  auto operator<=>(const process_record&) const = default;
};

enum class change_kind
{
  Version,       // of the configuration
  ReplicaLeaves, // it drains, or its entry is gone
  ZoneCloses,
  ZoneOpens,
};

// A change that the store acknowledged.
struct acknowledged_change
{
  change_kind mKind = change_kind::Version;
  std::string mName;          // of the replica or the zone
  std::uint64_t mVersion = 0; // of the configuration
  instant mAt{};
  instant mLostAt = kNever; // the store returned from a copy without it

  auto operator<=>(const acknowledged_change&) const = default;
};

struct replica_place
{
  std::string mService;
  std::string mZone;

  auto operator<=>(const replica_place&) const = default;
};

struct time_span
{
  instant mFrom{};
  instant mTo = kNever;

  auto operator<=>(const time_span&) const = default;
};

// Service of each route that a version of the configuration has. A route that gathers has none.
using version_routes = std::map<std::string, std::string>;

// What the operator and the replicas of a soak wrote.
struct change_ledger
{
  std::map<std::uint64_t, version_routes> mVersions;
  std::vector<acknowledged_change> mChanges;
  std::map<std::string, replica_place> mReplicas; // by id
  std::vector<time_span> mStoreDisturbances;
  bool mSlowed = false; // the daemons run under a quota of processor time

  auto operator<=>(const change_ledger&) const = default;
};

// Bounds of the rules of a deployment.
struct soak_bounds
{
  micros mGrace = std::chrono::seconds(6);
  micros mLossSlack = std::chrono::milliseconds(200);
  // A replica that is still at work in the last part of the grace, on a request that was sent no
  // later than mLateRequest after the signal, excuses a cut in that part.
  int mLastPart = 6;
  micros mLateRequest = std::chrono::seconds(3);
  micros mVersionBound = std::chrono::seconds(3); // from its acknowledgement
  micros mLeavingBound = std::chrono::seconds(3);
  micros mClosedZoneBound = std::chrono::seconds(5);
  // The three bounds above do not hold so long after a disturbance of the store or of the daemon.
  micros mDisturbanceTime = std::chrono::seconds(4);
  // After a version has been seen in effect, no older one is. Eight times that for slowed daemons.
  micros mRollbackSlack = std::chrono::milliseconds(500);

  auto operator<=>(const soak_bounds&) const = default;
};

enum class finding
{
  Kept,       // no promise is broken
  Crossed,    // closed without an answer, but not forwarded and soon after it was sent
  Excused,    // cut, in a case that the rules leave out
  LostAtStop, // cut around a planned stop
  Lost,       // cut at another time
  RanTwice,
  RefusedButRan,
  WrongAnswer,
  OlderVersion, // handled as only an older version of the configuration allows
  WentBack,     // the same, by a process that had handled requests by a later one
  ReachedLeaving,
  ReachedClosedZone,
};

const char* ToString(finding aFinding);

// Judges a request. aRuns are its runs; aProcess is the process that took it.
finding Judge(const request_record& aRequest,
              const std::vector<replica_run>& aRuns,
              const process_record& aProcess,
              const soak_bounds& aBounds);

// Whether the process ended without a signal, or had to be killed after its grace.
bool EndedByItself(const process_record& aProcess);
// Whether a SIGHUP ended the process before it could run any code of the program.
bool EndedBeforeMain(const process_record& aProcess);
bool ExceededItsGrace(const process_record& aProcess);

struct soak_ledger
{
  std::vector<request_record> mRequests;
  std::vector<replica_run> mRuns;
  std::vector<process_record> mProcessRecords;
  change_ledger mWritten;

  bool operator==(const soak_ledger&) const = default;
};

struct soak_result
{
  std::map<finding, std::size_t> mCounts;
  std::size_t mInTouch = 0; // sent so long after a disturbance that changes had to be in effect
  std::size_t mRefused = 0; // answered 503
  std::size_t mEndedByThemselves = 0;
  std::size_t mEndedBeforeMain = 0; // breaks no promise
  std::size_t mExceededGrace = 0;
  std::vector<std::string> mLines; // one for each broken promise

  bool operator==(const soak_result&) const = default;

  std::size_t Count(finding aFinding) const;
  bool IsClean() const;
};

soak_result JudgeAll(const soak_ledger& aLedger, const soak_bounds& aBounds);

} // namespace redwingdock::platform

#endif
