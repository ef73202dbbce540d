#include "fleet/members.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <utility>

namespace redwingdock {

namespace {

constexpr micros kMaxReorderTime = std::chrono::seconds(1);
// Intervals that a report needs besides the first: from its zone to the other one, and within that.
constexpr int kRelayIntervals = 1;
// Reports in one heartbeat, so that it fits one datagram of 16 KB.
constexpr std::size_t kMaxReports = 128;
// Addresses that have not answered yet and get a heartbeat in one interval.
constexpr std::size_t kMaxUnknownTargets = 8;

// Whether a report of the state, sent at aSentAt, is newer than what is known. A daemon that starts
// again after its clock was set back has a lower incarnation, so incarnations decide only between
// states of about the same time.
bool IsNewer(const fleet_member& aKnown, const daemon_state& aState, instant aSentAt)
{
  if (aState.mIncarnation == aKnown.mState.mIncarnation) {
    return aState.mBeat > aKnown.mState.mBeat;
  }
  const micros later = aSentAt - aKnown.mHeardAt;
  return aState.mIncarnation > aKnown.mState.mIncarnation ? later > -kMaxReorderTime
                                                          : later >= kMaxReorderTime;
}

fleet_view WithReport(fleet_view aView,
                      const member_report& aReport,
                      const std::string& aSenderZone,
                      const forward_config& aConfig,
                      instant aNow)
{
  const daemon_state& state = aReport.mState;
  if (state.mVm == aView.mSelf.mVm) {
    return aView;
  }
  const instant sentAt = aNow - aReport.mAge;
  const bool fromOwnZone = aSenderZone == aView.mSelf.mZone;
  const auto known = aView.mMembers.find(state.mVm);
  if (known != aView.mMembers.end() && !IsNewer(known->second, state, sentAt)) {
    if (fromOwnZone && state.mIncarnation == known->second.mState.mIncarnation &&
        state.mBeat >= known->second.mState.mBeat) {
      known->second.mNeedsRelay = false; // the zone has heard it already
    }
    return aView;
  }
  const instant silentAt =
    sentAt + (aConfig.mMissedHeartbeats + kRelayIntervals) * aConfig.mMaxHeartbeatInterval;
  if (silentAt <= aNow) {
    return aView;
  }
  aView.mMembers[state.mVm] = { state, sentAt, silentAt, !fromOwnZone };
  instant& addressAt = aView.mAddresses.try_emplace(state.mPeerAddress, sentAt).first->second;
  addressAt = std::max(addressAt, sentAt);
  return aView;
}

std::vector<member_report> Reports(const fleet_view& aView,
                                   instant aNow,
                                   const std::function<bool(const fleet_member&)>& aIncluded)
{
  std::vector<member_report> reports;
  for (const auto& [vm, member] : aView.mMembers) {
    if (member.mSilentAt >= aNow && aIncluded(member)) {
      reports.push_back({ member.mState, aNow - member.mHeardAt });
    }
  }
  if (reports.size() > kMaxReports) {
    // The oldest first, so that no member waits for the others again and again.
    std::sort(reports.begin(), reports.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mAge > aRight.mAge;
    });
    reports.resize(kMaxReports);
  }
  return reports;
}

} // namespace

bool UsesZoneReports(const fleet_view& aView, const forward_config& aConfig)
{
  return aView.mMembers.size() > aConfig.mMaxMeshPeers;
}

micros HeartbeatInterval(std::size_t aPeers, const forward_config& aConfig)
{
  const std::chrono::duration<double> wanted(static_cast<double>(aPeers) / aConfig.mHeartbeatRate);
  return std::clamp(std::chrono::duration_cast<micros>(wanted),
                    aConfig.mHeartbeatInterval,
                    aConfig.mMaxHeartbeatInterval);
}

fleet_view WithHeartbeat(const fleet_view& aView,
                         const heartbeat& aHeartbeat,
                         const forward_config& aConfig,
                         instant aNow)
{
  const daemon_state& sender = aHeartbeat.mSender;
  if (sender.mVm == aView.mSelf.mVm) {
    return aView;
  }
  const auto known = aView.mMembers.find(sender.mVm);
  // Datagrams are reordered by less than kMaxReorderTime. After that a lower incarnation means that
  // the sender restarted with its clock set back.
  if (known != aView.mMembers.end() && known->second.mState.mIncarnation > sender.mIncarnation &&
      aNow - known->second.mHeardAt < kMaxReorderTime) {
    return aView;
  }
  if (known != aView.mMembers.end() && known->second.mState.mIncarnation == sender.mIncarnation &&
      known->second.mState.mBeat > sender.mBeat) {
    return aView; // overtaken by a later heartbeat
  }
  fleet_view next = aView;
  // Limits a wrong interval, so that callers do not get the address of a dead daemon for long.
  const micros interval =
    std::clamp(sender.mInterval, aConfig.mHeartbeatInterval, aConfig.mMaxHeartbeatInterval);
  next.mMembers[sender.mVm] = {
    sender, aNow, aNow + aConfig.mMissedHeartbeats * interval, sender.mZone != aView.mSelf.mZone
  };
  next.mAddresses[sender.mPeerAddress] = aNow;
  for (const member_report& report : aHeartbeat.mMembers) {
    next = WithReport(std::move(next), report, sender.mZone, aConfig, aNow);
  }
  for (const std::string& address : aHeartbeat.mPeers) {
    if (address != aView.mSelf.mPeerAddress) {
      next.mAddresses.emplace(address, aNow);
    }
  }
  return next;
}

