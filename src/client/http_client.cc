#include "client/http_client.h"

#include "client/striped_map.h"
#include "daemon/http_text.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <charconv>
#include <future>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <utility>
#include <vector>

namespace redwingdock {

namespace asio = boost::asio;
namespace beast = boost::beast;
using tcp = asio::ip::tcp;

namespace {

// The views for operators are the largest replies: under 8 MiB at the target size of the fleet.
constexpr std::size_t kMaxBodyBytes = 16U << 20U;
constexpr std::size_t kReadBytes = std::size_t{ 16 } * 1024; // at once

std::optional<tcp::endpoint> ParseAddress(const std::string& aAddress)
{
  std::size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const char* end = aAddress.data() + aAddress.size();
  auto [next, error] = std::from_chars(aAddress.data() + colon + 1, end, port);
  boost::system::error_code failed;
  asio::ip::address ip = asio::ip::make_address(aAddress.substr(0, colon), failed);
  if (error != std::errc() || next != end || failed) {
    return std::nullopt;
  }
  return tcp::endpoint(ip, port);
}

struct connection
{
  explicit connection(asio::io_context& aContext)
    : mStream(asio::make_strand(aContext))
  {
  }

  // Whether the peer has neither closed the connection nor sent unexpected data.
  bool IsIdle()
  {
    char byte = 0;
    ssize_t received =
      ::recv(mStream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT); // NOLINT
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  beast::tcp_stream mStream;
  std::array<char, kReadBytes> mReceived{};
  http_reader mReader{ http_side::Client, { kMaxBodyBytes } };
};

using connection_ptr = std::shared_ptr<connection>;

} // namespace

struct http_client::state
{
  asio::io_context mContext;                                 // outlives the connections
  striped_map<std::vector<connection_ptr>> mIdleConnections; // by address
  std::optional<asio::executor_work_guard<asio::io_context::executor_type>> mWorkGuard;
  std::vector<std::thread> mThreads;

  connection_ptr TakeIdle(const std::string& aAddress)
  {
    connection_ptr taken;
    mIdleConnections.Update(aAddress, [&taken](std::vector<connection_ptr>& aIdle) {
      while (!taken && !aIdle.empty()) {
        if (aIdle.back()->IsIdle()) {
          taken = aIdle.back();
        }
        aIdle.pop_back();
      }
    });
    return taken;
  }
};

namespace {

// One request and its reply on one connection.
template<typename State>
class exchange : public std::enable_shared_from_this<exchange<State>>
{
public:
  exchange(State& aState, http_call aCall, http_client::on_reply aOnReply)
    : mState(aState)
    , mCall(std::move(aCall))
    , mOnReply(std::move(aOnReply))
    , mDeadline(std::chrono::steady_clock::now() + mCall.mTimeout)
  {
  }

  void Start()
  {
    std::optional<tcp::endpoint> endpoint = ParseAddress(mCall.mAddress);
    if (!endpoint) {
      Fail(http_failure::NotConnected, "the address is not of the form ip:port");
      return;
    }
    if (!mCall.mNewConnection) {
      mConnection = mState.TakeIdle(mCall.mAddress);
    }
    if (mConnection) {
      auto self = this->shared_from_this();
      asio::post(mConnection->mStream.get_executor(), [self] { self->Write(); });
      return;
    }
    mConnection = std::make_shared<connection>(mState.mContext);
    mConnection->mStream.expires_at(mDeadline);
    mConnection->mStream.async_connect(
      *endpoint, [self = this->shared_from_this()](beast::error_code aError) {
        if (aError) {
          self->Fail(http_failure::NotConnected, aError.message());
          return;
        }
        beast::error_code ignored;
        self->mConnection->mStream.socket().set_option(tcp::no_delay(true), ignored);
        self->Write();
      });
  }

  void Cancel()
  {
    asio::post(mConnection->mStream.get_executor(),
               [self = this->shared_from_this()] { self->mConnection->mStream.close(); });
  }

private:
  void Write()
  {
    mRequest = FormatRequest(mCall.mMethod, mCall.mTarget, mCall.mAddress, mCall.mBody);
    mConnection->mStream.expires_at(mDeadline);
    asio::async_write(mConnection->mStream,
                      asio::buffer(mRequest),
                      [self = this->shared_from_this()](beast::error_code aError, std::size_t) {
                        // A server may reply and close before it has read the whole request.
                        if (aError == beast::error::timeout) {
                          self->Fail(http_failure::TimedOut, aError.message());
                          return;
                        }
                        self->Read();
                      });
  }

