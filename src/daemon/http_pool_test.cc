#include "daemon/http_pool.h"

#include "daemon/loopback_test_util.h"

#include <array>
#include <future>
#include <gtest/gtest.h>

namespace redwingdock {
namespace {

using std::chrono::milliseconds;
using test_util::AfterTurns;

// A server that sends the nth entry as the reply to the nth request, counted over all connections.
// For an empty entry it closes the connection; for one that ends in '$' it sends the rest first.
class scripted_server
{
public:
  scripted_server(io_loop& aLoop, std::vector<std::string> aReplies)
    : mReplies(std::move(aReplies))
  {
    auto listener =
      Listen(aLoop, "127.0.0.1:0", [this](const std::shared_ptr<tcp_connection>& aConnection) {
        Accepted(aConnection);
      });
    mListener = *listener;
  }

  std::string Address() const { return mListener->Address(); }
  std::size_t Connections() const { return mCount; }
  void SendToAll(const std::string& aBytes)
  {
    const std::lock_guard lock(mLock);
    for (const std::shared_ptr<tcp_connection>& each : mAccepted) {
      each->Send(aBytes);
    }
  }

private:
  void Accepted(const std::shared_ptr<tcp_connection>& aConnection)
  {
    ++mCount;
    {
      const std::lock_guard lock(mLock);
      mAccepted.push_back(aConnection);
    }
    auto reader = std::make_shared<http_reader>(http_side::Server, http_read_limits{ 1000 });
    tcp_hooks hooks;
    // A weak pointer, since hooks that own their connection would form a reference cycle.
    hooks.mOnBytes = [this, weak = std::weak_ptr(aConnection), reader](std::string_view aBytes) {
      const std::shared_ptr<tcp_connection> connection = weak.lock();
      if (!connection || reader->Feed(aBytes) != http_read_status::Complete) {
        return;
      }
      reader->Take();
      const std::string reply = mNext < mReplies.size() ? mReplies[mNext++] : "";
      if (reply.empty()) {
        connection->Close("script");
      } else if (reply.back() == '$') {
        connection->Send(reply.substr(0, reply.size() - 1));
        connection->CloseAfterSend("script");
      } else {
        connection->Send(reply);
      }
    };
    aConnection->Start(std::move(hooks));
  }

