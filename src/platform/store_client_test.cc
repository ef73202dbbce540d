#include "platform/store_client.h"

#include <future>
#include <gtest/gtest.h>
#include <optional>

namespace redwingdock::platform {
namespace {

using std::chrono::milliseconds;

// A store that sends the same bytes in reply to each request and keeps the last request line.
class scripted_store
{
public:
  scripted_store(io_loop& aLoop, std::string aReply)
    : mReply(std::move(aReply))
  {
    auto listener =
      Listen(aLoop, "127.0.0.1:0", [this](const std::shared_ptr<tcp_connection>& aConnection) {
        tcp_hooks hooks;
        {
          const std::lock_guard lock(mLock);
          mAccepted.push_back(aConnection);
        }
        // Its hooks hold only a weak pointer: a connection whose hooks own it is never freed.
        hooks.mOnBytes = [this, weak = std::weak_ptr(aConnection)](std::string_view aBytes) {
          const std::shared_ptr<tcp_connection> connection = weak.lock();
          if (!connection) {
            return;
          }
          {
            const std::lock_guard lock(mLock);
            mLastRequestLine = std::string(aBytes.substr(0, aBytes.find("\r\n")));
          }
          connection->Send(mReply);
          connection->CloseAfterSend("scripted reply sent");
        };
        aConnection->Start(std::move(hooks));
      });
    mListener = *listener;
  }

