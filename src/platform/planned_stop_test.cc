#include "daemon/loopback_test_util.h"
#include "platform/edge_fixture.h"

#include <algorithm>

namespace redwingdock::platform {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A client's connection that keeps the replies it gets. Without a rate it reads at once.
class raw_client
{
public:
  raw_client(io_loop& aLoop, const std::string& aAddress, std::size_t aBytesPerS = 0)
    : mState(std::make_shared<state>())
  {
    tcp_hooks hooks;
    hooks.mOnOpen = [shared = mState] { shared->Change([&] { shared->mOpened = true; }); };
    hooks.mOnBytes = [shared = mState, &aLoop, aBytesPerS](std::string_view aBytes) {
      shared->Change([&] {
        if (aBytesPerS > 0) {
          shared->mConnection->PauseReading();
          aLoop.After(micros(1'000'000 * aBytes.size() / aBytesPerS),
                      [shared] { shared->Change([&] { shared->mConnection->ResumeReading(); }); });
        }
        http_read_status status = shared->mReader.Feed(aBytes);
        while (status == http_read_status::Complete) {
          shared->mReplies.push_back(shared->mReader.Take());
          status = shared->mReader.Feed({});
        }
      });
    };
    hooks.mOnClosed = [shared = mState](const tcp_close_info&) {
      shared->Change([&] { shared->mClosedAt = SteadyNow(); });
    };
    // The hooks wait for the lock until the connection is set.
    mState->Change(
      [&] { mState->mConnection = Connect(aLoop, aAddress, seconds(1), std::move(hooks)); });
  }

  void Send(const std::string& aBytes) { mState->mConnection->Send(aBytes); }
  bool WaitUntilOpen()
  {
    return mState->Wait([this] { return mState->mOpened; });
  }
  // Waits until the daemon has closed the connection. Returns all replies.
  std::vector<http_message> WaitUntilClosed()
  {
    mState->Wait([this] { return mState->mClosedAt != instant{}; });
    const std::lock_guard lock(mState->mLock);
    return mState->mReplies;
  }
  instant ClosedAt() const
  {
    const std::lock_guard lock(mState->mLock);
    return mState->mClosedAt;
  }

private:
  struct state
  {
    std::mutex mLock;
    std::condition_variable mChanged;
    std::shared_ptr<tcp_connection> mConnection;
    http_reader mReader{ http_side::Client, http_read_limits{ 10'000'000 } };
    std::vector<http_message> mReplies;
    bool mOpened = false;
    instant mClosedAt{};

    void Change(const std::function<void()>& aChange)
    {
      const std::lock_guard lock(mLock);
      aChange();
      mChanged.notify_all();
    }

    bool Wait(const std::function<bool()>& aCondition)
    {
      std::unique_lock lock(mLock);
      return mChanged.wait_for(lock, seconds(10), aCondition);
    }
  };

