#ifndef REDWINGDOCK_CORE_FORWARD_CONFIG_H
#define REDWINGDOCK_CORE_FORWARD_CONFIG_H

#include "base/time.h"
#include "core/stop_budget.h"

#include <cstdint>
#include <string>
#include <vector>

// Settings of forwarding, of watching the store and of discovering other daemons. docs/design.md,
// section 10, gives the reason for each value. Entry key: kSettingsKey; controllers read the entry
// because the settings can change while the daemon runs.

namespace redwingdock {

struct forward_config
{
  // Watching the store.
  micros mChangeBound = std::chrono::seconds(3); // within which a published change must take effect
  // Time after connections have gone silent in which that bound does not hold.
  micros mDisturbanceTime = std::chrono::seconds(4);
  micros mWatchPause = std::chrono::milliseconds(250); // after changes; doubles while they continue
  micros mInitialRetryDelay = std::chrono::milliseconds(100); // doubles with each failure
  micros mMaxRetryDelay = std::chrono::seconds(1);
  // After the store was unavailable, deletions take effect only when it has been back for this
  // long, because entries that expired meanwhile are written again within this time.
  micros mDeletionDelay = std::chrono::milliseconds(2200);

  // Discovery of other daemons.
  std::vector<std::string> mPeers; // seed addresses of peers, "ip:port"
  micros mHeartbeatInterval = std::chrono::milliseconds(400);
  // Heartbeats/s that a daemon sends to all peers together. With more peers the interval grows, up
  // to the longest one.
  double mHeartbeatRate = 40;
  micros mMaxHeartbeatInterval = std::chrono::milliseconds(1200);
  // With more peers than this, a daemon sends heartbeats to the daemons of its own zone and to a
  // few of each other zone, which pass on what they hear.
  std::size_t mMaxMeshPeers = 16;
  int mMissedHeartbeats = 4; // a daemon that missed this many is not named to callers
  micros mAddressTtl = std::chrono::seconds(60);   // heartbeats to a silent address stop after it
  micros mEntryLifetime = std::chrono::seconds(2); // of an answer that lists addresses
  stop_budget mStop = StopBudget(kDefaultGrace);

  // Limits on repeats, over all daemons: sends of a request to a service after the first one.
  double mRepeatRatio = 0.2; // fraction of the requests for the service
  double mRepeatSlack = 54;  // extra repeats in a window, divided among mMostDaemons
  micros mRepeatWindow = std::chrono::seconds(10);
  std::uint32_t mMostDaemons = 10;

  // A cold replica gets at most mColdRate * mColdOverage + mColdSlack requests in a second from all
  // daemons together.
  double mColdOverage = 1.5;
  double mColdSlack = 5;

  bool operator==(const forward_config&) const = default;
};

inline constexpr char kSettingsKey[] = "settings";

// Fact: the settings were read again and have changed.
struct settings_changed
{
  forward_config mForward;

  bool operator==(const settings_changed&) const = default;
};

} // namespace redwingdock

#endif
