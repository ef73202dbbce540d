#include "daemon/udp_socket.h"

#include "daemon/endpoint.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <mutex>
#include <utility>

namespace redwingdock {

namespace asio = boost::asio;
using udp = asio::ip::udp;
using error_code = boost::system::error_code;

namespace {

// Larger than any heartbeat. A larger datagram is truncated and then fails to parse.
constexpr std::size_t kMaxDatagramBytes = std::size_t{ 16 } * 1024;

} // namespace

namespace detail {

struct udp_socket_state : std::enable_shared_from_this<udp_socket_state>
{
  udp_socket_state(asio::io_context& aContext, udp_socket::receive_hook aOnReceive)
    : mSocket(aContext)
    , mOnReceive(std::move(aOnReceive))
  {
  }

  void Receive()
  {
    const std::lock_guard lock(mLock);
    if (!mSocket.is_open()) {
      return;
    }
    mSocket.async_receive_from(
      asio::buffer(mBuffer),
      mSender,
      [self = shared_from_this()](const error_code& aError, std::size_t aSize) {
        if (aError == asio::error::operation_aborted) {
          return;
        }
        // Other errors, such as "connection refused", concern an earlier send; keep receiving.
        if (!aError) {
          try {
            self->mOnReceive(std::string_view(self->mBuffer.data(), aSize));
          } catch (const std::exception&) {
            self->Receive();
            throw;
          }
        }
        self->Receive();
      });
  }

  std::mutex mLock;
  udp::socket mSocket;
  udp::endpoint mSender;
  std::array<char, kMaxDatagramBytes> mBuffer{};
  udp_socket::receive_hook mOnReceive;
};

} // namespace detail

udp_socket::udp_socket(io_loop& aLoop, receive_hook aOnReceive)
  : mState(
      std::make_shared<detail::udp_socket_state>(detail::ContextOf(aLoop), std::move(aOnReceive)))
{
}

udp_socket::~udp_socket()
{
  const std::lock_guard lock(mState->mLock);
  error_code ignored;
  mState->mSocket.close(ignored);
}

result<std::string> udp_socket::Open(const std::string& aAddress)
{
  const std::optional<detail::endpoint> endpoint = detail::ParseEndpoint(aAddress);
  if (!endpoint) {
    return Failure<std::string>("listen", aAddress, "not an address of the form ip:port");
  }
  error_code error;
  const udp::endpoint requested(endpoint->mAddress, endpoint->mPort);
  mState->mSocket.open(requested.protocol(), error);
  if (!error) {
    mState->mSocket.bind(requested, error);
  }
  if (!error) {
    mState->mSocket.non_blocking(true, error);
  }
  if (error) {
    return Failure<std::string>("listen", aAddress, error.message());
  }
  const udp::endpoint bound = mState->mSocket.local_endpoint(error);
  mState->Receive();
  return Success(bound.address().to_string() + ":" + std::to_string(bound.port()));
}

bool udp_socket::Send(const std::string& aAddress, const std::string& aBytes)
{
  const std::optional<detail::endpoint> endpoint = detail::ParseEndpoint(aAddress);
  if (!endpoint) {
    return false;
  }
  const std::lock_guard lock(mState->mLock);
  error_code error;
  mState->mSocket.send_to(
    asio::buffer(aBytes), udp::endpoint(endpoint->mAddress, endpoint->mPort), 0, error);
  return !error;
}

} // namespace redwingdock
