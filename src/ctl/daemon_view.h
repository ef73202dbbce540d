#ifndef REDWINGDOCK_CTL_DAEMON_VIEW_H
#define REDWINGDOCK_CTL_DAEMON_VIEW_H

#include "base/reason.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

// Parses the views that daemons return on their operator ports (GET /v1/view, docs/interfaces.md
// section 1), and compares and formats those of several daemons.
//
//   result<daemon_view> view = ParseView(body, "127.0.0.11:7201");

namespace redwingdock::ctl {

// Another daemon as the daemon sees it.
struct member_status
{
  std::string mState; // live or leaving
  bool mConnected = false;
  bool mDraining = false;

  auto operator<=>(const member_status&) const = default;
};

// A backend server as the daemon sees it.
struct server_status
{
  std::string mInstance;
  std::uint32_t mStage = 0;
  bool mDraining = false;
  std::uint32_t mQueue = 0; // requests waiting for the server

  auto operator<=>(const server_status&) const = default;
};

struct daemon_view
{
  std::string mVm;
  std::string mIncarnation;
  std::string mZone;
  std::string mPhase;
  bool mConfirmed = false;                         // whether its view of the members is confirmed
  std::map<std::string, std::uint64_t> mRevisions; // by table: routes, pools, vms
  std::set<std::string> mClosedZones;
  std::map<std::string, member_status> mMembers; // by VM
  // Holders of each server's permits, by permit index.
  std::map<std::string, std::vector<std::string>> mPermits;
  std::map<std::string, server_status> mServers; // by server
  std::map<std::string, std::string> mSuspects;  // level by request fingerprint
  std::map<std::string, std::uint64_t> mCounters;

  auto operator<=>(const daemon_view&) const = default;
};

// Parses the body of a view reply. aPeer is the address for errors.
result<daemon_view> ParseView(const std::string& aText, const std::string& aPeer);

// The view from one operator address, or the error.
struct view_reply
{
  std::string mAddress;
  result<daemon_view> mView;

  bool operator==(const view_reply& aOther) const
  {
    return mAddress == aOther.mAddress && mView.mValue == aOther.mView.mValue &&
           mView.mReason == aOther.mView.mReason;
  }
};

// One property of all daemons. The value of a daemon that lacks the property or does not answer is
// empty.
struct view_row
{
  std::string mName;
  std::vector<std::string> mValues;
  bool mDiffers = false;

  auto operator<=>(const view_row&) const = default;
};

// Compares the views property by property. Marks properties that should be equal on all daemons but
// differ: view confirmation, table revisions, closed zones, permit holders, quarantines and server
// instances. Also marks addresses that do not answer, and members that are disconnected or that
// daemons see differently. Servers on which all daemons agree are only counted, in one row.
std::vector<view_row> CompareViews(const std::vector<view_reply>& aViews);

bool HasDifferences(const std::vector<view_row>& aRows);

// Formats the rows as aligned columns. Rows that differ begin with "!" and are shown in reverse
// video if aUseColor is set.
std::string FormatRows(const std::vector<view_row>& aRows, bool aUseColor);

// Formats one row per server: the holders of its permits, its stage, and the number of requests
// that wait for it at all daemons.
std::string FormatLimits(const std::vector<view_reply>& aViews);

std::string RowsToJson(const std::vector<view_row>& aRows);

} // namespace redwingdock::ctl

#endif
