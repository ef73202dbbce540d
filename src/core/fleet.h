#ifndef REDWINGDOCK_CORE_FLEET_H
#define REDWINGDOCK_CORE_FLEET_H

#include "base/time.h"
#include "core/store_position.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Values, facts and commands of daemons that discover each other by heartbeats.

namespace redwingdock {

// State of a daemon as it reports it in its heartbeats.
struct daemon_state
{
  std::string mVm;
  std::uint64_t mIncarnation = 0; // increases with each start of the daemon on the same VM
  std::string mPeerAddress;       // for heartbeats, "ip:port"
  std::string mCallAddress;       // for callers, "ip:port"
  std::string mZone;
  bool mServing = false; // has a configuration and is not shutting down
  micros mInterval{ 0 }; // until its next heartbeat
  // Increases with each heartbeat interval and each change of this state. A relayed report counts
  // only with a higher number than the known one, so that a daemon that was suspended cannot make a
  // dead one look alive.
  std::uint64_t mBeat = 0;

  auto operator<=>(const daemon_state&) const = default;
};

// What the sender of a heartbeat knows of another daemon.
struct member_report
{
  daemon_state mState;
  micros mAge{ 0 }; // time since the daemon sent this state

  auto operator<=>(const member_report&) const = default;
};

// A request that crashes its replicas and is refused for a time.
struct refused_request
{
  std::uint64_t mFingerprint = 0;
  micros mTimeLeft{ 0 }; // of the refusal

  auto operator<=>(const refused_request&) const = default;
};

// A replica that crashed while it ran a request. A daemon reports it until it is no longer evidence
// or the request is refused.
struct replica_crash
{
  std::uint64_t mFingerprint = 0; // of the request
  std::string mReplica;
  std::int64_t mBornMs = 0; // start of the process that crashed
  micros mTimeLeft{ 0 };    // of the evidence

  auto operator<=>(const replica_crash&) const = default;
};

// The timeout with which the clients of a route start, as a daemon observed it.
struct observed_timeout
{
  std::string mRoute;
  micros mTimeout{ 0 };
  micros mTimeLeft{ 0 }; // until the observation is too old to be used

  auto operator<=>(const observed_timeout&) const = default;
};

// How current a daemon's copy of the store is.
struct store_copy
{
  store_position mAsOf{};
  // Increases with each answer of the store that showed nothing newer than mAsOf. 0 when the daemon
  // does not state it.
  std::uint64_t mConfirmations = 0;

  auto operator<=>(const store_copy&) const = default;
};

// Periodic datagram of one daemon to another.
struct heartbeat
{
  daemon_state mSender;
  std::vector<std::string> mPeers; // some peer addresses that the sender heard from recently
  std::vector<refused_request> mRefused;
  std::vector<member_report> mMembers;
  std::vector<observed_timeout> mTimeouts;
  std::vector<replica_crash> mCrashes;
  store_copy mStore;

  auto operator<=>(const heartbeat&) const = default;
};

struct heartbeat_received
{
  heartbeat mHeartbeat;

  auto operator<=>(const heartbeat_received&) const = default;
};

// Command: send a heartbeat datagram, which may be lost.
struct send_heartbeat
{
  std::string mAddress;
  heartbeat mHeartbeat;

  auto operator<=>(const send_heartbeat&) const = default;
};

// Command: stop accepting callers and close their idle connections. With mUnused, also those that
// have not had a request yet.
struct close_callers
{
  bool mUnused = false;

  auto operator<=>(const close_callers&) const = default;
};

// Another daemon, with the time of its last heartbeat.
struct fleet_member
{
  daemon_state mState;
  instant mHeardAt{};
  instant mSilentAt{}; // without a further heartbeat it counts as silent after this
  bool mNeedsRelay =
    false; // learnt from another zone and not yet passed on within this daemon's zone

  auto operator<=>(const fleet_member&) const = default;
};

// This daemon and all others that it has heard from. Entry key: kFleetKey.
struct fleet_view
{
  daemon_state mSelf;
  bool mLeaving = false; // this daemon is shutting down
  // When leaving, the times of the stop_budget.
  instant mLastForwardAt = kNever;
  instant mFinalAnswersAt = kNever;
  instant mFlushUntil = kNever;
  std::map<std::string, fleet_member> mMembers; // other daemons, by VM
  // Peer addresses to send heartbeats to, with the time of the last heartbeat from each, or the
  // time when it became known if there was none.
  std::map<std::string, instant> mAddresses;
  std::uint32_t mMaxLiveDaemons = 1; // most daemons live at the same time so far, this one included

  auto operator<=>(const fleet_view&) const = default;
};

inline constexpr char kFleetKey[] = "fleet";

} // namespace redwingdock

#endif
