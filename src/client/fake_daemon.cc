#include "client/fake_daemon.h"

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <list>
#include <mutex>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace redwingdock {

namespace {

std::size_t ContentLength(const std::string& aHead)
{
  static const std::string kField = "Content-Length: ";
  std::size_t at = aHead.find(kField);
  return at == std::string::npos ? 0 : std::stoul(aHead.substr(at + kField.size()));
}

// Returns the target and body of the next request, or an empty target at the end of the connection.
std::pair<std::string, std::string> ReadRequest(int aSocket)
{
  std::string text;
  std::size_t head = std::string::npos;
  while (head == std::string::npos || text.size() < head + 4 + ContentLength(text)) {
    char buffer[4096];
    ssize_t received = ::recv(aSocket, buffer, sizeof buffer, 0);
    if (received <= 0) {
      return {};
    }
    text.append(buffer, static_cast<std::size_t>(received));
    head = text.find("\r\n\r\n");
  }
  std::size_t from = text.find(' ') + 1;
  return { text.substr(from, text.find(' ', from) - from), text.substr(head + 4) };
}

// Returns a socket that listens on a free loopback port, and its address.
std::pair<int, std::string> Listen()
{
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof address;
  auto* generic = reinterpret_cast<sockaddr*>(&address);
  if (::bind(socket, generic, size) != 0 || ::listen(socket, 64) != 0 ||
      ::getsockname(socket, generic, &size) != 0) {
    throw std::runtime_error("cannot listen on a loopback port for the test server");
  }
  return { socket, "127.0.0.1:" + std::to_string(ntohs(address.sin_port)) };
}

} // namespace

struct fake_daemon::state
{
  handler mHandler;
  int mListener = -1;
  std::thread mAcceptor;
  std::mutex mLock;
  std::vector<int> mSockets;
  std::list<std::thread> mThreads;

  void Serve(int aSocket) const
  {
    while (true) {
      auto [target, body] = ReadRequest(aSocket);
      if (target.empty()) {
        return;
      }
      fake_reply reply = mHandler(target, body);
      if (reply.mAction == fake_action::Close) {
        ::shutdown(aSocket, SHUT_RDWR);
        return;
      }
      if (reply.mAction == fake_action::NoReply) {
        continue;
      }
      std::string text = "HTTP/1.1 " + std::to_string(reply.mStatus) +
                         " X\r\nContent-Length: " + std::to_string(reply.mBody.size()) +
                         "\r\n\r\n" + reply.mBody;
      bool cut = reply.mAction == fake_action::TruncateBody;
      ::send(aSocket, text.data(), text.size() - (cut ? reply.mBody.size() / 2 : 0), MSG_NOSIGNAL);
      if (cut) {
        ::shutdown(aSocket, SHUT_RDWR);
        return;
      }
    }
  }

  void Accept()
  {
    while (true) {
      int socket = ::accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket < 0) {
        return;
      }
      std::lock_guard lock(mLock);
      mSockets.push_back(socket);
      mThreads.emplace_back([this, socket] { Serve(socket); });
    }
  }
};

fake_daemon::fake_daemon(handler aHandler)
  : mState(std::make_shared<state>())
{
  mState->mHandler = std::move(aHandler);
  std::tie(mState->mListener, mAddress) = Listen();
  mState->mAcceptor = std::thread([this] { mState->Accept(); });
}

fake_daemon::~fake_daemon()
{
  ::shutdown(mState->mListener, SHUT_RDWR);
  mState->mAcceptor.join();
  for (int socket : mState->mSockets) {
    ::shutdown(socket, SHUT_RDWR);
  }
  for (std::thread& each : mState->mThreads) {
    each.join();
  }
  for (int socket : mState->mSockets) {
    ::close(socket);
  }
  ::close(mState->mListener);
}

std::string UnusedAddress()
{
  auto [socket, address] = Listen();
  ::close(socket);
  return address;
}

} // namespace redwingdock
