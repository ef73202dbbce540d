#include "standin/frontend.h"

#include "tables/parse.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>
#include <functional>
#include <gtest/gtest.h>
#include <thread>

namespace redwingdock::standin {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using tcp = asio::ip::tcp;

constexpr char kHost[] = "127.0.1.200";
constexpr std::chrono::seconds kReplyTimeout(5); // elapses only when a reply is missing

// Returns an address whose port was free when it was checked.
std::string FreeAddress()
{
  asio::io_context io;
  const tcp::acceptor acceptor(io, { asio::ip::make_address(kHost), 0 });
  return std::string(kHost) + ":" + std::to_string(acceptor.local_endpoint().port());
}

struct reply
{
  unsigned mStatus = 0; // 0 when no complete reply was received
  std::string mBody;
  std::string mRevision;
};

// A blocking client that waits at most kReplyTimeout for a reply.
class client
{
public:
  explicit client(const std::string& aAddress)
    : mSocket(mIo)
  {
    const auto port = std::stoi(aAddress.substr(aAddress.rfind(':') + 1));
    mSocket.connect({ asio::ip::make_address(kHost), static_cast<unsigned short>(port) }, mError);
  }

  bool Connected() const { return !mError; }

  void Send(http::verb aVerb, const std::string& aTarget, const std::string& aBody)
  {
    http::request<http::string_body> request(aVerb, aTarget, 11, aBody);
    request.set(http::field::host, kHost);
    request.prepare_payload();
    http::write(mSocket, request, mError);
  }

  reply Receive(std::chrono::milliseconds aTimeout = kReplyTimeout)
  {
    http::response<http::string_body> response;
    mError = asio::error::timed_out;
    http::async_read(
      mSocket,
      mBuffer,
      response,
      [this](const boost::system::error_code& aError, std::size_t /*aBytes*/) { mError = aError; });
    mIo.restart();
    mIo.run_for(aTimeout);
    if (mError == asio::error::timed_out) {
      mSocket.cancel();
      mIo.run(); // the cancelled read still refers to the response
      mError = asio::error::timed_out;
    }
    return mError ? reply{}
                  : reply{ response.result_int(),
                           response.body(),
                           std::string(response["Table-Revision"]) };
  }

  reply Post(const std::string& aTarget, const std::string& aBody)
  {
    Send(http::verb::post, aTarget, aBody);
    return Receive();
  }

  reply Get(const std::string& aTarget)
  {
    Send(http::verb::get, aTarget, "");
    return Receive();
  }

private:
  asio::io_context mIo;
  tcp::socket mSocket;
  boost::system::error_code mError;
  boost::beast::flat_buffer mBuffer;
};

// Runs a stand-in with one server, which has one slot, owns all positions and starts warm.
class frontend_test : public testing::Test
{
protected:
  frontend_test()
    : mIo(1)
    , mServer(FreeAddress())
    , mPlatform(FreeAddress())
    , mAdmin(FreeAddress())
  {
    standin_input input;
    input.mConfig.mPlatformAddress = mPlatform;
    input.mConfig.mAdminAddress = mAdmin;
    input.mConfig.mStartWarm = true;
    input.mConfig.mDefaults.mVersions = { { 40, 3 } };
    input.mConfig.mDefaults.mServiceMedian = std::chrono::milliseconds(1);
    const std::string pools = "revision: 7\npools: [{name: p, slots: 1, connections: 3, shards: "
                              "[{name: h, ranges: {3: [[0, 4096]]}, servers: [{name: s, zone: z, "
                              "address: \"" +
                              mServer + "\"}]}]}]";
    input.mParsedPools = *ParsePools(pools, "pools.yaml");
    input.mPools = { 7, std::make_shared<const std::string>(pools) };
    input.mVms = { 1, std::make_shared<const std::string>("revision: 1\nvms: []") };
    input.mRecords["p"] = std::make_shared<const record_store>(
      *ReadRecords(R"({"id": "r1", "fields": {"office": "Sololá"}})", "r.jsonl"));
    mFrontend = std::make_unique<standin_frontend>(mIo, std::move(input));
    const auto listening = mFrontend->Listen();
    EXPECT_TRUE(listening) << Describe(listening.mReason);
    mThread = std::thread([this] { mIo.run(); });
  }

  ~frontend_test() override
  {
    mIo.stop();
    mThread.join();
  }
  frontend_test(const frontend_test&) = delete;
  frontend_test& operator=(const frontend_test&) = delete;

