#include "platform/request_codec.h"

#include <gtest/gtest.h>

namespace redwingdock::platform {
namespace {

http_message Parse(http_side aSide, const std::string& aBytes)
{
  http_reader reader(aSide, { std::size_t{ 64 } * 1024 });
  EXPECT_EQ(reader.Feed(aBytes), http_read_status::Complete);
  return reader.Take();
}

struct request_row
{
  const char* mGuardsAgainst;
  const char* mBytes;
  forward_request mContent; // mFingerprint is 0 and not compared
  const char* mSent;        // request to the replica
};

class request_test : public testing::TestWithParam<request_row>
{};

TEST_P(request_test, IsForwardedUnchanged)
{
  const request_row& row = GetParam();
  const http_message message = Parse(http_side::Server, row.mBytes);
  forward_request content = DecodeRequest(message);
  content.mFingerprint = 0;
  EXPECT_EQ(content, row.mContent) << row.mGuardsAgainst;
  replica_entry replica;
  replica.mId = "i-1";
  EXPECT_EQ(EncodeAttempt(message, replica, std::chrono::microseconds(790'900)), row.mSent)
    << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  request_test,
  testing::Values(
    request_row{ "a common request or reply",
                 "GET /a/2f?x=1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 9c\r\n"
                 "X-Deadline-Remaining: 800\r\n\r\n",
                 { "9c", "h.example", "/a/2f", std::chrono::milliseconds(800), 0 },
                 "GET /a/2f?x=1 HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: 9c\r\n"
                 "X-Deadline-Remaining: 790\r\nX-Expected-Instance: i-1\r\n\r\n" },
    request_row{
      "hop-by-hop fields are forwarded to the replica",
      "GET /a/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 9c\r\nConnection: keep-alive, X-Hop\r\n"
      "X-Hop: 1\r\nKeep-Alive: timeout=5\r\nX-Other: 2\r\n\r\n",
      { "9c", "h", "/a/", micros(0), 0 },
      "GET /a/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 9c\r\nX-Other: 2\r\n"
      "X-Deadline-Remaining: 790\r\nX-Expected-Instance: i-1\r\n\r\n" },
    request_row{
      "the client's X-Expected-Instance reaches the replica",
      "GET /a/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 9c\r\nX-Expected-Instance: i-7\r\n\r\n",
      { "9c", "h", "/a/", micros(0), 0 },
      "GET /a/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 9c\r\n"
      "X-Deadline-Remaining: 790\r\nX-Expected-Instance: i-1\r\n\r\n" },
    request_row{
      "a chunked body is forwarded with the wrong framing or with bytes missing",
      "POST /a/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 9c\r\nTransfer-Encoding: chunked\r\n"
      "X-Deadline-Remaining: 1.5\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
      { "9c", "h", "/a/", micros(1500), 0 },
      "POST /a/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 9c\r\nX-Deadline-Remaining: 790\r\n"
      "X-Expected-Instance: i-1\r\nContent-Length: 5\r\n\r\nabcde" },
    request_row{ "a malformed deadline makes the request fail",
                 "GET /a/ HTTP/1.1\r\nHost: h\r\nX-Deadline-Remaining: soon\r\n\r\n",
                 { "", "h", "/a/", micros(0), 0 },
                 "GET /a/ HTTP/1.1\r\nHost: h\r\nX-Deadline-Remaining: 790\r\n"
                 "X-Expected-Instance: i-1\r\n\r\n" },
    request_row{ "a deadline that is no number is converted to one",
                 "GET /a/ HTTP/1.1\r\nHost: h\r\nX-Deadline-Remaining: nan\r\n\r\n",
                 { "", "h", "/a/", micros(0), 0 },
                 "GET /a/ HTTP/1.1\r\nHost: h\r\nX-Deadline-Remaining: 790\r\n"
                 "X-Expected-Instance: i-1\r\n\r\n" }));

struct reply_row
{
  const char* mGuardsAgainst;
  const char* mBytes;
  bool mMatches;
  attempt_end mEnd;
  forward_reply mReply;
};

class reply_test : public testing::TestWithParam<reply_row>
{};

TEST_P(reply_test, Decoded)
{
  const reply_row& row = GetParam();
  const http_message message = Parse(http_side::Client, row.mBytes);
  EXPECT_EQ(MatchesRequestId(message, "9c"), row.mMatches) << row.mGuardsAgainst;
  const decoded_reply reply = DecodeReply(message, "i-1");
  EXPECT_EQ(reply.mEnd, row.mEnd) << row.mGuardsAgainst;
  ASSERT_EQ(reply.mReply != nullptr, row.mEnd == attempt_end::Answered) << row.mGuardsAgainst;
  if (reply.mReply) {
    EXPECT_EQ(*reply.mReply, row.mReply) << row.mGuardsAgainst;
  }
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  reply_test,
  testing::Values(
    reply_row{ "a common request or reply",
               "HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c\r\nX-Response-Stamp: s.1\r\n"
               "Keep-Alive: timeout=4\r\nContent-Length: 2\r\n\r\nok",
               true,
               attempt_end::Answered,
               { 200, "s.1", { { "X-Attempt-Id", "9c" }, { "X-Response-Stamp", "s.1" } }, "ok" } },
    reply_row{ "a late reply to an earlier request is accepted",
               "HTTP/1.1 200 OK\r\nX-Attempt-Id: 77\r\nX-Response-Stamp: s.1\r\n"
               "Content-Length: 0\r\n\r\n",
               false,
               attempt_end::Answered,
               { 200, "s.1", { { "X-Attempt-Id", "77" }, { "X-Response-Stamp", "s.1" } }, "" } },
    reply_row{ "a success without a signature is passed on",
               "HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c\r\nContent-Length: 2\r\n\r\nok",
               true,
               attempt_end::Lost,
               {} },
    reply_row{ "a body with Content-Encoding is accepted",
               "HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c\r\nX-Response-Stamp: s.1\r\n"
               "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
               true,
               attempt_end::Lost,
               {} },
    reply_row{ "a refusal with X-Not-Executed counts as run",
               "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
               true,
               attempt_end::Rejected,
               {} },
    reply_row{ "a failure without X-Not-Executed counts as not run or is relayed, and its status "
               "tells the client that the request did not run",
               "HTTP/1.1 503 Service Unavailable\r\nX-Response-Stamp: s.2\r\n"
               "Content-Length: 0\r\n\r\n",
               true,
               attempt_end::Ambiguous,
               {} },
    reply_row{ "the same with status 429",
               "HTTP/1.1 429 Too Many Requests\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
               true,
               attempt_end::Ambiguous,
               {} },
    reply_row{ "the same with status 408",
               "HTTP/1.1 408 Request Timeout\r\nX-Attempt-Id: 9c\r\nContent-Length: 0\r\n\r\n",
               true,
               attempt_end::Ambiguous,
               {} },
    reply_row{ "a failure whose status says nothing about the run is not relayed",
               "HTTP/1.1 504 Gateway Timeout\r\nX-Response-Stamp: s.2\r\n"
               "Content-Length: 0\r\n\r\n",
               true,
               attempt_end::Answered,
               { 504, "s.2", { { "X-Response-Stamp", "s.2" } }, "" } },
    reply_row{ "a refusal with status 429 and X-Not-Executed counts as run",
               "HTTP/1.1 429 Too Many Requests\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
               true,
               attempt_end::Rejected,
               {} },
    reply_row{ "a reply of another process at the address is accepted as the replica's",
               "HTTP/1.1 421 Misdirected Request\r\nX-Instance: i-2\r\nContent-Length: 0\r\n\r\n",
               true,
               attempt_end::Misplaced,
               {} },
    reply_row{ "the same without the id of the process",
               "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n",
               true,
               attempt_end::Misplaced,
               {} },
    reply_row{ "a statement that the request did not run is not believed because of a signature",
               "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Instance: i-2\r\n"
               "X-Response-Stamp: s.2\r\nContent-Length: 0\r\n\r\n",
               true,
               attempt_end::Misplaced,
               {} },
    reply_row{ "a failure of the replica itself counts as the reply of another process",
               "HTTP/1.1 421 Misdirected Request\r\nX-Instance: i-1\r\nContent-Length: 0\r\n\r\n",
               true,
               attempt_end::Ambiguous,
               {} },
    reply_row{ "a signed failure counts as a reply without a run",
               "HTTP/1.1 421 Misdirected Request\r\nX-Response-Stamp: s.2\r\n"
               "Content-Length: 0\r\n\r\n",
               true,
               attempt_end::Ambiguous,
               {} },
    reply_row{ "a rejection by the replica itself makes its address count as taken",
               "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Instance: i-1\r\n"
               "Content-Length: 0\r\n\r\n",
               true,
               attempt_end::Rejected,
               {} }));

struct notice_row
{
  const char* mGuardsAgainst;
  std::string mHead; // status and fields of the reply
  replica_notice mNotice;
};

class notice_test : public testing::TestWithParam<notice_row>
{};

TEST_P(notice_test, Decoded)
{
  const std::string bytes = "HTTP/1.1 " + GetParam().mHead + "\r\nContent-Length: 0\r\n\r\n";
  EXPECT_EQ(DecodeReply(Parse(http_side::Client, bytes), "i-1").mNotice, GetParam().mNotice)
    << GetParam().mGuardsAgainst;
}

constexpr char kRejected[] = "503 X\r\nX-Not-Executed: 1\r\nRetry-After: ";

notice_row RetryAfterRow(const char* aGuardsAgainst, const std::string& aValue, micros aExpected)
{
  return { aGuardsAgainst, kRejected + aValue, { false, aExpected } };
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  notice_test,
  testing::Values(
    notice_row{ "a usual reply is a notice", "200 OK\r\nX-Response-Stamp: s", {} },
    notice_row{ "a replica that answers and leaves is not noticed",
                "200 OK\r\nX-Response-Stamp: s\r\nServer-Leaving: 1",
                { true, micros(0) } },
    notice_row{ "a replica that fails and leaves is not noticed",
                "500 X\r\nX-Response-Stamp: s\r\nServer-Leaving: 1",
                { true, micros(0) } },
    notice_row{ "a replica that rejects and leaves is not noticed",
                "503 X\r\nX-Not-Executed: 1\r\nServer-Leaving: 1",
                { true, micros(0) } },
    notice_row{ "a reply without signature loses its notice",
                "200 OK\r\nServer-Leaving: 1",
                { true, micros(0) } },
    notice_row{ "another value counts as leaving",
                "200 OK\r\nX-Response-Stamp: s\r\nServer-Leaving: 0",
                {} },
    notice_row{ "a replica that may have run the request loses its notice",
                "503 X\r\nServer-Leaving: 1\r\nRetry-After: 2",
                { true, std::chrono::seconds(2) } },
    notice_row{ "the notice of another process counts for the replica",
                "421 X\r\nServer-Leaving: 1",
                {} },
    notice_row{ "a replica that fails with status 421 loses its notice",
                "421 X\r\nX-Instance: i-1\r\nServer-Leaving: 1",
                { true, micros(0) } },
    notice_row{ "a time with another status than 503 counts",
                "429 X\r\nX-Not-Executed: 1\r\nRetry-After: 2",
                {} },
    RetryAfterRow("whole seconds are not read", "3", std::chrono::seconds(3)),
    RetryAfterRow("fractions are not read", "0.25", std::chrono::milliseconds(250)),
    RetryAfterRow("a fraction without leading digit is not read", ".5", micros(500'000)),
    RetryAfterRow("no time is a time", "0", micros(0)),
    RetryAfterRow("a negative time is a time", "-3", micros(0)),
    RetryAfterRow("a date is a time", "Wed, 21 Oct 2026 07:28:00 GMT", micros(0)),
    RetryAfterRow("a number with a unit is a time", "3s", micros(0)),
    RetryAfterRow("infinity is a time", "inf", micros(0)),
    RetryAfterRow("a time that is no number is converted", "nan", micros(0)),
    RetryAfterRow("a long time overflows", "99999999999999999999", std::chrono::hours(1)),
    RetryAfterRow("more digits than a double holds end the process",
                  std::string(400, '9'),
                  std::chrono::hours(1))));

struct answer_row
{
  const char* mGuardsAgainst;
  forward_answer mAnswer;
  const char* mBytes;
};

class answer_test : public testing::TestWithParam<answer_row>
{};

TEST_P(answer_test, Encoded)
{
  EXPECT_EQ(FormatReply(EncodeAnswer(GetParam().mAnswer), true), GetParam().mBytes)
    << GetParam().mGuardsAgainst;
}

forward_answer RelayedReply(forward_reply aReply)
{
  forward_answer answer;
  answer.mKind = answer_kind::Relayed;
  answer.mReply = std::make_shared<const forward_reply>(std::move(aReply));
  return answer;
}

forward_answer AnswerOfKind(answer_kind aKind)
{
  forward_answer answer;
  answer.mKind = aKind;
  answer.mRetryAfter = std::chrono::milliseconds(60);
  return answer;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  answer_test,
  testing::Values(
    answer_row{ "a reply is altered when it is passed on",
                RelayedReply({ 500, "s", { { "X-Response-Stamp", "s" } }, "bad" }),
                "HTTP/1.1 500 Internal Server Error\r\nX-Response-Stamp: s\r\nContent-Length: 3"
                "\r\n\r\nbad" },
    answer_row{ "a reply that is none is passed on",
                RelayedReply({ 0, "s", { { "X-Response-Stamp", "s" } }, "bad" }),
                "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n" },
    answer_row{ "a field that would begin a line of its own is passed on",
                RelayedReply({ 200, "s", { { "X-Response-Stamp", "s\r\nA: b" } }, "bad" }),
                "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n" },
    answer_row{ "missing parts are not reported",
                { answer_kind::Gathered, nullptr, { "s.1", "s.2" }, 1, "0123456789abcdef" },
                "HTTP/1.1 200 OK\r\nX-Shard-Stamps: s.1, s.2\r\nX-Missing-Shards: 1\r\n"
                "Content-Length: 16\r\n\r\n0123456789abcdef" },
    answer_row{ "an answer that the request did not run has no Retry-After",
                AnswerOfKind(answer_kind::NotRun),
                "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.060\r\nContent-Length: 0"
                "\r\n\r\n" },
    answer_row{ "a failure that may have run is reported as not run",
                AnswerOfKind(answer_kind::Failed),
                "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n" },
    answer_row{ "a timeout is reported as not run",
                AnswerOfKind(answer_kind::TimedOut),
                "HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n" },
    answer_row{ "an unknown path gets a status that clients retry",
                AnswerOfKind(answer_kind::NoRoute),
                "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n" }));

struct addresses_row
{
  const char* mGuardsAgainst;
  result<entry_answer> mAnswer;
  unsigned mStatus;
  const char* mBody;
};

class addresses_test : public testing::TestWithParam<addresses_row>
{};

TEST_P(addresses_test, Encoded)
{
  const http_response response = EncodeAddresses(GetParam().mAnswer);
  EXPECT_EQ(response.mStatus, GetParam().mStatus) << GetParam().mGuardsAgainst;
  EXPECT_EQ(response.mBody, GetParam().mBody) << GetParam().mGuardsAgainst;
}

entry_answer AddressAnswer(std::vector<std::string> aAddresses)
{
  entry_answer answer;
  answer.mLifetime = std::chrono::milliseconds(1500);
  answer.mAddresses = std::move(aAddresses);
  return answer;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  addresses_test,
  testing::Values(addresses_row{ "an address or the lifetime is missing",
                                 Success(AddressAnswer({ "10.0.0.1:80", "10.0.0.2:80" })),
                                 200,
                                 R"({"addrs":["10.0.0.1:80","10.0.0.2:80"],"ttl_s":1.5E0})" },
                  addresses_row{ "a failure is encoded as a success",
                                 Failure<entry_answer>("choose", "", "none"),
                                 503,
                                 "" }));

} // namespace
} // namespace redwingdock::platform
