#include "daemon/query_daemon.h"

#include "codec/server_json.h"
#include "daemon/loopback_test_util.h"

#include <algorithm>
#include <future>
#include <gtest/gtest.h>

namespace redwingdock {
namespace {

using test_util::blocking_socket;
using test_util::ParseStatus;
using test_util::SendRequest;
using test_util::stub_http_server;
using test_util::WaitUntil;

enum class behaviour
{
  Good,
  Silent,
  WrongShard,
  WrongVersion,
  NotJson,
};

std::optional<http_response> AnswerPart(const http_message& aRequest, behaviour aBehaviour)
{
  if (aRequest.mTarget != "/v1/part") {
    return http_response{ 200, "application/json", "{}", {} };
  }
  const result<received_part_request> call = ParsePartRequest(aRequest.mBody);
  if (!call || aBehaviour == behaviour::Silent) {
    return std::nullopt;
  }
  part_reply reply;
  reply.mAttempt = call->mRequest.mAttempt;
  reply.mResult = part_result::Answered;
  reply.mServer = call->mRequest.mServer;
  reply.mShard = aBehaviour == behaviour::WrongShard ? "other" : call->mRequest.mShard;
  reply.mVersion = aBehaviour == behaviour::WrongVersion ? 39 : 40;
  reply.mMap = 3;
  reply.mEvidence = server_evidence{ "i-1", server_mode::Warm, { { 40, 3 } } };
  return http_response{ 200,
                        "application/json",
                        aBehaviour == behaviour::NotJson ? "<html>" : FormatPartReply(reply),
                        {} };
}

// One daemon with two backend servers and a configuration service.
struct deployment
{
  explicit deployment(micros aClosingLimit = core_config{}.mClosingLimit)
    : mClosingLimit(aClosingLimit)
    , mFirstServer(
        mLoop,
        [](const http_message& aRequest) { return AnswerPart(aRequest, behaviour::Good); })
    , mSecondServer(
        mLoop,
        [this](const http_message& aRequest) { return AnswerPart(aRequest, mBehaviour); })
    , mService(mLoop, [this](const http_message& aRequest) { return AnswerTableRead(aRequest); })
    , mDaemon(Settings(), record_search_hooks{})
  {
    mLoop.Start();
    const result<daemon_addresses> bound = mDaemon.Start();
    EXPECT_TRUE(bound) << Describe(bound.mReason);
    mBound = bound.mValue.value_or(daemon_addresses{});
  }

  ~deployment() { mLoop.Stop(); }

  daemon_settings Settings() const
  {
    daemon_settings settings;
    settings.mCore.mVm = "vm-1";
    settings.mCore.mZone = "xela";
    settings.mCore.mLogDecisions = false;
    settings.mCore.mEntryLifetime = std::chrono::milliseconds(50);
    settings.mCore.mClosingLimit = mClosingLimit;
    // A short take delay is safe because no earlier process can hold the permits of this
    // deployment. The hold time is long because a single VM has no witnesses, so only the service
    // can confirm its view, and some tests stop the service.
    settings.mCore.mTakeDelay = std::chrono::milliseconds(20);
    settings.mCore.mHoldTime = std::chrono::seconds(60);
    settings.mCore.mWatchWait = std::chrono::milliseconds(100);
    settings.mCore.mRelaySilence = std::chrono::milliseconds(20);
    settings.mCore.mReadRetry = std::chrono::milliseconds(20);
    settings.mListenCallers = "127.0.0.1:0";
    settings.mListenPeers = "127.0.0.1:0";
    settings.mListenOperators = "127.0.0.1:0";
    settings.mConfigurationService = { mService.Address() };
    return settings;
  }

