#ifndef REDWINGDOCK_CTL_DAEMON_VIEW_H
#define REDWINGDOCK_CTL_DAEMON_VIEW_H

#include "base/reason.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

// What a daemon's operator port says (GET /v1/view, docs/interfaces.md section 1).
//
//   result<daemon_view> view = ParseView(body, "127.0.0.11:7201");

namespace redwingdock::ctl {

struct member_seen
{
  std::string mState; // live or leaving
  bool mConnected = false;
  bool mDraining = false;

  auto operator<=>(const member_seen&) const = default;
};

struct server_seen
{
  std::string mInstance;
  std::uint32_t mStage = 0;
  bool mDraining = false;
  std::uint32_t mQueue = 0;

  auto operator<=>(const server_seen&) const = default;
};

struct daemon_view
{
  std::string mVm;
  std::string mIncarnation;
  std::string mZone;
  std::string mPhase;
  bool mConfirmed = false;
  std::map<std::string, std::uint64_t> mRevisions; // routes, pools, vms
  std::set<std::string> mClosedZones;
  std::map<std::string, member_seen> mMembers;              // by VM
  std::map<std::string, std::vector<std::string>> mPermits; // holders by server, in index order
  std::map<std::string, server_seen> mServers;
  std::map<std::string, std::string> mSuspects; // level by fingerprint
  std::map<std::string, std::uint64_t> mCounters;

  auto operator<=>(const daemon_view&) const = default;
};

result<daemon_view> ParseView(const std::string& aText, const std::string& aPeer);

// The view of one operator address, or why there is none.
struct asked_view
{
  std::string mAddress;
  result<daemon_view> mView;

  bool operator==(const asked_view& aOther) const
  {
    return mAddress == aOther.mAddress && mView.mValue == aOther.mView.mValue &&
           mView.mReason == aOther.mView.mReason;
  }
};

// One property over all daemons; a value is empty where the daemon has none or does not answer.
struct view_row
{
  std::string mName;
  std::vector<std::string> mValues;
  bool mDiffers = false;

  auto operator<=>(const view_row&) const = default;
};

// Properties in which daemons ought to agree are marked when they differ: revisions, closed
// zones, the holders of permits, quarantines, server instances. An address that does not answer
// differs as well. Servers on which all daemons agree are summed up in one row.
std::vector<view_row> CompareViews(const std::vector<asked_view>& aViews);

bool AnyDiffers(const std::vector<view_row>& aRows);

// Aligned columns; rows that differ begin with "!" and are highlighted when aColour is set.
std::string FormatRows(const std::vector<view_row>& aRows, bool aColour);

// Slots of each server: holder of each permit, stage, and what waits at the daemons.
std::string FormatLimits(const std::vector<asked_view>& aViews);

std::string RowsToJson(const std::vector<view_row>& aRows);

} // namespace redwingdock::ctl

#endif