  void Read()
  {
    mConnection->mStream.async_read_some(
      asio::buffer(mConnection->mReceived),
      [self = this->shared_from_this()](beast::error_code aError, std::size_t aSize) {
        if (aError == beast::error::timeout) {
          self->Fail(http_failure::TimedOut, "no complete reply before the timeout");
        } else if (aError && aError != asio::error::eof) {
          self->Fail(http_failure::ConnectionLost, aError.message());
        } else {
          self->OnRead(aError == asio::error::eof, aSize);
        }
      });
  }

  void OnRead(bool aEnded, std::size_t aSize)
  {
    http_reader& reader = mConnection->mReader;
    const http_read_status status =
      aEnded ? reader.FeedEof() : reader.Feed({ mConnection->mReceived.data(), aSize });
    if (status == http_read_status::Complete) {
      // Bytes behind the reply are the reply to no request; such a connection is not reused.
      http_message reply = reader.Take();
      HandleReply(std::move(reply), reader.Buffered() == 0);
    } else if (status == http_read_status::NeedMore) {
      Read();
    } else if (aEnded) {
      Fail(reader.Started() ? http_failure::Truncated : http_failure::ConnectionLost,
           "the connection ended before the reply was complete");
    } else {
      Fail(http_failure::ConnectionLost, reader.Error().mText);
    }
  }

  void HandleReply(http_message aReply, bool aReuse)
  {
    constexpr unsigned kNoContent = 204;
    if (aReply.Find("Content-Length") == nullptr && aReply.Find("Transfer-Encoding") == nullptr &&
        aReply.mStatus != kNoContent) {
      Fail(http_failure::Truncated, "the reply has neither a Content-Length nor a chunked body");
      return;
    }
    mReply.mStatus = static_cast<int>(aReply.mStatus);
    mReply.mBody = std::move(aReply.mBody);
    if (aReply.mKeepAlive && aReuse) {
      mConnection->mStream.expires_never();
      mState.mIdleConnections.Update(mCall.mAddress, [this](std::vector<connection_ptr>& aIdle) {
        aIdle.push_back(mConnection);
      });
    }
    mOnReply(mReply);
  }

  void Fail(http_failure aFailure, std::string aText)
  {
    if (mConnection) {
      mConnection->mStream.close();
    }
    mReply.mFailure = aFailure;
    mReply.mReason = { mCall.mMethod + " " + mCall.mTarget, mCall.mAddress, std::move(aText) };
    mOnReply(mReply);
  }

  State& mState; // outlives the handlers of mContext
  http_call mCall;
  http_client::on_reply mOnReply;
  std::chrono::steady_clock::time_point mDeadline;
  connection_ptr mConnection;
  std::string mRequest;
  http_reply mReply;
};

} // namespace

instant Now()
{
  return instant(
    std::chrono::duration_cast<micros>(std::chrono::steady_clock::now().time_since_epoch()));
}

http_client::http_client(int aThreads)
  : mState(std::make_unique<state>())
{
  mState->mWorkGuard.emplace(mState->mContext.get_executor());
  for (int i = 0; i < aThreads; ++i) {
    mState->mThreads.emplace_back([context = &mState->mContext] { context->run(); });
  }
}

http_client::~http_client()
{
  Stop();
}

void http_client::Stop()
{
  mState->mContext.stop();
  for (std::thread& each : mState->mThreads) {
    each.join();
  }
  mState->mThreads.clear();
}

http_client::cancel http_client::Send(http_call aCall, on_reply aOnReply)
{
  auto started = std::make_shared<exchange<state>>(*mState, std::move(aCall), std::move(aOnReply));
  asio::post(mState->mContext, [started] { started->Start(); });
  return [weak = std::weak_ptr(started)] {
    if (auto open = weak.lock()) {
      open->Cancel();
    }
  };
}

http_reply http_client::SendAndWait(http_call aCall)
{
  auto replyPromise = std::make_shared<std::promise<http_reply>>();
  std::future<http_reply> reply = replyPromise->get_future();
  Send(std::move(aCall),
       [replyPromise](const http_reply& aReply) { replyPromise->set_value(aReply); });
  return reply.get();
}

void http_client::RunAfter(micros aDelay, std::function<void()> aRun)
{
  auto timer = std::make_shared<asio::steady_timer>(mState->mContext, aDelay);
  timer->async_wait([timer, run = std::move(aRun)](beast::error_code aError) {
    if (!aError) {
      run();
    }
  });
}

} // namespace redwingdock
