#include "daemon/http_pool.h"

#include "base/heap.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace redwingdock {

namespace {

// An idle connection is closed this long before the server's keep-alive timeout, so that no request
// is sent while the server closes the connection.
constexpr micros kKeepAliveMargin = std::chrono::milliseconds(700);
constexpr micros kMinIdleTime = std::chrono::milliseconds(200);
// For servers that send no keep-alive timeout.
constexpr micros kDefaultIdleTime = std::chrono::seconds(20);

// Idle time from a field such as "Keep-Alive: timeout=5, max=100".
micros IdleTime(const http_message& aReply)
{
  const std::string* field = aReply.Find("Keep-Alive");
  if (field == nullptr) {
    return kDefaultIdleTime;
  }
  const std::size_t at = field->find("timeout=");
  if (at == std::string::npos) {
    return kDefaultIdleTime;
  }
  std::uint32_t seconds = 0;
  const char* first = field->data() + at + std::string_view("timeout=").size();
  if (std::from_chars(first, field->data() + field->size(), seconds).ec != std::errc()) {
    return kDefaultIdleTime;
  }
  return std::max(kMinIdleTime, micros(std::chrono::seconds(seconds)) - kKeepAliveMargin);
}

} // namespace

http_pool::http_pool(io_loop& aLoop, pool_limits aLimits, std::shared_ptr<memory_budget> aBudget)
  : mLoop(aLoop)
  , mLimits(aLimits)
  , mBudget(std::move(aBudget))
{
}

void http_pool::Start(pool_request aRequest, done_hook aDone)
{
  auto started = std::make_unique<exchange>(exchange{ std::move(aRequest), std::move(aDone) });
  const micros maxIdleAge = started->mRequest.mMaxIdleAge;
  const instant since = maxIdleAge > micros(0) ? SteadyNow() - maxIdleAge : instant{};
  while (const std::uint64_t idle =
           TakeIdle(started->mRequest.mAddress, since, started->mRequest.mRepeatKey)) {
    if (SendOn(idle, started)) {
      return;
    }
  }
  // Only old connections, and those that answered an earlier send of the request, can be left.
  if (maxIdleAge > micros(0) || started->mRequest.mRepeatKey != 0) {
    CloseLeastRecentlyUsed(started->mRequest.mAddress);
  }
  Open(std::move(started));
}

std::uint64_t http_pool::TakeIdle(const std::string& aAddress,
                                  instant aUsedSince,
                                  std::uint64_t aRepeatKey)
{
  std::uint64_t taken = 0;
  mPeers.With(aAddress, [&](peer& aPeer) {
    const auto usable = [&](const idle_connection& aIdle) {
      return aIdle.mLastUsed >= aUsedSince &&
             (aRepeatKey == 0 ||
              std::find(aIdle.mAnswered.begin(), aIdle.mAnswered.end(), aRepeatKey) ==
                aIdle.mAnswered.end());
    };
    const auto found = std::find_if(aPeer.mIdle.rbegin(), aPeer.mIdle.rend(), usable);
    if (found != aPeer.mIdle.rend()) {
      taken = found->mId;
      aPeer.mIdle.erase(std::next(found).base());
    }
  });
  return taken;
}

void http_pool::CloseLeastRecentlyUsed(const std::string& aAddress)
{
  std::uint64_t oldest = 0;
  mPeers.With(aAddress, [&oldest](peer& aPeer) {
    if (!aPeer.mIdle.empty()) {
      oldest = aPeer.mIdle.front().mId;
      aPeer.mIdle.erase(aPeer.mIdle.begin());
    }
  });
  mConnections.With(oldest, [](connection& aState) {
    aState.mPlace.GiveUp(); // makes room for the connection that replaces it
    aState.mTcp->Close("replaced by a new connection");
  });
}

connection_place http_pool::Reserve(const std::string& aAddress, std::uint32_t aLimit)
{
  connection_place place;
  mPeers.WithOrInsert(aAddress,
                      [&](const peer& aPeer) { place = TakePlace(aPeer.mPlaces, aLimit); });
  return place;
}

void http_pool::RemoveIdle(const std::string& aAddress, std::uint64_t aConnection)
{
  mPeers.With(aAddress, [aConnection](peer& aPeer) {
    std::erase_if(aPeer.mIdle,
                  [aConnection](const idle_connection& aIdle) { return aIdle.mId == aConnection; });
  });
}

std::size_t http_pool::PlacesHeld() const
{
  std::size_t held = 0;
  mPeers.ForEach([&held](const std::string&, const peer& aPeer) { held += aPeer.mPlaces->Held(); });
  return held;
}

