#include "daemon/http_server.h"

#include "daemon/loopback_test_util.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <gtest/gtest.h>

namespace redwingdock {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using test_util::AfterTurns;
using test_util::blocking_socket;
using test_util::WaitUntil;

// Answers each request with the length of its body; one to "/held" waits for ReplyToHeld.
class counting_server
{
public:
  counting_server(io_loop& aLoop, const http_limits& aLimits)
    : mServer(aLoop,
              mRequestIds,
              { [this](std::uint64_t aId, const http_message& aRequest) { Handle(aId, aRequest); },
                [this](std::uint64_t) { ++mDisconnected; },
                [this](std::uint64_t) { ++mTimedOut; } },
              aLimits)
    , mAddress(mServer.ListenOn("127.0.0.1:0").mValue.value_or(""))
  {
  }

  http_server& Server() { return mServer; }
  const std::string& Address() const { return mAddress; }
  std::size_t Disconnected() const { return mDisconnected; }
  std::size_t TimedOut() const { return mTimedOut; }
  bool HasHeld() const { return mHeld != 0; }
  void ReplyToHeld() { mServer.Reply(mHeld, { 200, "", "held", {} }); }

private:
  void Handle(std::uint64_t aId, const http_message& aRequest)
  {
    if (aRequest.mTarget == "/held") {
      mHeld = aId;
    } else {
      mServer.Reply(aId, { 200, "", std::to_string(aRequest.mBody.size()), {} });
    }
  }

