#ifndef REDWINGDOCK_CORE_REQUESTS_H
#define REDWINGDOCK_CORE_REQUESTS_H

#include "core/values.h"

#include <initializer_list>

// Requests and replies between callers, daemons and backend servers, free of any encoding.

namespace redwingdock {

// One field of a record or filter, for example {"office", "sololá"}.
using fields = std::map<std::string, std::string>;

struct record
{
  std::string mId;
  fields mFields;

  auto operator<=>(const record&) const = default;
};

// Records of an answer or part. Copies share the same immutable records, because a reply passes
// through several facts and state changes.
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
  fields mFilter;                  // equality on each field
  std::optional<urgency> mUrgency; // the route's when empty
  std::optional<micros> mDeadline; // from arrival; the route's when empty
  std::string mRequestKey;         // "<vm>.<incarnation>.<unique>", for Submit only

  auto operator<=>(const query_request&) const = default;
};

// Unique over all daemons while they live: the origin VM's name with incarnation, and a number.
struct attempt_id
{
  std::string mOrigin;
  std::uint64_t mNumber = 0;

  auto operator<=>(const attempt_id&) const = default;
};

std::string ToString(const attempt_id& aAttempt);

// What one backend server is asked. Version 0 asks for the newest version it can serve.
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
  std::uint64_t mFingerprint = 0;
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

// Evidence that every reply of a backend server carries, refusals included.
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
  Shed,    // refused for load, by the gate or the server
  Draining,
  VersionGone, // the server cannot serve the version; its evidence names those it can
  WrongTarget, // the server does not hold this shard
  DeadlinePassed,
  ConnectionLost,
  Silent,
  Cancelled,
  Malformed, // the reply failed its check
};

const char* ToString(part_failure aFailure);

// Result of one attempt at one part. mRecords holds the records of the shard that match.
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
  Complete, // all positions of the snapshot
  Partial,  // one snapshot, with gaps that the coverage names
  NotRun,   // no backend server ran any of it
  Unknown,  // it may have run
  Rejected, // the request is malformed or names an unknown route
};

const char* ToString(outcome aOutcome);

struct coverage_gap
{
  std::string mPool;
  std::string mShard;
  position_ranges mRanges;
  reason mReason;

  auto operator<=>(const coverage_gap&) const = default;
};

// Positions answered out of all positions of the partition map; mMissing names the rest.
struct coverage
{
  std::uint32_t mCovered = 0;
  std::uint32_t mTotal = 0;
  std::vector<coverage_gap> mMissing;

  auto operator<=>(const coverage&) const = default;
};

struct query_answer
{
  outcome mOutcome = outcome::Unknown;
  std::uint64_t mVersion = 0;
  std::uint32_t mMap = 0;
  coverage mCoverage;
  shared_records mRecords; // by id
  reason mReason;          // empty when complete

  auto operator<=>(const query_answer&) const = default;
};

// Answer to a caller that asks which VM to use.
struct entry_answer
{
  std::string mVm;
  std::string mAddress;
  micros mLifetime{ 0 };
  std::string mKeyPrefix; // "<vm>.<incarnation>."; empty when the incarnation is not known yet
  std::vector<std::string> mAddresses; // all that serve; for callers that choose themselves

  auto operator<=>(const entry_answer&) const = default;
};

} // namespace redwingdock

#endif