  std::shared_ptr<state> mState;
};

// The stop closes callers after 0.4 s and ends after 1.5 s at the latest.
forward_config ShortStop()
{
  forward_config config;
  config.mStop = WithLinger(WithFinalAnswers(config.mStop, milliseconds(1500)), milliseconds(400));
  return config;
}

std::vector<unsigned> StatusesOf(const std::vector<http_message>& aReplies)
{
  std::vector<unsigned> statuses;
  statuses.reserve(aReplies.size());
  for (const http_message& reply : aReplies) {
    statuses.push_back(reply.mStatus);
  }
  return statuses;
}

int TotalRuns(const edge_fixture& aFixture)
{
  int runs = 0;
  for (const auto& [service, replica] : aFixture.mReplicas) {
    for (const auto& [id, count] : replica->RunCounts()) {
      runs += count;
    }
  }
  return runs;
}

struct stop_row
{
  const char* mGuardsAgainst;
  std::string mTarget;
  replica_behaviour mBehaviour; // of all replicas
  milliseconds mOpenedAt;       // of the client's connection, after the stop signal
  milliseconds mSentAt;         // of the requests, after the stop signal
  int mRequests;                // sent at once on the connection
  std::vector<unsigned> mStatuses;
  int mMaxRuns;
  bool mBusy = false; // another request keeps the daemon running until its limit
};

class planned_stop_test : public testing::TestWithParam<stop_row>
{};

TEST_P(planned_stop_test, AnswersWhatItHasRead)
{
  const stop_row& row = GetParam();
  edge_fixture fixture(ShortStop());
  fixture.Publish();
  ASSERT_TRUE(fixture.WaitUntilReady());
  for (const auto& [service, replica] : fixture.mReplicas) {
    replica->SetBehaviour(row.mBehaviour);
  }
  std::string bytes;
  for (int i = 0; i < row.mRequests; ++i) {
    bytes += RequestWithId(row.mTarget, "id-" + std::to_string(i));
  }
  std::unique_ptr<raw_client> client;
  raw_client other(fixture.mLoop, fixture.mBound.mCallers);
  if (row.mBusy) {
    other.Send(RequestWithId("/long/x", "other"));
  }
  std::vector<std::pair<milliseconds, std::function<void()>>> steps = {
    { milliseconds(0), [&] { fixture.mDaemon->RequestStop(); } },
    { row.mOpenedAt,
      [&] {
        client = std::make_unique<raw_client>(fixture.mLoop, fixture.mBound.mCallers);
        EXPECT_TRUE(client->WaitUntilOpen());
      } },
    { row.mSentAt, [&] { client->Send(bytes); } }
  };
  std::stable_sort(steps.begin(), steps.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first < aRight.first;
  });
  const instant stopAt = SteadyNow() + milliseconds(200);
  for (const auto& [at, step] : steps) {
    fixture.WaitFor(std::max(stopAt + at - SteadyNow(), micros(0)));
    step();
  }
  fixture.mDaemon->WaitForEnd();
  const instant endedAt = SteadyNow();
  fixture.mDaemon.reset();
  const std::vector<http_message> replies = client->WaitUntilClosed();
  EXPECT_EQ(StatusesOf(replies), row.mStatuses) << row.mGuardsAgainst;
  if (!replies.empty()) {
    EXPECT_FALSE(replies.back().mKeepAlive) << row.mGuardsAgainst;
  }
  EXPECT_LE(TotalRuns(fixture), row.mMaxRuns) << row.mGuardsAgainst;
  // The platform ends the process 0.4 s after the limit.
  EXPECT_LE(endedAt - stopAt, ShortStop().mStop.mFinalAnswers + milliseconds(400));
  fixture.mLoop.Stop();
}

const replica_behaviour kSilentReplica{ micros(0), 200, "", true };

replica_behaviour WorksFor(int aMs)
{
  return { milliseconds(aMs), 200, "" };
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  planned_stop_test,
  testing::Values(
    stop_row{ "a request that runs longer than the grace is cut without an answer",
              "/long/x",
              WorksFor(5000),
              milliseconds(-100),
              milliseconds(0),
              1,
              { 504 },
              1 },
    stop_row{ "a request whose replica lost its answer is cut without an answer",
              "/long/x",
              kSilentReplica,
              milliseconds(-100),
              milliseconds(200),
              1,
              { 504 },
              1 },
    stop_row{ "a late request on a connection that was never used is forwarded and cut",
              "/long/x",
              WorksFor(5000),
              milliseconds(-100),
              milliseconds(1100),
              1,
              {},
              1,
              true },
    stop_row{ "a late request that cannot finish is forwarded",
              "/slow/x",
              WorksFor(900),
              milliseconds(300),
              milliseconds(700),
              1,
              { 503 },
              0 },
    stop_row{ "a late request that can finish is refused",
              "/long/x",
              WorksFor(50),
              milliseconds(300),
              milliseconds(450),
              1,
              { 200 },
              1 },
    stop_row{ "pipelined requests are read and cut without an answer",
              "/long/x",
              WorksFor(150),
              milliseconds(-100),
              milliseconds(-50),
              4,
              { 200, 200, 200, 200 },
              4 },
    stop_row{ "pipelined requests that cannot finish are read and cut without an answer",
              "/slow/x",
              WorksFor(600),
              milliseconds(-100),
              milliseconds(-50),
              5,
              { 200, 503, 503, 503, 503 },
              1 }));

class grace_test : public testing::TestWithParam<micros>
{};

