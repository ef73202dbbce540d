#include "client/http_client.h"

#include "daemon/loopback_test_util.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

using test_util::scripted_reply;
using test_util::scripted_server;

struct reply_row
{
  const char* mGuardsAgainst;
  std::vector<scripted_reply> mReplies; // to consecutive requests
  std::vector<http_reply> mResults;     // mReason is not compared
  std::size_t mConnections;
};

class http_client_test : public testing::TestWithParam<reply_row>
{};

TEST_P(http_client_test, GivesOnlyReplies)
{
  const reply_row& row = GetParam();
  io_loop loop(1);
  std::size_t next = 0;
  scripted_server server(loop, [&row, &next](const std::string&) {
    return next < row.mReplies.size() ? row.mReplies[next++] : scripted_reply{ "", true };
  });
  loop.Start();
  http_client client(1);
  for (const http_reply& expected : row.mResults) {
    http_reply reply = client.SendAndWait({ .mAddress = server.Address() });
    EXPECT_EQ(reply.mFailure == http_failure::None, reply.mReason == reason{})
      << row.mGuardsAgainst;
    reply.mReason = {};
    EXPECT_EQ(reply, expected) << row.mGuardsAgainst << ": status " << reply.mStatus << ", body "
                               << reply.mBody;
  }
  EXPECT_EQ(server.Connections(), row.mConnections) << row.mGuardsAgainst;
  client.Stop();
  loop.Stop();
}

std::string ReplyBytes(const std::string& aStatus, const std::string& aLines = "")
{
  return "HTTP/1.1 " + aStatus + "\r\n" + aLines + "Content-Length: 2\r\n\r\nok";
}

const scripted_reply kSound{ ReplyBytes("200 OK") };
const http_reply kOk{ http_failure::None, 200, "ok", {} };
const http_reply kLost{ http_failure::ConnectionLost, 0, "", {} };
const http_reply kTruncated{ http_failure::Truncated, 0, "", {} };

INSTANTIATE_TEST_SUITE_P(
  cases,
  http_client_test,
  testing::Values(
    reply_row{ "a connection is not reused", { kSound, kSound }, { kOk, kOk }, 1 },
    reply_row{ "a cut body counts as complete",
               { { "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", true }, kSound },
               { kTruncated, kOk },
               2 },
    reply_row{ "a cut head counts as a lost request",
               { { "HTTP/1.1 200 OK\r\nContent-Le", true }, kSound },
               { kTruncated, kOk },
               2 },
    reply_row{ "a body without a length counts as complete",
               { { "HTTP/1.1 200 OK\r\n\r\nok", true }, kSound },
               { kTruncated, kOk },
               2 },
    reply_row{
      "a body in chunks is refused",
      { { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" }, kSound },
      { kOk, kOk },
      1 },
    reply_row{ "a call without a reply gets one", { { "", true } }, { kLost }, 1 }));

INSTANTIATE_TEST_SUITE_P(
  broken,
  http_client_test,
  testing::Values(
    reply_row{ "the status 000 is given to the caller",
               { { ReplyBytes("000 X") }, kSound },
               { kLost, kOk },
               2 },
    reply_row{ "an interim reply is given to the caller",
               { { "HTTP/1.1 100 Continue\r\n\r\n" + kSound.mBytes }, kSound },
               { kOk, kOk },
               1 },
    reply_row{
      "a body in another coding is given to the caller",
      { { "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" },
        kSound },
      { kLost, kOk },
      2 },
    reply_row{ "a line that begins with a blank is read",
               { { ReplyBytes("200 OK", "A: b\r\n c\r\n") }, kSound },
               { kLost, kOk },
               2 }));

INSTANTIATE_TEST_SUITE_P(extra,
                         http_client_test,
                         testing::Values(reply_row{
                           "a second reply is given to the next call",
                           { { ReplyBytes("200 OK") + ReplyBytes("404 Not Found") }, kSound },
                           { kOk, kOk },
                           2 }));

} // namespace
} // namespace redwingdock