  static std::string Part(const std::string& aNumber, const std::string& aOffice = "Sololá")
  {
    return R"({"attempt": "vm.1#)" + aNumber +
           R"(", "server": "s", "pool": "p", "shard": "h", "version": 0, "operation": "search",
             "filter": {"office": ")" +
           aOffice + R"("}, "request_key": "", "urgency": "normal", "deadline_ms": 5000})";
  }

  static std::string Submit(const std::string& aKey)
  {
    return R"({"attempt": "vm.1#9", "server": "s", "pool": "p", "shard": "h", "version": 40,
               "operation": "submit", "filter": {"id": "new"}, "request_key": ")" +
           aKey + R"(", "urgency": "urgent", "deadline_ms": 1000})";
  }

  void Admin(const std::string& aTarget, const std::string& aBody) const
  {
    const reply done = client(mAdmin).Post("/admin/" + aTarget, aBody);
    ASSERT_EQ(done.mStatus, 200U) << done.mBody;
  }

  json::value State() const { return json::parse(client(mAdmin).Get("/admin/state").mBody); }

  std::int64_t Count(const std::string& aName) const
  {
    return Server().at("counts").at(aName).as_int64();
  }

  json::value Server() const { return State().at("servers").at("s"); }

  // Checks the condition every 5 ms for at most 3 s.
  static bool WaitFor(const std::function<bool()>& aCondition)
  {
    asio::io_context io;
    for (int i = 0; i < 600; ++i) {
      if (aCondition()) {
        return true;
      }
      asio::steady_timer(io, std::chrono::milliseconds(5)).wait();
    }
    return false;
  }

  asio::io_context mIo;
  std::string mServer;
  std::string mPlatform;
  std::string mAdmin;
  std::unique_ptr<standin_frontend> mFrontend;
  std::thread mThread;
};

// Guards against replies that do not follow docs/interfaces.md.
TEST_F(frontend_test, RepliesToPartWithMatchingRecords)
{
  client connection(mServer);
  const json::value found = json::parse(connection.Post("/v1/part", Part("1")).mBody);
  EXPECT_EQ(found, json::parse(R"({"attempt": "vm.1#1", "server": "s", "shard": "h", "version": 40,
    "map": 3, "records": [{"id": "r1", "fields": {"office": "Sololá"}}], "evidence": {"instance":
    "s-1", "mode": "warm", "versions": [{"version": 40, "map": 3}]}})"));
  const json::value health = json::parse(connection.Get("/v1/health").mBody);
  EXPECT_EQ(health, json::parse(R"({"status": "ok", "instance": "s-1", "mode": "warm",
    "in_flight": 0, "connections": 1})"));
  EXPECT_EQ(connection.Post("/v1/part", "{}").mStatus, 400U);
}

// Guards against a repeated run of a request key or an attempt that is missing from the counts.
TEST_F(frontend_test, ReportsRepeatedKeysAndAttempts)
{
  client connection(mServer);
  EXPECT_EQ(connection.Post("/v1/part", Submit("k")).mStatus, 200U);
  EXPECT_EQ(connection.Post("/v1/part", Submit("k")).mStatus, 200U);
  const json::value state = State();
  EXPECT_EQ(state.at("request_keys").at("k").as_int64(), 2);
  EXPECT_EQ(state.at("repeated_attempts").at("vm.1#9").as_int64(), 2);
  EXPECT_EQ(state.at("summary").at("repeated_keys").as_int64(), 1);
  Admin("reset", "{}");
  EXPECT_EQ(State().at("request_keys"), json::object());
  EXPECT_EQ(Count("requests"), 0);
}

