#ifndef REDWINGDOCK_CORE_FORWARDING_H
#define REDWINGDOCK_CORE_FORWARDING_H

#include "base/reason.h"
#include "core/catalog.h"

// Values, facts and commands of forwarding a client's request to replicas.

namespace redwingdock {

// What decides about a request; the front end keeps its bytes.
struct forward_request
{
  std::string mId; // names the client's attempt in logs
  std::string mHost;
  std::string mPath;
  micros mPatience{ 0 };          // how long the client waits; 0 when it does not say
  std::uint64_t mFingerprint = 0; // equal for repeats of a request by its client
  micros mRoundTrip{ 0 };         // between client and daemon; 0 when not known

  auto operator<=>(const forward_request&) const = default;
};

struct request_arrived
{
  std::uint64_t mRequest = 0; // unique while the core lives
  forward_request mContent;

  auto operator<=>(const request_arrived&) const = default;
};

// The client closed its connection.
struct request_abandoned
{
  std::uint64_t mRequest = 0;

  auto operator<=>(const request_abandoned&) const = default;
};

// One send of a part of a request to a replica. Parts are counted by the services of the route.
struct attempt_key
{
  std::uint64_t mRequest = 0;
  std::uint32_t mPart = 0;
  std::uint32_t mAttempt = 0;

  auto operator<=>(const attempt_key&) const = default;
};

struct reply_field
{
  std::string mName;
  std::string mValue;

  auto operator<=>(const reply_field&) const = default;
};

// A whole reply of a replica to the attempt.
struct forward_reply
{
  unsigned mStatus = 0;
  std::string mSignature;           // of the replica; empty when missing
  std::vector<reply_field> mFields; // end-to-end fields
  std::string mBody;

  bool IsSuccess() const { return mStatus >= 200 && mStatus < 300 && !mSignature.empty(); }
  auto operator<=>(const forward_reply&) const = default;
};

using reply_pointer = std::shared_ptr<const forward_reply>;

enum class attempt_end
{
  Answered,  // mReply is set
  Rejected,  // the replica says that it did not run the request
  Misplaced, // another process has the address; it did not run the request
  NotSent,   // no connection, or none was free
  Lost,      // the connection ended without a usable reply; the request may have run
  Expired,   // no reply by the deadline; the request may have run
};

const char* ToString(attempt_end aEnd);

// Fact: an attempt ended.
struct attempt_ended
{
  attempt_key mKey;
  replica_pointer mReplica;
  attempt_end mEnd = attempt_end::NotSent;
  reply_pointer mReply;
  reason mReason;
  bool mNewConnection = false; // with NotSent and Lost: the connection had answered nothing before

  auto operator<=>(const attempt_ended&) const = default;
};

// Command: send the part. The replica is told the time left until mDeadline. A front end that gets
// to it later reports NotSent.
struct send_attempt
{
  attempt_key mKey;
  replica_pointer mReplica;
  instant mDeadline{};
  std::uint32_t mConnections = 1; // to this replica at most
  micros mFreshness{
    0
  }; // only a connection that answered within this time is used again; any if 0

  auto operator<=>(const send_attempt&) const = default;
};

// Command: stop waiting and close the connection, which ends the work at most replicas. With
// mSilent the idle connections to the replica are closed too, because they may be silent as well.
struct cancel_attempt
{
  attempt_key mKey;
  bool mSilent = false;

  auto operator<=>(const cancel_attempt&) const = default;
};

enum class answer_kind
{
  Relayed,  // mReply as it is
  Gathered, // mSignatures, mMissing and mBody
  NotRun,   // no replica ran or will run it; come back after mRetryAfter
  NoRoute,
  Failed,   // it may have run
  TimedOut, // it may have run
};

const char* ToString(answer_kind aKind);

struct forward_answer
{
  answer_kind mKind = answer_kind::Failed;
  reply_pointer mReply;
  std::vector<std::string> mSignatures;
  std::uint32_t mMissing = 0; // parts
  std::string mBody;
  micros mRetryAfter{ 0 };
  reason mReason;

  auto operator<=>(const forward_answer&) const = default;
};

// Command: the final answer of a request.
struct answer_request
{
  std::uint64_t mRequest = 0;
  forward_answer mAnswer;

  auto operator<=>(const answer_request&) const = default;
};

} // namespace redwingdock

#endif
