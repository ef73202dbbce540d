#include "daemon/tcp.h"
#include "daemon/udp_socket.h"

#include <atomic>
#include <future>
#include <gtest/gtest.h>

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

} // namespace
} // namespace redwingdock