TEST_P(grace_test, EndsWellBeforeIt)
{
  // Guards against a process that still sends its final answers when it is killed.
  const stop_budget budget = StopBudget(GetParam());
  forward_config config;
  config.mStop = budget;
  edge_fixture fixture(config);
  fixture.Publish();
  ASSERT_TRUE(fixture.WaitUntilReady());
  fixture.mReplicas.at("b")->SetBehaviour(kSilentReplica);
  raw_client client(fixture.mLoop, fixture.mBound.mCallers);
  client.Send(RequestWithId("/long/x", "id"));
  fixture.WaitFor(milliseconds(100));
  const instant stopAt = SteadyNow();
  fixture.mDaemon->RequestStop();
  fixture.mDaemon->WaitForEnd();
  const micros took = SteadyNow() - stopAt;
  fixture.mDaemon.reset();
  const std::vector<http_message> replies = client.WaitUntilClosed();
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies.front().mStatus, 504U);
  EXPECT_GE(client.ClosedAt() - stopAt, budget.mFinalAnswers) << "answered sooner than it must be";
  EXPECT_LE(took, budget.mFlush);
  fixture.mLoop.Stop();
}

INSTANTIATE_TEST_SUITE_P(cases,
                         grace_test,
                         testing::Values(milliseconds(1500), seconds(3), kDefaultGrace));

struct slow_reader_row
{
  const char* mGuardsAgainst;
  std::size_t mReplyBytes;
  int mRequests;        // sent before the stop
  milliseconds mNextAt; // one more request, after the stop signal; 0 for none
  std::vector<unsigned> mStatuses;
  int mMaxRuns;
};

class slow_reader_test : public testing::TestWithParam<slow_reader_row>
{};

TEST_P(slow_reader_test, GetsWholeAnswers)
{
  // The kernel buffers up to about 3 MB of a connection of the loopback interface.
  constexpr std::size_t kBytesPerS = 2'500'000;
  const slow_reader_row& row = GetParam();
  constexpr milliseconds kLinger{ 400 };
  forward_config config;
  config.mStop = WithLinger(StopBudget(seconds(3)), kLinger);
  edge_fixture fixture(config);
  fixture.Publish();
  ASSERT_TRUE(fixture.WaitUntilReady());
  fixture.mReplicas.at("b")->SetBehaviour(
    { milliseconds(2), 200, std::string(row.mReplyBytes, 'x') });
  raw_client client(fixture.mLoop, fixture.mBound.mCallers, kBytesPerS);
  std::string bytes;
  for (int i = 0; i < row.mRequests; ++i) {
    bytes += RequestWithId("/long/x", "id-" + std::to_string(i));
  }
  client.Send(bytes);
  fixture.WaitFor(milliseconds(200));
  EXPECT_TRUE(test_util::WaitUntil([&] {
    const std::string metrics = fixture.Get(fixture.mBound.mMetrics, "/metrics").mBody;
    return TotalRuns(fixture) == row.mRequests &&
           metrics.find("redwingdock_requests_waiting 0") != std::string::npos;
  }))
    << "the replies were not handed over";
  const instant stopAt = SteadyNow();
  fixture.mDaemon->RequestStop();
  bool crossesClose = false;
  if (row.mNextAt > milliseconds(0)) {
    fixture.WaitFor(row.mNextAt);
    client.Send(RequestWithId("/long/x", "next"));
    // The daemon reads no further requests after the linger, and a busy machine can delay this one.
    crossesClose = SteadyNow() - stopAt >= kLinger;
  }
  fixture.mDaemon->WaitForEnd();
  EXPECT_LE(SteadyNow() - stopAt, config.mStop.mFlush + milliseconds(50)) << row.mGuardsAgainst;
  fixture.mDaemon.reset();
  const std::vector<unsigned> statuses = StatusesOf(client.WaitUntilClosed());
  std::vector<unsigned> expected = row.mStatuses;
  if (crossesClose && statuses.size() < expected.size()) {
    expected.pop_back();
  }
  EXPECT_EQ(statuses, expected) << row.mGuardsAgainst;
  EXPECT_LE(TotalRuns(fixture), row.mMaxRuns) << row.mGuardsAgainst;
  fixture.mLoop.Stop();
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  slow_reader_test,
  testing::Values(slow_reader_row{ "replies are cut while there is time to send them",
                                   4'000'000,
                                   2,
                                   milliseconds(0),
                                   { 200, 200 },
                                   2 },
                  slow_reader_row{ "a request is run although its reply cannot be sent in time",
                                   4'000'000,
                                   2,
                                   milliseconds(200),
                                   { 200, 200, 503 },
                                   2 },
                  slow_reader_row{ "a request is refused although its reply can be sent",
                                   100'000,
                                   2,
                                   milliseconds(200),
                                   { 200, 200, 200 },
                                   3 }));

