#ifndef REDWINGDOCK_TABLES_TABLE_STATE_H
#define REDWINGDOCK_TABLES_TABLE_STATE_H

#include "core/messages.h"
#include "tables/table_hooks.h"

#include <array>
#include <map>
#include <memory>
#include <string>

// What the table controller knows of the published tables, and the rule that selects the pair in
// force. A pure value: the controller keeps it as an entry and replaces it.
//
//   table_state next = AddServiceTables(state, ...);

namespace redwingdock {

// A published table: its text as the service gave it and its parsed form.
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

// A table of another daemon's pair in force whose partner has not arrived yet.
template<typename T>
struct staged_table
{
  table_copy<T> mTable;
  std::uint64_t mPairRevision = 0;

  bool operator==(const staged_table&) const = default;
};

// Reads of one table that the front end has not answered yet.
struct pending_read
{
  std::vector<instant> mPlain; // in the order they were started
  std::optional<instant> mWatch;

  auto operator<=>(const pending_read&) const = default;
};

struct table_state
{
  table_pair mInForce;
  vms_copy mVms;

  // Newest tables that parse, as read from the service.
  routes_copy mLatestRoutes;
  pools_copy mLatestPools;
  std::map<table_kind, std::uint64_t> mRefused; // newest revision that does not parse

  staged_table<routes_table> mStagedRoutes;
  staged_table<pools_table> mStagedPools;

  // Reading from the service.
  std::map<table_kind, pending_read> mReads;
  std::optional<instant> mRoundSince; // a round of plain reads that checks the latest pair
  std::set<table_kind> mRoundDone;
  bool mRoundFresh = false;    // a newer table came during the round
  instant mReadNotBefore{};    // at the start and after a failure
  instant mAloneNotBefore{};   // while this daemon is no reader
  instant mServiceHeardAt{};   // last answer of the service to this daemon
  bool mServiceFailed = false; // the last read failed

  // Relaying.
  bool mStarted = false;
  instant mReaderHeardAt{}; // a daemon that reads the service was last heard
  instant mPullUntil{};     // a pull from a daemon that is ahead is under way
  std::uint64_t mTicks = 0;

  bool operator==(const table_state&) const = default;
};

// The pair that should be in force, given that aRoutes and aPools were the latest of the service at
// one moment. When they do not fit together, one of them may still go into force with the partner
// in force now, but only when exactly one of the two mixed pairs holds: then no other daemon can
// have put the other one into force, so all daemons end with the same pair. Otherwise nullopt, and
// aWhy says why.
std::optional<table_pair> SelectPair(const table_pair& aInForce,
                                     const routes_copy& aRoutes,
                                     const pools_copy& aPools,
                                     const table_hooks& aHooks,
                                     std::string& aWhy);

} // namespace redwingdock

#endif
