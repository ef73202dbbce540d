#include "fleet/members.h"

#include <algorithm>
#include <utility>

namespace redwingdock {

namespace {

constexpr micros kMaxReorderTime = std::chrono::seconds(1);

} // namespace

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
  fleet_view next = aView;
  // Limits a wrong interval, so that callers do not get the address of a dead daemon for long.
  const micros interval =
    std::clamp(sender.mInterval, aConfig.mHeartbeatInterval, aConfig.mMaxHeartbeatInterval);
  next.mMembers[sender.mVm] = { sender, aNow, aNow + aConfig.mMissedHeartbeats * interval };
  next.mAddresses[sender.mPeerAddress] = aNow;
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

} // namespace redwingdock
