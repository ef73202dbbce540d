#ifndef REDWINGDOCK_FORWARD_REPLICA_LOAD_H
#define REDWINGDOCK_FORWARD_REPLICA_LOAD_H

#include "core/forwarding.h"

#include <vector>

// What this daemon's own attempts have shown of a replica, as an immutable value.
//
//   replica_load next = WithSend(load, key, now, expected);
//   next = WithEnd(next, key, attempt_end::Answered, now);

namespace redwingdock {

// How an attempt ended, as far as it says something of the replica.
struct attempt_outcome
{
  attempt_end mEnd = attempt_end::Answered;
  bool mNewConnection = false; // as in attempt_ended

  auto operator<=>(const attempt_outcome&) const = default;
};

// Connections to a replica of which nothing is known. After a loss of power the replica still
// counts those of the daemons before, up to its idle time.
inline constexpr std::uint32_t kFirstConnections = 2;

struct open_attempt
{
  attempt_key mKey;
  instant mSentAt{};
  micros mExpected{ 0 }; // usual latency of such an attempt

  auto operator<=>(const open_attempt&) const = default;
};

// Entry key: id of the replica.
struct replica_load
{
  std::int64_t mBornMs = 0; // start of the replica that the rest belongs to
  std::vector<open_attempt> mOpen;
  double mSlowness = 1;  // mean of latency / expected latency, recent attempts weigh most
  double mFailing = 0;   // mean share of attempts without a usable reply
  instant mSlownessAt{}; // when these were last updated
  instant mFailingAt{};
  instant mBlockedUntil{};     // no attempt before, as far as another replica is there
  bool mGone = false;          // another process has the address; this start never comes back there
  std::uint32_t mRefusals = 0; // connections refused in a row
  std::int64_t mSecond = 0;    // second of mSent
  std::uint32_t mSent = 0;     // attempts in that second
  // Attempts that may be open at the same time, by what the replica has accepted: half as many
  // after a new connection that ended unanswered, one more after several answers.
  std::uint32_t mConnections = kFirstConnections;
  std::uint32_t mAnswers = 0; // since then
  instant mAnsweredAt{};

  auto operator<=>(const replica_load&) const = default;
};

// The load of the start of a replica that the entry names; that of an earlier start is dropped.
replica_load LoadOf(const replica_load* aKnown, const replica_entry& aReplica);

replica_load WithSend(const replica_load& aLoad,
                      const attempt_key& aKey,
                      instant aNow,
                      micros aExpected);

replica_load WithEnd(const replica_load& aLoad,
                     const attempt_key& aKey,
                     const attempt_outcome& aOutcome,
                     instant aNow);
// A cancelled attempt counts with the time that it was open.
replica_load WithCancel(const replica_load& aLoad, const attempt_key& aKey, instant aNow);
// An attempt whose client has left says nothing of the replica.
replica_load WithAbandoned(const replica_load& aLoad, const attempt_key& aKey);

// Slowness and failing share, faded towards 1 and 0 since their last update, so that a replica is
// tried again some time after it was slow or failed.
double SlownessAt(const replica_load& aLoad, instant aNow);
double FailingAt(const replica_load& aLoad, instant aNow);

// Whether an attempt is open for several times its expected latency: the replica is paused, or its
// connections are silent.
bool IsOverdue(const replica_load& aLoad, instant aNow);

} // namespace redwingdock

#endif
