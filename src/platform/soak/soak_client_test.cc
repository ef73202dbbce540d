#include "platform/soak/soak_client.h"

#include "daemon/loopback_test_util.h"

#include <gtest/gtest.h>

namespace redwingdock::platform {
namespace {

using std::chrono::milliseconds;

// A server that answers each request after the time after which the clients leave.
class delayed_server
{
public:
  delayed_server(io_loop& aLoop, micros aDelay)
    : mServer(aLoop,
              mRequestIds,
              { [this, &aLoop, aDelay](std::uint64_t aId, const http_message&) {
                 aLoop.After(aDelay, [this, aId] { mServer.Reply(aId, { 200, "", "", {} }); });
               },
                nullptr,
                nullptr })
    , mAddress(mServer.ListenOn("127.0.0.1:0").mValue.value_or(""))
  {
  }

  const std::string& Address() const { return mAddress; }

private:
  request_id_source mRequestIds{ 0 };
  http_server mServer;
  const std::string mAddress;
};

TEST(soak_client, CountsNoAnswerThatArrivesAsItLeaves)
{
  // Guards against an answer to the request that a client has just dropped, which counts as one to
  // no request: it was read before the client closed its connection, and handed over afterwards.
  constexpr std::size_t kClients = 100;
  constexpr std::size_t kMinRequests = 4000;
  constexpr micros kAnswerDelay = milliseconds(2);
  const soak_client_profile leaves{ .mName = "leaves", .mLeaveAfter = kAnswerDelay };
  io_loop serverLoop(2);
  io_loop loop(4);
  delayed_server server(serverLoop, kAnswerDelay);
  std::atomic<std::size_t> sent{ 0 };
  std::atomic<std::size_t> unexpected{ 0 };
  const soak_client_hooks hooks{ [&server] {
                                  return std::optional(soak_target{ server.Address(), 0 });
                                },
                                 [&sent](std::size_t) {
                                   soak_request request;
                                   request.mRecord.mId = std::to_string(++sent);
                                   request.mRecord.mTimeout = std::chrono::seconds(1);
                                   request.mBytes = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
                                   return request;
                                 },
                                 [](const request_record&, const http_message&) { return true; },
                                 [&unexpected](const request_record& aRecord) {
                                   unexpected += aRecord.mEnd == request_end::Unexpected ? 1 : 0;
                                 } };
  std::vector<std::shared_ptr<soak_client>> clients;
  serverLoop.Start();
  loop.Start();
  for (std::size_t i = 0; i < kClients; ++i) {
    clients.push_back(std::make_shared<soak_client>(loop, leaves, hooks));
    clients.back()->Start();
  }
  EXPECT_TRUE(test_util::WaitUntil([&sent] { return sent >= kMinRequests; }));
  for (const auto& client : clients) {
    client->Stop();
  }
  loop.Stop();
  serverLoop.Stop();
  EXPECT_EQ(unexpected, 0U);
}

} // namespace
} // namespace redwingdock::platform
