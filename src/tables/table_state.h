#ifndef REDWINGDOCK_TABLES_TABLE_STATE_H
#define REDWINGDOCK_TABLES_TABLE_STATE_H

#include "core/messages.h"
#include "tables/table_hooks.h"

#include <array>
#include <map>
#include <memory>
#include <string>

// State of the table controller, and the rule that selects the pair of tables in force. The state
// is an immutable value: the controller keeps it as an entry of the blackboard and replaces it.
//
//   auto pair = SelectPair(state.mInForce, state.mLatestRoutes, state.mLatestPools, hooks, error);

namespace redwingdock {

// A published table: its text as the configuration service returned it, and its parsed form. Two
// copies of the same revision are equal.
template<typename T>
struct published_table
{
  std::shared_ptr<const std::string> mText;
  std::shared_ptr<const T> mTable;

  table_revision Revision() const { return mTable ? mTable->mRevision : table_revision{}; }
  bool operator==(const published_table& aOther) const { return Revision() == aOther.Revision(); }
};

using published_routes = published_table<routes_table>;
using published_pools = published_table<pools_table>;
using published_vms = published_table<vm_list>;

struct table_pair
{
  published_routes mRoutes;
  published_pools mPools;

  pair_revisions Revisions() const { return { mRoutes.Revision(), mPools.Revision() }; }
  bool operator==(const table_pair&) const = default;
};

// A table of the pair that is in force at another daemon. It is kept until the other table of that
// pair, of revision mPairRevision, has arrived.
template<typename T>
struct staged_table
{
  published_table<T> mTable;
  table_revision mPairRevision;

  bool operator==(const staged_table&) const = default;
};

// Start times of the reads of one table that the front end has not answered yet. A plain read
// returns the current revision at once, a watch waits for a newer one.
struct pending_read
{
  std::vector<instant> mPlainReads; // oldest first
  std::optional<instant> mWatchStartedAt;

  auto operator<=>(const pending_read&) const = default;
};

struct table_state
{
  table_pair mInForce;
  published_vms mVms;

  // Newest valid tables that were read from the service.
  published_routes mLatestRoutes;
  published_pools mLatestPools;
  std::map<table_kind, table_revision> mRefusedRevisions; // newest invalid revision
  std::map<table_kind, table_history> mHistories;

  staged_table<routes_table> mStagedRoutes;
  staged_table<pools_table> mStagedPools;

  // Reads from the service. A round reads both tables at the same time to check that the latest
  // ones were published together.
  std::map<table_kind, pending_read> mReads;
  std::optional<instant> mRoundStartedAt; // start of the round in progress
  std::set<table_kind> mRoundAnswered;
  bool mRoundHasNewer = false;      // the round returned a newer table
  instant mReadNotBefore{};         // delays reads after a start or a failure
  instant mFallbackReadNotBefore{}; // the same while this daemon is no reader
  instant mLastServiceAnswer{};     // last answer of the service to this daemon
  bool mServiceFailed = false;      // the last read failed

  // Relaying between daemons.
  bool mStarted = false;
  instant mLastReaderContact{}; // last contact of a reader with the service that is known here
  instant mNextPullNotBefore{}; // no second pull from a peer with newer tables before this time
  std::uint64_t mTickCount = 0;

  bool operator==(const table_state&) const = default;
};

// Returns the pair to put into force, given that aRoutes and aPools were the latest tables of the
// service at the same moment, or nullopt to keep the pair in force. When the latest tables are
// inconsistent, one of them may still go into force together with the other table in force, but
// only if exactly one of these two mixed pairs is consistent: no other daemon can then have put the
// other one into force, so all daemons end with the same pair. If the latest tables are
// inconsistent, aError describes the inconsistency.
std::optional<table_pair> SelectPair(const table_pair& aInForce,
                                     const published_routes& aRoutes,
                                     const published_pools& aPools,
                                     const table_hooks& aHooks,
                                     std::string& aError);

} // namespace redwingdock

#endif
