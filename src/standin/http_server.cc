#include "standin/http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <sstream>

namespace redwingdock::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::uint64_t kMaxBodyBytes = 4ULL << 20U;

std::uint64_t NextConnection()
{
  static std::uint64_t last = 0;
  return ++last;
}

// Parses "ip:port", with an IPv6 address in brackets.
std::optional<tcp::endpoint> ParseEndpoint(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  std::string host = aAddress.substr(0, colon);
  if (host.size() > 2 && host.front() == '[') {
    host = host.substr(1, host.size() - 2);
  }
  boost::system::error_code error;
  const auto address = asio::ip::make_address(host, error);
  const long port = std::strtol(aAddress.c_str() + colon + 1, nullptr, 10);
  if (error || port < 1 || port > 65535) {
    return std::nullopt;
  }
  return tcp::endpoint(address, static_cast<unsigned short>(port));
}

} // namespace

namespace detail {

class http_connection : public std::enable_shared_from_this<http_connection>
{
public:
  http_connection(tcp::socket aSocket,
                  std::function<void(const http_request&)> aRequest,
                  std::function<void()> aClosed)
    : mSocket(std::move(aSocket))
    , mTimer(mSocket.get_executor())
    , mOnRequest(std::move(aRequest))
    , mOnClosed(std::move(aClosed))
  {
    boost::system::error_code ignored;
    mSocket.set_option(tcp::no_delay(true), ignored);
  }

  void Serve(micros aDelay)
  {
    if (aDelay <= micros(0)) {
      Read();
      return;
    }
    mTimer.expires_after(aDelay);
    mTimer.async_wait([self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError) {
        self->Read();
      }
    });
  }

  void Reply(http_reply aReply)
  {
    if (mClosed) {
      return;
    }
    mReplyPending = false;
    mResponse = {};
    mResponse.version(11);
    mResponse.result(aReply.mStatus);
    mResponse.keep_alive(true);
    mResponse.set(http::field::content_type, aReply.mContentType);
    for (const auto& [name, value] : aReply.mHeaders) {
      mResponse.set(name, value);
    }
    mResponse.body() = std::move(aReply.mBody);
    mResponse.prepare_payload();
    if (aReply.mStatus == 204) {
      mResponse.content_length(boost::none); // RFC 9110, section 8.6
    }
    if (aReply.mTruncated) {
      WriteTruncated();
      return;
    }
    http::async_write(
      mSocket,
      mResponse,
      [self = shared_from_this()](const boost::system::error_code& aError, std::size_t /*aBytes*/) {
        if (aError) {
          self->HandleClose();
        } else {
          self->Read();
        }
      });
  }

  void Drop()
  {
    mClosed = true;
    mTimer.cancel();
    boost::system::error_code ignored;
    // Linger 0 sends a reset, which the peer cannot mistake for an orderly close.
    mSocket.set_option(asio::socket_base::linger(true, 0), ignored);
    mSocket.close(ignored);
  }

private:
  void Read()
  {
    if (mClosed) {
      return;
    }
    mParser.emplace();
    mParser->body_limit(kMaxBodyBytes);
    http::async_read(
      mSocket,
      mBuffer,
      *mParser,
      [self = shared_from_this()](const boost::system::error_code& aError, std::size_t /*aBytes*/) {
        if (aError) {
          self->HandleClose();
          return;
        }
        const auto& message = self->mParser->get();
        ++self->mRequestNumber;
        self->mReplyPending = true;
        self->WatchForClose();
        self->mOnRequest(
          { std::string(message.method_string()), std::string(message.target()), message.body() });
      });
  }

  // Detects that the peer closes the connection while its request is in service. The wait also ends
  // when the next request arrives; Read may have consumed its bytes by then, which the
  // request number shows.
  void WatchForClose()
  {
    mSocket.async_wait(tcp::socket::wait_read,
                       [self = shared_from_this(),
                        request = mRequestNumber](const boost::system::error_code& aError) {
                         boost::system::error_code error;
                         if (!aError && self->mReplyPending && self->mRequestNumber == request &&
                             self->mSocket.available(error) == 0) {
                           self->HandleClose();
                         }
                       });
  }

  void WriteTruncated()
  {
    std::ostringstream text;
    text << mResponse;
    mTruncatedResponse = text.str();
    mTruncatedResponse.resize(mTruncatedResponse.size() - mResponse.body().size() / 2);
    asio::async_write(mSocket,
                      asio::buffer(mTruncatedResponse),
                      [self = shared_from_this()](const boost::system::error_code& /*aError*/,
                                                  std::size_t /*aBytes*/) {
                        if (!self->mClosed) {
                          boost::system::error_code ignored;
                          self->mSocket.shutdown(tcp::socket::shutdown_both, ignored);
                          self->HandleClose();
                        }
                      });
  }

