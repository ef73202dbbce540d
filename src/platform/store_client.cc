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
constexpr micros kReplyTimeout = std::chrono::milliseconds(900);
constexpr micros kConnectTimeout = std::chrono::milliseconds(600);
constexpr std::uint32_t kMaxConnections = 4;
constexpr std::size_t kMaxReplyBytes =
  std::size_t{ 8 } * 1024 * 1024; // a page contains up to 1 MB of values

template<typename Command>
fact Decode(const Command& aCommand, const pool_result& aResult)
{
  constexpr unsigned kOk = 200;
  constexpr unsigned kGone = 410;
  store_read_failed failed{ aCommand.mReadNumber };
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
  (*decoded).mReadNumber = aCommand.mReadNumber;
  (*decoded).mAsOf.mEra = DecodeEra(aResult.mReply.Find(kStoreEraHeader));
  return std::move(*decoded);
}

} // namespace

store_client::store_client(io_loop& aLoop, std::string aAddress, std::function<void(fact)> aPost)
  : mPool(aLoop)
  , mAddress(std::move(aAddress))
  , mPost(std::move(aPost))
{
}

void store_client::Read(const read_store_page& aCommand)
{
  std::string target = std::string(kRangePath) + "?prefix=" + kAllKeysPrefix;
  if (!aCommand.mAfter.empty()) {
    target += "&after=" + UrlEncode(aCommand.mAfter);
  }
  StartRead(aCommand, target, kReplyTimeout);
}

void store_client::Watch(const watch_store& aCommand)
{
  StartRead(aCommand,
            std::string(kWatchPath) + "?prefix=" + kAllKeysPrefix + "&after=" +
              std::to_string(aCommand.mAfter) + "&waitMs=" + std::to_string(ToMs(aCommand.mWait)),
            aCommand.mWait + kReplyTimeout);
}

void store_client::Check(const check_store& aCommand)
{
  // Any range states the revision of the store; this one has the fewest items.
  mPool.Start(MakeRequest(std::string(kRangePath) + "?prefix=" + UrlEncode(kClosedZonePrefix),
                          kReplyTimeout,
                          true),
              [this, aCommand](const pool_result& aResult) {
                fact read = Decode(read_store_page{ aCommand.mCheckNumber }, aResult);
                store_checked checked{ aCommand.mCheckNumber };
                if (const auto* page = std::get_if<store_page_read>(&read)) {
                  checked.mAsOf = page->mAsOf;
                } else {
                  checked.mReason = std::get<store_read_failed>(read).mReason;
                }
                mPost(std::move(checked));
              });
}

template<typename Command>
void store_client::StartRead(const Command& aCommand,
                             const std::string& aTarget,
                             micros aReplyTimeout)
{
  pool_request request = MakeRequest(aTarget, aReplyTimeout, aCommand.mNewConnection);
  const std::uint64_t previous = mLatestReadId.exchange(request.mId);
  if (aCommand.mNewConnection) {
    mPool.Cancel(previous, true);
  }
  mPool.Start(std::move(request),
              [this, aCommand](const pool_result& aResult) { mPost(Decode(aCommand, aResult)); });
}

pool_request store_client::MakeRequest(const std::string& aTarget,
                                       micros aReplyTimeout,
                                       bool aNewConnection)
{
  pool_request request;
  request.mId = ++mNextRequestId;
  request.mAddress = mAddress;
  request.mText = FormatRequest("GET", aTarget, mAddress, "");
  request.mConnections = kMaxConnections;
  request.mMaxIdleAge = aNewConnection ? micros(1) : micros(0);
  request.mConnectTimeout = kConnectTimeout;
  request.mReplyTimeout = aReplyTimeout;
  request.mReplyLimit = kMaxReplyBytes;
  return request;
}

} // namespace redwingdock::platform