bool http_pool::SendOn(std::uint64_t aConnection, std::unique_ptr<exchange>& aExchange)
{
  const std::uint64_t id = aExchange->mRequest.mId;
  bool sent = false;
  bool cancelled = false;
  mConnections.With(aConnection, [&](connection& aState) {
    mConnectionByRequest.Insert(id, aConnection);
    aState.mReader.SetLimits({ aExchange->mRequest.mReplyLimit });
    aState.mSkippedReplies = 0;
    aState.mTcp->ExpireAfter(aExchange->mRequest.mReplyTimeout);
    // The text is copied, since it is needed again when the connection does not accept it.
    sent = !aState.mTcp->HasUnread() && aState.mTcp->Send(aExchange->mRequest.mText);
    if (sent) {
      FreeText(aExchange->mRequest.mText);
      aState.mExchange = std::move(aExchange);
      return;
    }
    aState.mTcp->Close("ended while idle");
    cancelled = !mConnectionByRequest.Take(id);
    aState.mPlace.GiveUp();
  });
  if (cancelled) {
    aExchange.reset();
  }
  return sent || cancelled;
}

void http_pool::Open(std::unique_ptr<exchange> aExchange)
{
  const std::string address = aExchange->mRequest.mAddress;
  connection_place place = Reserve(address, aExchange->mRequest.mConnections);
  if (!place.IsHeld()) {
    aExchange->mDone(
      { pool_outcome::NotSent, false, {}, { "connect", address, "connection limit reached" } });
    return;
  }
  const std::uint64_t id = ++mNextConnection;
  const std::uint64_t request = aExchange->mRequest.mId;
  const micros connectTime = aExchange->mRequest.mConnectTimeout;
  tcp_hooks hooks;
  hooks.mOnOpen = [this, id] { Opened(id); };
  hooks.mOnBytes = [this, id](std::string_view aBytes) { Received(id, aBytes); };
  hooks.mOnClosed = [this, id](const tcp_close_info& aInfo) { Closed(id, aInfo); };
  connection opened{ address,
                     nullptr,
                     http_reader(http_side::Client, { aExchange->mRequest.mReplyLimit }),
                     std::move(aExchange) };
  opened.mCharge = memory_charge(mBudget);
  opened.mPlace = std::move(place);
  mConnectionByRequest.Insert(request, id);
  mConnections.Insert(id, std::move(opened));
  // Connecting under the lock of the shard keeps the hooks waiting until mTcp is set.
  mConnections.With(id, [&](connection& aState) {
    aState.mTcp = Connect(mLoop, address, connectTime, std::move(hooks));
  });
}

void http_pool::Opened(std::uint64_t aConnection)
{
  mConnections.With(aConnection, [](connection& aState) {
    if (aState.mExchange) {
      aState.mTcp->ExpireAfter(aState.mExchange->mRequest.mReplyTimeout);
      aState.mRequestSent = aState.mTcp->Send(std::move(aState.mExchange->mRequest.mText));
    }
  });
}

void http_pool::Received(std::uint64_t aConnection, std::string_view aBytes)
{
  std::unique_ptr<exchange> done;
  std::optional<http_message> reply;
  mConnections.With(aConnection, [&](connection& aState) {
    if (!aState.mExchange) {
      aState.mTcp->Close("received bytes without an open request");
      return;
    }
    reply = ReadReply(aState, aBytes);
    aState.mCharge.Set(aState.mIncompleteBytes);
    if (reply) {
      done = std::move(aState.mExchange);
    }
  });
  if (done) {
    Finish(aConnection, std::move(*reply), std::move(done));
  }
  LimitIncompleteReplies();
}

std::optional<http_message> http_pool::ReadReply(connection& aState, std::string_view aBytes)
{
  aState.mIncompleteBytes += aBytes.size();
  mIncompleteBytes += aBytes.size();
  http_read_status status = aState.mReader.Feed(aBytes);
  while (status == http_read_status::Complete) {
    http_message reply = aState.mReader.Take();
    mIncompleteBytes -= std::exchange(aState.mIncompleteBytes, aState.mReader.Buffered());
    mIncompleteBytes += aState.mIncompleteBytes;
    const auto& owns = aState.mExchange->mRequest.mMatchesReply;
    if (!owns || owns(reply)) {
      aState.mUnexpectedBytes = aState.mUnexpectedBytes || aState.mReader.Buffered() > 0;
      return reply;
    }
    // The server replied twice to an earlier request. The expected reply follows, but the
    // connection is not reused.
    aState.mUnexpectedBytes = true;
    if (!reply.mKeepAlive || ++aState.mSkippedReplies > mLimits.mSkippedReplies) {
      aState.mTcp->Close("received only replies to other requests");
      return std::nullopt;
    }
    status = aState.mReader.Feed({});
  }
  if (status == http_read_status::Failed) {
    aState.mTcp->Close(aState.mReader.Error().mText);
  }
  return std::nullopt;
}

