#include "daemon/http_server.h"

#include "daemon/loopback_test_util.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

struct unfinished_row
{
  const char* mGuardsAgainst;
  std::string mReceived;   // by the server
  std::size_t mReplyBytes; // of the reply to the first request; 0 for none
  bool mUnanswered;
  std::string mRequest;
  bool mPartlyRead;
  std::size_t mPipelinedBytes;
  std::vector<std::string> mUnsent; // names of the requests of unsent replies
};

class unfinished_test : public testing::TestWithParam<unfinished_row>
{};

TEST_P(unfinished_test, IsReported)
{
  const unfinished_row& row = GetParam();
  io_loop loop(2);
  request_id_source ids{ 0 };
  std::unique_ptr<http_server> server;
  http_server_hooks hooks;
  hooks.mOnRequest = [&](std::uint64_t aId, const http_message&) {
    if (aId == 1 && row.mReplyBytes > 0) {
      server->Reply(aId, { 200, "", std::string(row.mReplyBytes, 'x'), {} });
    }
  };
  hooks.mNameOf = [](const http_message& aMessage) { return aMessage.mTarget; };
  server = std::make_unique<http_server>(loop, ids, std::move(hooks));
  const result<std::string> address = server->ListenOn("127.0.0.1:0");
  ASSERT_TRUE(address);
  loop.Start();
  test_util::blocking_socket idle(*address);
  test_util::blocking_socket client(*address);
  client.Send(row.mReceived);
  std::vector<unfinished_connection> found;
  test_util::WaitUntil([&] {
    found = server->UnfinishedConnections();
    return found.size() == 1 && found.front().mUnanswered == row.mUnanswered &&
           found.front().mPipelinedBytes == row.mPipelinedBytes;
  });
  ASSERT_EQ(found.size(), 1U) << row.mGuardsAgainst;
  EXPECT_EQ(found.front().mUnanswered, row.mUnanswered) << row.mGuardsAgainst;
  EXPECT_EQ(found.front().mRequest, row.mRequest) << row.mGuardsAgainst;
  EXPECT_EQ(found.front().mPartlyRead, row.mPartlyRead) << row.mGuardsAgainst;
  EXPECT_EQ(found.front().mPipelinedBytes, row.mPipelinedBytes) << row.mGuardsAgainst;
  std::vector<std::string> unsent;
  for (const unsent_reply& each : found.front().mUnsentReplies) {
    unsent.push_back(each.mRequest);
    EXPECT_GT(each.mBytes, 0U) << row.mGuardsAgainst;
  }
  EXPECT_EQ(unsent, row.mUnsent) << row.mGuardsAgainst;
  loop.Stop();
}

// More than the kernel buffers of a connection hold.
constexpr std::size_t kHugeReply = 60'000'000;

std::string Get(const std::string& aTarget)
{
  return "GET " + aTarget + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  unfinished_test,
  testing::Values(
    unfinished_row{ "a request without a reply is missed", Get("/1"), 0, true, "/1", false, 0, {} },
    unfinished_row{ "requests behind an unanswered one are missed",
                    Get("/1") + Get("/2"),
                    0,
                    true,
                    "/1",
                    false,
                    Get("/2").size(),
                    {} },
    unfinished_row{ "a request without its last bytes is missed",
                    "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n1234",
                    0,
                    false,
                    "",
                    true,
                    0,
                    {} },
    unfinished_row{ "a reply that the client does not read is missed",
                    Get("/1"),
                    kHugeReply,
                    false,
                    "",
                    false,
                    0,
                    { "/1" } },
    unfinished_row{ "a request that waits behind an unread reply is missed, or begun",
                    Get("/1") + Get("/2"),
                    kHugeReply,
                    false,
                    "",
                    true,
                    0,
                    { "/1" } }));

} // namespace
} // namespace redwingdock
