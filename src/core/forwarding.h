#ifndef REDWINGDOCK_CORE_FORWARDING_H
#define REDWINGDOCK_CORE_FORWARDING_H

#include "base/reason.h"
#include "core/catalog.h"

// Values, facts and commands for forwarding a client's request to replicas.

namespace redwingdock {

// What the clients of this daemon make it hold when a request arrives, without that request, and
// what the request adds. Limits of 0 mean none.
struct client_room
{
  std::size_t mOpenBytes = 0; // of open requests
  std::size_t mOpenLimit = 0;
  std::size_t mReplyBytes = 0; // of replies, and expected for open requests
  std::size_t mReplyLimit = 0;
  std::size_t mRequestBytes = 0; // of this request
  std::size_t mOpenRequests = 0; // this one included
  std::size_t mConnections = 0;
  std::size_t mMaxConnections = 0;

  auto operator<=>(const client_room&) const = default;
};

// The properties of a request that decisions depend on. The front end keeps the request itself.
struct forward_request
{
  std::string mId; // identifies the client's attempt in logs
  std::string mHost;
  std::string mPath;
  micros mClientTimeout{ 0 };     // time the client still waits for the answer; 0 when not given
  std::uint64_t mFingerprint = 0; // hash; equal when the client repeats a request
  micros mRoundTrip{ 0 };         // between client and daemon; 0 when not known
  micros mDeliveryTime{ 0 };      // to hand the reply to the client; 0 when not known
  client_room mRoom{};

  auto operator<=>(const forward_request&) const = default;
};

// Fact: a client's request arrived.
struct request_arrived
{
  std::uint64_t mRequest = 0; // unique for the lifetime of the core
  forward_request mContent;

  auto operator<=>(const request_arrived&) const = default;
};

// Fact: the client closed its connection.
struct request_abandoned
{
  std::uint64_t mRequest = 0;

  auto operator<=>(const request_abandoned&) const = default;
};

// Identifies one send of a part of a request to a replica. mPart is the index of the part's service
// in the route.
struct attempt_key
{
  std::uint64_t mRequest = 0;
  std::uint32_t mPart = 0;
  std::uint32_t mAttempt = 0;

  auto operator<=>(const attempt_key&) const = default;
};

// A header field of a reply.
struct reply_field
{
  std::string mName;
  std::string mValue;

  auto operator<=>(const reply_field&) const = default;
};

// The complete reply of a replica to an attempt.
struct forward_reply
{
  unsigned mStatus = 0;
  std::string mResponseStamp;       // X-Response-Stamp of the replica; empty when missing
  std::vector<reply_field> mFields; // end-to-end header fields
  std::string mBody;

  bool IsSuccess() const { return mStatus >= 200 && mStatus < 300 && !mResponseStamp.empty(); }
  auto operator<=>(const forward_reply&) const = default;
};

using reply_pointer = std::shared_ptr<const forward_reply>;

// What a replica says about itself in a reply, also in one that is a failure or a rejection.
struct replica_notice
{
  bool mLeaving = false;   // takes no new requests until it is started again
  micros mRetryAfter{ 0 }; // wants no requests from this daemon for this long; 0 when not given

  auto operator<=>(const replica_notice&) const = default;
};

// How an attempt ended.
enum class attempt_end
{
  Answered, // mReply is set
  // A failure with a status that tells a client that the request did not run, which the replica did
  // not state. The request may have run. The reply cannot be relayed, so mReply is not set.
  Ambiguous,
  Rejected,  // the replica replied that it did not run the request
  Misplaced, // another process listens on the address and did not run the request
  NotSent,   // no connection could be opened, or none was free
  Lost,      // the connection ended without a usable reply; the request may have run
  Expired,   // no reply by the deadline; the request may have run
};

const char* ToString(attempt_end aEnd);

// Whether a replica may have run the request in an attempt that ended so. All answers to clients
// and all repeats go by this.
bool MayHaveRun(attempt_end aEnd);

// Fact: an attempt ended.
struct attempt_ended
{
  attempt_key mKey;
  replica_pointer mReplica;
  attempt_end mEnd = attempt_end::NotSent;
  reply_pointer mReply;
  reason mReason;
  bool mNewConnection = false; // for NotSent and Lost: no earlier reply on this connection
  replica_notice mNotice;      // for Answered, Ambiguous, Rejected and Lost with a reply

  auto operator<=>(const attempt_ended&) const = default;
};

// Command: send the part, with the time left until mDeadline. A front end that handles this after
// mDeadline reports NotSent.
struct send_attempt
{
  attempt_key mKey;
  replica_pointer mReplica;
  instant mDeadline{};
  std::uint32_t mConnections = 1; // maximum number to this replica
  // An open connection is reused only if it answered within this time; 0 allows any.
  micros mMaxIdleAge{ 0 };
  std::size_t mReplyBytes = 0; // expected for the whole request

  auto operator<=>(const send_attempt&) const = default;
};

// Command: stop waiting for the reply and close the connection, which most replicas treat as a
// cancellation. With mSilent, idle connections to the replica are closed too, because they may be
// broken as well.
struct cancel_attempt
{
  attempt_key mKey;
  bool mSilent = false;

  auto operator<=>(const cancel_attempt&) const = default;
};

// Command: find out whether the process of the replica still accepts connections. Answered by
// replica_checked.
struct check_replica
{
  replica_pointer mReplica;

  auto operator<=>(const check_replica&) const = default;
};

enum class replica_status
{
  Running, // it accepts connections
  Ended,   // nothing listens on its address
  Unknown, // no connection could be tried, or nothing answered in time
};

const char* ToString(replica_status aStatus);

// Fact: result of a check_replica command.
struct replica_checked
{
  replica_pointer mReplica;
  replica_status mStatus = replica_status::Unknown;

  auto operator<=>(const replica_checked&) const = default;
};

// Kind of a final answer, with the members of forward_answer that it uses.
enum class answer_kind
{
  Relayed,  // mReply unchanged; a replica ran the request
  Gathered, // merged: mShardStamps, mMissing and mBody
  NotRun,   // no replica ran the request or will run it; the client may retry after mRetryAfter
  NoRoute,
  Failed,   // the request may have run
  TimedOut, // the request may have run
};

const char* ToString(answer_kind aKind);

// Final answer of a request.
struct forward_answer
{
  answer_kind mKind = answer_kind::Failed;
  reply_pointer mReply;
  std::vector<std::string> mShardStamps;
  std::uint32_t mMissing = 0; // number of missing parts
  std::string mBody;
  micros mRetryAfter{ 0 };
  reason mReason;

  auto operator<=>(const forward_answer&) const = default;
};

// Command: send the final answer of a request to the client.
struct answer_request
{
  std::uint64_t mRequest = 0;
  forward_answer mAnswer;

  auto operator<=>(const answer_request&) const = default;
};

} // namespace redwingdock

#endif
