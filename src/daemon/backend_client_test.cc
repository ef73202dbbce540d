#include "daemon/backend_client.h"

#include "codec/server_json.h"
#include "daemon/loopback_test_util.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <gtest/gtest.h>

namespace redwingdock {
namespace {

using test_util::fact_log;
using test_util::scripted_reply;
using test_util::scripted_server;
using test_util::stub_http_server;
using test_util::WaitUntil;

constexpr std::uint64_t kConnection = 17;

part_request Request(std::uint64_t aNumber = 1)
{
  part_request request;
  request.mAttempt = { "vm-1.5f2c", aNumber };
  request.mServer = "cw-03a";
  request.mPool = "caseworker-desk";
  request.mShard = "cw-03";
  request.mVersion = 41;
  request.mDeadline = SteadyNow() + std::chrono::seconds(5);
  return request;
}

std::string PartReplyBody()
{
  part_reply reply;
  reply.mAttempt = Request().mAttempt;
  reply.mResult = part_result::Answered;
  reply.mServer = "cw-03a";
  reply.mShard = "cw-03";
  reply.mVersion = 41;
  reply.mMap = 3;
  reply.mEvidence = server_evidence{ "cw-03a-1", server_mode::Warm, { { 41, 3 } } };
  return FormatPartReply(reply);
}

std::string ReplyBytes(unsigned aStatus, const std::string& aBody, bool aKeepAlive = true)
{
  return FormatReply({ aStatus, "application/json", aBody, {} }, aKeepAlive);
}

struct client_fixture
{
  explicit client_fixture(io_loop& aLoop)
    : mBackends(aLoop, { [this](fact aFact) { mFacts.Add(std::move(aFact)); }, nullptr })
  {
  }

  std::optional<connection_event> LastEvent() const
  {
    const auto events = mFacts.Of<connection_changed>();
    return events.empty() ? std::nullopt : std::optional(events.back().mEvent);
  }

