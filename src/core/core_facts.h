#ifndef REDWINGDOCK_CORE_CORE_FACTS_H
#define REDWINGDOCK_CORE_CORE_FACTS_H

#include "core/facts.h"
#include "core/store.h"

// Facts that controllers post to each other through the blackboard. A front end never posts these.

namespace redwingdock {

// A message of one type from another daemon, in the shard of the entry that it concerns.
template<typename T>
struct received
{
  std::string mFrom;
  std::string mFromIncarnation;
  T mMessage;

  auto operator<=>(const received&) const = default;
};

// Asks the gate of a server on this daemon to run a part. mFrom is the VM that gets the result;
// this daemon's own name for its own queries. Key: server name.
struct gate_request
{
  std::string mFrom;
  part_request mRequest;

  auto operator<=>(const gate_request&) const = default;
};

// Gives up an attempt that was passed to the gate. Key: server name.
struct gate_cancel
{
  attempt_id mAttempt;

  auto operator<=>(const gate_cancel&) const = default;
};

// Final result of an attempt of one of this daemon's own queries; posted once per attempt, but
// the receiver tolerates repeats. Key: QueryKey of the attempt.
struct attempt_finished
{
  part_reply mReply;

  auto operator<=>(const attempt_finished&) const = default;
};

// A connection to a server was lost while these requests were in flight on that server.
// Key: kSuspectsKey.
struct server_lost
{
  std::string mServer;
  std::set<std::uint64_t> mFingerprints;

  auto operator<=>(const server_lost&) const = default;
};

// Evidence about a server from a reply that came through another daemon's gate.
// Key: server name.
struct server_evidence_seen
{
  std::string mServer;
  server_evidence mEvidence;

  auto operator<=>(const server_evidence_seen&) const = default;
};

// The clock jumped by more than mPauseLimit: this process did not run for a while. Posted to
// kMembersKey before any other fact of that time.
struct process_paused
{
  micros mLength{ 0 };

  auto operator<=>(const process_paused&) const = default;
};

inline constexpr char kSuspectsKey[] = "suspects";

// An attempt number holds its query's number, so that a reply finds the query without a lookup.
inline constexpr std::uint32_t kAttemptBits = 16;

inline std::uint64_t QueryOf(const attempt_id& aAttempt)
{
  return aAttempt.mNumber >> kAttemptBits;
}

inline std::string QueryKey(std::uint64_t aQuery)
{
  return "query/" + std::to_string(aQuery);
}

// Key of a forwarded request.
inline std::string RequestKey(std::uint64_t aRequest)
{
  return "request/" + std::to_string(aRequest);
}

inline constexpr char kStoreKey[] = "store";

// Key of the suspect entry of a request fingerprint.
inline std::string SuspectKey(std::uint64_t aFingerprint)
{
  return "suspect/" + std::to_string(aFingerprint);
}

} // namespace redwingdock

#endif
