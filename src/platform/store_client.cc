#include "platform/store_client.h"

#include "base/url.h"
#include "platform/protocol_names.h"
#include "platform/store_codec.h"

#include <type_traits>
#include <utility>

namespace redwingdock::platform {

namespace {

// The store normally replies in milliseconds. The timeout still allows replies that are a hundred
// times slower.
constexpr micros kReplyTime = std::chrono::milliseconds(900);
constexpr micros kConnectTime = std::chrono::milliseconds(600);
constexpr std::uint32_t kConnections = 4;
constexpr std::size_t kReplyLimit =
  std::size_t{ 8 } * 1024 * 1024; // a page contains up to 1 MB of values

template<typename Command>
fact Decode(const Command& aCommand, const pool_result& aResult)
{
  constexpr unsigned kOk = 200;
  constexpr unsigned kGone = 410;
  store_read_failed failed{ aCommand.mRound };
  if (aResult.mOutcome != pool_outcome::Answered) {
    failed.mReason = aResult.mReason;
    return failed;
  }
  if (aResult.mReply.mStatus != kOk) {
    failed.mFailure =
      aResult.mReply.mStatus == kGone ? store_failure::HistoryGone : store_failure::Unavailable;
    failed.mReason = { "read store", "", "status " + std::to_string(aResult.mReply.mStatus) };
    return failed;
  }
  auto decoded = [&aResult] {
    if constexpr (std::is_same_v<Command, read_store_page>) {
      return DecodePage(aResult.mReply.mBody);
    } else {
      return DecodeChanges(aResult.mReply.mBody);
    }
  }();
  if (!decoded) {
    failed.mReason = decoded.mReason;
    return failed;
  }
  (*decoded).mRound = aCommand.mRound;
  return std::move(*decoded);
}

} // namespace

store_calls::store_calls(io_loop& aLoop, std::string aAddress, std::function<void(fact)> aPost)
  : mPool(aLoop)
  , mAddress(std::move(aAddress))
  , mPost(std::move(aPost))
{
}

void store_calls::Read(const read_store_page& aCommand)
{
  std::string target = std::string(kRangePath) + "?prefix=" + kAllKeys;
  if (!aCommand.mAfter.empty()) {
    target += "&after=" + UrlEncode(aCommand.mAfter);
  }
  Call(aCommand, target, kReplyTime);
}

void store_calls::Watch(const watch_store& aCommand)
{
  Call(aCommand,
       std::string(kWatchPath) + "?prefix=" + kAllKeys + "&after=" +
         std::to_string(aCommand.mAfter) + "&waitMs=" + std::to_string(ToMs(aCommand.mWait)),
       aCommand.mWait + kReplyTime);
}

template<typename Command>
void store_calls::Call(const Command& aCommand, const std::string& aTarget, micros aReplyTime)
{
  pool_request request;
  request.mId = ++mNextCall;
  request.mAddress = mAddress;
  request.mText = FormatRequest("GET", aTarget, mAddress, "");
  request.mConnections = kConnections;
  request.mConnectTimeout = kConnectTime;
  request.mReplyTimeout = aReplyTime;
  request.mReplyLimit = kReplyLimit;
  mPool.Start(std::move(request),
              [this, aCommand](const pool_result& aResult) { mPost(Decode(aCommand, aResult)); });
}

} // namespace redwingdock::platform
