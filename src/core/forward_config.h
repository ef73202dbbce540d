#ifndef REDWINGDOCK_CORE_FORWARD_CONFIG_H
#define REDWINGDOCK_CORE_FORWARD_CONFIG_H

#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

// Settings of forwarding, of following the store and of finding other daemons. docs/design.md,
// section 10, gives the reason for each figure. Entry key: kSettingsKey; controllers read it there,
// because it can change while the daemon runs.

namespace redwingdock {

struct forward_config
{
  // Following the store.
  micros mWatchWait = std::chrono::seconds(5);
  // After changes; doubles while they go on, up to a third of the tightest bound on a change (3 s).
  micros mWatchPause = std::chrono::milliseconds(250);
  micros mWatchPauseMost = std::chrono::seconds(1);
  micros mRetryFirst = std::chrono::milliseconds(100); // doubles with each failure
  micros mRetryMost = std::chrono::seconds(1);
  // Entries that expired while the store was away are written again within this time.
  micros mReturnTime = std::chrono::milliseconds(2200);
  // After a failed read, deletions are held for mReturnTime during this time.
  micros mDistrustTime = std::chrono::seconds(5);

  // Other daemons.
  std::vector<std::string> mPeers; // peer addresses to start with, "ip:port"
  micros mHeartbeatInterval = std::chrono::milliseconds(400);
  // Heartbeats/s that a daemon sends; more peers make the interval longer, up to the longest one.
  double mHeartbeatRate = 40;
  micros mHeartbeatLongest = std::chrono::milliseconds(1200);
  int mMissedHeartbeats = 4; // a daemon that missed as many is not named to callers
  micros mAddressTtl = std::chrono::seconds(60); // addresses that do not answer are called so long
  micros mEntryLifetime = std::chrono::seconds(2);      // of an answer that names addresses
  micros mLingerTime = std::chrono::milliseconds(2300); // a stopping daemon accepts callers so long
  micros mStopLimit = std::chrono::milliseconds(5600);  // after this a stopping daemon ends

  // Repeats: arrivals at a service beyond the first of each request, over all daemons.
  double mRepeatRatio = 0.2; // of the requests for the service
  double mRepeatSlack = 54;  // in a window, shared by mMostDaemons
  micros mRepeatWindow = std::chrono::seconds(10);
  std::uint32_t mMostDaemons = 10;

  // Cold replicas: mColdRate * mColdOverage + mColdSlack requests in a second, over all daemons.
  double mColdOverage = 1.5;
  double mColdSlack = 5;

  bool operator==(const forward_config&) const = default;
};

inline constexpr char kSettingsKey[] = "settings";

// Fact: the settings were read again and differ.
struct settings_changed
{
  forward_config mForward;

  bool operator==(const settings_changed&) const = default;
};

} // namespace redwingdock

#endif