  const std::vector<std::string> mReplies;
  std::atomic<std::size_t> mNext{ 0 };
  std::atomic<std::size_t> mCount{ 0 };
  std::mutex mLock;
  std::vector<std::shared_ptr<tcp_connection>> mAccepted;
  std::shared_ptr<tcp_listener> mListener;
};

pool_result SendAndWait(http_pool& aPool,
                        std::uint64_t aId,
                        const std::string& aAddress,
                        std::uint64_t aRepeatKey = 0)
{
  auto done = std::make_shared<std::promise<pool_result>>();
  pool_request request;
  request.mId = aId;
  request.mAddress = aAddress;
  request.mText = FormatRequest("GET", "/", "h", "");
  request.mReplyTimeout = milliseconds(300);
  request.mRepeatKey = aRepeatKey;
  request.mMatchesReply = [aId](const http_message& aReply) {
    const std::string* field = aReply.Find("Id");
    return field == nullptr || *field == std::to_string(aId);
  };
  aPool.Start(std::move(request), [done](const pool_result& aResult) { done->set_value(aResult); });
  return done->get_future().get();
}

std::string Reply(int aId, const std::string& aRest = "Content-Length: 2\r\n\r\nok")
{
  return "HTTP/1.1 200 OK\r\nId: " + std::to_string(aId) + "\r\n" + aRest;
}

std::string Repeated(const std::string& aText, std::size_t aTimes)
{
  std::string all;
  for (std::size_t i = 0; i < aTimes; ++i) {
    all += aText;
  }
  return all;
}

struct pool_row
{
  const char* mGuardsAgainst;
  std::vector<std::string> mReplies;
  std::vector<pool_outcome> mOutcomes; // of consecutive requests with ids from 1
  std::size_t mConnections;
};

class pool_test : public testing::TestWithParam<pool_row>
{};

TEST_P(pool_test, OutcomesAndConnections)
{
  io_loop loop(2);
  scripted_server server(loop, GetParam().mReplies);
  http_pool pool(loop, { .mIncompleteBytes = 20'000 });
  loop.Start();
  for (std::size_t i = 0; i < GetParam().mOutcomes.size(); ++i) {
    const pool_result result = SendAndWait(pool, i + 1, server.Address());
    EXPECT_EQ(result.mOutcome, GetParam().mOutcomes[i])
      << GetParam().mGuardsAgainst << ", request " << i + 1;
    if (result.mOutcome == pool_outcome::Answered) {
      EXPECT_EQ(result.mReply.mBody, "ok") << GetParam().mGuardsAgainst;
    }
  }
  EXPECT_EQ(server.Connections(), GetParam().mConnections) << GetParam().mGuardsAgainst;
  loop.Stop();
}

constexpr pool_outcome kAnswered = pool_outcome::Answered;
constexpr pool_outcome kBroken = pool_outcome::Broken;

INSTANTIATE_TEST_SUITE_P(
  cases,
  pool_test,
  testing::Values(pool_row{ "idle connections are not reused",
                            { Reply(1), Reply(2) },
                            { kAnswered, kAnswered },
                            1 },
                  pool_row{
                    "a connection is reused despite \"Connection: close\"",
                    { Reply(1, "Connection: close\r\nContent-Length: 2\r\n\r\nok"), Reply(2) },
                    { kAnswered, kAnswered },
                    2 },
                  pool_row{ "a duplicate reply is taken for the next request's",
                            { Reply(1) + Reply(1), Reply(2) },
                            { kAnswered, kAnswered },
                            2 },
                  pool_row{ "a late duplicate reply is taken for the next request's",
                            { Reply(1), Reply(1) + Reply(2), Reply(3) },
                            { kAnswered, kAnswered, kAnswered },
                            2 },
                  pool_row{ "a truncated body counts as complete",
                            { Reply(1, "Content-Length: 5\r\n\r\nok") + "$", Reply(2) },
                            { kBroken, kAnswered },
                            2 },
                  pool_row{ "a body delimited by the end of the connection is lost",
                            { Reply(1, "\r\nok") + "$", Reply(2) },
                            { kAnswered, kAnswered },
                            2 },
                  pool_row{ "bytes that are not HTTP are accepted as a reply",
                            { "nonsense\r\n\r\n", Reply(2) },
                            { kBroken, kAnswered },
                            2 },
                  pool_row{ "replies to other requests are skipped without end",
                            { Repeated(Reply(9), 100), Reply(2) },
                            { kBroken, kAnswered },
                            2 },
                  pool_row{ "incomplete replies use memory without limit, or are counted after "
                            "their connection ended",
                            { Reply(1, "Content-Length: 90000\r\n\r\n" + std::string(30'000, 'x')),
                              Reply(2, "Content-Length: 90000\r\n\r\n" + std::string(30'000, 'x')),
                              Reply(3) },
                            { kBroken, kBroken, kAnswered },
                            3 },
                  pool_row{ "a request hangs when its connection is closed",
                            { "", Reply(2) },
                            { kBroken, kAnswered },
                            2 }));

INSTANTIATE_TEST_SUITE_P(
  statuses,
  pool_test,
  testing::Values(pool_row{ "a reply with the status 000 is accepted, or its connection reused",
                            { "HTTP/1.1 000 X\r\nId: 1\r\nContent-Length: 2\r\n\r\nok", Reply(2) },
                            { kBroken, kAnswered },
                            2 },
                  pool_row{ "the reply behind a broken duplicate is accepted",
                            { Reply(1),
                              "HTTP/1.1 600 X\r\nId: 1\r\nContent-Length: 0\r\n\r\n" + Reply(2),
                              Reply(3) },
                            { kAnswered, kBroken, kAnswered },
                            2 }));

INSTANTIATE_TEST_SUITE_P(
  interim_replies,
  pool_test,
  testing::Values(pool_row{ "an interim reply is taken for the reply, or its connection is lost",
                            { "HTTP/1.1 100 Continue\r\n\r\n" + Reply(1), Reply(2) },
                            { kAnswered, kAnswered },
                            1 },
                  pool_row{ "an interim reply to this request counts as a reply to another one",
                            { "HTTP/1.1 103 X\r\nId: 9\r\n\r\n" + Reply(1), Reply(2) },
                            { kAnswered, kAnswered },
                            1 },
                  pool_row{ "an interim reply is accepted when no reply follows",
                            { "HTTP/1.1 103 X\r\nId: 1\r\n\r\n$", Reply(2) },
                            { kBroken, kAnswered },
                            2 },
                  pool_row{ "a connection is reused with an interim reply behind the reply",
                            { Reply(1) + "HTTP/1.1 103 X\r\n\r\n", Reply(2) },
                            { kAnswered, kAnswered },
                            2 }));

struct idle_age_row
{
  const char* mGuardsAgainst;
  micros mMaxIdleAge; // of the second and third request
  std::size_t mConnections;
};

class idle_age_test : public testing::TestWithParam<idle_age_row>
{};

TEST_P(idle_age_test, ReusesOnlyConnectionsWithARecentReply)
{
  io_loop loop(2);
  scripted_server server(loop, { Reply(1), Reply(2), Reply(3) });
  http_pool pool(loop);
  loop.Start();
  for (std::uint64_t id : { 1, 2, 3 }) {
    std::promise<pool_outcome> done;
    pool.Start({ .mId = id,
                 .mAddress = server.Address(),
                 .mText = FormatRequest("GET", "/", "h", ""),
                 .mConnections = 1,
                 .mMaxIdleAge = id == 1 ? micros(0) : GetParam().mMaxIdleAge },
               [&done](const pool_result& aResult) { done.set_value(aResult.mOutcome); });
    EXPECT_EQ(done.get_future().get(), pool_outcome::Answered) << GetParam().mGuardsAgainst;
  }
  EXPECT_EQ(server.Connections(), GetParam().mConnections) << GetParam().mGuardsAgainst;
  loop.Stop();
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  idle_age_test,
  testing::Values(
    idle_age_row{ "idle connections are not reused", micros(0), 1 },
    idle_age_row{ "a connection with a recent reply is not reused", std::chrono::minutes(1), 1 },
    idle_age_row{
      "a connection with an old reply is reused, or counts against the limit when replaced",
      micros(1),
      3 }));

struct repeat_row
{
  const char* mGuardsAgainst;
  std::uint64_t mRepeatKeys[2];
  std::size_t mConnections;
};

class repeat_test : public testing::TestWithParam<repeat_row>
{};

TEST_P(repeat_test, UsesAnotherConnection)
{
  io_loop loop(2);
  scripted_server server(loop, { Reply(1), Reply(2) });
  http_pool pool(loop);
  loop.Start();
  for (const std::uint64_t id : { 1, 2 }) {
    const pool_result result =
      SendAndWait(pool, id, server.Address(), GetParam().mRepeatKeys[id - 1]);
    EXPECT_EQ(result.mOutcome, kAnswered) << GetParam().mGuardsAgainst;
  }
  EXPECT_EQ(server.Connections(), GetParam().mConnections) << GetParam().mGuardsAgainst;
  loop.Stop();
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  repeat_test,
  testing::Values(
    repeat_row{ "a second copy of a rejection is taken for the reply to the repeat", { 5, 5 }, 2 },
    repeat_row{ "each request opens a connection", { 5, 6 }, 1 },
    repeat_row{ "requests without repeats open connections", { 0, 0 }, 1 }));

TEST(http_pool, NamesWhatIsWrongWithAReply)
{
  // Guards against a log that does not tell a broken reply from a lost connection.
  io_loop loop(2);
  scripted_server server(loop, { "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n" });
  http_pool pool(loop);
  loop.Start();
  const pool_result result = SendAndWait(pool, 1, server.Address());
  EXPECT_EQ(result.mReason,
            (reason{ "read reply", server.Address(), "status 0 is not between 100 and 599" }));
  loop.Stop();
}

TEST(http_pool, ClosesTheConnectionWithMostIncompleteBytes)
{
  // Guards against a server that stalls in large replies, for which the replies of sound servers
  // are cut: they arrive in parts and exceed the common limit, too.
  io_loop loop(2);
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 90000\r\n\r\n";
  scripted_server stalling(loop,
                           { head + std::string(9000, 'x'), head + std::string(10'900, 'x') });
  scripted_server sound(loop, { Reply(3, "Content-Length: 12\r\n\r\n1234") });
  http_pool pool(loop, { .mIncompleteBytes = 20'000 });
  loop.Start();
  std::array<std::promise<pool_outcome>, 3> done;
  const auto start = [&](std::uint64_t aId, const std::string& aAddress) {
    pool.Start(
      { .mId = aId,
        .mAddress = aAddress,
        .mText = FormatRequest("GET", "/", "h", ""),
        .mReplyTimeout = milliseconds(400) },
      [&done, aId](const pool_result& aResult) { done[aId - 1].set_value(aResult.mOutcome); });
  };
  const auto wait = [&loop] {
    std::promise<void> elapsed;
    loop.After(milliseconds(50), [&elapsed] { elapsed.set_value(); });
    elapsed.get_future().wait();
  };
  start(1, stalling.Address());
  wait();
  start(2, stalling.Address());
  wait();
  start(3, sound.Address()); // exceeds the limit with its first part
  wait();
  sound.SendToAll("56789012");
  EXPECT_EQ(done[2].get_future().get(), kAnswered) << "the reply of a sound server is cut";
  EXPECT_EQ(done[1].get_future().get(), kBroken) << "the largest reply is kept";
  EXPECT_EQ(done[0].get_future().get(), pool_outcome::Expired) << "more than one reply is cut";
  loop.Stop();
}

TEST(http_pool, UnresponsiveServerEndsTheRequest)
{
  // Guards against a request that waits forever for an incomplete reply.
  io_loop loop(2);
  scripted_server server(loop, { "HTTP/1.1 200 OK\r\n" });
  http_pool pool(loop);
  loop.Start();
  EXPECT_EQ(SendAndWait(pool, 1, server.Address()).mOutcome, pool_outcome::Expired);
  loop.Stop();
}

struct closed_idle_row
{
  const char* mGuardsAgainst;
  std::uint32_t mConnections; // limit
  std::uint64_t mRepeatKey;
};

class closed_idle_test : public testing::TestWithParam<closed_idle_row>
{};

TEST_P(closed_idle_test, RequestGoesToAnotherConnection)
{
  const closed_idle_row& row = GetParam();
  const std::string reply = Reply(1, "Keep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok");
  // The turn of the loop at which the idle limit has closed the connection, and its hook has not
  // been called, depends on the order of the loop.
  for (std::size_t turns = 0; turns < 6; ++turns) {
    io_loop serverLoop(1);
    io_loop loop(1);
    scripted_server server(serverLoop, { reply, reply });
    http_pool pool(loop);
    serverLoop.Start();
    loop.Start();
    const auto start = [&](std::uint64_t aId, std::promise<pool_outcome>& aDone) {
      pool.Start({ .mId = aId,
                   .mAddress = server.Address(),
                   .mText = FormatRequest("GET", "/", "h", ""),
                   .mConnections = row.mConnections,
                   .mReplyTimeout = milliseconds(600),
                   .mRepeatKey = aId * row.mRepeatKey },
                 [&aDone](const pool_result& aResult) { aDone.set_value(aResult.mOutcome); });
    };
    std::array<std::promise<pool_outcome>, 2> done;
    start(1, done[0]);
    ASSERT_EQ(done[0].get_future().get(), kAnswered);
    loop.Post([&] {
      std::promise<void> limitPassed;
      serverLoop.After(milliseconds(250), [&limitPassed] { limitPassed.set_value(); });
      limitPassed.get_future().wait();
      AfterTurns(loop, turns, [&] { start(2, done[1]); });
    });
    EXPECT_EQ(done[1].get_future().get(), kAnswered)
      << row.mGuardsAgainst << ", after " << turns << " turns";
    loop.Stop();
    serverLoop.Stop();
  }
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  closed_idle_test,
  testing::Values(
    closed_idle_row{ "a request is lost on a connection that was closed before", 8, 0 },
    closed_idle_row{ "a request that may be repeated is lost on a closed connection", 8, 7 },
    closed_idle_row{ "a closed connection counts against the limit", 1, 0 }));

struct arrived_row
{
  const char* mGuardsAgainst;
  std::string mFirstReply;
};

class arrived_test : public testing::TestWithParam<arrived_row>
{};

TEST_P(arrived_test, RequestGoesToAnotherConnection)
{
  const arrived_row& row = GetParam();
  io_loop serverLoop(1);
  io_loop loop(1);
  scripted_server server(serverLoop, { row.mFirstReply, Reply(2) });
  http_pool pool(loop);
  serverLoop.Start();
  loop.Start();
  std::promise<pool_outcome> second;
  const auto start = [&](std::uint64_t aId, std::function<void(const pool_result&)> aDone) {
    pool.Start({ .mId = aId,
                 .mAddress = server.Address(),
                 .mText = FormatRequest("GET", "/", "h", ""),
                 .mReplyTimeout = milliseconds(600) },
               std::move(aDone));
  };
  // The loop reads nothing more until the hook returns.
  start(1, [&](const pool_result&) {
    std::promise<void> arrived;
    serverLoop.After(milliseconds(100), [&arrived] { arrived.set_value(); });
    server.SendToAll("x");
    arrived.get_future().wait();
    start(2, [&second](const pool_result& aResult) { second.set_value(aResult.mOutcome); });
  });
  EXPECT_EQ(second.get_future().get(), kAnswered) << row.mGuardsAgainst;
  EXPECT_EQ(server.Connections(), 2U) << row.mGuardsAgainst;
  loop.Stop();
  serverLoop.Stop();
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  arrived_test,
  testing::Values(
    arrived_row{ "a request is sent after the server has closed the connection", Reply(1) + "$" },
    arrived_row{ "a request is sent after bytes that belong to no request", Reply(1) }));

struct places_row
{
  const char* mGuardsAgainst;
  std::size_t mThreads;
  micros mMaxIdleAge;
};

class places_test : public testing::TestWithParam<places_row>
{};

// A server that closes each connection a moment after its reply, while the pool replaces it.
TEST_P(places_test, AreFreeOnceAllConnectionsHaveEnded)
{
  constexpr int kRounds = 20;
  constexpr int kBursts = 60;          // of a round
  constexpr std::size_t kRequests = 8; // of a burst
  constexpr int kMaxCloseDelayUs = 300;
  constexpr int kSingleRequests = 40; // after a round, with a limit of one connection
  const places_row& row = GetParam();
  io_loop serverLoop(2);
  io_loop loop(row.mThreads);
  std::atomic<int> replies{ 0 };
  std::mutex lock;
  std::vector<std::shared_ptr<tcp_connection>> accepted;
  auto listener =
    Listen(serverLoop, "127.0.0.1:0", [&](const std::shared_ptr<tcp_connection>& aConnection) {
      tcp_hooks hooks;
      hooks.mOnBytes = [&, weak = std::weak_ptr(aConnection)](std::string_view) {
        if (const std::shared_ptr<tcp_connection> connection = weak.lock()) {
          connection->Send(Reply(1));
          serverLoop.After(micros(++replies * 37 % kMaxCloseDelayUs),
                           [connection] { connection->Close("idle"); });
        }
      };
      {
        const std::lock_guard held(lock);
        accepted.push_back(aConnection);
      }
      aConnection->Start(std::move(hooks));
    });
  const std::string address = (*listener)->Address();
  http_pool pool(loop);
  serverLoop.Start();
  loop.Start();
  std::atomic<std::uint64_t> id{ 0 };
  const auto start = [&](std::uint32_t aConnections, std::function<void(pool_outcome)> aDone) {
    pool.Start({ .mId = ++id,
                 .mAddress = address,
                 .mText = FormatRequest("GET", "/", "h", ""),
                 .mConnections = aConnections,
                 .mMaxIdleAge = row.mMaxIdleAge },
               [done = std::move(aDone)](const pool_result& aResult) { done(aResult.mOutcome); });
  };
  for (int round = 0; round < kRounds; ++round) {
    for (int burst = 0; burst < kBursts; ++burst) {
      const auto ended = std::make_shared<std::promise<void>>();
      const auto open = std::make_shared<std::atomic<std::size_t>>(kRequests);
      for (std::size_t i = 0; i < kRequests; ++i) {
        loop.Post([&start, ended, open] {
          start(64, [ended, open](pool_outcome) {
            if (--*open == 0) {
              ended->set_value();
            }
          });
        });
      }
      ended->get_future().wait();
    }
    ASSERT_TRUE(test_util::WaitUntil([&pool] { return pool.Connections() == 0; }));
    {
      const std::lock_guard held(lock);
      accepted.clear();
    }
    for (int i = 0; i < kSingleRequests; ++i) {
      std::promise<pool_outcome> single;
      start(1, [&single](pool_outcome aOutcome) { single.set_value(aOutcome); });
      ASSERT_NE(single.get_future().get(), pool_outcome::NotSent)
        << row.mGuardsAgainst << ", after round " << round << ", request " << i;
    }
    ASSERT_TRUE(test_util::WaitUntil([&pool] { return pool.Connections() == 0; }));
  }
  loop.Stop();
  serverLoop.Stop();
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  places_test,
  testing::Values(
    places_row{ "a connection that its server closes while it is replaced is counted off twice",
                4,
                micros(1) },
    places_row{ "the same with one thread of the loop, beside the thread that starts requests",
                1,
                micros(1) },
    places_row{ "a connection that its server closes while it is taken is counted off twice",
                4,
                micros(0) }));

TEST(http_pool, RefusedConnectionIsNotSent)
{
  // Guards against a request that is reported as sent although nothing was written.
  io_loop loop(2);
  http_pool pool(loop);
  loop.Start();
  EXPECT_EQ(SendAndWait(pool, 1, "127.0.0.1:1").mOutcome, pool_outcome::NotSent);
  loop.Stop();
}

} // namespace
} // namespace redwingdock