  void HandleClose()
  {
    if (!mClosed) {
      mClosed = true;
      mTimer.cancel();
      boost::system::error_code ignored;
      mSocket.close(ignored);
      mOnClosed();
    }
  }

  tcp::socket mSocket;
  asio::steady_timer mTimer;
  std::function<void(const http_request&)> mOnRequest;
  std::function<void()> mOnClosed;
  boost::beast::flat_buffer mBuffer;
  std::optional<http::request_parser<http::string_body>> mParser;
  http::response<http::string_body> mResponse;
  std::string mTruncatedResponse;
  std::uint64_t mRequestNumber = 0; // of the last request
  bool mReplyPending = false;       // for the last request
  bool mClosed = false;
};

} // namespace detail

struct http_server::listener : std::enable_shared_from_this<listener>
{
  listener(asio::io_context& aIo, std::string aAddress, http_hooks aHooks)
    : mAcceptor(aIo)
    , mRetryTimer(aIo)
    , mAddress(std::move(aAddress))
    , mHooks(std::move(aHooks))
  {
  }

  result<bool> Listen()
  {
    const auto endpoint = ParseEndpoint(mAddress);
    if (!endpoint) {
      return Failure<bool>("listen", mAddress, "the address must have the form \"ip:port\"");
    }
    boost::system::error_code error;
    mAcceptor.open(endpoint->protocol(), error);
    if (!error) {
      mAcceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
      mAcceptor.bind(*endpoint, error);
    }
    if (!error) {
      mAcceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      boost::system::error_code ignored;
      mAcceptor.close(ignored);
      return Failure<bool>("listen", mAddress, error.message());
    }
    Accept();
    return Success(true);
  }

  void Accept()
  {
    mAcceptor.async_accept(
      [self = shared_from_this()](const boost::system::error_code& aError, tcp::socket aSocket) {
        if (aError == asio::error::operation_aborted || !self->mAcceptor.is_open()) {
          return;
        }
        if (aError) {
          self->RetryAccept();
          return;
        }
        self->AddConnection(std::move(aSocket));
        if (self->mAcceptor.is_open()) {
          self->Accept();
        }
      });
  }

  // Retries after 100 ms. While the process has no free file descriptor, accept fails immediately,
  // and retrying without a delay would be a busy loop.
  void RetryAccept()
  {
    mRetryTimer.expires_after(std::chrono::milliseconds(100));
    mRetryTimer.async_wait([self = shared_from_this()](const boost::system::error_code& aError) {
      if (!aError && self->mAcceptor.is_open()) {
        self->Accept();
      }
    });
  }

  void AddConnection(tcp::socket aSocket)
  {
    const std::uint64_t number = NextConnection();
    const std::weak_ptr<listener> weak = weak_from_this();
    mConnections[number] = std::make_shared<detail::http_connection>(
      std::move(aSocket),
      [weak, number](const http_request& aRequest) {
        if (const auto self = weak.lock()) {
          self->mHooks.mOnRequest(number, aRequest);
        }
      },
      [weak, number] {
        if (const auto self = weak.lock()) {
          self->mConnections.erase(number);
          self->mHooks.mOnClosed(number);
        }
      });
    mHooks.mOnOpened(number);
  }

  void Close()
  {
    boost::system::error_code ignored;
    mAcceptor.close(ignored);
    mRetryTimer.cancel();
    for (const auto& [number, connection] : std::exchange(mConnections, {})) {
      connection->Drop();
    }
  }

  std::shared_ptr<detail::http_connection> Find(std::uint64_t aConnection) const
  {
    const auto found = mConnections.find(aConnection);
    return found == mConnections.end() ? nullptr : found->second;
  }

  tcp::acceptor mAcceptor;
  asio::steady_timer mRetryTimer;
  std::string mAddress;
  http_hooks mHooks;
  std::map<std::uint64_t, std::shared_ptr<detail::http_connection>> mConnections;
};

http_server::http_server(asio::io_context& aIo, std::string aAddress, http_hooks aHooks)
  : mListener(std::make_shared<listener>(aIo, std::move(aAddress), std::move(aHooks)))
{
}

http_server::~http_server()
{
  Close();
}

result<bool> http_server::Listen()
{
  return mListener->Listen();
}

void http_server::Close()
{
  mListener->Close();
}

void http_server::Serve(std::uint64_t aConnection, micros aDelay)
{
  if (const auto connection = mListener->Find(aConnection)) {
    connection->Serve(aDelay);
  }
}

void http_server::Reply(std::uint64_t aConnection, http_reply aReply)
{
  if (const auto connection = mListener->Find(aConnection)) {
    connection->Reply(std::move(aReply));
  }
}

void http_server::Drop(std::uint64_t aConnection)
{
  if (const auto connection = mListener->Find(aConnection)) {
    mListener->mConnections.erase(aConnection);
    connection->Drop();
  }
}

} // namespace redwingdock::standin
