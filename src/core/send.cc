#include "core/send.h"

#include <algorithm>

namespace redwingdock {

std::string OriginOf(const core_config& aConfig)
{
  return aConfig.mVm + "." + aConfig.mIncarnation;
}

bool SendToPeer(core_context& aContext, const std::string& aVm, peer_message aMessage)
{
  std::string address;
  const auto view = aContext.mBoard.Read<member_view>(kMembersKey);
  const vm_spec* listed = view ? view->mVms.Find(aVm) : nullptr;
  if (listed != nullptr) {
    address = listed->mAddress;
  } else {
    const auto& seeds = aContext.mConfig.mSeeds;
    const auto seed = std::find_if(
      seeds.begin(), seeds.end(), [&aVm](const vm_spec& aSeed) { return aSeed.mName == aVm; });
    if (seed != seeds.end()) {
      address = seed->mAddress;
    }
  }
  if (address.empty()) {
    return false;
  }
  aContext.Emit(send_to_peer{ aVm, address, std::move(aMessage) });
  return true;
}

} // namespace redwingdock
