#include "daemon/http_exchange.h"

#include <optional>
#include <utility>

namespace redwingdock {

http_exchange_client::http_exchange_client(io_loop& aLoop)
  : mLoop(aLoop)
{
}

void http_exchange_client::Start(const http_exchange& aExchange, done_hook aDone)
{
  const std::uint64_t id = ++mNextId;
  tcp_hooks hooks;
  hooks.mOnBytes = [this, id](std::string_view aBytes) { Received(id, aBytes); };
  hooks.mOnOpen = [this, id, timeout = aExchange.mReplyTimeout] {
    mPending.With(id, [timeout](pending& aPending) { aPending.mConnection->ExpireAfter(timeout); });
  };
  hooks.mOnClosed = [this, id](const tcp_close_info& aInfo) { Closed(id, aInfo); };
  mPending.Insert(id,
                  { nullptr,
                    http_reader(http_side::Client, { aExchange.mReplyLimit }),
                    std::move(aDone),
                    aExchange.mAddress });
  // Connecting under the lock of the shard keeps the hooks waiting until mConnection is set.
  mPending.With(id, [&](pending& aPending) {
    aPending.mConnection =
      Connect(mLoop, aExchange.mAddress, aExchange.mConnectTimeout, std::move(hooks));
    aPending.mConnection->Send(
      FormatRequest(aExchange.mMethod, aExchange.mTarget, aExchange.mAddress, aExchange.mBody));
  });
}

void http_exchange_client::Received(std::uint64_t aId, std::string_view aBytes)
{
  http_read_status status = http_read_status::NeedMore;
  mPending.With(aId, [&](pending& aPending) { status = aPending.mReader.Feed(aBytes); });
  if (status == http_read_status::NeedMore) {
    return;
  }
  std::optional<pending> done = mPending.Take(aId);
  if (!done) {
    return;
  }
  done->mConnection->Close("reply received");
  if (status == http_read_status::Complete) {
    done->mDone(Success(done->mReader.Take()));
  } else {
    done->mDone(Failure<http_message>("read reply", done->mAddress, done->mReader.Error().mText));
  }
}

void http_exchange_client::Closed(std::uint64_t aId, const tcp_close_info& aInfo)
{
  std::optional<pending> done = mPending.Take(aId);
  if (!done) {
    return;
  }
  // A reply without Content-Length is complete only if the connection was not reset.
  if (aInfo.mOrderly && done->mReader.FeedEof() == http_read_status::Complete) {
    done->mDone(Success(done->mReader.Take()));
  } else {
    done->mDone(Failure<http_message>("exchange", done->mAddress, aInfo.mDescription));
  }
}

} // namespace redwingdock
