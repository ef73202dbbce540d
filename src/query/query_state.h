#ifndef REDWINGDOCK_QUERY_QUERY_STATE_H
#define REDWINGDOCK_QUERY_QUERY_STATE_H

#include "core/requests.h"
#include "query/coverage.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

// State of one query, and its transitions as pure functions. They take the state by value, so that
// a chain of transitions moves it instead of copying it at each step.
//
//   query_state next = ApplyReply(state, reply);
//   if (IsFinished(next)) { answer = MakeAnswer(next); }

namespace redwingdock {

struct attempt_state
{
  std::uint64_t mNumber = 0;
  std::string mServer;
  std::string mHolder; // VM whose gate sends it to the server
  instant mSentAt{};
  bool mHedge = false;
  bool mOpen = true; // no result yet
  part_failure mFailure = part_failure::None;

  auto operator<=>(const attempt_state&) const = default;
};

enum class part_phase
{
  Deferred, // not placed before the canary part of a suspect request is answered
  Ready,    // to be placed
  Running,  // at least one attempt is open
  Lost,     // its server was lost while it ran; resent once another part of the pool is answered
  Answered,
  Failed,
};

struct part_state
{
  std::string mPool;
  std::string mShard;
  position_ranges mRanges;
  part_phase mPhase = part_phase::Ready;
  std::vector<attempt_state> mAttempts;
  shared_records mRecords;
  bool mMayHaveRun = false;            // an attempt ended without proof that it did not run
  bool mVersionGone = false;           // a server no longer serves the index version of the plan
  std::uint32_t mConnectionLosses = 0; // attempts that ended with a lost connection
  reason mReason;                      // of the last failure

  auto operator<=>(const part_state&) const = default;
};

struct query_state
{
  std::uint64_t mNumber = 0;
  std::string mReplyTo; // VM that forwarded the query; empty for a caller of this daemon
  std::uint64_t mReplyNumber = 0;
  std::string mForwardedTo; // VM that serves the query instead; empty when served here
  query_request mRequest;
  operation mOperation = operation::Search;
  urgency mUrgency = urgency::Normal;
  bool mHedge = true;
  std::uint64_t mFingerprint = 0;
  instant mArrived{};
  instant mDeadline{};        // when the answer is sent at the latest
  std::uint64_t mVersion = 0; // 0 until the first reply, if the plan knew no version
  std::uint32_t mMap = 0;     // number of the partition map
  std::uint32_t mRestarts = 0;
  bool mRestarting = false; // restart_query is scheduled
  // A submit without a known index version sends a search to its shard first, to learn the version.
  // A server that chose the version itself could run the submit on a partition map other than the
  // planned one.
  bool mDiscoveringVersion = false;
  std::uint32_t mHedges = 0;       // a hedge repeated after a refusal counts once
  std::uint32_t mNextAttempt = 1;  // not reset by a restart, so that late replies match no attempt
  bool mMayHaveRunEarlier = false; // an attempt before the last restart may have run
  std::vector<part_state> mParts;

  auto operator<=>(const query_state&) const = default;
};

// Indexes of an attempt: into mParts, and into mAttempts of that part.
struct attempt_index
{
  std::size_t mPart = 0;
  std::size_t mAttempt = 0;
};

// Finds an attempt by its number, nullopt if the query has none with it.
std::optional<attempt_index> FindAttempt(const query_state& aState, std::uint64_t aNumber);

// Returns why a reply must not be merged into the answer, nullopt if it may be: its shard, version
// and map must match the plan, and its records must lie in the ranges of the part.
std::optional<reason> CheckReply(const query_state& aState,
                                 const part_state& aPart,
                                 const part_reply& aReply);

using reply_check =
  std::function<std::optional<reason>(const query_state&, const part_state&, const part_reply&)>;

// Applies the result of an attempt. Replies to attempts that are closed or unknown (late, repeated,
// or from before a restart) change nothing.
query_state ApplyReply(query_state aState,
                       const part_reply& aReply,
                       const reply_check& aCheck = CheckReply);

// Adds an open attempt to a part and makes it Running.
query_state AddAttempt(query_state aState, std::size_t aPart, attempt_state aAttempt);

// Fails all parts that are not Answered, as at the deadline. aReason becomes the reason of parts
// with an open attempt or without an earlier failure.
query_state FailOpenParts(query_state aState, const reason& aReason);

// Whether all parts are Answered or Failed, or Lost without an answered part of their pool.
bool IsFinished(const query_state& aState);

// Whether any attempt so far was answered or ended without proof that it did not run.
bool MayHaveRun(const query_state& aState);

// Whether the replies show that the request crashes the servers of no pool: each pool with a part
// has an answered one, and no part lost two servers.
bool IsHarmless(const query_state& aState);

std::size_t CountAnswered(const query_state& aState);

// Number of attempts that ended with a lost connection, over all parts.
std::size_t CountConnectionLosses(const query_state& aState);

// Merges the records of the answered parts, in order, with coverage, outcome and first failure.
query_answer MakeAnswer(const query_state& aState);

// Hash of what a server would run, the route and the filter. It leaves out the request key, so that
// a request sent again under another key has the same fingerprint.
std::uint64_t FingerprintOf(const query_request& aRequest);

} // namespace redwingdock

#endif