TEST(planned_stop, WaitsUntilClientsHaveReceivedTheirAnswers)
{
  // Guards against a process that ends while the kernel still holds a reply: the next request of
  // the client resets the connection, and the rest of the reply is lost.
  forward_config config;
  config.mStop = WithLinger(StopBudget(seconds(3)), milliseconds(400));
  edge_fixture fixture(config);
  fixture.Publish();
  ASSERT_TRUE(fixture.WaitUntilReady());
  fixture.mReplicas.at("b")->SetBehaviour(
    { milliseconds(2), 200, std::string(std::size_t{ 1'500'000 }, 'x') });
  raw_client client(fixture.mLoop, fixture.mBound.mCallers, 700'000);
  client.Send(RequestWithId("/long/x", "id"));
  fixture.WaitFor(milliseconds(200));
  fixture.mDaemon->RequestStop();
  fixture.mDaemon->WaitForEnd();
  fixture.mDaemon.reset();
  client.Send(RequestWithId("/long/x", "next"));
  const std::vector<http_message> replies = client.WaitUntilClosed();
  ASSERT_EQ(replies.size(), 1U);
  EXPECT_EQ(replies.front().mBody.size(), 1'500'000U);
  fixture.mLoop.Stop();
}

struct partly_read_row
{
  const char* mGuardsAgainst;
  milliseconds mRestAt; // after the stop signal; 0 when the rest is never sent
  std::vector<unsigned> mStatuses;
  int mMaxRuns;
  micros mMinTime;                // of the stop
  replica_behaviour mBehaviour{}; // of the replica
};

class partly_read_test : public testing::TestWithParam<partly_read_row>
{};

TEST_P(partly_read_test, IsAnswered)
{
  const partly_read_row& row = GetParam();
  edge_fixture fixture(ShortStop());
  fixture.Publish();
  ASSERT_TRUE(fixture.WaitUntilReady());
  fixture.mReplicas.at("b")->SetBehaviour(row.mBehaviour);
  raw_client client(fixture.mLoop, fixture.mBound.mCallers);
  client.Send("POST /long/x HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: id\r\n"
              "Content-Length: 10\r\n\r\n01234");
  fixture.WaitFor(milliseconds(100));
  const instant stopAt = SteadyNow();
  fixture.mDaemon->RequestStop();
  if (row.mRestAt > milliseconds(0)) {
    fixture.WaitFor(row.mRestAt);
    client.Send("56789");
  }
  fixture.mDaemon->WaitForEnd();
  const micros took = SteadyNow() - stopAt;
  fixture.mDaemon.reset();
  const std::vector<http_message> replies = client.WaitUntilClosed();
  EXPECT_EQ(StatusesOf(replies), row.mStatuses) << row.mGuardsAgainst;
  for (const http_message& reply : replies) {
    EXPECT_FALSE(reply.mKeepAlive) << row.mGuardsAgainst;
  }
  EXPECT_LE(TotalRuns(fixture), row.mMaxRuns) << row.mGuardsAgainst;
  EXPECT_GE(took, row.mMinTime) << row.mGuardsAgainst;
  EXPECT_LE(took, ShortStop().mStop.mFinalAnswers + milliseconds(400)) << row.mGuardsAgainst;
  fixture.mLoop.Stop();
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  partly_read_test,
  testing::Values(partly_read_row{ "a request whose body never ends is cut without an answer",
                                   milliseconds(0),
                                   { 503 },
                                   0,
                                   ShortStop().mStop.mFinalAnswers },
                  partly_read_row{ "a request whose body comes too late to run is cut",
                                   milliseconds(1480),
                                   { 503 },
                                   0,
                                   milliseconds(1480) },
                  partly_read_row{ "a request whose body comes while no other is open is refused",
                                   milliseconds(1100),
                                   { 200 },
                                   1,
                                   milliseconds(1100) },
                  partly_read_row{ "a request whose body comes late and that never ends is cut",
                                   milliseconds(1100),
                                   { 504 },
                                   1,
                                   ShortStop().mStop.mFinalAnswers,
                                   kSilentReplica },
                  partly_read_row{ "a request whose body comes early in the stop is refused",
                                   milliseconds(200),
                                   { 200 },
                                   1,
                                   milliseconds(200) }));

TEST(planned_stop, ForwardsNothingThatCrossesTheClose)
{
  // Guards against a request that is read while its idle connection is being closed: it was
  // forwarded, and its answer could not be sent.
  edge_fixture fixture(ShortStop());
  fixture.Publish();
  ASSERT_TRUE(fixture.WaitUntilReady());
  constexpr int kEarlyClients = 45;
  constexpr int kClients = kEarlyClients + 300;
  std::vector<std::unique_ptr<raw_client>> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<raw_client>(fixture.mLoop, fixture.mBound.mCallers));
    clients.back()->Send(RequestWithId("/none", "first")); // answered without a replica
  }
  fixture.WaitFor(milliseconds(300));
  const instant stopAt = SteadyNow();
  fixture.mDaemon->RequestStop();
  // The idle connections are closed at one moment in the 60 ms after the linger time. The first
  // requests come before it also when the machine is busy.
  for (int i = 0; i < kClients; ++i) {
    const micros offset =
      i < kEarlyClients ? milliseconds(2) * (i - kEarlyClients) : micros(200) * (i - kEarlyClients);
    const instant at = stopAt + ShortStop().mStop.mLinger + offset;
    fixture.WaitFor(std::max(at - SteadyNow(), micros(0)));
    clients[static_cast<std::size_t>(i)]->Send(RequestWithId("/u/x", "id-" + std::to_string(i)));
  }
  fixture.mDaemon->WaitForEnd();
  fixture.mDaemon.reset();
  const std::map<std::string, int> runs = fixture.mReplicas.at("b")->RunCounts();
  int answered = 0;
  for (int i = 0; i < kClients; ++i) {
    const std::vector<http_message> replies =
      clients[static_cast<std::size_t>(i)]->WaitUntilClosed();
    const bool ran = runs.contains("id-" + std::to_string(i));
    EXPECT_EQ(replies.size(), ran ? 2U : 1U) << "request " << i;
    answered += ran ? 1 : 0;
  }
  EXPECT_GT(answered, 0) << "no request arrived before the close";
  EXPECT_LT(answered, kClients) << "no request arrived after the close";
  fixture.mLoop.Stop();
}

