#include "client/client.h"

#include "client/fake_daemon.h"

#include <gtest/gtest.h>
#include <mutex>
#include <thread>

namespace redwingdock {
namespace {

const char kComplete[] = R"({"outcome": "complete", "version": 1, "map": 1, "coverage":
  {"covered": 4096, "total": 4096, "missing": []}, "count": 0, "records": []})";
const char kNotRun[] = R"({"outcome": "not_run"})";
const char kWrongCount[] = R"({"outcome": "complete", "version": 1, "map": 1, "coverage":
  {"covered": 4096, "total": 4096, "missing": []}, "count": 3, "records": []})";

// The first VM replies to queries with mFirstReplies in turn and then with a complete answer. The
// second VM always replies with a complete answer.
struct client_row
{
  const char* mGuardsAgainst;
  operation mOperation;
  std::vector<fake_reply> mFirstReplies;
  bool mFirstUnresponsive; // the first VM answers no request, as if its process were paused
  outcome mOutcome;
  std::size_t mFirstQueries;
  std::size_t mSecondQueries;
  std::size_t mDistinctKeys; // distinct request keys over all attempts
};

class client_test : public testing::TestWithParam<client_row>
{};

std::string FindRequestKey(const std::string& aBody)
{
  std::size_t at = aBody.find("\"request_key\":\"");
  return at == std::string::npos ? "" : aBody.substr(at);
}

TEST_P(client_test, FailsOver)
{
  const client_row& row = GetParam();
  std::mutex lock;
  std::vector<std::string> first;
  std::vector<std::string> second;
  std::string firstAddress;
  std::string secondAddress;
  bool firstFailed = false;
  auto entry = [&](const std::string& aVm, const std::string& aAddress) {
    return fake_reply{ .mBody = R"({"vm": ")" + aVm + R"(", "address": ")" + aAddress +
                                R"(", "lifetime_ms": 60000, "key_prefix": ")" + aVm + ".1.\"}" };
  };
  fake_daemon secondVm([&](const std::string& aTarget, const std::string& aBody) {
    std::lock_guard guard(lock);
    if (aTarget.starts_with("/v1/entry")) {
      return firstFailed ? entry("vm-2", secondAddress) : entry("vm-1", firstAddress);
    }
    second.push_back(FindRequestKey(aBody));
    return fake_reply{ .mBody = kComplete };
  });
  fake_daemon firstVm([&](const std::string& aTarget, const std::string& aBody) {
    std::lock_guard guard(lock);
    if (aTarget.starts_with("/v1/entry")) {
      return row.mFirstUnresponsive ? fake_reply{ .mAction = fake_action::NoReply }
                                    : entry("vm-1", firstAddress);
    }
    first.push_back(FindRequestKey(aBody));
    fake_reply reply = first.size() <= row.mFirstReplies.size()
                         ? row.mFirstReplies[first.size() - 1]
                         : fake_reply{ .mBody = kComplete };
    firstFailed = reply.mAction == fake_action::Close || row.mFirstUnresponsive;
    return reply;
  });
  {
    std::lock_guard guard(lock);
    firstAddress = firstVm.Address();
    secondAddress = secondVm.Address();
  }
  client calls({ .mDaemons = { secondAddress }, .mSeed = 7 });
  query_request request{ .mRoute = "r", .mCaller = "desk-1", .mFilter = { { "id", "x" } } };
  call_result done =
    row.mOperation == operation::Submit ? calls.Submit(request) : calls.Query(request);
  EXPECT_EQ(done.mAnswer.mOutcome, row.mOutcome)
    << row.mGuardsAgainst << ": " << Describe(done.mAnswer.mReason);
  EXPECT_LT(done.mElapsed, std::chrono::milliseconds(1200)) << row.mGuardsAgainst;
  std::lock_guard guard(lock);
  EXPECT_EQ(first.size(), row.mFirstQueries) << row.mGuardsAgainst;
  EXPECT_EQ(second.size(), row.mSecondQueries) << row.mGuardsAgainst;
  std::set<std::string> keys(first.begin(), first.end());
  keys.insert(second.begin(), second.end());
  EXPECT_EQ(keys.size(), row.mDistinctKeys) << row.mGuardsAgainst;
}

const fake_reply kClosed{ .mAction = fake_action::Close };
const fake_reply kSilent{ .mAction = fake_action::NoReply };
const fake_reply kTruncated{ .mAction = fake_action::TruncateBody, .mBody = kComplete };

