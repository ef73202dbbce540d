#include "daemon/tcp.h"

#include "daemon/loopback_test_util.h"
#include "daemon/udp_socket.h"

#include <atomic>
#include <future>
#include <gtest/gtest.h>
#include <utility>

namespace redwingdock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Runs work on a loop whose first call throws. Returns whether a later call was made.
using scenario = std::function<bool(io_loop&)>;

void ThrowOnce(std::atomic<int>& aCalls)
{
  if (aCalls++ == 0) {
    throw std::runtime_error("unexpected");
  }
}

// Calls the probe every 20 ms for up to 2 s, until it returns true.
bool Eventually(io_loop& aLoop, const std::function<bool()>& aProbe)
{
  for (const instant latest = SteadyNow() + seconds(2); SteadyNow() < latest;) {
    if (aProbe()) {
      return true;
    }
    std::promise<void> elapsed;
    aLoop.After(milliseconds(20), [&elapsed] { elapsed.set_value(); });
    elapsed.get_future().wait();
  }
  return false;
}

bool AcceptsAfterAnError(io_loop& aLoop,
                         const std::function<void(tcp_hooks&, std::atomic<int>&)>& aSet)
{
  std::atomic<int> calls{ 0 };
  std::mutex lock;
  std::vector<std::shared_ptr<tcp_connection>> kept;
  const auto listener =
    Listen(aLoop, "127.0.0.1:0", [&](const std::shared_ptr<tcp_connection>& aConnection) {
      {
        const std::lock_guard guard(lock);
        kept.push_back(aConnection);
      }
      tcp_hooks hooks;
      aSet(hooks, calls);
      aConnection->Start(std::move(hooks));
    });
  const bool called = Eventually(aLoop, [&] {
    auto client = Connect(aLoop, (*listener)->Address(), seconds(1), {});
    client->Send("x");
    const std::lock_guard guard(lock);
    kept.push_back(std::move(client));
    return calls > 1;
  });
  aLoop.Stop();
  return called;
}

struct error_row
{
  const char* mGuardsAgainst;
  scenario mScenario;
};

class error_test : public testing::TestWithParam<error_row>
{};

TEST_P(error_test, DoesNotEndTheProcess)
{
  std::atomic<int> errors{ 0 };
  io_loop loop(2);
  loop.OnUnexpectedError([&errors](const std::string&) { ++errors; });
  loop.Start();
  EXPECT_TRUE(GetParam().mScenario(loop)) << GetParam().mGuardsAgainst;
  EXPECT_EQ(errors, 1) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  error_test,
  testing::Values(
    error_row{ "an error in posted work ends the process",
               [](io_loop& aLoop) {
                 std::atomic<int> calls{ 0 };
                 return Eventually(aLoop, [&] {
                   aLoop.Post([&calls] { ThrowOnce(calls); });
                   return calls > 1;
                 });
               } },
    error_row{ "an error in the bytes of one connection ends the process",
               [](io_loop& aLoop) {
                 return AcceptsAfterAnError(aLoop, [](tcp_hooks& aHooks, std::atomic<int>& aCalls) {
                   aHooks.mOnBytes = [&aCalls](std::string_view) { ThrowOnce(aCalls); };
                 });
               } },
    error_row{ "an error in one accepted connection ends the listener",
               [](io_loop& aLoop) {
                 return AcceptsAfterAnError(
                   aLoop, [](tcp_hooks&, std::atomic<int>& aCalls) { ThrowOnce(aCalls); });
               } },
    error_row{ "an error in one datagram ends the socket", [](io_loop& aLoop) {
                std::atomic<int> calls{ 0 };
                udp_socket socket(aLoop, [&calls](std::string_view) { ThrowOnce(calls); });
                const result<std::string> address = socket.Open("127.0.0.1:0");
                const bool called = Eventually(aLoop, [&] {
                  socket.Send(*address, "x");
                  return calls > 1;
                });
                aLoop.Stop();
                return called;
              } }));

struct paused_row
{
  const char* mGuardsAgainst;
  std::function<void(tcp_connection&)> mEndPause;
  std::size_t mBytes; // that arrive after the pause
};

class paused_test : public testing::TestWithParam<paused_row>
{};

TEST_P(paused_test, ReadsNothingUntilThePauseEnds)
{
  const paused_row& row = GetParam();
  constexpr std::size_t kSent = 3;
  std::atomic<std::size_t> received{ 0 };
  std::atomic<bool> closed{ false };
  std::promise<std::shared_ptr<tcp_connection>> accepted;
  io_loop loop(2);
  const auto listener =
    Listen(loop, "127.0.0.1:0", [&](const std::shared_ptr<tcp_connection>& aConnection) {
      aConnection->PauseReading();
      tcp_hooks hooks;
      hooks.mOnBytes = [&received](std::string_view aBytes) { received += aBytes.size(); };
      hooks.mOnClosed = [&closed](const tcp_close_info&) { closed = true; };
      aConnection->Start(std::move(hooks));
      accepted.set_value(aConnection);
    });
  loop.Start();
  const auto client = Connect(loop, (*listener)->Address(), seconds(1), {});
  client->Send(std::string(kSent, 'x'));
  const std::shared_ptr<tcp_connection> server = accepted.get_future().get();
  std::promise<void> elapsed;
  loop.After(milliseconds(100), [&elapsed] { elapsed.set_value(); });
  elapsed.get_future().wait();
  EXPECT_EQ(received, 0U) << row.mGuardsAgainst;
  row.mEndPause(*server);
  EXPECT_TRUE(Eventually(loop, [&] { return received == row.mBytes; })) << row.mGuardsAgainst;
  client->Close("test done");
  EXPECT_TRUE(Eventually(loop, [&closed] { return closed.load(); })) << row.mGuardsAgainst;
  loop.Stop();
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  paused_test,
  testing::Values(paused_row{ "bytes that arrived during the pause are lost",
                              [](tcp_connection& aConnection) { aConnection.ResumeReading(); },
                              3 },
                  paused_row{
                    "the end of the peer is never read, and the connection stays open",
                    [](tcp_connection& aConnection) { aConnection.CloseAfterSend("done"); },
                    0 }));

