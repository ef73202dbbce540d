#ifndef REDWINGDOCK_FORWARD_FORWARD_STATE_H
#define REDWINGDOCK_FORWARD_FORWARD_STATE_H

#include "blackboard/blackboard.h"
#include "core/forwarding.h"

// State of a forwarded request, and pure functions on it.

namespace redwingdock {

struct forward_attempt
{
  replica_pointer mReplica;
  instant mSentAt{};
  bool mOpen = true;
  attempt_end mEnd = attempt_end::NotSent; // when not open

  auto operator<=>(const forward_attempt&) const = default;
};

struct forward_part
{
  std::string mService;
  std::vector<forward_attempt> mAttempts;
  reply_pointer mReply;   // the success that answers the part
  reply_pointer mFailure; // the last reply that was no success
  bool mGivenUp = false;
  instant mNextAt{}; // no further attempt before

  auto operator<=>(const forward_part&) const = default;
};

// States of a request share the parts that did not change: a gather has a hundred of them and a new
// state with each reply.
using part_pointer = std::shared_ptr<const forward_part>;

// Entry key: RequestKey.
struct forward_state
{
  std::uint64_t mRequest = 0;
  forward_request mContent;
  route_pointer mRoute;
  std::uint64_t mVersion = 0; // of the configuration
  std::vector<part_pointer> mParts;
  instant mArrivedAt{};
  micros mSpent{ 0 };   // by the client before the arrival
  instant mPartialAt{}; // a gather answers with what it has
  instant mDeadline{};
  instant mCheckAt{};    // the earliest timer that is running
  bool mCounted = false; // for the admission of further requests
  bool mAnswered = false;
  instant mCancelAt{}; // when answered: attempts that are still open are cancelled

  auto operator<=>(const forward_state&) const = default;
};

// The state with another value of one part.
forward_state WithPart(forward_state aState, std::size_t aIndex, forward_part aPart);

// Attempts that are open.
std::size_t OpenAttempts(const forward_part& aPart);
// Replicas that may have run the part, with open attempts.
std::size_t RunAttempts(const forward_part& aPart);
// Whether any attempt may have reached a replica.
bool HasArrived(const forward_part& aPart);

// Parts with a reply, and parts for which one may still come.
std::size_t AnsweredParts(const forward_state& aState);
std::size_t UndecidedParts(const forward_state& aState);
bool MayHaveRun(const forward_state& aState);
// Whether the answered parts, with the given number of further ones, are enough for an answer.
bool IsEnough(const forward_state& aState, std::size_t aFurther = 0);

// Requests that wait for their answer.
std::size_t OpenRequests(const blackboard& aBoard);

} // namespace redwingdock

#endif
