#ifndef REDWINGDOCK_PLATFORM_EDGE_FIXTURE_H
#define REDWINGDOCK_PLATFORM_EDGE_FIXTURE_H

#include "daemon/http_exchange.h"
#include "platform/edge_daemon.h"
#include "platform/protocol_names.h"
#include "platform/standin.h"

#include <future>
#include <gtest/gtest.h>

// A daemon of the users' platform with stand-ins for the store and the replicas, for tests.
//
//   edge_fixture fixture;
//   fixture.Publish();
//   ASSERT_TRUE(fixture.WaitUntilReady());
//   fixture.Exchange(fixture.mBound.mCallers, EdgeRequest("/p/x"));

namespace redwingdock::platform {

inline const std::string kConfiguration =
  R"({"version":1,"routes":[)"
  R"({"name":"g","host":"h.example","prefix":"/g/","kind":"safe","timeoutMs":900,)"
  R"("targetLatencyMs":300,"gather":["a","b","c"],"maxAttempts":2,"topK":2,)"
  R"("minimumSuccessShare":0.6},)"
  R"({"name":"p","host":"h.example","prefix":"/p/","kind":"safe","timeoutMs":900,)"
  R"("targetLatencyMs":300,"service":"a","maxAttempts":2},)"
  R"({"name":"u","host":"h.example","prefix":"/u/","kind":"unsafe","timeoutMs":900,)"
  R"("targetLatencyMs":300,"service":"b","maxAttempts":2},)"
  R"({"name":"l","host":"h.example","prefix":"/long/","kind":"unsafe","timeoutMs":6000,)"
  R"("targetLatencyMs":300,"service":"b","maxAttempts":2},)"
  R"({"name":"s","host":"h.example","prefix":"/slow/","kind":"unsafe","timeoutMs":6000,)"
  R"("targetLatencyMs":1000,"service":"b","maxAttempts":2}],)"
  R"("services":[{"name":"a","connectionLimit":20},{"name":"b","connectionLimit":20},)"
  R"({"name":"c","connectionLimit":20}],)"
  R"("limits":{"maxHeaderBytes":4096,"maxBodyBytes":1000,"headerTimeoutMs":300,)"
  R"("idleTimeoutMs":2000}})";

// The store's entry of a ready replica.
inline std::string EntryAt(const std::string& aService, const std::string& aAddress)
{
  return R"({"service":")" + aService + R"(","address":")" + aAddress +
         R"(","zone":"zone-1","version":"v1","slots":3,"state":"ready",)"
         R"("warmupRemainingMs":0,"sequence":9,"born":2})";
}

// One daemon with a store and one replica for each of the services a, b and c.
class edge_fixture
{
public:
  explicit edge_fixture(const forward_config& aForward = {})
    : mLoop(2)
    , mStore(mLoop)
    , mExchanges(mLoop)
  {
    for (const char* service : { "a", "b", "c" }) {
      auto replica =
        std::make_unique<replica_standin>(mLoop, std::string("i-") + service, replica_behaviour{});
      EXPECT_TRUE(replica->ListenOn("127.0.0.1:0"));
      mReplicas.emplace(service, std::move(replica));
    }
    edge_settings settings;
    settings.mCore.mVm = "vm-1";
    settings.mCore.mZone = "zone-1";
    settings.mListenCallers = "127.0.0.1:0";
    settings.mListenReadiness = "127.0.0.1:0";
    settings.mListenAddresses = "127.0.0.1:0";
    settings.mListenPeers = "127.0.0.1:0";
    settings.mListenMetrics = "127.0.0.1:0";
    const result<std::string> store = mStore.ListenOn("127.0.0.1:0");
    settings.mStore = store ? *store : "";
    settings.mCore.mCallAddress = "127.0.0.1:1";
    settings.mCore.mAddress = "127.0.0.1:2";
    settings.mCore.mLogDecisions = false;
    settings.mCore.mForward = aForward;
    mLoop.Start();
    mDaemon = std::make_unique<edge_daemon>(settings, forward_hooks{});
    mBound = *mDaemon->Start();
  }

  ~edge_fixture()
  {
    mDaemon.reset();
    mLoop.Stop();
  }

  // Publishes the replicas, except that of aWithout, then the configuration.
  void Publish(const std::string& aWithout = "")
  {
    for (const auto& [service, replica] : mReplicas) {
      if (service != aWithout) {
        mStore.Put("servers/i-" + service, replica->PublishedEntry(service, "zone-1", false));
      }
    }
    mStore.Put("op/config", kConfiguration);
  }

  // Polls the readiness path for up to 3 s, the limit for a change of the configuration to take
  // effect.
  bool WaitUntilReady()
  {
    const instant latest = SteadyNow() + std::chrono::seconds(3);
    while (SteadyNow() < latest) {
      if (Get(mBound.mReadiness, "/readiness").mStatus == 200) {
        return true;
      }
      WaitFor(std::chrono::milliseconds(5));
    }
    return false;
  }

  void WaitFor(micros aTime)
  {
    std::promise<void> elapsed;
    mLoop.After(aTime, [&elapsed] { elapsed.set_value(); });
    elapsed.get_future().wait();
  }

  http_message Get(const std::string& aAddress, const std::string& aTarget)
  {
    return Exchange(aAddress, "GET " + aTarget + " HTTP/1.1\r\nHost: h.example\r\n\r\n");
  }

  // Sends the bytes on a new connection. The reply has status 0 if the connection ends before a
  // complete reply.
  http_message Exchange(const std::string& aAddress, const std::string& aBytes)
  {
    auto done = std::make_shared<std::promise<http_message>>();
    auto reader = std::make_shared<http_reader>(http_side::Client, http_read_limits{ 100'000 });
    auto delivered = std::make_shared<std::atomic<bool>>(false);
    tcp_hooks hooks;
    hooks.mOnBytes = [done, reader, delivered](std::string_view aReceived) {
      if (reader->Feed(aReceived) == http_read_status::Complete && !delivered->exchange(true)) {
        done->set_value(reader->Take());
      }
    };
    hooks.mOnClosed = [done, delivered](const tcp_close_info&) {
      if (!delivered->exchange(true)) {
        done->set_value({});
      }
    };
    auto connection = Connect(mLoop, aAddress, std::chrono::seconds(1), std::move(hooks));
    connection->Send(aBytes);
    http_message reply = done->get_future().get();
    connection->Close("test done");
    return reply;
  }

  io_loop mLoop;
  store_standin mStore;
  std::map<std::string, std::unique_ptr<replica_standin>> mReplicas;
  http_exchange_client mExchanges;
  std::unique_ptr<edge_daemon> mDaemon;
  edge_addresses mBound;
  std::vector<std::shared_ptr<tcp_connection>> mProbes;
};

inline std::string EdgeRequest(const std::string& aTarget, const std::string& aRest = "\r\n")
{
  return "GET " + aTarget + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id-1\r\n" + aRest;
}

inline std::string RequestWithId(const std::string& aTarget, const std::string& aId)
{
  return "GET " + aTarget + " HTTP/1.1\r\nHost: h.example\r\n" + kAttemptIdHeader + ": " + aId +
         "\r\n\r\n";
}

} // namespace redwingdock::platform

#endif
