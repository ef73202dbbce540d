#ifndef REDWINGDOCK_FLEET_MEMBERS_H
#define REDWINGDOCK_FLEET_MEMBERS_H

#include "core/fleet.h"
#include "core/forward_config.h"

#include <functional>
#include <string>
#include <vector>

// Pure functions on the fleet_view.
//
//   fleet_view next = WithHeartbeat(view, received, config, now);
//   std::vector<std::string> addresses = CallAddresses(next, now);

namespace redwingdock {

// Time between heartbeats of a daemon with aPeers peers, which limits the datagrams it sends per
// second.
micros HeartbeatInterval(std::size_t aPeers, const forward_config& aConfig);

// Whether daemons exchange reports between zones instead of sending heartbeats to all others.
bool UsesZoneReports(const fleet_view& aView, const forward_config& aConfig);

// Returns the view with the sender's state, its reports of other daemons and its peers added.
// Ignores this daemon's own heartbeats and delayed ones of an earlier start of the sender.
fleet_view WithHeartbeat(const fleet_view& aView,
                         const heartbeat& aHeartbeat,
                         const forward_config& aConfig,
                         instant aNow);

// Removes peer addresses that have not answered since aSince, except those in aKept, and members
// not heard from since then.
fleet_view WithoutSilent(const fleet_view& aView,
                         const std::vector<std::string>& aKept,
                         instant aSince);

// Peer addresses for the heartbeats of one interval.
struct heartbeat_targets
{
  std::vector<std::string> mOwnZone;
  std::vector<std::string> mOtherZones; // daemons that get a report of this daemon's zone
  std::vector<std::string> mUnknown;    // addresses that have not answered yet

  auto operator<=>(const heartbeat_targets&) const = default;
};

// Selects the targets when zone reports are used. The live daemons of a zone share the other zones
// so that each gets at least kReportsPerZone reports in an interval. aRandom(n) returns a number in
// [0, n).
inline constexpr std::size_t kReportsPerZone = 2;
heartbeat_targets ZoneTargets(const fleet_view& aView,
                              instant aNow,
                              const std::function<std::uint64_t(std::uint64_t)>& aRandom);

// Reports for a daemon of another zone: the live daemons of this zone.
std::vector<member_report> ReportsOfOwnZone(const fleet_view& aView, instant aNow);
// Reports for the daemons of this zone: what was learnt from other zones and is not yet passed on.
std::vector<member_report> ReportsToRelay(const fleet_view& aView, instant aNow);
// Reports for a daemon that has just started: all live daemons, up to a limit.
std::vector<member_report> ReportsOfAll(const fleet_view& aView, instant aNow);
// Marks the members in aSent, which are reports of aView, as relayed.
fleet_view WithRelayed(const fleet_view& aView, const std::vector<member_report>& aSent);

// Call addresses of the serving daemons: this one and the members that are not silent.
std::vector<std::string> CallAddresses(const fleet_view& aView, instant aNow);

// Peer addresses of the members that are not silent.
std::vector<std::string> LivePeers(const fleet_view& aView, instant aNow);

// A random sample of up to aLimit addresses. aRandom(n) returns a number in [0, n).
std::vector<std::string> RandomSample(std::vector<std::string> aAddresses,
                                      std::size_t aLimit,
                                      const std::function<std::uint64_t(std::uint64_t)>& aRandom);

} // namespace redwingdock

#endif