INSTANTIATE_TEST_SUITE_P(
  rows,
  client_test,
  testing::Values(
    client_row{ "a successful search is sent twice",
                operation::Search,
                {},
                false,
                outcome::Complete,
                1,
                0,
                1 },
    client_row{ "a search is lost with its VM",
                operation::Search,
                { kClosed },
                false,
                outcome::Complete,
                1,
                1,
                1 },
    client_row{ "a submit gets another key after its VM was lost",
                operation::Submit,
                { kClosed },
                false,
                outcome::Complete,
                1,
                1,
                1 },
    client_row{ "a submit is not retried after not_run",
                operation::Submit,
                { { .mStatus = 503, .mBody = kNotRun } },
                false,
                outcome::Complete,
                2,
                0,
                2 },
    client_row{ "a paused VM delays a search until its deadline",
                operation::Search,
                { kSilent },
                true,
                outcome::Complete,
                1,
                1,
                1 },
    client_row{ "a silent connection delays a search until its deadline",
                operation::Search,
                { kSilent },
                false,
                outcome::Complete,
                2,
                0,
                1 },
    client_row{ "a silent connection makes a submit run twice",
                operation::Submit,
                { kSilent },
                false,
                outcome::Complete,
                2,
                0,
                1 },
    client_row{ "a truncated body is accepted as an answer",
                operation::Search,
                { kTruncated },
                false,
                outcome::Complete,
                2,
                0,
                1 },
    client_row{ "an answer with fewer records than its count is accepted",
                operation::Search,
                { { .mBody = kWrongCount }, { .mBody = kWrongCount }, { .mBody = kWrongCount } },
                false,
                outcome::Unknown,
                3,
                0,
                1 }));

struct entry_row
{
  const char* mGuardsAgainst;
  int mLifetimeMs;
  int mEntryRequests; // entry requests for five queries, 20 ms apart
};

class client_entry_test : public testing::TestWithParam<entry_row>
{};

TEST_P(client_entry_test, KeepsTheAnswer)
{
  std::mutex lock;
  int entryRequests = 0;
  std::string address;
  fake_daemon daemon([&](const std::string& aTarget, const std::string&) {
    std::lock_guard guard(lock);
    if (!aTarget.starts_with("/v1/entry")) {
      return fake_reply{ .mBody = kComplete };
    }
    ++entryRequests;
    return fake_reply{ .mBody = R"({"vm": "vm-1", "address": ")" + address +
                                R"(", "lifetime_ms": )" + std::to_string(GetParam().mLifetimeMs) +
                                R"(, "key_prefix": ""})" };
  });
  {
    std::lock_guard guard(lock);
    address = daemon.Address();
  }
  client calls({ .mDaemons = { UnusedAddress(), daemon.Address() } });
  for (int i = 0; i < 5; ++i) {
    EXPECT_EQ(calls.Query({ .mRoute = "r", .mCaller = "c" }).mAnswer.mOutcome, outcome::Complete);
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  std::lock_guard guard(lock);
  EXPECT_EQ(entryRequests, GetParam().mEntryRequests) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(rows,
                         client_entry_test,
                         testing::Values(entry_row{ "each call requests an entry VM", 60000, 1 },
                                         entry_row{ "an expired answer is used", 1, 5 }));

struct key_prefix_row
{
  const char* mGuardsAgainst;
  std::vector<operation> mCalls;
};

class key_prefix_test : public testing::TestWithParam<key_prefix_row>
{};

// The first answer of a daemon gives no key prefix, as that of a daemon that has just started.
TEST_P(key_prefix_test, IsRequestedUntilItIsKnown)
{
  std::mutex lock;
  int entryRequests = 0;
  std::string address;
  const fake_daemon::handler handler = [&](const std::string& aTarget, const std::string&) {
    std::lock_guard guard(lock);
    if (!aTarget.starts_with("/v1/entry")) {
      return fake_reply{ .mBody = kComplete };
    }
    const std::string prefix = ++entryRequests == 1 ? "" : "vm-1.1.";
    return fake_reply{ .mBody = R"({"vm": "vm-1", "address": ")" + address +
                                R"(", "lifetime_ms": 60000, "key_prefix": ")" + prefix + "\"}" };
  };
  fake_daemon first(handler);
  fake_daemon second(handler);
  {
    std::lock_guard guard(lock);
    address = first.Address();
  }
  client calls({ .mDaemons = { first.Address(), second.Address() } });
  const query_request request{ .mRoute = "r", .mCaller = "c", .mFilter = { { "id", "x" } } };
  for (const operation each : GetParam().mCalls) {
    const call_result done =
      each == operation::Submit ? calls.Submit(request) : calls.Query(request);
    EXPECT_EQ(done.mAnswer.mOutcome, outcome::Complete)
      << GetParam().mGuardsAgainst << ": " << Describe(done.mAnswer.mReason);
  }
  std::lock_guard guard(lock);
  EXPECT_EQ(entryRequests, 2) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  key_prefix_test,
  testing::Values(key_prefix_row{ "a submit fails since one daemon does not know the prefix",
                                  { operation::Submit, operation::Submit } },
                  key_prefix_row{ "submits fail for as long as an answer without prefix is kept",
                                  { operation::Search, operation::Submit, operation::Submit } }));

} // namespace
} // namespace redwingdock