  request_id_source mRequestIds{ 0 };
  std::atomic<std::size_t> mDisconnected{ 0 };
  std::atomic<std::size_t> mTimedOut{ 0 };
  std::atomic<std::uint64_t> mHeld{ 0 };
  http_server mServer;
  const std::string mAddress;
};

http_limits LimitsWithBody(std::size_t aBody)
{
  http_limits limits;
  limits.mRead.mBody = aBody;
  return limits;
}

std::string Post(std::size_t aBody, const std::string& aTarget = "/")
{
  return FormatRequest("POST", aTarget, "h", std::string(aBody, 'x'));
}

// The last request of a connection.
std::string PostAndClose(std::size_t aBody)
{
  return FormatRequest(
    { "POST", "/", 0, { { "Host", "h" }, { "Connection", "close" } }, std::string(aBody, 'x') });
}

// A GET request with a header of that many bytes and some more.
std::string GetWithHeader(std::size_t aBytes)
{
  return FormatRequest(
    { "GET", "/", 0, { { "Host", "h" }, { "Filler", std::string(aBytes, 'x') } }, "" });
}

// Gives the loop time for what must not happen.
void WaitFor(io_loop& aLoop, micros aTime)
{
  std::promise<void> elapsed;
  aLoop.After(aTime, [&elapsed] { elapsed.set_value(); });
  elapsed.get_future().wait();
}

std::vector<unsigned> Statuses(const std::string& aReplies)
{
  const std::string start = "HTTP/1.1 ";
  std::vector<unsigned> all;
  for (std::size_t at = aReplies.find(start); at != std::string::npos;
       at = aReplies.find(start, at + 1)) {
    all.push_back(test_util::ParseStatus(aReplies.substr(at)));
  }
  return all;
}

std::string Repeated(const std::string& aText, std::size_t aTimes)
{
  std::string all;
  for (std::size_t i = 0; i < aTimes; ++i) {
    all += aText;
  }
  return all;
}

constexpr std::size_t kBodyLimit = 400'000;

struct pipelined_row
{
  const char* mGuardsAgainst;
  std::string mBehindHeld; // sent while the first request is open
  std::size_t mAnswered;   // requests with status 200, the first one included
  unsigned mLastStatus;
};

class pipelined_test : public testing::TestWithParam<pipelined_row>
{};

TEST_P(pipelined_test, AnswersWhatFollowsAnOpenRequest)
{
  const pipelined_row& row = GetParam();
  io_loop loop(2);
  counting_server server(loop, LimitsWithBody(kBodyLimit));
  loop.Start();
  blocking_socket client(server.Address());
  client.Send(Post(0, "/held"));
  ASSERT_TRUE(WaitUntil([&server] { return server.HasHeld(); }));
  client.Send(row.mBehindHeld);
  WaitFor(loop, milliseconds(50));
  EXPECT_EQ(server.Disconnected(), 0U) << row.mGuardsAgainst;
  server.ReplyToHeld();
  const std::vector<unsigned> statuses = Statuses(client.ReadToEnd());
  EXPECT_EQ(std::count(statuses.begin(), statuses.end(), 200U), row.mAnswered)
    << row.mGuardsAgainst;
  EXPECT_EQ(statuses.empty() ? 0U : statuses.back(), row.mLastStatus) << row.mGuardsAgainst;
  loop.Stop();
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  pipelined_test,
  testing::Values(pipelined_row{ "a large request behind an open one closes their connection",
                                 Post(10) + PostAndClose(300'000),
                                 3,
                                 200 },
                  pipelined_row{ "many small requests behind an open one close their connection",
                                 Repeated(Post(10), 4000) + PostAndClose(0),
                                 4002,
                                 200 },
                  pipelined_row{ "a pause lifts the limit on the body of the next request",
                                 Post(10) + Post(kBodyLimit + 1),
                                 2,
                                 413 },
                  pipelined_row{ "a pause lifts the limit on the header of the next request",
                                 Post(10) + GetWithHeader(200'000),
                                 2,
                                 431 }));

TEST(http_server, ReplacesAndReportsAnInvalidReply)
{
  // Guards against a reply that breaks the connection of its client, or is replaced unreported.
  io_loop loop(1);
  request_id_source ids{ 0 };
  std::promise<std::string> reported;
  std::unique_ptr<http_server> server;
  server = std::make_unique<http_server>(
    loop,
    ids,
    http_server_hooks{
      [&server](std::uint64_t aId, const http_message& aRequest) {
        server->Reply(aId, { aRequest.mTarget == "/invalid" ? 0U : 200U, "", "ok", {} });
      },
      nullptr,
      nullptr,
      [](const http_message& aRequest) { return aRequest.mTarget; },
      [&reported](const std::string& aName, const std::string& aText) {
        reported.set_value(aName + ": " + aText);
      } });
  const result<std::string> address = server->ListenOn("127.0.0.1:0");
  loop.Start();
  blocking_socket client(*address);
  client.Send("GET /invalid HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ(client.ReadReply(), "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(reported.get_future().get(), "/invalid: status 0 is not between 200 and 599");
  client.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ(client.ReadReply(), "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  loop.Stop();
}

TEST(http_server, PausesAClientThatPipelinesWithoutLimit)
{
  // Guards against memory that grows with what a client sends behind an open request.
  constexpr std::size_t kMoreThanTheKernelBuffers = std::size_t{ 64 } * 1024 * 1024;
  io_loop loop(2);
  counting_server server(loop, LimitsWithBody(kBodyLimit));
  loop.Start();
  const auto client = Connect(loop, server.Address(), seconds(1), {});
  client->Send(Post(0, "/held") + Post(0) + std::string(kMoreThanTheKernelBuffers, 'x'));
  ASSERT_TRUE(WaitUntil([&server] { return server.HasHeld(); }));
  WaitFor(loop, milliseconds(200));
  EXPECT_GT(client->UnsentBytes(), kMoreThanTheKernelBuffers / 2);
  EXPECT_EQ(server.Disconnected(), 0U);
  loop.Stop();
}

struct limits_row
{
  const char* mGuardsAgainst;
  std::size_t mLimitBefore; // on the body
  std::size_t mLimitAfter;
  std::size_t mBytesBefore; // of the second request, sent before the change
  unsigned mStatus;         // of the second request
};

class limits_test : public testing::TestWithParam<limits_row>
{};

TEST_P(limits_test, ThoseAtTheFirstByteOfARequestHold)
{
  const limits_row& row = GetParam();
  const std::string second = Post(50);
  io_loop loop(2);
  counting_server server(loop, LimitsWithBody(row.mLimitBefore));
  loop.Start();
  blocking_socket client(server.Address());
  client.Send(Post(0) + second.substr(0, row.mBytesBefore));
  EXPECT_EQ(test_util::ParseStatus(client.ReadReply()), 200U) << row.mGuardsAgainst;
  server.Server().SetLimits(LimitsWithBody(row.mLimitAfter));
  client.Send(second.substr(row.mBytesBefore));
  EXPECT_EQ(test_util::ParseStatus(client.ReadReply()), row.mStatus) << row.mGuardsAgainst;
  loop.Stop();
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  limits_test,
  testing::Values(
    limits_row{ "an idle connection refuses what a new limit allows", 10, 100, 0, 200 },
    limits_row{ "an idle connection accepts what a new limit refuses", 100, 10, 0, 413 },
    limits_row{ "a new limit refuses a request that has begun", 100, 10, 5, 200 },
    limits_row{ "a new limit accepts more of a request that has begun", 10, 100, 5, 413 }));

// A request with a body in chunks of one byte, which take long to read.
std::string SlowToRead()
{
  return "POST /held HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" +
         Repeated("1\r\nx\r\n", 10'000) + "0\r\n\r\n";
}

struct crossing_row
{
  const char* mGuardsAgainst;
  std::string mBytes; // arrive when the idle limit passes
};

class crossing_test : public testing::TestWithParam<crossing_row>
{};

TEST_P(crossing_test, IdleLimitLeavesWhatHasJustArrived)
{
  const crossing_row& row = GetParam();
  constexpr std::size_t kClients = 60;
  http_limits limits = LimitsWithBody(kBodyLimit);
  limits.mIdleTimeout = milliseconds(20);
  io_loop serverLoop(2);
  io_loop clientLoop(2);
  counting_server server(serverLoop, limits);
  serverLoop.Start();
  clientLoop.Start();
  std::atomic<std::size_t> refused{ 0 };
  for (std::size_t i = 0; i < kClients; ++i) {
    std::promise<void> opened;
    std::promise<void> sent;
    tcp_hooks hooks;
    hooks.mOnOpen = [&opened] { opened.set_value(); };
    hooks.mOnBytes = [&refused](std::string_view) { ++refused; };
    const auto client = Connect(clientLoop, server.Address(), seconds(1), std::move(hooks));
    opened.get_future().wait();
    // From 1.5 ms before the limit on, in steps of 25 us.
    clientLoop.After(limits.mIdleTimeout - micros(1500) + micros(25) * i, [&] {
      client->Send(row.mBytes);
      sent.set_value();
    });
    sent.get_future().wait();
    WaitFor(clientLoop, milliseconds(5));
    client->Close("test done");
  }
  clientLoop.Stop();
  serverLoop.Stop();
  EXPECT_EQ(server.TimedOut(), 0U) << row.mGuardsAgainst;
  EXPECT_EQ(refused, 0U) << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  crossing_test,
  testing::Values(crossing_row{ "a request that has just arrived is reported as late",
                                SlowToRead() },
                  crossing_row{ "a request that has just begun is answered 408",
                                SlowToRead().substr(0, 50'000) }));

struct announced_row
{
  const char* mGuardsAgainst;
  std::string mWithHeld;   // sent in one piece with the open request
  std::string mBehindHeld; // sent after it was read
  std::size_t mAnswered;
};

class announced_test : public testing::TestWithParam<announced_row>
{};

TEST_P(announced_test, AnswersWhatWasReadBeforeTheClose)
{
  const announced_row& row = GetParam();
  io_loop loop(2);
  counting_server server(loop, LimitsWithBody(kBodyLimit));
  loop.Start();
  blocking_socket client(server.Address());
  client.Send(Post(0, "/held") + row.mWithHeld);
  ASSERT_TRUE(WaitUntil([&server] { return server.HasHeld(); }));
  client.Send(row.mBehindHeld);
  WaitFor(loop, milliseconds(50));
  server.Server().AnnounceClose();
  server.ReplyToHeld();
  EXPECT_EQ(Statuses(client.ReadToEnd()).size(), row.mAnswered) << row.mGuardsAgainst;
  loop.Stop();
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  announced_test,
  testing::Values(
    announced_row{ "a connection without further requests stays open", "", "", 1 },
    announced_row{ "a request in one piece with the open one is lost", Post(1), "", 2 },
    announced_row{ "a request that was read behind the open one is lost", "", Post(1), 2 },
    announced_row{ "the last of several requests is lost", Post(1), Post(2), 3 }));

TEST(http_server, IdleLimitLeavesARequestThatWaitsToBeRead)
{
  // Guards against a busy loop that closes a connection whose request the kernel has accepted.
  constexpr milliseconds kIdle{ 100 };
  http_limits limits;
  limits.mIdleTimeout = kIdle;
  // The turn of the loop at which the limit has passed and is acted on depends on its order.
  for (std::size_t turns = 0; turns < 6; ++turns) {
    io_loop serverLoop(1);
    io_loop clientLoop(1);
    counting_server server(serverLoop, limits);
    serverLoop.Start();
    clientLoop.Start();
    std::atomic<bool> answered{ false };
    std::atomic<bool> closed{ false };
    tcp_hooks hooks;
    hooks.mOnBytes = [&answered](std::string_view) { answered = true; };
    hooks.mOnClosed = [&closed](const tcp_close_info&) { closed = true; };
    const auto client = Connect(clientLoop, server.Address(), seconds(1), std::move(hooks));
    ASSERT_TRUE(WaitUntil([&server] { return server.Server().Connections() == 1; }));
    std::promise<bool> sent;
    serverLoop.Post([&] {
      WaitFor(clientLoop, kIdle + milliseconds(20));
      AfterTurns(serverLoop, turns, [&] {
        WaitFor(clientLoop, milliseconds(20));
        const bool open = !closed;
        client->Send(Post(0));
        WaitFor(clientLoop, milliseconds(20));
        sent.set_value(open);
      });
    });
    if (sent.get_future().get()) {
      EXPECT_TRUE(WaitUntil([&] { return answered || closed; }));
      EXPECT_TRUE(answered) << "after " << turns << " turns";
    }
    clientLoop.Stop();
    serverLoop.Stop();
  }
}

// A server whose loop reads nothing between HeldRead and Release, as when it is busy. Then it calls
// the hook and answers the held request.
class busy_server
{
public:
  explicit busy_server(std::function<void(http_server&)> aAtRelease)
    : mAtRelease(std::move(aAtRelease))
    , mServer(mLoop,
              mRequestIds,
              { [this](std::uint64_t aId, const http_message& aRequest) { Handle(aId, aRequest); },
                nullptr,
                nullptr },
              LimitsWithBody(kBodyLimit))
    , mAddress(mServer.ListenOn("127.0.0.1:0").mValue.value_or(""))
  {
    mLoop.Start();
  }
  ~busy_server() { mLoop.Stop(); }
  busy_server(const busy_server&) = delete;
  busy_server& operator=(const busy_server&) = delete;

  const std::string& Address() const { return mAddress; }
  void WaitUntilHeld() { mHeld.get_future().wait(); }
  void Release() { mReleased.set_value(); }

private:
  void Handle(std::uint64_t aId, const http_message& aRequest)
  {
    if (aRequest.mTarget == "/held") {
      mHeld.set_value();
      mReleased.get_future().wait();
      mAtRelease(mServer);
    }
    mServer.Reply(aId, { 200, "", "", {} });
  }

  const std::function<void(http_server&)> mAtRelease;
  io_loop mLoop{ 1 };
  request_id_source mRequestIds{ 0 };
  std::promise<void> mHeld;
  std::promise<void> mReleased;
  http_server mServer;
  const std::string mAddress;
};

struct waiting_row
{
  const char* mGuardsAgainst;
  std::function<void(http_server&)> mClose;
  bool mSameConnection; // the waiting request is pipelined behind the held one
  std::vector<unsigned> mStatuses;
};

class waiting_test : public testing::TestWithParam<waiting_row>
{};

TEST_P(waiting_test, AnswersARequestThatWaitsToBeRead)
{
  const waiting_row& row = GetParam();
  io_loop clientLoop(1);
  clientLoop.Start();
  busy_server server(row.mClose);
  blocking_socket client(server.Address());
  blocking_socket other(server.Address());
  if (!row.mSameConnection) {
    client.Send(Post(0));
    EXPECT_EQ(test_util::ParseStatus(client.ReadReply()), 200U);
  }
  (row.mSameConnection ? client : other).Send(Post(0, "/held"));
  server.WaitUntilHeld();
  client.Send(row.mSameConnection ? Post(0) : PostAndClose(0));
  WaitFor(clientLoop, milliseconds(20));
  server.Release();
  EXPECT_EQ(Statuses(client.ReadToEnd()), row.mStatuses) << row.mGuardsAgainst;
  clientLoop.Stop();
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  waiting_test,
  testing::Values(waiting_row{ "a reply that announces the close drops the request behind it",
                               [](http_server& aServer) { aServer.AnnounceClose(); },
                               true,
                               { 200, 200 } },
                  waiting_row{ "closing the idle connections drops a request that has arrived",
                               [](http_server& aServer) { aServer.CloseIdle(false); },
                               false,
                               { 200 } },
                  waiting_row{ "closing all connections drops a request that has arrived",
                               [](http_server& aServer) { aServer.CloseAll(); },
                               false,
                               { 200 } }));

constexpr std::size_t kMoreThanKernelBuffers = std::size_t{ 32 } * 1024 * 1024;

struct slow_reader_row
{
  const char* mGuardsAgainst;
  http_limits mLimits;
  std::string mRequest;
  bool mReads; // slowly, but all the time
};

class slow_reader_test : public testing::TestWithParam<slow_reader_row>
{};

TEST_P(slow_reader_test, LimitsCutOnlyAReplyThatMakesNoProgress)
{
  const slow_reader_row& row = GetParam();
  request_id_source requestIds{ 0 };
  io_loop serverLoop(2);
  io_loop clientLoop(1);
  http_server* replies = nullptr;
  const std::string body(kMoreThanKernelBuffers, 'x');
  http_server server(serverLoop,
                     requestIds,
                     { [&](std::uint64_t aId, const http_message&) {
                        replies->Reply(aId, { 200, "", body, {} });
                      },
                       nullptr,
                       nullptr },
                     row.mLimits);
  replies = &server;
  const std::string address = *server.ListenOn("127.0.0.1:0");
  serverLoop.Start();
  clientLoop.Start();
  blocking_socket client(address);
  client.Send(row.mRequest);
  std::size_t received = client.ReadSome().size();
  ASSERT_GT(received, 0U);
  if (row.mReads) {
    for (std::string part = client.ReadSome(); !part.empty() && received < body.size();
         part = client.ReadSome()) {
      received += part.size();
      WaitFor(clientLoop, micros(500));
    }
    EXPECT_GT(received, body.size()) << row.mGuardsAgainst;
  }
  EXPECT_TRUE(WaitUntil([&server] { return server.Connections() == 0; })) << row.mGuardsAgainst;
  serverLoop.Stop();
  clientLoop.Stop();
}

http_limits ShortLimits()
{
  http_limits limits;
  limits.mHeaderTimeout = milliseconds(500);
  limits.mRequestTimeout = milliseconds(500);
  limits.mIdleTimeout = milliseconds(500);
  limits.mReplyTimeout = milliseconds(500);
  return limits;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  slow_reader_test,
  testing::Values(
    slow_reader_row{ "the idle limit cuts a reply that is being sent",
                     ShortLimits(),
                     Post(0),
                     true },
    slow_reader_row{ "the limit on a reply cuts one that is being sent before the close",
                     ShortLimits(),
                     PostAndClose(0),
                     true },
    slow_reader_row{ "a reply that is not read keeps its connection open",
                     ShortLimits(),
                     Post(0),
                     false },
    slow_reader_row{ "a last reply that is not read keeps its connection open",
                     ShortLimits(),
                     PostAndClose(0),
                     false },
    slow_reader_row{ "a 408 behind a reply that is not read keeps its connection open",
                     ShortLimits(),
                     Post(0) + Post(0).substr(0, 10),
                     false }));

// Guards against a client that takes bytes of a reply now and then, which keeps the limits on
// progress from passing, and its connection open for as long as it likes.
TEST(http_server, ClosesAConnectionWhoseReplyIsNotTakenInTime)
{
  request_id_source requestIds{ 0 };
  io_loop serverLoop(2);
  io_loop clientLoop(1);
  http_server* replies = nullptr;
  const std::string body(kMoreThanKernelBuffers, 'x');
  http_limits limits;
  limits.mDeliveryTimeout = milliseconds(500);
  http_server server(serverLoop,
                     requestIds,
                     { [&](std::uint64_t aId, const http_message&) {
                        replies->Reply(aId, { 200, "", body, {} });
                      },
                       nullptr,
                       nullptr },
                     limits);
  replies = &server;
  const std::string address = *server.ListenOn("127.0.0.1:0");
  serverLoop.Start();
  clientLoop.Start();
  blocking_socket client(address);
  client.Send(Post(0));
  std::size_t received = client.ReadSome().size();
  ASSERT_GT(received, 0U);
  EXPECT_TRUE(WaitUntil([&] {
    received += server.Connections() > 0 ? client.ReadSome().size() : 0;
    return server.Connections() == 0;
  }));
  EXPECT_LT(received, body.size());
  serverLoop.Stop();
  clientLoop.Stop();
}

// Guards against a client that pipelines requests and reads no replies, all of which would wait in
// memory.
TEST(http_server, BeginsARequestOnceTheReplyBeforeItIsSent)
{
  constexpr std::size_t kRequests = 3;
  request_id_source requestIds{ 0 };
  io_loop loop(2);
  std::atomic<std::size_t> begun{ 0 };
  http_server* replies = nullptr;
  const std::string body(kMoreThanKernelBuffers, 'x');
  http_server server(loop,
                     requestIds,
                     { [&](std::uint64_t aId, const http_message&) {
                        ++begun;
                        replies->Reply(aId, { 200, "", body, {} });
                      },
                       nullptr,
                       nullptr });
  replies = &server;
  const std::string address = *server.ListenOn("127.0.0.1:0");
  loop.Start();
  blocking_socket client(address);
  std::string requests;
  for (std::size_t i = 0; i < kRequests; ++i) {
    requests += Post(0);
  }
  client.Send(requests);
  std::size_t received = client.ReadSome().size();
  for (std::size_t i = 1; i <= kRequests; ++i) {
    constexpr std::size_t kTurns = 100; // a request that is begun too early is begun within a few
    std::promise<void> turned;
    AfterTurns(loop, kTurns, [&turned] { turned.set_value(); });
    turned.get_future().wait();
    EXPECT_EQ(begun, i);
    EXPECT_LE(server.UnsentBytes(), body.size() + 1000);
    while (received < i * body.size()) {
      const std::size_t size = client.ReadSome().size();
      ASSERT_GT(size, 0U);
      received += size;
    }
    // The rest of this reply, and the beginning of the next one.
    received += i < kRequests ? client.ReadSome().size() : 0;
    EXPECT_TRUE(WaitUntil([&] { return begun == std::min(i + 1, kRequests); }));
  }
  loop.Stop();
}

} // namespace
} // namespace redwingdock
