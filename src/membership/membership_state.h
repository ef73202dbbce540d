#ifndef REDWINGDOCK_MEMBERSHIP_MEMBERSHIP_STATE_H
#define REDWINGDOCK_MEMBERSHIP_MEMBERSHIP_STATE_H

#include "membership/takeover_rule.h"
#include "permits/permits.h"

#include <memory>
#include <utility>

// State of the membership controller between events: one blackboard entry under kMembersKey that
// only the controller reads and writes.

namespace redwingdock {

// A VM list that this daemon has replaced by a newer one. VMs that hold permits under it may not
// have the newer list yet.
struct replaced_list
{
  std::shared_ptr<const vm_list> mList;
  instant mReplacedAt{};

  bool operator==(const replaced_list&) const = default;
};

// Shape of a shard that a newer pools table has changed.
struct replaced_shape
{
  permit_shape mShape;
  table_revision mPoolsRevision; // of the pools table that changed it
  instant mReplacedAt{};

  auto operator<=>(const replaced_shape&) const = default;
};

// A permit that a new VM list assigns to another daemon. This daemon tells the new holder by
// message once it has no work in flight under the permit.
struct pending_release
{
  std::string mServer;
  std::uint32_t mIndex = 0; // of the permit
  std::string mNewHolder;
  table_revision mVmRevision; // of the VM list that moved it
  instant mMovedAt{};

  auto operator<=>(const pending_release&) const = default;
};

// Incarnations seen under one VM name: the current one and those that it replaced.
// Entry key: PeerKey.
struct seen_processes
{
  std::string mCurrent;
  instant mHeardAt{}; // last message of the current one
  std::set<std::string> mEarlier;

  auto operator<=>(const seen_processes&) const = default;
};

using permit_id = std::pair<std::string, std::uint32_t>; // server name and permit index

struct membership_state
{
  bool mStarted = false;
  instant mStartedAt{};

  // The current VM list.
  instant mListSince{};                 // when this process adopted it
  bool mFirstList = true;               // no earlier list in the life of this process
  table_revision mHighestKnownRevision; // highest VM list revision that any daemon reported
  std::vector<replaced_list> mReplacedLists;

  // Confirmation rule: the daemon uses its permits only while its view is confirmed.
  std::vector<std::string> mWitnesses;
  std::map<std::string, instant>
    mConfirmingProbes;         // by VM, send time of the latest probe that it confirmed
  instant mConfirmNotBefore{}; // probes and reads started earlier do not confirm the view
  bool mConfirmed = false;     // last state written to the log
  bool mRecovered = false;     // knows enough lists to answer probes as a witness
  instant mSupersededAt{};     // when a later process last ran under the name of this VM

  // Takeover rule: permits are used only after their earlier holders have stopped.
  fleet_knowledge mKnownRevisions;  // VM list revisions of the probed VMs
  std::optional<claim> mStartClaim; // applies to every permit gained before it expires
  std::map<permit_id, std::vector<claim>> mPendingClaims;
  std::vector<pending_release> mPendingReleases;

  // Shapes of the shards for which permits were last assigned.
  std::shared_ptr<const std::vector<permit_shape>> mShapes;
  table_revision mPoolsRevision; // of the pools table that gave mShapes
  std::vector<replaced_shape> mReplacedShapes;

  // Random at the start, incremented by each view tick. Selects the peers that get a view and the
  // other daemons that it names.
  std::uint64_t mRotation = 0;

  bool operator==(const membership_state&) const = default;
};

} // namespace redwingdock

#endif
