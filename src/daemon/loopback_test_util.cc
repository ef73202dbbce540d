#include "daemon/loopback_test_util.h"

#include <arpa/inet.h>
#include <array>
#include <cstdlib>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <utility>

namespace redwingdock::test_util {

namespace {

constexpr std::chrono::milliseconds kPollInterval{ 5 };

} // namespace

blocking_socket::blocking_socket(const std::string& aAddress)
{
  const std::size_t colon = aAddress.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::strtoul(aAddress.c_str() + colon + 1, nullptr, 10)));
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
  mSocket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{ kDeadline.count(), 0 };
  ::setsockopt(mSocket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
  ::setsockopt(mSocket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  if (::connect(mSocket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(mSocket);
    mSocket = -1;
  }
}

blocking_socket::~blocking_socket()
{
  if (mSocket >= 0) {
    ::close(mSocket);
  }
}

void blocking_socket::Send(const std::string& aBytes)
{
  std::size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t size = ::send(mSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (size <= 0) {
      return; // the peer may close the connection before it has read everything
    }
    sent += static_cast<std::size_t>(size);
  }
}

void blocking_socket::EndSending()
{
  ::shutdown(mSocket, SHUT_WR);
}

bool blocking_socket::ReadMore(std::string& aText)
{
  std::array<char, 16384> buffer{};
  const ssize_t size = ::recv(mSocket, buffer.data(), buffer.size(), 0);
  if (size <= 0) {
    mEnded = size == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    return false;
  }
  aText.append(buffer.data(), static_cast<std::size_t>(size));
  return true;
}

std::string blocking_socket::ReadReply()
{
  std::string text;
  do {
    const std::size_t head = text.find("\r\n\r\n");
    if (head == std::string::npos) {
      continue;
    }
    const std::size_t length = text.find("Content-Length: ");
    const std::size_t body =
      length < head ? std::strtoul(text.c_str() + length + 16, nullptr, 10) : 0;
    if (text.size() >= head + 4 + body) {
      return text;
    }
  } while (ReadMore(text));
  return text;
}

std::string blocking_socket::ReadSome()
{
  std::string text;
  ReadMore(text);
  return text;
}

std::string blocking_socket::ReadToEnd()
{
  std::string text;
  while (ReadMore(text)) {
  }
  return text;
}

reserved_port::reserved_port()
  : mSocket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
  // Two sockets can be bound to a port if both set this option and at most one of them listens.
  const int reuse = 1;
  ::setsockopt(mSocket, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  if (::bind(mSocket, reinterpret_cast<const sockaddr*>(&address), size) == 0 &&
      ::getsockname(mSocket, reinterpret_cast<sockaddr*>(&address), &size) == 0) {
    mAddress = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
  }
}

reserved_port::~reserved_port()
{
  ::close(mSocket);
}

unsigned ParseStatus(const std::string& aText)
{
  const std::string start = "HTTP/1.1 ";
  return aText.compare(0, start.size(), start) == 0
           ? static_cast<unsigned>(std::strtoul(aText.c_str() + start.size(), nullptr, 10))
           : 0;
}

std::string SendRequest(const std::string& aAddress,
                        const std::string& aMethod,
                        const std::string& aTarget,
                        const std::string& aBody)
{
  blocking_socket socket(aAddress);
  socket.Send(FormatRequest(aMethod, aTarget, aAddress, aBody));
  return socket.ReadReply();
}

void fact_log::Add(fact aFact)
{
  {
    const std::lock_guard lock(mLock);
    mFacts.push_back(std::move(aFact));
  }
  mAdded.notify_all();
}

bool fact_log::WaitFor(const std::function<bool(const fact&)>& aPredicate, std::size_t aCount)
{
  std::unique_lock lock(mLock);
  return mAdded.wait_for(lock, kDeadline, [&] {
    std::size_t count = 0;
    for (const fact& each : mFacts) {
      count += aPredicate(each) ? 1 : 0;
    }
    return count >= aCount;
  });
}

std::vector<fact> fact_log::All() const
{
  const std::lock_guard lock(mLock);
  return mFacts;
}

void fact_log::Clear()
{
  const std::lock_guard lock(mLock);
  mFacts.clear();
}

bool WaitUntil(const std::function<bool()>& aCondition)
{
  std::mutex lock;
  std::condition_variable never;
  std::unique_lock held(lock);
  const auto end = std::chrono::steady_clock::now() + kDeadline;
  while (std::chrono::steady_clock::now() < end) {
    if (never.wait_for(held, kPollInterval, aCondition)) {
      return true;
    }
  }
  return false;
}

void AfterTurns(io_loop& aLoop, std::size_t aTurns, std::function<void()> aWork)
{
  if (aTurns == 0) {
    aWork();
    return;
  }
  aLoop.Post([&aLoop, aTurns, work = std::move(aWork)]() mutable {
    AfterTurns(aLoop, aTurns - 1, std::move(work));
  });
}

scripted_server::scripted_server(io_loop& aLoop, script aScript, const std::string& aAddress)
{
  auto listener = Listen(
    aLoop, aAddress, [this, run = std::move(aScript)](const std::shared_ptr<tcp_connection>& aNew) {
      {
        const std::lock_guard lock(mLock);
        mConnections.push_back(aNew);
      }
      const std::weak_ptr<tcp_connection> connection = aNew;
      tcp_hooks hooks;
      hooks.mOnBytes = [run, connection](std::string_view aBytes) {
        const auto open = connection.lock();
        if (!open) {
          return;
        }
        scripted_reply reply = run(std::string(aBytes));
        open->Send(std::move(reply.mBytes));
        if (reply.mClose) {
          open->CloseAfterSend("closed by the script");
        }
      };
      aNew->Start(std::move(hooks));
    });
  mListener = listener ? *listener : nullptr;
  mAddress = mListener ? mListener->Address() : std::string();
}

std::size_t scripted_server::Connections()
{
  const std::lock_guard lock(mLock);
  return mConnections.size();
}

stub_http_server::stub_http_server(io_loop& aLoop, handler aHandler)
  : mServer(aLoop,
            mRequestIds,
            { [this, handle = std::move(aHandler)](std::uint64_t aRequestId,
                                                   const http_message& aRequest) {
               ++mRequests;
               if (const std::optional<http_response> reply = handle(aRequest)) {
                 mServer.Reply(aRequestId, *reply);
               }
             },
              nullptr,
              nullptr })
  , mAddress(mServer.ListenOn("127.0.0.1:0").mValue.value_or(""))
{
}

} // namespace redwingdock::test_util