TEST(planned_stop, ClosesConnectionsToTheDirectoryInOrder)
{
  // Guards against questions to the directory that are reset, since the process ends without having
  // told its clients.
  edge_fixture fixture(ShortStop());
  fixture.Publish();
  ASSERT_TRUE(fixture.WaitUntilReady());
  const std::string question =
    "GET /resolution?name=h.example&zone=zone-1 HTTP/1.1\r\nHost: h\r\n\r\n";
  raw_client idle(fixture.mLoop, fixture.mBound.mAddresses);
  raw_client asking(fixture.mLoop, fixture.mBound.mAddresses);
  idle.Send(question);
  asking.Send(question);
  fixture.WaitFor(milliseconds(100));
  fixture.mDaemon->RequestStop();
  asking.Send(question);
  fixture.mDaemon->WaitForEnd();
  const std::vector<http_message> answers = asking.WaitUntilClosed();
  EXPECT_EQ(idle.WaitUntilClosed().size(), 1U);
  EXPECT_NE(idle.ClosedAt(), instant{}) << "open at the end of the process";
  ASSERT_EQ(answers.size(), 2U);
  EXPECT_TRUE(answers.front().mKeepAlive);
  EXPECT_FALSE(answers.back().mKeepAlive);
  fixture.mDaemon.reset();
  fixture.mLoop.Stop();
}

} // namespace
} // namespace redwingdock::platform
