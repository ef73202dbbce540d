#ifndef REDWINGDOCK_CORE_CONTROLLER_FACTS_H
#define REDWINGDOCK_CORE_CONTROLLER_FACTS_H

#include "core/facts.h"
#include "core/store.h"

// Facts that controllers post to each other through the blackboard, never posted by a front end,
// and keys that several controllers use.

namespace redwingdock {

// A message of type T from another daemon, posted under the key of the entry that it concerns.
template<typename T>
struct received
{
  std::string mFrom;
  std::string mFromIncarnation;
  T mMessage;

  auto operator<=>(const received&) const = default;
};

// Asks this daemon's gate of a server to run a part. mFrom is the VM that gets the result, which is
// this daemon for its own queries. Key: server name.
struct gate_request
{
  std::string mFrom;
  part_request mRequest;

  auto operator<=>(const gate_request&) const = default;
};

// Cancels an attempt that was passed to the gate. Key: server name.
struct gate_cancel
{
  attempt_id mAttempt;

  auto operator<=>(const gate_cancel&) const = default;
};

// Final result of an attempt of one of this daemon's own queries. Posted once per attempt, but the
// receiver tolerates repeats. Key: QueryKey of the attempt's query.
struct attempt_finished
{
  part_reply mReply;

  auto operator<=>(const attempt_finished&) const = default;
};

// A connection to a server was lost while requests with these fingerprints were in flight on it.
// Key: kSuspectsKey.
struct server_lost
{
  std::string mServer;
  std::set<std::uint64_t> mFingerprints;

  auto operator<=>(const server_lost&) const = default;
};

// Server state from a reply that arrived through another daemon's gate. Key: server name.
struct server_evidence_received
{
  std::string mServer;
  server_evidence mEvidence;

  auto operator<=>(const server_evidence_received&) const = default;
};

// The clock advanced by more than mPauseLimit in one step, because this process was suspended or
// starved. Posted under kMembersKey before any other fact of that time.
struct process_paused
{
  micros mLength{ 0 };

  auto operator<=>(const process_paused&) const = default;
};

inline constexpr char kSuspectsKey[] = "suspects";

// Low bits of an attempt number that count the attempts of a query. The bits above them are the
// query number, so that a reply is routed to its query without a lookup.
inline constexpr std::uint32_t kAttemptBits = 16;

inline std::uint64_t QueryOf(const attempt_id& aAttempt)
{
  return aAttempt.mNumber >> kAttemptBits;
}

inline std::string QueryKey(std::uint64_t aQuery)
{
  return "query/" + std::to_string(aQuery);
}

// Key of the state of a forwarded request.
inline std::string ForwardRequestKey(std::uint64_t aRequest)
{
  return "request/" + std::to_string(aRequest);
}

// The daemon stops: a request that has not been answered gets its final answer. Key:
// ForwardRequestKey, or QueryKey for a query.
struct answer_now
{
  auto operator<=>(const answer_now&) const = default;
};

inline constexpr char kStoreKey[] = "store";

// Key of the suspect entry of a request fingerprint.
inline std::string SuspectKey(std::uint64_t aFingerprint)
{
  return "suspect/" + std::to_string(aFingerprint);
}

} // namespace redwingdock

#endif