// Answers one byte on each connection until it is stopped.
class byte_server
{
public:
  explicit byte_server(io_loop& aLoop)
    : mListener(
        *Listen(aLoop, mPort.Address(), [this](const std::shared_ptr<tcp_connection>& aConnection) {
          tcp_hooks hooks;
          hooks.mOnBytes = [weak = std::weak_ptr(aConnection)](std::string_view) {
            if (const auto connection = weak.lock()) {
              connection->Send("x");
            }
          };
          {
            const std::lock_guard lock(mLock);
            mAccepted.push_back(aConnection);
          }
          aConnection->Start(std::move(hooks));
        }))
  {
  }

  std::string Address() const { return mListener->Address(); }
  void Stop() { mListener->AcceptPendingAndStop(); }

private:
  // Clients whose SYN was dropped as the listener closed repeat it a second later. Without the
  // reservation, another process may listen on the port by then, and leave them unanswered.
  const test_util::reserved_port mPort;
  std::mutex mLock;
  std::vector<std::shared_ptr<tcp_connection>> mAccepted;
  std::shared_ptr<tcp_listener> mListener;
};

// Connects again and again until it is refused. Counts itself when it has been answered, and
// returns the number of connections without an answer.
int ConnectUntilRefused(const std::string& aAddress, std::atomic<int>& aAnswered)
{
  bool answered = false;
  int unanswered = 0;
  for (bool connected = true; connected;) {
    test_util::blocking_socket socket(aAddress);
    connected = socket.Connected();
    if (connected) {
      socket.Send("a");
      const bool complete = !socket.ReadSome().empty();
      unanswered += complete ? 0 : 1;
      aAnswered += complete && !std::exchange(answered, true) ? 1 : 0;
    }
  }
  return unanswered;
}

// How much of its bytes the peer of a connection reads.
struct sent_row
{
  const char* mGuardsAgainst;
  bool mReadsAll;
  std::size_t mMaxHeldPart; // of the bytes, as a divisor
};

class sent_test : public testing::TestWithParam<sent_row>
{};

TEST_P(sent_test, GivesBackTheMemoryOfSentBytes)
{
  // More than the kernel's buffers take from a connection whose peer does not read.
  constexpr std::size_t kBytes = 32'000'000;
  const sent_row& row = GetParam();
  io_loop loop(1);
  std::promise<std::shared_ptr<tcp_connection>> accepted;
  std::atomic<bool> sent{ false };
  const auto listener =
    Listen(loop, "127.0.0.1:0", [&](const std::shared_ptr<tcp_connection>& aConnection) {
      tcp_hooks hooks;
      hooks.mOnSent = [&sent] { sent = true; };
      aConnection->Start(std::move(hooks));
      accepted.set_value(aConnection);
    });
  loop.Start();
  std::atomic<std::size_t> received{ 0 };
  std::shared_ptr<tcp_connection> client;
  tcp_hooks hooks;
  hooks.mOnBytes = [&](std::string_view aBytes) {
    received += aBytes.size();
    if (!row.mReadsAll && received > kBytes * 3 / 4) {
      client->PauseReading();
    }
  };
  client = Connect(loop, (*listener)->Address(), seconds(1), std::move(hooks));
  const std::shared_ptr<tcp_connection> server = accepted.get_future().get();
  server->Send(std::string(kBytes, 'x'));
  EXPECT_TRUE(Eventually(
    loop,
    [&] { return server->HeldBytes() <= kBytes / row.mMaxHeldPart && received > kBytes * 3 / 4; }))
    << row.mGuardsAgainst << ": " << server->HeldBytes();
  EXPECT_TRUE(Eventually(loop, [&] { return sent == row.mReadsAll; }));
  loop.Stop();
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  sent_test,
  testing::Values(
    sent_row{ "a kept connection keeps the memory of its longest reply", true, 100'000 },
    sent_row{ "bytes that were sent stay until the last one is", false, 2 }));

TEST(tcp_listener, AnswersEachConnectionThatTheKernelEstablished)
{
  // Guards against connections that are reset, with a request sent, as the listener is closed.
  constexpr int kListeners = 60;
  constexpr int kClients = 3;
  io_loop loop(2);
  std::vector<std::unique_ptr<byte_server>> servers;
  std::vector<std::future<int>> clients;
  std::atomic<int> answered{ 0 };
  loop.Start();
  for (int i = 1; i <= kListeners; ++i) {
    servers.push_back(std::make_unique<byte_server>(loop));
    for (int j = 0; j < kClients; ++j) {
      clients.push_back(
        std::async(std::launch::async, [&answered, address = servers.back()->Address()] {
          return ConnectUntilRefused(address, answered);
        }));
    }
    EXPECT_TRUE(test_util::WaitUntil([&answered, i] { return answered == i * kClients; }));
    servers.back()->Stop();
  }
  int unanswered = 0;
  for (std::future<int>& each : clients) {
    unanswered += each.get();
  }
  EXPECT_EQ(unanswered, 0);
  loop.Stop();
}

} // namespace
} // namespace redwingdock
