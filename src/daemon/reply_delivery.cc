#include "daemon/reply_delivery.h"

#include <algorithm>
#include <utility>

namespace redwingdock {

namespace {

std::uint64_t TakenBytes(const reply_delivery& aDelivery, std::size_t aUnsent)
{
  return aDelivery.mHandedBytes - std::min<std::uint64_t>(aDelivery.mHandedBytes, aUnsent);
}

} // namespace

reply_delivery WithReply(reply_delivery aDelivery,
                         std::string aRequest,
                         std::size_t aBytes,
                         std::size_t aUnsent,
                         instant aNow)
{
  aDelivery.mHandedBytes += aBytes;
  aDelivery.mReplies.push_back({ std::move(aRequest), aDelivery.mHandedBytes, aNow });
  const std::uint64_t taken = TakenBytes(aDelivery, aUnsent);
  std::erase_if(aDelivery.mReplies,
                [taken](const handed_reply& aReply) { return aReply.mEnd <= taken; });
  return aDelivery;
}

std::vector<unsent_reply> UnsentReplies(const reply_delivery& aDelivery, std::size_t aUnsent)
{
  std::vector<unsent_reply> unsent;
  std::uint64_t taken = TakenBytes(aDelivery, aUnsent);
  for (const handed_reply& each : aDelivery.mReplies) {
    if (each.mEnd > taken) {
      unsent.push_back(
        { each.mRequest, static_cast<std::size_t>(each.mEnd - taken), each.mHandedAt });
      taken = each.mEnd;
    }
  }
  return unsent;
}

} // namespace redwingdock
