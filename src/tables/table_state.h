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
//   auto pair = SelectPair(state.mInForce, state.mLatestRoutes, state.mLatestPools, hooks, why);

namespace redwingdock {

// A published table: its text as the configuration service returned it, and its parsed form. Two
// copies of the same revision are equal.
template<typename T>
struct table_copy
{
  std::shared_ptr<const std::string> mText;
  std::shared_ptr<const T> mTable;

  std::uint64_t Revision() const { return mTable ? mTable->mRevision : 0; }
  bool operator==(const table_copy& aOther) const { return Revision() == aOther.Revision(); }
};

using routes_copy = table_copy<routes_table>;
using pools_copy = table_copy<pools_table>;
using vms_copy = table_copy<vm_list>;

struct table_pair
{
  routes_copy mRoutes;
  pools_copy mPools;

  pair_revisions Revisions() const { return { mRoutes.Revision(), mPools.Revision() }; }
  bool operator==(const table_pair&) const = default;
};

// A table of the pair that is in force at another daemon. It is kept until the other table of that
// pair, of revision mPairRevision, has arrived.
template<typename T>
struct staged_table
{
  table_copy<T> mTable;
  std::uint64_t mPairRevision = 0;

  bool operator==(const staged_table&) const = default;
};

// Start times of the reads of one table that the front end has not answered yet. A plain read
// returns the current revision at once, a watch waits for a newer one.
struct pending_read
{
  std::vector<instant> mPlain; // oldest first
  std::optional<instant> mWatch;

  auto operator<=>(const pending_read&) const = default;
};

struct table_state
{
  table_pair mInForce;
  vms_copy mVms;

  // Newest valid tables that were read from the service.
  routes_copy mLatestRoutes;
  pools_copy mLatestPools;
  std::map<table_kind, std::uint64_t> mRefused; // newest invalid revision

  staged_table<routes_table> mStagedRoutes;
  staged_table<pools_table> mStagedPools;

  // Reads from the service. A round reads both tables at the same time to check that the latest
  // ones were published together.
  std::map<table_kind, pending_read> mReads;
  std::optional<instant> mRoundSince; // start of the round in progress
  std::set<table_kind> mRoundDone;
  bool mRoundFresh = false;    // the round returned a newer table
  instant mReadNotBefore{};    // delays reads after a start or a failure
  instant mAloneNotBefore{};   // the same while this daemon is no reader
  instant mServiceHeardAt{};   // last answer of the service to this daemon
  bool mServiceFailed = false; // the last read failed

  // Relaying between daemons.
  bool mStarted = false;
  instant mReaderHeardAt{}; // last contact of a reader with the service that is known here
  instant mPullUntil{};     // no second pull from a peer with newer tables before this time
  std::uint64_t mTicks = 0;

  bool operator==(const table_state&) const = default;
};

// Returns the pair to put into force, given that aRoutes and aPools were the latest tables of the
// service at the same moment, or nullopt to keep the pair in force. When the latest tables are
// inconsistent, one of them may still go into force together with the other table in force, but
// only if exactly one of these two mixed pairs is consistent: no other daemon can then have put the
// other one into force, so all daemons end with the same pair. aWhy receives the reason why the
// latest tables are inconsistent.
std::optional<table_pair> SelectPair(const table_pair& aInForce,
                                     const routes_copy& aRoutes,
                                     const pools_copy& aPools,
                                     const table_hooks& aHooks,
                                     std::string& aWhy);

} // namespace redwingdock

#endif
