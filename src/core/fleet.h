#ifndef REDWINGDOCK_CORE_FLEET_H
#define REDWINGDOCK_CORE_FLEET_H

#include "base/time.h"

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Values, facts and commands of daemons that find each other by heartbeats.

namespace redwingdock {

// What a daemon says of itself.
struct daemon_state
{
  std::string mVm;
  std::uint64_t mIncarnation = 0; // higher for each later start of the same VM
  std::string mPeerAddress;       // for heartbeats, "ip:port"
  std::string mCallAddress;       // for callers, "ip:port"
  std::string mZone;
  bool mServing = false; // has a configuration and is not leaving
  micros mInterval{ 0 }; // until its next heartbeat

  auto operator<=>(const daemon_state&) const = default;
};

struct heartbeat
{
  daemon_state mSender;
  std::vector<std::string> mPeers;     // some of the peer addresses that the sender heard recently
  std::vector<std::uint64_t> mRefused; // fingerprints of requests that end their replicas

  auto operator<=>(const heartbeat&) const = default;
};

struct heartbeat_received
{
  heartbeat mHeartbeat;

  auto operator<=>(const heartbeat_received&) const = default;
};

// Command: send a datagram; it may be lost.
struct send_heartbeat
{
  std::string mAddress;
  heartbeat mHeartbeat;

  auto operator<=>(const send_heartbeat&) const = default;
};

// Command: stop accepting callers and close their idle connections.
struct close_callers
{
  auto operator<=>(const close_callers&) const = default;
};

struct fleet_member
{
  daemon_state mState;
  instant mHeardAt{};
  instant mSilentAt{}; // when it counts as silent without a further heartbeat

  auto operator<=>(const fleet_member&) const = default;
};

// Daemons heard of, with this one. Entry key: kFleetKey.
struct fleet_view
{
  daemon_state mSelf;
  bool mLeaving = false;
  std::map<std::string, fleet_member> mMembers; // the others, by VM
  std::map<std::string, instant> mAddresses;    // peer addresses to call, and since when
  std::uint32_t mMostSeen = 1;                  // live daemons at one time, with this one

  auto operator<=>(const fleet_view&) const = default;
};

inline constexpr char kFleetKey[] = "fleet";

} // namespace redwingdock

#endif