  std::optional<http_response> AnswerTableRead(const http_message& aRequest) const
  {
    const bool watch = aRequest.mTarget.find('?') != std::string::npos;
    if (mServiceDown || (watch && !mServiceStale)) {
      return std::nullopt;
    }
    const int older = mServiceStale ? 1 : 0;
    if (aRequest.mTarget.starts_with("/v1/vms")) {
      return Reply(5 - older,
                   R"(vms:
  - {name: vm-1, zone: xela, address: "127.0.0.1:1", call_address: "127.0.0.1:2", state: live}
)");
    }
    if (aRequest.mTarget.starts_with("/v1/tables/routes")) {
      return Reply(12 - older,
                   "routes:\n  - {name: case-search, pools: [desk], deadline_ms: 300}\n");
    }
    return Reply(31 - older,
                 R"(pools:
  - name: desk
    slots: 2
    connections: 20
    shards:
      - name: d-0
        ranges: {3: [[0, 2000]]}
        servers: [{name: d-0a, zone: xela, address: ")" +
                   mFirstServer.Address() + R"("}]
      - name: d-1
        ranges: {3: [[2000, 4096]]}
        servers: [{name: d-1a, zone: toto, address: ")" +
                   mSecondServer.Address() + "\"}]\n");
  }

  static http_response Reply(int aRevision, const std::string& aText)
  {
    const std::string revision = std::to_string(aRevision);
    return {
      200, "text/yaml", "revision: " + revision + "\n" + aText, { { "Table-Revision", revision } }
    };
  }

  std::string Query() const
  {
    return SendRequest(mBound.mCallers, "POST", "/v1/query", R"({"route":"case-search"})");
  }

  testing::AssertionResult AnswersCompletely() const
  {
    std::string reply;
    if (WaitUntil([&] {
          reply = Query();
          return reply.find("\"outcome\":\"complete\"") != std::string::npos;
        })) {
      return testing::AssertionSuccess();
    }
    return testing::AssertionFailure() << reply;
  }

  std::string View() const { return SendRequest(mBound.mOperators, "GET", "/v1/view"); }

  const micros mClosingLimit;
  std::atomic<behaviour> mBehaviour{ behaviour::Good };
  std::atomic<bool> mServiceStale{ false };
  std::atomic<bool> mServiceDown{ false };
  io_loop mLoop{ 1 };
  stub_http_server mFirstServer;
  stub_http_server mSecondServer;
  stub_http_server mService;
  query_daemon mDaemon;
  daemon_addresses mBound;
};

struct input_row
{
  const char* mGuardsAgainst;
  std::string mBytes;
  unsigned mStatus; // 0: the connection ends without a reply
  const char* mText;
};

class bad_input_test : public testing::TestWithParam<input_row>
{};

std::string FormatPost(const std::string& aTarget, const std::string& aBody)
{
  return FormatRequest("POST", aTarget, "a", aBody);
}

// Guards against malformed input that is accepted, answered without the reason, or that stops the
// daemon from serving others.
TEST_P(bad_input_test, IsRefusedAndTheDaemonKeepsServing)
{
  deployment tested;
  ASSERT_TRUE(tested.AnswersCompletely());
  blocking_socket socket(tested.mBound.mCallers);
  socket.Send(GetParam().mBytes);
  if (GetParam().mStatus == 0) {
    socket.EndSending(); // the rest is never sent
  }
  const std::string reply = socket.ReadReply();
  EXPECT_EQ(ParseStatus(reply), GetParam().mStatus) << GetParam().mGuardsAgainst;
  EXPECT_NE(reply.find(GetParam().mText), std::string::npos) << reply;
  EXPECT_TRUE(tested.AnswersCompletely());
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  bad_input_test,
  testing::Values(
    input_row{ "bytes that are not HTTP",
               std::string(300, '\xa5') + "\r\n\r\n",
               400,
               "read message" },
    input_row{ "another protocol", "SSH-2.0-OpenSSH\r\n\r\n", 400, "read message" },
    input_row{ "a connection without a request", "", 0, "" },
    input_row{ "a truncated header", "POST /v1/query HT", 0, "" },
    input_row{ "a truncated body",
               FormatPost("/v1/query", R"({"route":"case-search"})").substr(0, 80),
               0,
               "" },
    input_row{ "a header over the limit",
               "GET / HTTP/1.1\r\nA: " + std::string(20000, 'a'),
               431,
               "header is over" },
    input_row{ "a Content-Length over the limit",
               "POST /v1/query HTTP/1.1\r\nContent-Length: 65537\r\n\r\n",
               413,
               "65536" },
    input_row{ "a body over the limit",
               FormatPost("/v1/query", std::string(200000, ' ')),
               413,
               "65536" },
    input_row{ "a negative length",
               "POST /v1/query HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
               400,
               "read message" },
    input_row{ "a body that is not JSON",
               FormatPost("/v1/query", "route=case-search"),
               400,
               "not JSON" },
    input_row{ "a route of the wrong type",
               FormatPost("/v1/query", R"({"route":["case-search"]})"),
               400,
               "\\\"route\\\" is not a string" },
    input_row{ "an unknown route",
               FormatPost("/v1/query", R"({"route":"none"})"),
               400,
               "rejected" },
    input_row{ "a request key for a search",
               FormatPost("/v1/query", R"({"route":"case-search","request_key":"v.i.k"})"),
               400,
               "rejected" },
    input_row{ "a query with method GET", "GET /v1/query HTTP/1.1\r\n\r\n", 405, "use POST" },
    input_row{ "an unknown path", "GET /v2/query HTTP/1.1\r\n\r\n", 404, "no such path" },
    input_row{ "a stop request from a caller", FormatPost("/v1/stop", ""), 404, "no such path" },
    input_row{ "an entry request without a caller",
               "GET /v1/entry HTTP/1.1\r\n\r\n",
               400,
               "caller" }));

struct backend_row
{
  const char* mGuardsAgainst;
  behaviour mBehaviour;
};

class bad_backend_test : public testing::TestWithParam<backend_row>
{};

// Guards against answers that come late or hide a missing shard, and against a server that is not
// used again after it has recovered.
TEST_P(bad_backend_test, GapIsReportedAndTheDaemonKeepsServing)
{
  deployment tested;
  ASSERT_TRUE(tested.AnswersCompletely());
  tested.mBehaviour = GetParam().mBehaviour;
  const instant before = SteadyNow();
  const std::string reply = tested.Query();
  EXPECT_LT(SteadyNow() - before, std::chrono::seconds(1)) << GetParam().mGuardsAgainst;
  EXPECT_EQ(ParseStatus(reply), 200U) << reply;
  EXPECT_NE(reply.find("\"covered\":2000"), std::string::npos) << reply;
  EXPECT_NE(reply.find("\"shard\":\"d-1\""), std::string::npos) << reply;
  tested.mBehaviour = behaviour::Good;
  EXPECT_TRUE(tested.AnswersCompletely());
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  bad_backend_test,
  testing::Values(backend_row{ "a server that does not answer", behaviour::Silent },
                  backend_row{ "the reply of another shard", behaviour::WrongShard },
                  backend_row{ "records of another snapshot", behaviour::WrongVersion },
                  backend_row{ "a reply that is not JSON", behaviour::NotJson }));

struct service_row
{
  const char* mGuardsAgainst;
  bool mStale;
  bool mDown;
};

class bad_service_test : public testing::TestWithParam<service_row>
{};

// Guards against tables that revert to an older revision, and against queries that fail while the
// configuration service is stale or down.
TEST_P(bad_service_test, TablesStayAndTheDaemonKeepsServing)
{
  deployment tested;
  ASSERT_TRUE(tested.AnswersCompletely());
  tested.mServiceStale = GetParam().mStale;
  tested.mServiceDown = GetParam().mDown;
  const std::size_t before = tested.mService.Requests();
  if (GetParam().mStale) {
    EXPECT_TRUE(WaitUntil([&] { return tested.mService.Requests() >= before + 3; }));
  }
  EXPECT_TRUE(tested.AnswersCompletely());
  EXPECT_NE(tested.View().find(R"("revisions":{"routes":12,"pools":31,"vms":5})"),
            std::string::npos)
    << tested.View();
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  bad_service_test,
  testing::Values(service_row{ "a service that answers with older tables", true, false },
                  service_row{ "a service that no longer answers", false, true }));

// Guards against operator paths that fail or leave out the permits or the metrics.
TEST(query_daemon_test, OperatorPathsAnswer)
{
  deployment tested;
  ASSERT_TRUE(tested.AnswersCompletely());
  const std::string explained =
    SendRequest(tested.mBound.mOperators, "GET", "/v1/explain?route=case-search&id=case-1");
  EXPECT_EQ(ParseStatus(explained), 200U);
  EXPECT_NE(explained.find("\"usable\":\"yes\""), std::string::npos) << explained;
  EXPECT_EQ(
    ParseStatus(SendRequest(tested.mBound.mOperators, "GET", "/v1/explain?route=none&id=1")), 404U);
  const std::string counted = SendRequest(tested.mBound.mOperators, "GET", "/metrics");
  EXPECT_NE(counted.find("redwingdock_query_latency_ms_count{route=\"case-search\""),
            std::string::npos)
    << counted;
}

// Guards against work for a caller that has disconnected, and against its request being kept for
// ever.
TEST(query_daemon_test, RequestOfADisconnectedCallerIsDropped)
{
  deployment tested;
  ASSERT_TRUE(tested.AnswersCompletely());
  tested.mBehaviour = behaviour::Silent;
  {
    blocking_socket socket(tested.mBound.mCallers);
    socket.Send(FormatPost("/v1/query", R"({"route":"case-search","deadline_ms":5000})"));
  }
  EXPECT_TRUE(WaitUntil([&] {
    return SendRequest(tested.mBound.mOperators, "GET", "/metrics")
             .find("redwingdock_requests_waiting 0") != std::string::npos;
  }));
}

// Guards against answers in the wrong order for pipelined requests.
TEST(query_daemon_test, PipelinedRequestsAreAnsweredInOrder)
{
  deployment tested;
  ASSERT_TRUE(tested.AnswersCompletely());
  blocking_socket socket(tested.mBound.mCallers);
  socket.Send(FormatPost("/v1/query", R"({"route":"case-search"})") +
              FormatPost("/v1/query", "{}") + "GET /none HTTP/1.1\r\nConnection: close\r\n\r\n");
  const std::string replies = socket.ReadToEnd();
  const std::size_t first = replies.find("\"outcome\":\"complete\"");
  const std::size_t second = replies.find("\"outcome\":\"rejected\"");
  const std::size_t third = replies.find("no such path");
  EXPECT_LT(first, second) << replies;
  EXPECT_LT(second, third) << replies;
  EXPECT_NE(third, std::string::npos) << replies;
}

// Guards against a planned stop that never ends or is reported as aborted.
TEST(query_daemon_test, PlannedStopEnds)
{
  deployment tested;
  ASSERT_TRUE(tested.AnswersCompletely());
  EXPECT_EQ(ParseStatus(SendRequest(tested.mBound.mOperators, "POST", "/v1/stop")), 202U);
  auto ended = std::async(std::launch::async, [&tested] { return tested.mDaemon.WaitForEnd(); });
  ASSERT_EQ(ended.wait_for(std::chrono::seconds(30)), std::future_status::ready);
  EXPECT_TRUE(ended.get());
}

struct stop_row
{
  const char* mGuardsAgainst;
  behaviour mBehaviour; // of the second server
  bool mTwice;          // the stop is requested again at once
  std::chrono::milliseconds mLimit;
};

class stop_test : public testing::TestWithParam<stop_row>
{};

struct caller_totals
{
  int mAnswered = 0;
  int mUnanswered = 0;

  auto operator<=>(const caller_totals&) const = default;
};

// Sends one query after the other until the daemon no longer accepts connections.
caller_totals SendUntilRefused(const std::string& aAddress, const std::atomic<bool>& aEnd)
{
  caller_totals totals;
  for (bool accepted = true; accepted;) {
    blocking_socket socket(aAddress);
    accepted = socket.Connected();
    for (bool kept = accepted; kept;) {
      socket.Send(FormatPost("/v1/query", R"({"route":"case-search","deadline_ms":5000})"));
      const std::string reply = socket.ReadReply();
      const bool answered = ParseStatus(reply) != 0;
      totals.mAnswered += answered ? 1 : 0;
      totals.mUnanswered += answered ? 0 : 1;
      kept = answered && !aEnd && reply.find("Connection: close") == std::string::npos;
      accepted = !aEnd;
    }
  }
  return totals;
}

// Guards against a stop that waits for work without a limit, and against queries and connections
// that it leaves without an answer.
TEST_P(stop_test, AnswersOpenQueriesAndEnds)
{
  constexpr int kCallers = 4;
  deployment tested(std::chrono::milliseconds(500));
  ASSERT_TRUE(tested.AnswersCompletely());
  tested.mBehaviour = GetParam().mBehaviour;
  const std::size_t before = tested.mSecondServer.Requests();
  std::atomic<bool> end{ false };
  std::vector<std::future<caller_totals>> callers;
  callers.reserve(kCallers);
  for (int i = 0; i < kCallers; ++i) {
    callers.push_back(std::async(std::launch::async,
                                 [&] { return SendUntilRefused(tested.mBound.mCallers, end); }));
  }
  EXPECT_TRUE(WaitUntil([&] { return tested.mSecondServer.Requests() > before; }));
  auto ended = std::async(std::launch::async, [&tested] { return tested.mDaemon.WaitForEnd(); });
  tested.mDaemon.RequestStop();
  if (GetParam().mTwice) {
    tested.mDaemon.RequestStop();
  }
  EXPECT_EQ(ended.wait_for(GetParam().mLimit), std::future_status::ready)
    << GetParam().mGuardsAgainst;
  end = true;
  caller_totals totals;
  for (std::future<caller_totals>& each : callers) {
    const caller_totals own = each.get();
    totals.mAnswered += own.mAnswered;
    totals.mUnanswered += own.mUnanswered;
  }
  EXPECT_EQ(totals.mUnanswered, 0) << GetParam().mGuardsAgainst;
  EXPECT_GE(totals.mAnswered, kCallers);
  if (ended.wait_for(std::chrono::seconds(0)) == std::future_status::ready) {
    EXPECT_EQ(ended.get(), !GetParam().mTwice);
  }
}

// The daemon serves for 2.05 s after the first request and has 0.5 s to finish; closing takes 0.4
// s, and 1 s more for callers that do not close. The rest is for a slow machine.
INSTANTIATE_TEST_SUITE_P(rows,
                         stop_test,
                         testing::Values(stop_row{ "a stop that never ends under load",
                                                   behaviour::Good,
                                                   false,
                                                   std::chrono::milliseconds(6000) },
                                         stop_row{
                                           "a stop that waits for a server that does not answer",
                                           behaviour::Silent,
                                           false,
                                           std::chrono::milliseconds(6000) },
                                         stop_row{ "a second stop request that drops open queries",
                                                   behaviour::Silent,
                                                   true,
                                                   std::chrono::milliseconds(2500) }));

class partly_read_test : public testing::TestWithParam<bool>
{};

// Guards against a request that has been read in part when the daemon ends and gets no answer.
TEST_P(partly_read_test, IsAnsweredBeforeTheEnd)
{
  deployment tested(std::chrono::milliseconds(500));
  ASSERT_TRUE(tested.AnswersCompletely());
  const std::string request = FormatPost("/v1/query", R"({"route":"case-search"})");
  blocking_socket socket(tested.mBound.mCallers);
  socket.Send(request.substr(0, request.size() - 5));
  auto ended = std::async(std::launch::async, [&tested] { return tested.mDaemon.WaitForEnd(); });
  tested.mDaemon.RequestStop();
  if (GetParam()) {
    tested.mDaemon.RequestStop();
  }
  const std::string reply = socket.ReadToEnd();
  EXPECT_EQ(ParseStatus(reply), 503U) << reply;
  EXPECT_NE(reply.find("\"outcome\":\"not_run\""), std::string::npos) << reply;
  EXPECT_EQ(ended.wait_for(std::chrono::seconds(6)), std::future_status::ready);
}

// Whether the stop is requested a second time.
INSTANTIATE_TEST_SUITE_P(cases, partly_read_test, testing::Values(false, true));

// Guards against an error for an address in use that does not name the address.
TEST(query_daemon_test, AddressInUseIsReported)
{
  deployment tested;
  daemon_settings settings = tested.Settings();
  settings.mListenCallers = tested.mBound.mCallers;
  query_daemon second(settings, record_search_hooks{});
  const result<daemon_addresses> bound = second.Start();
  ASSERT_FALSE(bound);
  EXPECT_EQ(bound.mReason.mPeer, tested.mBound.mCallers);
}

} // namespace
} // namespace redwingdock