fleet_view WithoutSilent(const fleet_view& aView,
                         const std::vector<std::string>& aKept,
                         instant aSince)
{
  fleet_view next = aView;
  std::erase_if(next.mAddresses, [&aKept, aSince](const auto& aEach) {
    return aEach.second < aSince &&
           std::find(aKept.begin(), aKept.end(), aEach.first) == aKept.end();
  });
  std::erase_if(next.mMembers,
                [aSince](const auto& aEach) { return aEach.second.mHeardAt < aSince; });
  return next;
}

std::vector<std::string> CallAddresses(const fleet_view& aView, instant aNow)
{
  std::vector<std::string> addresses;
  if (aView.mSelf.mServing) {
    addresses.push_back(aView.mSelf.mCallAddress);
  }
  for (const auto& [vm, member] : aView.mMembers) {
    if (member.mSilentAt >= aNow && member.mState.mServing) {
      addresses.push_back(member.mState.mCallAddress);
    }
  }
  return addresses;
}

std::vector<std::string> LivePeers(const fleet_view& aView, instant aNow)
{
  std::vector<std::string> addresses;
  for (const auto& [vm, member] : aView.mMembers) {
    if (member.mSilentAt >= aNow) {
      addresses.push_back(member.mState.mPeerAddress);
    }
  }
  return addresses;
}

std::vector<std::string> RandomSample(std::vector<std::string> aAddresses,
                                      std::size_t aLimit,
                                      const std::function<std::uint64_t(std::uint64_t)>& aRandom)
{
  const std::size_t count = std::min(aLimit, aAddresses.size());
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(aAddresses[i], aAddresses[i + aRandom(aAddresses.size() - i)]);
  }
  aAddresses.resize(count);
  return aAddresses;
}

heartbeat_targets ZoneTargets(const fleet_view& aView,
                              instant aNow,
                              const std::function<std::uint64_t(std::uint64_t)>& aRandom)
{
  struct zone_members
  {
    std::vector<std::string> mLive;
    std::vector<std::string> mSilent;
  };
  heartbeat_targets targets;
  std::set<std::string> answered;
  std::map<std::string, zone_members> otherZones;
  std::size_t live = 1; // daemons of this zone, with this one
  std::size_t rank = 0; // of this daemon among them
  for (const auto& [vm, member] : aView.mMembers) {
    const daemon_state& state = member.mState;
    const bool isLive = member.mSilentAt >= aNow;
    answered.insert(state.mPeerAddress);
    if (state.mZone != aView.mSelf.mZone) {
      zone_members& zone = otherZones[state.mZone];
      (isLive ? zone.mLive : zone.mSilent).push_back(state.mPeerAddress);
      continue;
    }
    targets.mOwnZone.push_back(state.mPeerAddress);
    live += isLive ? 1 : 0;
    rank += isLive && vm < aView.mSelf.mVm ? 1 : 0;
  }
  const std::size_t zones = otherZones.size();
  const std::size_t share = std::min(zones, (kReportsPerZone * zones + live - 1) / live);
  for (std::size_t i = 0; i < share; ++i) {
    // Silent daemons are called when a zone has no others: they may be reachable again.
    const zone_members& zone =
      std::next(otherZones.begin(), static_cast<std::ptrdiff_t>((rank * share + i) % zones))
        ->second;
    const std::vector<std::string>& from = zone.mLive.empty() ? zone.mSilent : zone.mLive;
    targets.mOtherZones.push_back(from[aRandom(from.size())]);
  }
  for (const auto& [address, since] : aView.mAddresses) {
    if (!answered.contains(address)) {
      targets.mUnknown.push_back(address);
    }
  }
  targets.mUnknown = RandomSample(std::move(targets.mUnknown), kMaxUnknownTargets, aRandom);
  return targets;
}

std::vector<member_report> ReportsOfOwnZone(const fleet_view& aView, instant aNow)
{
  return Reports(aView, aNow, [&aView](const fleet_member& aMember) {
    return aMember.mState.mZone == aView.mSelf.mZone;
  });
}

std::vector<member_report> ReportsToRelay(const fleet_view& aView, instant aNow)
{
  return Reports(aView, aNow, [](const fleet_member& aMember) { return aMember.mNeedsRelay; });
}

std::vector<member_report> ReportsOfAll(const fleet_view& aView, instant aNow)
{
  return Reports(aView, aNow, [](const fleet_member&) { return true; });
}

fleet_view WithRelayed(const fleet_view& aView, const std::vector<member_report>& aSent)
{
  fleet_view next = aView;
  for (const member_report& report : aSent) {
    next.mMembers.at(report.mState.mVm).mNeedsRelay = false;
  }
  return next;
}

} // namespace redwingdock
