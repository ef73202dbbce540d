#ifndef REDWINGDOCK_FORWARD_REPLICA_LOAD_H
#define REDWINGDOCK_FORWARD_REPLICA_LOAD_H

#include "core/forwarding.h"

#include <vector>

// Load and health of a replica as measured by this daemon's own attempts, as an immutable value.
//
//   replica_load next = WithSend(load, key, now, expected);
//   next = WithEnd(next, key, { attempt_end::Answered }, now);

namespace redwingdock {

// The part of an attempt's result that is evidence about the replica.
struct attempt_outcome
{
  attempt_end mEnd = attempt_end::Answered;
  bool mNewConnection = false; // as in attempt_ended

  auto operator<=>(const attempt_outcome&) const = default;
};

// Initial limit on connections to a replica. After a power loss a replica still counts the
// connections of the previous daemon processes until its idle timeout.
inline constexpr std::uint32_t kInitialConnections = 2;

struct open_attempt
{
  attempt_key mKey;
  instant mSentAt{};
  micros mExpectedLatency{ 0 }; // typical latency of such an attempt

  auto operator<=>(const open_attempt&) const = default;
};

// Entry key: id of the replica.
struct replica_load
{
  std::int64_t mBornMs = 0; // start time of the replica process that the other fields describe
  std::vector<open_attempt> mOpen;
  double mLatencyRatio = 1;  // exponentially weighted mean of latency / expected latency
  double mFailureShare = 0;  // exponentially weighted share of attempts without a usable reply
  instant mLatencyRatioAt{}; // time of the last update of each mean
  instant mFailureShareAt{};
  instant mBlockedUntil{};    // other replicas are preferred until then
  bool mAddressTaken = false; // another process owns the address, so this one can't return to it
  std::uint32_t mConsecutiveRefusals = 0; // of connections
  std::int64_t mSentSecond = 0;           // the second that mSentInSecond counts
  std::uint32_t mSentInSecond = 0;        // attempts in that second
  // Limit on concurrent attempts, adapted to what the replica accepts: halved when a new connection
  // ends without an answer, increased by one after several answers.
  std::uint32_t mConnections = kInitialConnections;
  std::uint32_t mAnswersSinceChange = 0; // since the last change of mConnections
  instant mLastAnswerAt{};
  bool mLeaving = false; // the process said that it ends soon
  instant mRetryAt{};    // the process wants no requests from this daemon before this time

  auto operator<=>(const replica_load&) const = default;
};

// The known load of this start of the replica, or an empty load when aKnown is null or belongs to
// another start. An entry of an earlier start than one that is leaving does not undo that: the
// earlier process has ended.
replica_load LoadOf(const replica_load* aKnown, const replica_entry& aReplica);

replica_load WithSend(const replica_load& aLoad,
                      const attempt_key& aKey,
                      instant aNow,
                      micros aExpected);

replica_load WithEnd(const replica_load& aLoad,
                     const attempt_key& aKey,
                     const attempt_outcome& aOutcome,
                     instant aNow);
// Counts the time that a cancelled attempt was open as its latency.
replica_load WithCancel(const replica_load& aLoad, const attempt_key& aKey, instant aNow);
// Removes an attempt whose client disconnected; it is no evidence about the replica.
replica_load WithAbandoned(const replica_load& aLoad, const attempt_key& aKey);

// Adds what the replica said about itself. A later reply cannot take back that it is leaving, or
// shorten a time that it asked for.
replica_load WithNotice(const replica_load& aLoad, const replica_notice& aNotice, instant aNow);

// When the replica takes requests from this daemon again: the time that it asked for, or kNever
// when it is leaving or another process has its address.
instant AcceptsRequestsAt(const replica_load& aLoad);

// Latency ratio and failure share, decayed towards 1 and 0 since their last update, so that a
// replica is tried again some time after it was slow or failed.
double LatencyRatioAt(const replica_load& aLoad, instant aNow);
double FailureShareAt(const replica_load& aLoad, instant aNow);

// Whether an attempt has been open for several times its expected latency, which means that the
// replica is paused or its connections no longer deliver data.
bool IsOverdue(const replica_load& aLoad, instant aNow);

} // namespace redwingdock

#endif