// Guards against a refusal or a cancellation that reports wrongly whether the part ran.
TEST_F(frontend_test, ShedsAboveSlotsAndCancelsParts)
{
  Admin("servers", R"({"set": {"latency_ms": 4000}})");
  client first(mServer);
  client second(mServer);
  first.Send(http::verb::post, "/v1/part", Part("1"));
  ASSERT_TRUE(WaitFor([this] { return Count("run") == 1; }));
  const json::value shed = json::parse(second.Post("/v1/part", Part("2")).mBody);
  EXPECT_EQ(shed.at("refusal").as_string(), "shed");
  EXPECT_TRUE(shed.at("not_run").as_bool());
  EXPECT_EQ(second.Post("/v1/cancel", R"({"attempt": "vm.1#1"})").mStatus, 200U);
  const json::value cancelled = json::parse(first.Receive().mBody);
  EXPECT_EQ(cancelled.at("refusal").as_string(), "cancelled");
  EXPECT_FALSE(cancelled.at("not_run").as_bool());
}

// Guards against connections that are served above the limit, and closed ones that still count.
TEST_F(frontend_test, ResetsConnectionsAboveTheLimit)
{
  std::vector<std::unique_ptr<client>> open;
  for (int i = 0; i < 3; ++i) {
    open.push_back(std::make_unique<client>(mServer));
    EXPECT_EQ(open.back()->Get("/v1/health").mStatus, 200U);
  }
  EXPECT_EQ(client(mServer).Get("/v1/health").mStatus, 0U);
  open.pop_back();
  ASSERT_TRUE(WaitFor([this] { return Server().at("connections").as_int64() == 2; }));
  EXPECT_EQ(client(mServer).Get("/v1/health").mStatus, 200U);
  EXPECT_EQ(Count("most_connections"), 4);
}

// Guards against a crash that leaves other connections or the port open, and against a restart that
// keeps the instance or the warm state.
TEST_F(frontend_test, CrashesOnConfiguredFilterAndRestartsCold)
{
  Admin("servers",
        R"({"set": {"crash_field": "office", "crash_value": "poison", "restart_ms": 300}})");
  client other(mServer);
  EXPECT_EQ(other.Get("/v1/health").mStatus, 200U);
  EXPECT_EQ(client(mServer).Post("/v1/part", Part("1", "poison")).mStatus, 0U);
  EXPECT_EQ(other.Get("/v1/health").mStatus, 0U);
  EXPECT_FALSE(client(mServer).Connected());
  ASSERT_TRUE(WaitFor([this] { return Server().at("phase").as_string() == "up"; }));
  const json::value health = json::parse(client(mServer).Get("/v1/health").mBody);
  EXPECT_EQ(health.at("instance").as_string(), "s-2");
  EXPECT_EQ(health.at("mode").as_string(), "cold");
}

// Guards against a silent connection that the client can distinguish from a slow reply, or that
// stops counting as soon as the client closes it.
TEST_F(frontend_test, SilentConnectionStaysOpenAndCounts)
{
  {
    client silent(mServer);
    EXPECT_EQ(silent.Get("/v1/health").mStatus, 200U);
    Admin("servers", R"({"do": "silence"})");
    silent.Send(http::verb::post, "/v1/part", Part("1"));
    EXPECT_EQ(silent.Receive(std::chrono::milliseconds(200)).mStatus, 0U);
    EXPECT_EQ(client(mServer).Post("/v1/part", Part("1")).mStatus, 200U);
  }
  EXPECT_GE(Server().at("connections").as_int64(), 1);
  EXPECT_EQ(Count("swallowed"), 1);
}

struct bad_row
{
  const char* mGuardsAgainst;
  const char* mKind;
  unsigned mStatus;
  const char* mContains;
};

class bad_reply_test
  : public frontend_test
  , public testing::WithParamInterface<bad_row>
{};

TEST_P(bad_reply_test, IsSentAsConfigured)
{
  Admin("servers",
        R"({"set": {"bad_reply_share": 1, "bad_reply": ")" + std::string(GetParam().mKind) +
          "\"}}");
  const reply found = client(mServer).Post("/v1/part", Part("1"));
  EXPECT_EQ(found.mStatus, GetParam().mStatus) << GetParam().mGuardsAgainst;
  EXPECT_NE(found.mBody.find(GetParam().mContains), std::string::npos) << found.mBody;
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  bad_reply_test,
  testing::Values(
    bad_row{ "a truncated reply that the client accepts as complete", "truncated", 0, "" },
    bad_row{ "a reply that is JSON", "not_json", 200, "<html>" },
    bad_row{ "a reply with the correct attempt", "wrong_attempt", 200, "\"other#1\"" },
    bad_row{ "a reply with the correct version",
             "wrong_version",
             200,
             "\"version\":41,\"map\":3" }));

// Guards against watches that miss a revision, and against a service that replies while it is off.
TEST_F(frontend_test, ServesTablesAndWatches)
{
  client watch(mPlatform);
  EXPECT_EQ(watch.Get("/v1/tables/pools").mRevision, "7");
  const reply none = watch.Get("/v1/tables/pools?after=7&wait_ms=5");
  EXPECT_EQ(none.mStatus, 204U);
  EXPECT_EQ(none.mRevision, "7");
  watch.Send(http::verb::get, "/v1/tables/pools?wait_ms=2000&after=7", "");
  Admin("tables", R"({"edit": "close_zone", "name": "z"})");
  const reply changed = watch.Receive();
  EXPECT_EQ(changed.mRevision, "8");
  EXPECT_NE(changed.mBody.find("closed_zones: [z]"), std::string::npos);
  EXPECT_EQ(watch.Post("/v1/tables/pools", "").mStatus, 405U);
  Admin("platform", R"({"mode": "off"})");
  EXPECT_EQ(watch.Get("/v1/vms").mStatus, 0U);
  EXPECT_FALSE(client(mPlatform).Connected());
  Admin("platform", R"({"mode": "ok"})");
  EXPECT_EQ(client(mPlatform).Get("/v1/vms").mRevision, "1");
  EXPECT_EQ(State().at("platform").at("tables").at("pools").at("reads").as_int64(), 3);
}

} // namespace
} // namespace redwingdock::standin
