#ifndef REDWINGDOCK_DAEMON_LOOPBACK_TEST_UTIL_H
#define REDWINGDOCK_DAEMON_LOOPBACK_TEST_UTIL_H

#include "core/core.h"
#include "daemon/http_server.h"
#include "daemon/tcp.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

// Test clients and servers with real sockets on the loopback interface. Every wait ends as soon as
// its condition holds, or at a deadline.
//
//   blocking_socket socket("127.0.0.1:7001");
//   socket.Send("GET / HTTP/1.1\r\n\r\n");
//   std::string reply = socket.ReadReply();

namespace redwingdock::test_util {

// Longest time that a test waits for an expected event.
inline constexpr std::chrono::seconds kDeadline{ 10 };

// A blocking TCP client whose reads and writes time out after kDeadline.
class blocking_socket
{
public:
  explicit blocking_socket(const std::string& aAddress);
  ~blocking_socket();
  blocking_socket(const blocking_socket&) = delete;
  blocking_socket& operator=(const blocking_socket&) = delete;

  bool Connected() const { return mSocket >= 0; }
  void Send(const std::string& aBytes);
  // Shuts down the sending direction.
  void EndSending();
  // Reads a reply with Content-Length; returns what has arrived when the connection ends or
  // kDeadline passes.
  std::string ReadReply();
  // Reads the next bytes; empty at the end of the connection or after kDeadline.
  std::string ReadSome();
  // Reads until the peer closes the connection or kDeadline passes.
  std::string ReadToEnd();
  // Whether the peer closed or reset the connection.
  bool Ended() const { return mEnded; }

private:
  bool ReadMore(std::string& aText);

  int mSocket = -1;
  bool mEnded = false;
};

// Binds a port of the loopback interface without listening, so that the kernel chooses it for no
// other socket that is bound to port 0 or connects. Listen() can bind the address as well; clients
// that connect after this listener has been closed are refused.
class reserved_port
{
public:
  reserved_port();
  ~reserved_port();
  reserved_port(const reserved_port&) = delete;
  reserved_port& operator=(const reserved_port&) = delete;

  // "ip:port"; empty when no port could be bound.
  const std::string& Address() const { return mAddress; }

private:
  int mSocket = -1;
  std::string mAddress;
};

// Status of the reply at the start of a text, 0 when there is none.
unsigned ParseStatus(const std::string& aText);

// Sends one request on a new connection and returns the text of the reply.
std::string SendRequest(const std::string& aAddress,
                        const std::string& aMethod,
                        const std::string& aTarget,
                        const std::string& aBody = "");

// Records facts in the order in which they were posted.
class fact_log
{
public:
  void Add(fact aFact);
  // Waits until the number of facts that the predicate accepts reaches the count.
  bool WaitFor(const std::function<bool(const fact&)>& aPredicate, std::size_t aCount = 1);
  std::vector<fact> All() const;
  void Clear();

  template<typename T>
  std::vector<T> Of() const
  {
    std::vector<T> found;
    for (const fact& each : All()) {
      if (const T* value = std::get_if<T>(&each)) {
        found.push_back(*value);
      }
    }
    return found;
  }

  template<typename T>
  bool WaitForType(std::size_t aCount = 1)
  {
    return WaitFor([](const fact& aFact) { return std::holds_alternative<T>(aFact); }, aCount);
  }

private:
  mutable std::mutex mLock;
  std::condition_variable mAdded;
  std::vector<fact> mFacts;
};

// Polls the condition every few milliseconds until it holds; false after kDeadline. For state that
// does not notify of its changes, such as a page of the daemon.
bool WaitUntil(const std::function<bool()>& aCondition);

// Calls the work after others have run on the loop, aTurns times.
void AfterTurns(io_loop& aLoop, std::size_t aTurns, std::function<void()> aWork);

// Reaction of a scripted server to a batch of received bytes.
struct scripted_reply
{
  std::string mBytes;
  bool mClose = false; // after sending the bytes
};

// A TCP server that passes each batch of received bytes to a script and sends its reply.
class scripted_server
{
public:
  using script = std::function<scripted_reply(const std::string&)>;

  scripted_server(io_loop& aLoop, script aScript, const std::string& aAddress = "127.0.0.1:0");
  const std::string& Address() const { return mAddress; }
  std::size_t Connections();

private:
  std::shared_ptr<tcp_listener> mListener;
  std::string mAddress;
  std::mutex mLock;
  std::vector<std::shared_ptr<tcp_connection>> mConnections;
};

// An HTTP server that replies to each request from a handler; nullopt leaves it unanswered.
class stub_http_server
{
public:
  using handler = std::function<std::optional<http_response>(const http_message&)>;

  stub_http_server(io_loop& aLoop, handler aHandler);
  const std::string& Address() const { return mAddress; }
  std::size_t Requests() const { return mRequests; }
  std::size_t Connections() const { return mServer.Connections(); }

private:
  request_id_source mRequestIds{ 0 };
  std::atomic<std::size_t> mRequests{ 0 };
  http_server mServer;
  std::string mAddress;
};

} // namespace redwingdock::test_util

#endif
