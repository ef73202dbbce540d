#ifndef REDWINGDOCK_MEMBERSHIP_MEMBERSHIP_STATE_H
#define REDWINGDOCK_MEMBERSHIP_MEMBERSHIP_STATE_H

#include "membership/take_rule.h"
#include "permits/permits.h"

#include <memory>
#include <utility>

// What the membership controller keeps between facts, as one entry under kMembersKey. Only the
// controller reads it.

namespace redwingdock {

// A VM list that a newer one has replaced here; its holders may not know yet.
struct older_list
{
  std::shared_ptr<const vm_list> mList;
  instant mReplacedAt{};

  bool operator==(const older_list&) const = default;
};

// Shape of a shard before a pools table changed it.
struct older_shape
{
  permit_shape mShape;
  std::uint64_t mPoolsRevision = 0; // of the table that replaced it
  instant mReplacedAt{};

  auto operator<=>(const older_shape&) const = default;
};

// A permit that moved from this daemon to another and is to be released by message.
struct pending_release
{
  std::string mServer;
  std::uint32_t mIndex = 0;
  std::string mTo;
  std::uint64_t mVmRevision = 0;
  instant mMovedAt{};

  auto operator<=>(const pending_release&) const = default;
};

// Processes seen under one VM name. Entry key: PeerKey.
struct seen_processes
{
  std::string mCurrent;
  std::set<std::string> mEarlier;

  auto operator<=>(const seen_processes&) const = default;
};

using permit_id = std::pair<std::string, std::uint32_t>; // server and index

struct membership_state
{
  bool mStarted = false;
  instant mStartedAt{};

  // The list in use, and how it came.
  instant mListSince{};
  bool mFirstList = true;
  std::uint64_t mHighestHeard = 0; // VM list revision that any daemon has reported
  std::vector<older_list> mOlder;

  // Keep rule.
  std::vector<std::string> mWitnesses;
  std::map<std::string, instant> mAnswered; // send time of the newest confirming probe by VM
  instant mConfirmNotBefore{};
  bool mConfirmed = false;  // as last logged
  bool mRecovered = false;  // may answer probes as a witness
  bool mSuperseded = false; // another process runs under this name

  // Take rule.
  fleet_knowledge mKnown;           // of the VMs that are probed
  std::optional<claim> mStartClaim; // for every permit gained until it ends
  std::map<permit_id, std::vector<claim>> mPending;
  std::vector<pending_release> mReleases;

  // Permits by shard as computed last.
  std::shared_ptr<const std::vector<permit_shape>> mShapes;
  std::uint64_t mPoolsRevision = 0;
  std::vector<older_shape> mOlderShapes;

  std::uint64_t mRotation = 0;

  bool operator==(const membership_state&) const = default;
};

} // namespace redwingdock

#endif
