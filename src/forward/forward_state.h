#ifndef REDWINGDOCK_FORWARD_FORWARD_STATE_H
#define REDWINGDOCK_FORWARD_FORWARD_STATE_H

#include "blackboard/blackboard.h"
#include "core/forwarding.h"

// State of a forwarded request and pure functions on it.

namespace redwingdock {

struct forward_attempt
{
  replica_pointer mReplica;
  instant mSentAt{};
  bool mOpen = true;
  attempt_end mEnd = attempt_end::NotSent; // valid when mOpen is false

  auto operator<=>(const forward_attempt&) const = default;
};

struct forward_part
{
  std::string mService;
  std::vector<forward_attempt> mAttempts;
  reply_pointer mReply;   // the successful reply
  reply_pointer mFailure; // the last unsuccessful reply
  bool mGivenUp = false;
  instant mNextAttemptAt{}; // time of the next attempt at the earliest
  // When given up because no replica takes requests now: when one does again, or kNever.
  instant mAcceptedAt = kNever;

  auto operator<=>(const forward_part&) const = default;
};

// Shared by successive states of a request, so that a new state copies only the part that changed.
// A gather can have a hundred parts and gets a new state with each reply.
using part_pointer = std::shared_ptr<const forward_part>;

// Entry key: ForwardRequestKey.
struct forward_state
{
  std::uint64_t mRequest = 0;
  forward_request mContent;
  route_pointer mRoute;
  std::uint64_t mVersion = 0; // version of the configuration
  std::vector<part_pointer> mParts;
  instant mArrivedAt{};
  micros mSpent{ 0 };   // time that the client had waited before the arrival
  instant mPartialAt{}; // when a gather answers with the parts it has
  instant mDeadline{};
  instant mTimerAt{};             // when the earliest pending timer fires
  std::uint32_t mMaxAttempts = 1; // replicas that may run the request, per service
  std::size_t mReplyBytes = 0;    // expected, of all parts
  bool mAdmissionUpdated = false;
  bool mAnswered = false;
  instant mCancelAt{}; // when attempts left open by the answer are cancelled

  auto operator<=>(const forward_state&) const = default;
};

// Returns the state with part aIndex replaced.
forward_state WithPart(forward_state aState, std::size_t aIndex, forward_part aPart);

std::size_t OpenAttempts(const forward_part& aPart);
// Number of attempts that a replica may have run, including open ones.
std::size_t PossiblyRunAttempts(const forward_part& aPart);
// Whether any attempt may have reached a replica, even if it did not run there.
bool MayHaveArrived(const forward_part& aPart);

// Number of parts with a successful reply, and of parts that may still get one.
std::size_t AnsweredParts(const forward_state& aState);
std::size_t PendingParts(const forward_state& aState);
bool MayHaveRun(const forward_state& aState);
// Whether an attempt got no reply by the deadline of the request. The front end measures that on
// its own clock and can report it before this daemon's timer for the deadline fires.
bool HasExpiredAttempt(const forward_state& aState);
// Whether the answered parts plus aAdditional more are enough for a successful answer.
bool HasEnoughParts(const forward_state& aState, std::size_t aAdditional = 0);

// Number of requests that have not been answered.
std::size_t OpenRequests(const blackboard& aBoard);
// Number of those on one route.
std::size_t OpenRequestsOn(const blackboard& aBoard, const std::string& aRoute);

} // namespace redwingdock

#endif