  fact_log mFacts;
  backend_client mBackends;
};

struct reply_row
{
  const char* mGuardsAgainst;
  std::optional<std::string> mReply; // nullopt: the server closes the connection without a reply
  part_result mResult;
  part_failure mFailure;
  std::optional<connection_event> mEnd; // nullopt: the connection stays open
};

class reply_test : public testing::TestWithParam<reply_row>
{};

TEST_P(reply_test, PostsOneReply)
{
  const reply_row& row = GetParam();
  io_loop loop(2);
  scripted_server server(loop, [&row](const std::string&) {
    return scripted_reply{ row.mReply.value_or(""), !row.mReply };
  });
  client_fixture tested(loop);
  loop.Start();
  tested.mBackends.Open({ "cw-03a", server.Address(), kConnection });
  ASSERT_TRUE(tested.mFacts.WaitForType<connection_changed>());
  ASSERT_EQ(tested.LastEvent(), connection_event::Opened);
  tested.mBackends.Send({ kConnection, Request(), SteadyNow() + std::chrono::seconds(5) });
  ASSERT_TRUE(tested.mFacts.WaitForType<part_replied>()) << row.mGuardsAgainst;
  if (row.mEnd) {
    ASSERT_TRUE(tested.mFacts.WaitForType<connection_changed>(2));
    EXPECT_EQ(tested.LastEvent(), row.mEnd) << row.mGuardsAgainst;
  }
  loop.Stop();
  const auto replies = tested.mFacts.Of<part_replied>();
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies[0].mServer, "cw-03a");
  EXPECT_EQ(replies[0].mConnection, kConnection);
  EXPECT_EQ(replies[0].mReply.mAttempt, Request().mAttempt);
  EXPECT_EQ(replies[0].mReply.mResult, row.mResult) << row.mGuardsAgainst;
  EXPECT_EQ(replies[0].mReply.mFailure, row.mFailure) << row.mGuardsAgainst;
  EXPECT_EQ(tested.mFacts.Of<connection_changed>().size(), row.mEnd ? 2U : 1U);
}

std::string WithReplaced(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  return aText.replace(aText.find(aFrom), aFrom.size(), aTo);
}

constexpr auto kUnknown = part_result::Unknown;
constexpr auto kMalformed = part_failure::Malformed;

INSTANTIATE_TEST_SUITE_P(
  rows,
  reply_test,
  testing::Values(reply_row{ "a common reply",
                             ReplyBytes(200, PartReplyBody()),
                             part_result::Answered,
                             part_failure::None,
                             std::nullopt },
                  reply_row{ "a server that closes after its reply",
                             ReplyBytes(200, PartReplyBody(), false),
                             part_result::Answered,
                             part_failure::None,
                             connection_event::Closed },
                  reply_row{ "a server that crashes on the request",
                             std::nullopt,
                             kUnknown,
                             part_failure::ConnectionLost,
                             connection_event::Lost },
                  reply_row{ "bytes that are not HTTP",
                             std::string(200, '\xa5') + "\r\n\r\n",
                             kUnknown,
                             kMalformed,
                             connection_event::Closed },
                  reply_row{ "another protocol",
                             "SSH-2.0-x\r\n\r\n",
                             kUnknown,
                             kMalformed,
                             connection_event::Closed },
                  reply_row{ "a folded line in the head",
                             WithReplaced(ReplyBytes(200, PartReplyBody()),
                                          "Content-Length",
                                          "A: b\r\n c\r\nContent-Length"),
                             kUnknown,
                             kMalformed,
                             connection_event::Closed },
                  reply_row{ "an interim reply before the reply",
                             "HTTP/1.1 100 Continue\r\n\r\n" + ReplyBytes(200, PartReplyBody()),
                             part_result::Answered,
                             part_failure::None,
                             std::nullopt },
                  reply_row{ "a body that is not JSON",
                             ReplyBytes(200, "ok"),
                             kUnknown,
                             kMalformed,
                             std::nullopt },
                  reply_row{ "the reply to another attempt",
                             ReplyBytes(200, WithReplaced(PartReplyBody(), "5f2c#1", "5f2c#2")),
                             kUnknown,
                             kMalformed,
                             std::nullopt },
                  reply_row{
                    "the reply of another shard",
                    ReplyBytes(200, WithReplaced(PartReplyBody(), "\"cw-03\"", "\"cw-04\"")),
                    kUnknown,
                    kMalformed,
                    std::nullopt },
                  reply_row{ "another status",
                             ReplyBytes(500, PartReplyBody()),
                             kUnknown,
                             kMalformed,
                             std::nullopt },
                  reply_row{ "a body over the limit",
                             "HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n",
                             kUnknown,
                             kMalformed,
                             connection_event::Closed },
                  reply_row{ "a header over the limit",
                             "HTTP/1.1 200 OK\r\nA: " + std::string(20000, 'a'),
                             kUnknown,
                             kMalformed,
                             connection_event::Closed },
                  reply_row{ "two replies to one request",
                             ReplyBytes(200, PartReplyBody()) + ReplyBytes(200, PartReplyBody()),
                             part_result::Answered,
                             part_failure::None,
                             connection_event::Closed }));

struct truncation_row
{
  const char* mGuardsAgainst;
  std::size_t mBytes;
};

class truncated_reply_test : public testing::TestWithParam<truncation_row>
{};

// Guards against a reply that a crash truncates and that is accepted as complete.
TEST_P(truncated_reply_test, IsAConnectionLoss)
{
  io_loop loop(2);
  scripted_server server(loop, [](const std::string&) {
    return scripted_reply{ ReplyBytes(200, PartReplyBody()).substr(0, GetParam().mBytes), true };
  });
  client_fixture tested(loop);
  loop.Start();
  tested.mBackends.Open({ "cw-03a", server.Address(), kConnection });
  ASSERT_TRUE(tested.mFacts.WaitForType<connection_changed>());
  tested.mBackends.Send({ kConnection, Request(), SteadyNow() + std::chrono::seconds(5) });
  ASSERT_TRUE(tested.mFacts.WaitForType<part_replied>()) << GetParam().mGuardsAgainst;
  loop.Stop();
  // The loss must be posted before the result of the part. In the other order, the gate has no part
  // in flight when it learns of the loss, and marks no suspects.
  EXPECT_EQ(tested.LastEvent(), connection_event::Lost);
  EXPECT_TRUE(std::holds_alternative<part_replied>(tested.mFacts.All().back()));
  ASSERT_EQ(tested.mFacts.Of<part_replied>().size(), 1U);
  EXPECT_EQ(tested.mFacts.Of<part_replied>()[0].mReply.mFailure, part_failure::ConnectionLost);
}

INSTANTIATE_TEST_SUITE_P(rows,
                         truncated_reply_test,
                         testing::Values(truncation_row{ "an end without a reply", 0 },
                                         truncation_row{ "a truncated header", 30 },
                                         truncation_row{ "a truncated body", 150 }));

struct send_row
{
  const char* mGuardsAgainst;
  micros mNotAfter; // from now
  micros mDeadline; // from now
  std::uint64_t mConnection;
  part_failure mFailure;
};

class refused_send_test : public testing::TestWithParam<send_row>
{};

TEST_P(refused_send_test, SendsNothing)
{
  const send_row& row = GetParam();
  io_loop loop(2);
  stub_http_server server(loop, [](const http_message&) {
    return http_response{ 200, "", "", {} };
  });
  client_fixture tested(loop);
  loop.Start();
  tested.mBackends.Open({ "cw-03a", server.Address(), kConnection });
  ASSERT_TRUE(tested.mFacts.WaitForType<connection_changed>());
  part_request request = Request();
  request.mDeadline = SteadyNow() + row.mDeadline;
  tested.mBackends.Send({ row.mConnection, request, SteadyNow() + row.mNotAfter });
  ASSERT_TRUE(tested.mFacts.WaitForType<part_replied>()) << row.mGuardsAgainst;
  loop.Stop();
  const part_replied reply = tested.mFacts.Of<part_replied>()[0];
  EXPECT_EQ(reply.mReply.mResult, part_result::NotRun);
  EXPECT_EQ(reply.mReply.mFailure, row.mFailure) << row.mGuardsAgainst;
  EXPECT_EQ(server.Requests(), 0U);
}

constexpr micros kSecond = std::chrono::seconds(1);

INSTANTIATE_TEST_SUITE_P(
  rows,
  refused_send_test,
  testing::Values(
    send_row{ "a command issued before a pause of the process",
              -kSecond,
              kSecond,
              kConnection,
              part_failure::NotSent },
    send_row{ "a part whose deadline passed while it was queued",
              kSecond,
              -kSecond,
              kConnection,
              part_failure::DeadlinePassed },
    send_row{ "a connection that has been closed", kSecond, kSecond, 99, part_failure::NotSent }));

// Guards against a part that is written to a connection whose end has arrived, and can then only be
// reported as one that may have run.
TEST(backend_client_test, PartIsNotSentAfterTheServerClosed)
{
  io_loop serverLoop(1);
  io_loop loop(1);
  std::atomic<int> received{ 0 };
  scripted_server server(serverLoop, [&received](const std::string&) {
    ++received;
    return scripted_reply{ ReplyBytes(200, PartReplyBody()), true };
  });
  fact_log facts;
  backend_client* backends = nullptr;
  backend_client client(loop,
                        { [&](fact aFact) {
                           const bool first = std::holds_alternative<part_replied>(aFact) &&
                                              facts.Of<part_replied>().empty();
                           facts.Add(std::move(aFact));
                           if (first) {
                             // The loop reads nothing more until this hook returns.
                             std::promise<void> arrived;
                             serverLoop.After(std::chrono::milliseconds(100),
                                              [&arrived] { arrived.set_value(); });
                             arrived.get_future().wait();
                             backends->Send({ kConnection, Request(2), SteadyNow() + kSecond });
                           }
                         },
                          nullptr });
  backends = &client;
  serverLoop.Start();
  loop.Start();
  client.Open({ "cw-03a", server.Address(), kConnection });
  ASSERT_TRUE(facts.WaitForType<connection_changed>());
  client.Send({ kConnection, Request(1), SteadyNow() + kSecond });
  ASSERT_TRUE(facts.WaitForType<part_replied>(2));
  loop.Stop();
  serverLoop.Stop();
  const part_reply second = facts.Of<part_replied>()[1].mReply;
  EXPECT_EQ(second.mResult, part_result::NotRun);
  EXPECT_EQ(second.mFailure, part_failure::NotSent);
  EXPECT_EQ(received, 1);
}

// Guards against two parts on one connection, where the second waits for the first one's reply.
TEST(backend_client_test, SecondPartIsRefused)
{
  io_loop loop(2);
  scripted_server silent(loop, [](const std::string&) { return scripted_reply{}; });
  client_fixture tested(loop);
  loop.Start();
  tested.mBackends.Open({ "cw-03a", silent.Address(), kConnection });
  ASSERT_TRUE(tested.mFacts.WaitForType<connection_changed>());
  const instant notAfter = SteadyNow() + kSecond;
  tested.mBackends.Send({ kConnection, Request(1), notAfter });
  tested.mBackends.Send({ kConnection, Request(2), notAfter });
  ASSERT_TRUE(tested.mFacts.WaitForType<part_replied>());
  EXPECT_EQ(tested.mFacts.Of<part_replied>()[0].mReply.mAttempt.mNumber, 2U);
  EXPECT_EQ(tested.mFacts.Of<part_replied>()[0].mReply.mFailure, part_failure::NotSent);
  // No further facts are posted for a connection that the core closes.
  tested.mBackends.Close({ "cw-03a", kConnection });
  EXPECT_EQ(tested.mBackends.Connections(), 0U);
  loop.Stop();
  EXPECT_EQ(tested.mFacts.All().size(), 2U);
}

// Guards against a part that waits for ever because the server stopped responding.
TEST(backend_client_test, SilentServerIsReportedAfterTheDeadline)
{
  io_loop loop(2);
  scripted_server silent(loop, [](const std::string&) { return scripted_reply{}; });
  client_fixture tested(loop);
  loop.Start();
  tested.mBackends.Open({ "cw-03a", silent.Address(), kConnection });
  ASSERT_TRUE(tested.mFacts.WaitForType<connection_changed>());
  part_request request = Request();
  request.mDeadline = SteadyNow() + std::chrono::milliseconds(50);
  tested.mBackends.Send({ kConnection, request, SteadyNow() + kSecond });
  ASSERT_TRUE(tested.mFacts.WaitForType<connection_changed>(2));
  loop.Stop();
  EXPECT_EQ(tested.LastEvent(), connection_event::Closed);
  EXPECT_EQ(tested.mFacts.Of<part_replied>()[0].mReply.mFailure, part_failure::Silent);
}

// Guards against a connection that is closed for a late reply which has just arrived. Each reply
// takes long to read and arrives around the time limit.
TEST(backend_client_test, LimitLeavesAConnectionThatHasJustReplied)
{
  constexpr std::size_t kParts = 64;
  constexpr std::chrono::milliseconds kDeadline{ 20 };
  constexpr std::chrono::milliseconds kLimit = kDeadline + std::chrono::seconds(2);
  std::string reply = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const char each : PartReplyBody() + std::string(15'000, ' ')) {
    reply += std::string("1\r\n") + each + "\r\n";
  }
  reply += "0\r\n\r\n";
  io_loop serverLoop(2);
  io_loop loop(4);
  std::atomic<std::size_t> arrived{ 0 };
  std::mutex lock;
  std::vector<std::shared_ptr<tcp_connection>> accepted;
  const auto listener =
    Listen(serverLoop, "127.0.0.1:0", [&](const std::shared_ptr<tcp_connection>& aConnection) {
      tcp_hooks hooks;
      hooks.mOnBytes = [&, weak = std::weak_ptr(aConnection)](std::string_view) {
        serverLoop.After(kLimit - micros(16'000) + micros(250) * arrived++, [&reply, weak] {
          if (const auto connection = weak.lock()) {
            connection->Send(reply);
          }
        });
      };
      aConnection->Start(std::move(hooks));
      const std::lock_guard held(lock);
      accepted.push_back(aConnection);
    });
  client_fixture tested(loop);
  serverLoop.Start();
  loop.Start();
  for (std::uint64_t id = 1; id <= kParts; ++id) {
    tested.mBackends.Open({ "cw-03a", (*listener)->Address(), id });
  }
  ASSERT_TRUE(tested.mFacts.WaitForType<connection_changed>(kParts));
  for (std::uint64_t id = 1; id <= kParts; ++id) {
    part_request request = Request();
    request.mDeadline = SteadyNow() + kDeadline;
    tested.mBackends.Send({ id, request, SteadyNow() + kSecond });
  }
  ASSERT_TRUE(tested.mFacts.WaitForType<part_replied>(kParts));
  std::promise<void> elapsed;
  loop.After(std::chrono::milliseconds(50), [&elapsed] { elapsed.set_value(); });
  elapsed.get_future().wait();
  const auto replies = tested.mFacts.Of<part_replied>();
  const std::size_t late =
    std::count_if(replies.begin(), replies.end(), [](const part_replied& aEach) {
      return aEach.mReply.mFailure == part_failure::Silent;
    });
  WaitUntil([&] { return tested.mBackends.Connections() <= kParts - late; });
  EXPECT_EQ(tested.mBackends.Connections(), kParts - late);
  serverLoop.Stop();
  loop.Stop();
}

// Guards against an open command that ends without a fact when no connection can be made.
TEST(backend_client_test, RefusedConnectionIsReported)
{
  io_loop loop(2);
  client_fixture tested(loop);
  loop.Start();
  tested.mBackends.Open({ "cw-03a", "127.0.0.1:1", 1 });
  tested.mBackends.Open({ "cw-03a", "no address", 2 });
  ASSERT_TRUE(tested.mFacts.WaitForType<connection_changed>(2));
  loop.Stop();
  for (const connection_changed& each : tested.mFacts.Of<connection_changed>()) {
    EXPECT_EQ(each.mEvent, connection_event::Refused);
  }
}

struct check_row
{
  const char* mGuardsAgainst;
  std::optional<http_response> mReply; // nullopt: the server does not answer
  bool mAlive;
};

class check_test : public testing::TestWithParam<check_row>
{};

TEST_P(check_test, OnlyStatus200CountsAsAlive)
{
  io_loop loop(2);
  stub_http_server server(loop, [](const http_message&) { return GetParam().mReply; });
  client_fixture tested(loop);
  loop.Start();
  tested.mBackends.Check({ "cw-03a", server.Address() });
  ASSERT_TRUE(tested.mFacts.WaitForType<check_answered>());
  loop.Stop();
  EXPECT_EQ(tested.mFacts.Of<check_answered>()[0].mAlive, GetParam().mAlive)
    << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  check_test,
  testing::Values(
    check_row{ "a common reply", http_response{ 200, "", "{}", {} }, true },
    check_row{ "a port that another program uses", http_response{ 404, "", "", {} }, false },
    check_row{ "a server that accepts and does not answer", std::nullopt, false }));

// Guards against a new connection for each cancel; each one costs the server about 6 ms.
TEST(backend_client_test, CancelsShareAConnection)
{
  io_loop loop(2);
  std::atomic<int> cancels{ 0 };
  stub_http_server server(loop, [&cancels](const http_message& aRequest) {
    cancels += aRequest.mTarget == "/v1/cancel" && ParseCancel(aRequest.mBody) ? 1 : 0;
    return http_response{ 200, "application/json", "{}", {} };
  });
  client_fixture tested(loop);
  loop.Start();
  for (std::uint64_t i = 0; i < 20; ++i) {
    tested.mBackends.Cancel({ "cw-03a", server.Address(), { "vm-1.5f2c", i } });
  }
  EXPECT_TRUE(WaitUntil([&] { return cancels == 20; }));
  EXPECT_EQ(server.Connections(), 1U);
  loop.Stop();
}

} // namespace
} // namespace redwingdock
