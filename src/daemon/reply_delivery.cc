#include "daemon/reply_delivery.h"

#include <algorithm>
#include <utility>

namespace redwingdock {

namespace {

// A shorter time shows what the kernel buffers, not how fast the client reads.
constexpr micros kMinMeasuredTime = std::chrono::milliseconds(20);
// The kernel takes bytes in batches; a client that has taken none for longer does not read.
constexpr micros kMaxPause = std::chrono::seconds(1);
// The kernel's buffers grow while bytes wait, so that a client looks faster than it is.
constexpr double kRateMargin = 2;
// Until a rate is measured.
constexpr double kAssumedBytesPerS = 1e6;
// For a client that has stopped reading.
constexpr micros kMaxDelivery = std::chrono::hours(1);

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
  aDelivery.mLastBytes = aBytes;
  if (aDelivery.mWaitingSince == kNever && aUnsent == 0) {
    aDelivery.mBytesPerS.reset();
    aDelivery.mLastWait = micros(0);
  }
  return WithUnsent(std::move(aDelivery), aUnsent, aNow);
}

reply_delivery WithUnsent(reply_delivery aDelivery, std::size_t aUnsent, instant aNow)
{
  const std::uint64_t taken = TakenBytes(aDelivery, aUnsent);
  std::erase_if(aDelivery.mReplies,
                [taken](const handed_reply& aReply) { return aReply.mEnd <= taken; });
  aDelivery.mUnsent = aUnsent;
  if (aDelivery.mWaitingSince == kNever) {
    if (aUnsent > 0) {
      aDelivery.mWaitingSince = aNow;
      aDelivery.mTakenThen = taken;
    }
    return aDelivery;
  }
  const micros waited = aNow - aDelivery.mWaitingSince;
  const std::size_t takenMeanwhile = TakenWhileWaiting(aDelivery);
  if (waited >= (takenMeanwhile > 0 ? kMinMeasuredTime : kMaxPause)) {
    aDelivery.mBytesPerS = static_cast<double>(takenMeanwhile) / kRateMargin /
                           std::chrono::duration<double>(waited).count();
  }
  if (aUnsent == 0) {
    aDelivery.mWaitingSince = kNever;
    aDelivery.mLastWait = waited;
  }
  return aDelivery;
}

instant HeldSince(const reply_delivery& aDelivery)
{
  return aDelivery.mUnsent == 0 || aDelivery.mReplies.empty()
           ? kNever
           : aDelivery.mReplies.front().mHandedAt;
}

std::size_t TakenWhileWaiting(const reply_delivery& aDelivery)
{
  const std::uint64_t taken = TakenBytes(aDelivery, aDelivery.mUnsent);
  return aDelivery.mWaitingSince == kNever || taken < aDelivery.mTakenThen
           ? 0
           : static_cast<std::size_t>(taken - aDelivery.mTakenThen);
}

micros ExpectedDelivery(const reply_delivery& aDelivery)
{
  if (aDelivery.mUnsent == 0 && !aDelivery.mBytesPerS) {
    return aDelivery.mLastWait;
  }
  // Also once the kernel has taken all bytes: its buffers are still full of them, so the next reply
  // waits longer than the last one did.
  const double bytes = static_cast<double>(aDelivery.mUnsent + aDelivery.mLastBytes);
  const std::chrono::duration<double> expected(
    bytes / std::max(aDelivery.mBytesPerS.value_or(kAssumedBytesPerS), 1.0));
  return expected >= kMaxDelivery ? kMaxDelivery : std::chrono::duration_cast<micros>(expected);
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
