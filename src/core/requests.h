#ifndef REDWINGDOCK_CORE_REQUESTS_H
#define REDWINGDOCK_CORE_REQUESTS_H

#include "core/values.h"

#include <initializer_list>

// Requests and replies between callers, daemons and backend servers, independent of their encoding.

namespace redwingdock {

// Fields of a record or filter by name, for example {"office", "sololá"}.
using fields = std::map<std::string, std::string>;

// One record of the index.
struct record
{
  std::string mId;
  fields mFields;

  auto operator<=>(const record&) const = default;
};

// Records of an answer or part. Copies share the same immutable records, because a reply is copied
// through several facts and blackboard entries.
class shared_records
{
public:
  using value_type = record;

  shared_records() = default;
  shared_records(std::vector<record> aRecords);
  shared_records(std::initializer_list<record> aRecords)
    : shared_records(std::vector<record>(aRecords))
  {
  }

  const std::vector<record>& All() const;
  auto begin() const { return All().begin(); }
  auto end() const { return All().end(); }
  std::size_t size() const { return All().size(); }
  bool empty() const { return All().empty(); }
  const record& operator[](std::size_t aIndex) const { return All()[aIndex]; }

  bool operator==(const shared_records& aOther) const
  {
    return mRecords == aOther.mRecords || All() == aOther.All();
  }
  std::strong_ordering operator<=>(const shared_records& aOther) const
  {
    return mRecords == aOther.mRecords ? std::strong_ordering::equal : All() <=> aOther.All();
  }

private:
  std::shared_ptr<const std::vector<record>> mRecords; // null when empty
};

// A caller's request. A Submit carries the target record in mFilter["id"] and a request key.
struct query_request
{
  std::string mRoute;
  std::string mCaller;
  fields mFilter;                  // a record matches when it has each of these fields
  std::optional<urgency> mUrgency; // default: the route's
  std::optional<micros> mDeadline; // from arrival; default: the route's
  std::string mRequestKey;         // idempotency key "<vm>.<incarnation>.<unique>", for Submit only

  auto operator<=>(const query_request&) const = default;
};

// Identifies one send of a part; unique across all running daemons. mOrigin is
// "<vm>.<incarnation>" of the sending daemon.
struct attempt_id
{
  std::string mOrigin;
  std::uint64_t mNumber = 0;

  auto operator<=>(const attempt_id&) const = default;
};

// "<origin>#<number>"
std::string ToString(const attempt_id& aAttempt);

// A request to one backend server for its part of a query. Version 0 asks for the newest version
// that the server can serve.
struct part_request
{
  attempt_id mAttempt;
  std::string mServer;
  std::string mPool;
  std::string mShard;
  std::uint64_t mVersion = 0;
  operation mOperation = operation::Search;
  fields mFilter;
  std::string mRequestKey;
  std::uint64_t mFingerprint = 0; // hash of the request, equal when it is repeated
  urgency mUrgency = urgency::Normal;
  instant mDeadline{};

  auto operator<=>(const part_request&) const = default;
};

enum class server_mode
{
  Warm,
  Cold,
  Draining,
};

// State of a backend server, which every reply of the server carries, refusals included.
struct server_evidence
{
  std::string mInstance;
  server_mode mMode = server_mode::Warm;
  std::vector<index_version> mVersions;

  auto operator<=>(const server_evidence&) const = default;
};

enum class part_result
{
  Answered,
  NotRun,  // refused before it ran, or never sent
  Unknown, // it may have run: the connection was lost, went silent, or the deadline passed
};

// Why a part was not answered.
enum class part_failure
{
  None,
  NotSent, // no permit, no connection, stale command, or the holder could not be reached
  Shed,    // refused because of load, by the gate or the server
  Draining,
  VersionGone, // the server cannot serve the version; its evidence lists those that it can
  WrongTarget, // the server does not hold this shard
  DeadlinePassed,
  ConnectionLost,
  Silent, // no reply on a connection that may be broken
  Cancelled,
  Malformed, // the reply is invalid
};

const char* ToString(part_failure aFailure);

// Result of one attempt at one part. mRecords holds the matching records of the shard.
struct part_reply
{
  attempt_id mAttempt;
  part_result mResult = part_result::Unknown;
  part_failure mFailure = part_failure::None;
  std::string mServer;
  std::string mShard;
  std::uint64_t mVersion = 0;
  std::uint32_t mMap = 0;
  shared_records mRecords;
  std::optional<server_evidence> mEvidence;
  reason mReason;

  auto operator<=>(const part_reply&) const = default;
};

enum class outcome
{
  Complete, // covers all positions of one index version
  Partial,  // one index version, with the gaps that the coverage lists
  NotRun,   // no backend server ran any of it
  Unknown,  // it may have run
  Rejected, // the request is malformed or names an unknown route
};

const char* ToString(outcome aOutcome);

// Positions of a shard that an answer lacks, and why.
struct coverage_gap
{
  std::string mPool;
  std::string mShard;
  position_ranges mRanges;
  reason mReason;

  auto operator<=>(const coverage_gap&) const = default;
};

// Number of positions answered out of all positions of the partition map; mMissing lists the rest.
struct coverage
{
  std::uint32_t mCovered = 0;
  std::uint32_t mTotal = 0;
  std::vector<coverage_gap> mMissing;

  auto operator<=>(const coverage&) const = default;
};

// Final answer to a caller's request.
struct query_answer
{
  outcome mOutcome = outcome::Unknown;
  std::uint64_t mVersion = 0;
  std::uint32_t mMap = 0;
  coverage mCoverage;
  shared_records mRecords; // ordered by id
  reason mReason;          // empty when complete

  auto operator<=>(const query_answer&) const = default;
};

// Answer to a caller that asks which VM to use.
struct entry_answer
{
  std::string mVm;
  std::string mAddress;
  micros mLifetime{ 0 };  // how long the caller may use this answer
  std::string mKeyPrefix; // of request keys, "<vm>.<incarnation>."; empty when not known yet
  std::vector<std::string> mAddresses; // of all serving VMs, for callers that choose one themselves

  auto operator<=>(const entry_answer&) const = default;
};

} // namespace redwingdock

#endif