  std::string Address() const { return mListener->Address(); }
  std::string RequestLine() const
  {
    const std::lock_guard lock(mLock);
    return mLastRequestLine;
  }

private:
  const std::string mReply;
  mutable std::mutex mLock;
  std::string mLastRequestLine;
  std::vector<std::shared_ptr<tcp_connection>> mAccepted;
  std::shared_ptr<tcp_listener> mListener;
};

std::string Reply(const std::string& aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus + "\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

using call = std::function<void(store_client&)>;

call ReadPage(const std::string& aAfter)
{
  return [aAfter](store_client& aStore) { aStore.Read({ 7, aAfter }); };
}

call Watch(std::uint64_t aAfter)
{
  return [aAfter](store_client& aStore) { aStore.Watch({ 7, aAfter, milliseconds(5000) }); };
}

// Makes the call, answers it with aReply, and returns the posted fact and the request line.
std::pair<fact, std::string> RunCall(const call& aCall, const std::string& aReply)
{
  io_loop loop(2);
  scripted_store server(loop, aReply);
  std::promise<fact> posted;
  store_client store(
    loop, server.Address(), [&posted](fact aFact) { posted.set_value(std::move(aFact)); });
  loop.Start();
  aCall(store);
  fact answer = posted.get_future().get();
  loop.Stop();
  return { std::move(answer), server.RequestLine() };
}

struct call_row
{
  const char* mGuardsAgainst;
  call mCall;
  std::string mRequestLine;
  std::string mReply;
  std::size_t mItems;
  store_position mAsOf;
  bool mMore;
};

class call_test : public testing::TestWithParam<call_row>
{};

TEST_P(call_test, SendsTheRequestAndDecodesTheReply)
{
  const call_row& row = GetParam();
  const auto [answer, line] = RunCall(row.mCall, row.mReply);
  EXPECT_EQ(line, row.mRequestLine) << row.mGuardsAgainst;
  if (const auto* page = std::get_if<store_page_read>(&answer)) {
    EXPECT_EQ(page->mReadNumber, 7U);
    EXPECT_EQ(page->mItems.size(), row.mItems) << row.mGuardsAgainst;
    EXPECT_EQ(page->mAsOf, row.mAsOf) << row.mGuardsAgainst;
    EXPECT_EQ(page->mMore, row.mMore) << row.mGuardsAgainst;
    return;
  }
  const auto* changes = std::get_if<store_changes_read>(&answer);
  ASSERT_NE(changes, nullptr) << row.mGuardsAgainst;
  EXPECT_EQ(changes->mReadNumber, 7U);
  EXPECT_EQ(changes->mItems.size(), row.mItems) << row.mGuardsAgainst;
  EXPECT_EQ(changes->mAsOf, row.mAsOf) << row.mGuardsAgainst;
}

const std::string kItem =
  R"({"key":"op/evacuate/z","value":"","revision":4,"created":4,"lease":0})";

INSTANTIATE_TEST_SUITE_P(
  cases,
  call_test,
  testing::Values(
    call_row{ "the first page does not begin at the first key",
              ReadPage(""),
              "GET /kv-range?prefix= HTTP/1.1",
              Reply("200 OK", R"({"items":[)" + kItem + R"(],"hasMore":true,"asOf":9})"),
              1,
              { 0, 9 },
              true },
    call_row{ "the second page begins at the first key again",
              ReadPage("servers/i-1"),
              "GET /kv-range?prefix=&after=servers%2Fi-1 HTTP/1.1",
              Reply("200 OK", R"({"items":[],"hasMore":false,"asOf":9})"),
              0,
              { 0, 9 },
              false },
    call_row{ "a key with special characters breaks the request line",
              ReadPage("a b&c=d%e\xc3\xa9"),
              "GET /kv-range?prefix=&after=a%20b%26c%3Dd%25e%C3%A9 HTTP/1.1",
              Reply("200 OK", R"({"items":[],"hasMore":false,"asOf":9})"),
              0,
              { 0, 9 },
              false },
    call_row{ "a watch has the wrong revision or wait",
              Watch(12),
              "GET /kv-watch?prefix=&after=12&waitMs=5000 HTTP/1.1",
              Reply("200 OK",
                    R"({"events":[)" + kItem +
                      R"(,{"key":"servers/i-1","revision":5,"deleted":true}],"asOf":5})"),
              2,
              { 0, 5 },
              false },
    call_row{ "a watch that ends without changes counts as a failure",
              Watch(12),
              "GET /kv-watch?prefix=&after=12&waitMs=5000 HTTP/1.1",
              Reply("200 OK", R"({"events":[],"asOf":12})"),
              0,
              { 0, 12 },
              false },
    call_row{ "a page does not name its history",
              ReadPage(""),
              "GET /kv-range?prefix= HTTP/1.1",
              Reply("200 OK\r\nStore-Era: 3", R"({"items":[],"hasMore":false,"asOf":9})"),
              0,
              { 3, 9 },
              false },
    call_row{ "changes do not name their history",
              Watch(12),
              "GET /kv-watch?prefix=&after=12&waitMs=5000 HTTP/1.1",
              Reply("200 OK\r\nstore-era: 3", R"({"events":[],"asOf":12})"),
              0,
              { 3, 12 },
              false },
    call_row{ "an era that is not a number makes a page unusable",
              ReadPage(""),
              "GET /kv-range?prefix= HTTP/1.1",
              Reply("200 OK\r\nStore-Era: 3a", R"({"items":[],"hasMore":false,"asOf":9})"),
              0,
              { 0, 9 },
              false },
    call_row{ "an era that is negative wraps around",
              ReadPage(""),
              "GET /kv-range?prefix= HTTP/1.1",
              Reply("200 OK\r\nStore-Era: -1", R"({"items":[],"hasMore":false,"asOf":9})"),
              0,
              { 0, 9 },
              false },
    call_row{ "an era that no integer holds is taken for a late history",
              ReadPage(""),
              "GET /kv-range?prefix= HTTP/1.1",
              Reply("200 OK\r\nStore-Era: 18446744073709551615",
                    R"({"items":[],"hasMore":false,"asOf":9})"),
              0,
              { 0, 9 },
              false }));

struct check_row
{
  const char* mGuardsAgainst;
  std::string mReply;
  std::optional<store_position> mAsOf;
};

class check_test : public testing::TestWithParam<check_row>
{};

TEST_P(check_test, ReadsTheRevisionOnly)
{
  const call check = [](store_client& aStore) { aStore.Check({ 7 }); };
  const auto [answer, line] = RunCall(check, GetParam().mReply);
  EXPECT_EQ(line, "GET /kv-range?prefix=op%2Fevacuate%2F HTTP/1.1");
  const auto* checked = std::get_if<store_checked>(&answer);
  ASSERT_NE(checked, nullptr) << GetParam().mGuardsAgainst;
  EXPECT_EQ(checked->mCheckNumber, 7U);
  EXPECT_EQ(checked->mAsOf, GetParam().mAsOf) << GetParam().mGuardsAgainst;
  EXPECT_EQ(checked->mReason == reason{}, GetParam().mAsOf.has_value())
    << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  check_test,
  testing::Values(
    check_row{ "the revision is not read",
               Reply("200 OK", R"({"items":[],"hasMore":false,"asOf":9})"),
               store_position{ 0, 9 } },
    check_row{ "the era is not read",
               Reply("200 OK\r\nStore-Era: 4", R"({"items":[],"hasMore":false,"asOf":9})"),
               store_position{ 4, 9 } },
    check_row{ "a refusal counts as a revision", Reply("503 Down", ""), std::nullopt },
    check_row{ "a lost reply counts as a revision", "x", std::nullopt },
    check_row{ "a body in an unknown coding counts as a revision",
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: foo\r\n\r\n"
               R"({"items":[],"hasMore":false,"asOf":9})",
               std::nullopt },
    check_row{ "an interim reply counts as a refusal",
               "HTTP/1.1 100 Continue\r\n\r\n" +
                 Reply("200 OK", R"({"items":[],"hasMore":false,"asOf":9})"),
               store_position{ 0, 9 } }));

// A server that answers the first request of each connection and then nothing more on it.
class once_server
{
public:
  explicit once_server(io_loop& aLoop)
  {
    auto listener =
      Listen(aLoop, "127.0.0.1:0", [this](const std::shared_ptr<tcp_connection>& aConnection) {
        tcp_hooks hooks;
        auto answered = std::make_shared<std::atomic<bool>>(false);
        hooks.mOnBytes = [answered, weak = std::weak_ptr(aConnection)](std::string_view) {
          const std::shared_ptr<tcp_connection> connection = weak.lock();
          if (connection && !answered->exchange(true)) {
            connection->Send(
              Reply("200 OK", R"({"items":[],"events":[],"hasMore":false,"asOf":9})"));
          }
        };
        const std::lock_guard lock(mLock);
        mAccepted.push_back(aConnection);
        aConnection->Start(std::move(hooks));
      });
    mListener = *listener;
  }

  std::string Address() const { return mListener->Address(); }

private:
  std::mutex mLock;
  std::vector<std::shared_ptr<tcp_connection>> mAccepted;
  std::shared_ptr<tcp_listener> mListener;
};

struct silent_row
{
  const char* mGuardsAgainst;
  call mCall;
};

class silent_test : public testing::TestWithParam<silent_row>
{};

TEST_P(silent_test, IsReadOnANewConnection)
{
  io_loop loop(2);
  once_server server(loop);
  std::mutex lock;
  std::promise<fact> first;
  std::promise<fact> second;
  int posted = 0;
  store_client store(loop, server.Address(), [&](fact aFact) {
    const std::lock_guard guard(lock);
    (posted++ == 0 ? first : second).set_value(std::move(aFact));
  });
  loop.Start();
  ReadPage("")(store);
  first.get_future().wait();
  // A watch waits on the only connection, which delivers nothing more.
  Watch(9)(store);
  GetParam().mCall(store);
  auto answer = second.get_future();
  ASSERT_EQ(answer.wait_for(std::chrono::seconds(5)), std::future_status::ready)
    << GetParam().mGuardsAgainst;
  const fact got = answer.get();
  EXPECT_FALSE(std::holds_alternative<store_read_failed>(got)) << GetParam().mGuardsAgainst;
  loop.Stop();
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  silent_test,
  testing::Values(silent_row{ "a check waits on a silent connection",
                              [](store_client& aStore) { aStore.Check({ 7 }); } },
                  silent_row{ "a listing after a silent watch waits on a silent connection",
                              [](store_client& aStore) {
                                aStore.Read({ 8, "", true });
                              } },
                  silent_row{ "a watch after a silent watch waits on a silent connection",
                              [](store_client& aStore) {
                                aStore.Watch({ 8, 9, milliseconds(100), true });
                              } }));

struct failure_row
{
  const char* mGuardsAgainst;
  call mCall;
  std::string mReply;
  store_failure mFailure;
};

class failure_test : public testing::TestWithParam<failure_row>
{};

TEST_P(failure_test, PostsTheFailureWithAReason)
{
  const failure_row& row = GetParam();
  const fact answer = RunCall(row.mCall, row.mReply).first;
  const auto* failed = std::get_if<store_read_failed>(&answer);
  ASSERT_NE(failed, nullptr) << row.mGuardsAgainst;
  EXPECT_EQ(failed->mReadNumber, 7U);
  EXPECT_EQ(failed->mFailure, row.mFailure) << row.mGuardsAgainst;
  EXPECT_FALSE(Describe(failed->mReason).empty()) << row.mGuardsAgainst;
}

constexpr store_failure kUnavailable = store_failure::Unavailable;

INSTANTIATE_TEST_SUITE_P(
  cases,
  failure_test,
  testing::Values(failure_row{ "a watch from a compacted revision is retried for ever",
                               Watch(1),
                               Reply("410 Gone", ""),
                               store_failure::HistoryGone },
                  failure_row{ "a reply with status 429 counts as an empty store",
                               ReadPage(""),
                               Reply("429 Slow", ""),
                               kUnavailable },
                  failure_row{ "a reply with status 503 counts as an empty store",
                               ReadPage(""),
                               Reply("503 Down", ""),
                               kUnavailable },
                  failure_row{ "a call whose connection ends without a valid reply never ends",
                               Watch(1),
                               "x",
                               kUnavailable },
                  failure_row{ "a truncated body counts as complete",
                               ReadPage(""),
                               "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"items\":[",
                               kUnavailable },
                  failure_row{ "a body that is not JSON is accepted",
                               ReadPage(""),
                               Reply("200 OK", "items"),
                               kUnavailable },
                  failure_row{ "items that are not an array are accepted",
                               ReadPage(""),
                               Reply("200 OK", R"({"items":{},"asOf":1})"),
                               kUnavailable },
                  failure_row{ "a reply without a revision restarts the watch at 0",
                               Watch(1),
                               Reply("200 OK", R"({"events":[]})"),
                               kUnavailable },
                  failure_row{
                    "a reply with a malformed event counts as read, and its other events are lost",
                    Watch(1),
                    Reply("200 OK", R"({"events":[{"revision":4}],"asOf":4})"),
                    kUnavailable }));

} // namespace
} // namespace redwingdock::platform