// The connection that exceeds the limit may be that of a sound server, whose reply arrives in parts
// while a faulty server keeps large replies open.
void http_pool::LimitIncompleteReplies()
{
  while (mIncompleteBytes > mLimits.mIncompleteBytes) {
    std::uint64_t largest = 0;
    std::size_t size = 0;
    mConnections.ForEach([&](std::uint64_t aId, const connection& aState) {
      if (aState.mIncompleteBytes > size) {
        largest = aId;
        size = aState.mIncompleteBytes;
      }
    });
    if (size == 0) {
      return;
    }
    mConnections.With(largest, [this](connection& aState) {
      mIncompleteBytes -= std::exchange(aState.mIncompleteBytes, 0);
      aState.mTcp->Close("incomplete replies are over " + std::to_string(mLimits.mIncompleteBytes) +
                         " bytes");
    });
  }
}

// Returns the connection to the pool or closes it, before the hook runs and may start another
// request.
void http_pool::Finish(std::uint64_t aConnection,
                       http_message aReply,
                       std::unique_ptr<exchange> aExchange)
{
  mConnectionByRequest.Take(aExchange->mRequest.mId);
  std::optional<idle_connection> idle;
  mConnections.With(aConnection, [&](connection& aState) {
    if (!aReply.mKeepAlive || aState.mUnexpectedBytes) {
      aState.mTcp->Close("connection is not reusable");
      return;
    }
    aState.mTcp->ExpireAfter(IdleTime(aReply));
    aState.mAnsweredBefore = true;
    std::rotate(
      aState.mAnswered.begin(), std::prev(aState.mAnswered.end()), aState.mAnswered.end());
    aState.mAnswered.front() = aExchange->mRequest.mRepeatKey;
    idle = { aConnection, SteadyNow(), aState.mAnswered };
  });
  if (idle) {
    mPeers.With(aExchange->mRequest.mAddress,
                [&idle](peer& aPeer) { aPeer.mIdle.push_back(*idle); });
  }
  aExchange->mDone({ pool_outcome::Answered, false, std::move(aReply), {} });
}

void http_pool::Closed(std::uint64_t aConnection, const tcp_close_info& aInfo)
{
  // Its place is free before it is gone, so that a thread that replaces it and does not find it any
  // more can open another connection.
  mConnections.With(aConnection, [](connection& aState) { aState.mPlace.GiveUp(); });
  std::optional<connection> closed = mConnections.Take(aConnection);
  if (!closed) {
    return;
  }
  mIncompleteBytes -= closed->mIncompleteBytes;
  RemoveIdle(closed->mAddress, aConnection);
  if (!closed->mExchange) {
    return;
  }
  const std::unique_ptr<exchange> unanswered = std::move(closed->mExchange);
  mConnectionByRequest.Take(unanswered->mRequest.mId);
  if (!closed->mRequestSent) {
    unanswered->mDone(
      { pool_outcome::NotSent, true, {}, { "connect", closed->mAddress, aInfo.mDescription } });
    return;
  }
  if (aInfo.mOrderly && closed->mReader.FeedEof() == http_read_status::Complete) {
    http_message reply = closed->mReader.Take();
    if (!unanswered->mRequest.mMatchesReply || unanswered->mRequest.mMatchesReply(reply)) {
      unanswered->mDone({ pool_outcome::Answered, false, std::move(reply), {} });
      return;
    }
  }
  unanswered->mDone({ aInfo.mExpired ? pool_outcome::Expired : pool_outcome::Broken,
                      !closed->mAnsweredBefore,
                      {},
                      { "read reply", closed->mAddress, aInfo.mDescription } });
}

void http_pool::Cancel(std::uint64_t aId, bool aCloseIdle)
{
  const std::optional<std::uint64_t> id = mConnectionByRequest.Take(aId);
  if (!id) {
    return;
  }
  std::string address;
  mConnections.With(*id, [&address](connection& aState) {
    aState.mExchange.reset();
    address = aState.mAddress;
    aState.mTcp->Close("cancelled");
  });
  if (!aCloseIdle) {
    return;
  }
  while (const std::uint64_t idle = TakeIdle(address)) {
    mConnections.With(
      idle, [](connection& aState) { aState.mTcp->Close("idle connection may be unresponsive"); });
  }
}

} // namespace redwingdock
