#ifndef REDWINGDOCK_QUERY_QUERY_STATE_H
#define REDWINGDOCK_QUERY_QUERY_STATE_H

#include "core/requests.h"
#include "query/coverage.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

// The state of one query and its transitions, as pure functions. They take the state by value, so
// that a chain of transitions moves it instead of copying it at each step.
//
//   query_state next = ApplyReply(state, reply);
//   if (IsFinished(next)) { answer = MakeAnswer(next); }

namespace redwingdock {

struct attempt_state
{
  std::uint64_t mNumber = 0;
  std::string mServer;
  std::string mHolder; // VM whose gate runs it
  instant mSentAt{};
  bool mHedge = false;
  bool mOpen = true; // no result yet
  part_failure mFailure = part_failure::None;

  auto operator<=>(const attempt_state&) const = default;
};

enum class part_phase
{
  Held,    // waits for the canary part of a suspect request
  Ready,   // to be placed
  Running, // at least one attempt is open
  Lost,    // its server was lost while it ran; resent once another part was answered
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
  bool mMayHaveRun = false; // an attempt ended without proof that it did not run
  bool mVersionGone = false;
  std::uint32_t mConnectionLosses = 0; // attempts that ended in a lost connection
  reason mReason;                      // last failure

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
  instant mDeadline{};        // the answer leaves by then
  std::uint64_t mVersion = 0; // 0 until the first reply when no version is known
  std::uint32_t mMap = 0;
  std::uint32_t mRestarts = 0;
  bool mRestarting = false; // waits for restart_query
  // A submit whose index version is not known asks its shard with a search first: a server that
  // picked the version itself could run the submit on a partition map that the plan did not have.
  bool mDiscoveringVersion = false;
  std::uint32_t mHedges = 0;
  std::uint32_t mNextAttempt = 1;  // goes on over restarts, so that old replies are never taken
  bool mMayHaveRunEarlier = false; // an attempt of an earlier restart may have run
  std::vector<part_state> mParts;

  auto operator<=>(const query_state&) const = default;
};

// The part and attempt that a number belongs to.
struct attempt_index
{
  std::size_t mPart = 0;
  std::size_t mAttempt = 0;
};

std::optional<attempt_index> FindAttempt(const query_state& aState, std::uint64_t aNumber);

// Why a reply must not enter the answer: wrong shard, version or map. Nothing when it fits.
std::optional<reason> CheckReply(const query_state& aState,
                                 const part_state& aPart,
                                 const part_reply& aReply);

using reply_check =
  std::function<std::optional<reason>(const query_state&, const part_state&, const part_reply&)>;

// Takes the result of an attempt into the state. Replies to attempts that are closed or unknown
// (late, repeated, or of an earlier restart) change nothing.
query_state ApplyReply(query_state aState,
                       const part_reply& aReply,
                       const reply_check& aCheck = CheckReply);

// Adds an open attempt to a part and makes it Running.
query_state AddAttempt(query_state aState, std::size_t aPart, attempt_state aAttempt);

// Marks parts Failed that can make no progress any more: the deadline passed.
query_state FailOpenParts(query_state aState, const reason& aReason);

// All parts are Answered or Failed, or Lost with no part left that could clear the request.
bool IsFinished(const query_state& aState);

// Whether any attempt so far ended without proof that it did not run.
bool MayHaveRun(const query_state& aState);

// Whether the query shows that its request does not crash the servers of any pool: each pool with a
// part has an answered one, and no part lost both of its servers.
bool IsHarmless(const query_state& aState);

std::size_t CountAnswered(const query_state& aState);
std::size_t CountConnectionLosses(const query_state& aState);

query_answer MakeAnswer(const query_state& aState);

// Fingerprint of what a server would run: equal for the same request sent again under another key.
std::uint64_t FingerprintOf(const query_request& aRequest);

} // namespace redwingdock

#endif
