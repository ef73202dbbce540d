#include "daemon/loopback_test_util.h"
#include "platform/edge_fixture.h"

#include <regex>

namespace redwingdock::platform {
namespace {

using test_util::blocking_socket;
using test_util::scripted_reply;
using test_util::scripted_server;

constexpr char kStamp[] = "stamp-of-the-faulty-replica";
// Two records, which sort before those of the other replicas.
constexpr char kBody[] = "zzzzzzzzzzzzzzzzyyyyyyyyyyyyyyyy";

// What a faulty replica sends for each request.
struct answer_row
{
  const char* mGuardsAgainst;
  std::string mBytes;
  bool mClose = false;         // closes the connection behind it
  bool mHoldsAnAnswer = false; // which reaches the client
};

// A daemon whose service b has only a faulty replica.
class broken_answer_test : public testing::TestWithParam<answer_row>
{
protected:
  broken_answer_test()
    : mFaulty(mFixture.mLoop, [this](const std::string&) {
      ++mRequests;
      return scripted_reply{ GetParam().mBytes, GetParam().mClose };
    })
  {
    mFixture.mReplicas.at("a")->SetBehaviour({ micros(0), 200, "aaaaaaaaaaaaaaaa" });
    mFixture.mReplicas.at("c")->SetBehaviour({ micros(0), 200, "cccccccccccccccc" });
    mFixture.mStore.Put("servers/i-b", EntryAt("b", mFaulty.Address()));
    mFixture.Publish("b");
  }

  ~broken_answer_test() override
  {
    mFixture.mDaemon.reset();
    mFixture.mLoop.Stop();
  }

  // Sends the request on a new connection.
  std::string Answer(const std::string& aTarget) const
  {
    blocking_socket client(mFixture.mBound.mCallers);
    client.Send(EdgeRequest(aTarget));
    return StrictAnswer(client);
  }

  // Reads the next answer, and checks its head against the grammar of RFC 9112.
  static std::string StrictAnswer(blocking_socket& aClient)
  {
    std::string answer = aClient.ReadReply();
    static const std::regex kStrict(
      "HTTP/1\\.1 [2-5][0-9][0-9] [ -~]*\r\n"
      "([!#$%&'*+.^_`|~0-9A-Za-z-]+: ([!-~]([ -~]*[!-~])?)?\r\n)*\r\n[^]*");
    EXPECT_TRUE(std::regex_match(answer, kStrict)) << GetParam().mGuardsAgainst << ": " << answer;
    return answer;
  }

  edge_fixture mFixture;
  std::atomic<int> mRequests{ 0 };
  scripted_server mFaulty;
};

TEST_P(broken_answer_test, ReachesNoClientAndIsNotRepeated)
{
  // An unsafe request may have run: status 502, and one replica only.
  ASSERT_TRUE(mFixture.WaitUntilReady());
  const std::string answer = Answer("/u/x");
  EXPECT_EQ(mRequests, 1) << GetParam().mGuardsAgainst;
  if (GetParam().mHoldsAnAnswer) {
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 OK\r\n")) << answer;
    EXPECT_TRUE(answer.ends_with(std::string("\r\n\r\n") + kBody)) << answer;
    EXPECT_NE(answer.find(kStamp), std::string::npos) << answer;
    return;
  }
  EXPECT_EQ(answer, "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n")
    << GetParam().mGuardsAgainst;
}

TEST_P(broken_answer_test, TeachesNothing)
{
  // The only replica gets the next request as well, whatever its broken answer said of itself.
  ASSERT_TRUE(mFixture.WaitUntilReady());
  Answer("/u/x");
  Answer("/u/y");
  EXPECT_EQ(mRequests, 2) << GetParam().mGuardsAgainst;
}

TEST_P(broken_answer_test, LeavesASafeRequestToAnotherReplica)
{
  // The sound replica is slow, so that some of the requests that are open at a time meet the faulty
  // one.
  constexpr std::size_t kOpenRequests = 4;
  constexpr int kMaxRounds = 100;
  mFixture.mStore.Put("servers/i-a2", EntryAt("a", mFaulty.Address()));
  mFixture.mReplicas.at("a")->SetBehaviour({ std::chrono::milliseconds(20), 200, "sound" });
  ASSERT_TRUE(mFixture.WaitUntilReady());
  std::vector<std::unique_ptr<blocking_socket>> clients;
  for (std::size_t i = 0; i < kOpenRequests; ++i) {
    clients.push_back(std::make_unique<blocking_socket>(mFixture.mBound.mCallers));
  }
  for (int round = 0; mRequests == 0 && round < kMaxRounds; ++round) {
    for (std::size_t i = 0; i < kOpenRequests; ++i) {
      clients[i]->Send(EdgeRequest("/p/" + std::to_string(round * kOpenRequests + i)));
    }
    for (const auto& client : clients) {
      const std::string answer = StrictAnswer(*client);
      EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 OK\r\n")) << answer;
      EXPECT_TRUE(GetParam().mHoldsAnAnswer || answer.ends_with("\r\n\r\nsound")) << answer;
    }
  }
  EXPECT_GE(mRequests, 1);
}

TEST_P(broken_answer_test, IsNoPartOfAGather)
{
  ASSERT_TRUE(mFixture.WaitUntilReady());
  const std::string answer = Answer("/g/x");
  EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 OK\r\n")) << answer;
  EXPECT_EQ(answer.find(kStamp) != std::string::npos, GetParam().mHoldsAnAnswer)
    << GetParam().mGuardsAgainst << ": " << answer;
  EXPECT_EQ(answer.find("X-Missing-Shards: 1\r\n") == std::string::npos, GetParam().mHoldsAnAnswer)
    << GetParam().mGuardsAgainst << ": " << answer;
  EXPECT_TRUE(
    answer.ends_with(GetParam().mHoldsAnAnswer ? kBody : "ccccccccccccccccaaaaaaaaaaaaaaaa"))
    << GetParam().mGuardsAgainst << ": " << answer;
}

// An answer with a status line, further lines of the head, and the body with its length.
std::string AnswerBytes(const std::string& aStatusLine, const std::string& aLines = "")
{
  return "HTTP/1.1 " + aStatusLine + "\r\nX-Response-Stamp: " + kStamp + "\r\n" + aLines +
         "Content-Length: " + std::to_string(sizeof(kBody) - 1) + "\r\n\r\n" + kBody;
}

std::string ChunkedBytes(const std::string& aLines, const std::string& aTrailer = "")
{
  return "HTTP/1.1 200 OK\r\n" + aLines + "\r\n20\r\n" + kBody + "\r\n0\r\n" + aTrailer + "\r\n";
}

const std::string kStampLine = std::string("X-Response-Stamp: ") + kStamp + "\r\n";

constexpr char kStatusGuard[] = "a status outside 100 to 599 reaches the client";

INSTANTIATE_TEST_SUITE_P(statuses,
                         broken_answer_test,
                         testing::Values(answer_row{ kStatusGuard, AnswerBytes("000 X") },
                                         answer_row{ kStatusGuard, AnswerBytes("001 X") },
                                         answer_row{ kStatusGuard, AnswerBytes("042 X") },
                                         answer_row{ kStatusGuard, AnswerBytes("099 X") },
                                         answer_row{ kStatusGuard, AnswerBytes("600 X") },
                                         answer_row{ kStatusGuard, AnswerBytes("700 X") },
                                         answer_row{ kStatusGuard, AnswerBytes("999 X") },
                                         answer_row{
                                           "a broken answer promises that the request did not run",
                                           AnswerBytes("000 X", "X-Not-Executed: 1\r\n") }));

INSTANTIATE_TEST_SUITE_P(
  interim_answers,
  broken_answer_test,
  testing::Values(answer_row{ "a change of the protocol reaches the client", AnswerBytes("101 X") },
                  answer_row{ "an interim answer reaches the client", AnswerBytes("103 X") },
                  answer_row{ "an interim answer with an unknown status reaches the client",
                              AnswerBytes("199 X") },
                  answer_row{ "the answer behind an interim one is dropped",
                              "HTTP/1.1 100 Continue\r\n\r\n" + AnswerBytes("200 OK"),
                              false,
                              true },
                  answer_row{ "the answer behind an interim one with a stamp is dropped",
                              "HTTP/1.1 103 X\r\nX-Response-Stamp: early\r\n\r\n" +
                                AnswerBytes("200 OK"),
                              false,
                              true },
                  answer_row{ "an interim answer promises that the request did not run",
                              "HTTP/1.1 103 X\r\nX-Not-Executed: 1\r\n\r\n",
                              true }));

INSTANTIATE_TEST_SUITE_P(
  notices,
  broken_answer_test,
  testing::Values(answer_row{ "a broken answer says that the replica leaves",
                              AnswerBytes("000 X", "Server-Leaving: 1\r\n") },
                  answer_row{ "an interim answer says that the replica leaves",
                              "HTTP/1.1 103 X\r\nServer-Leaving: 1\r\n\r\n" + AnswerBytes("200 OK"),
                              false,
                              true },
                  answer_row{
                    "a broken answer asks for time",
                    AnswerBytes("503 X", "X-Not-Executed: 1\r\nRetry-After: 60\r\n : a\r\n") },
                  answer_row{ "a broken answer says that another process is at the address",
                              AnswerBytes("421 X", "Transfer-Encoding: foo\r\n") },
                  answer_row{ "a trailer says that the replica leaves",
                              ChunkedBytes(kStampLine + "Transfer-Encoding: chunked\r\n",
                                           "Server-Leaving: 1\r\n"),
                              false,
                              true }));

constexpr char kCodingGuard[] = "a body in an unknown coding reaches the client";

INSTANTIATE_TEST_SUITE_P(
  transfer_codings,
  broken_answer_test,
  testing::Values(
    answer_row{ kCodingGuard, ChunkedBytes(kStampLine + "Transfer-Encoding: foo\r\n"), true },
    answer_row{ kCodingGuard, ChunkedBytes(kStampLine + "Transfer-Encoding: gzip, chunked\r\n") },
    answer_row{ kCodingGuard,
                ChunkedBytes(kStampLine + "Transfer-Encoding: chunked, identity\r\n"),
                true },
    answer_row{ kCodingGuard, AnswerBytes("200 OK", "Transfer-Encoding: foo\r\n") },
    answer_row{ "a body in chunks does not reach the client",
                ChunkedBytes(kStampLine + "Transfer-Encoding: chunked\r\n"),
                false,
                true }));

INSTANTIATE_TEST_SUITE_P(trailers,
                         broken_answer_test,
                         testing::Values(answer_row{
                           "a stamp behind the body signs the answer",
                           ChunkedBytes("Transfer-Encoding: chunked\r\n", kStampLine) }));

INSTANTIATE_TEST_SUITE_P(
  folded_lines,
  broken_answer_test,
  testing::Values(answer_row{ "a line that begins with a space changes the stamp",
                              AnswerBytes("200 OK", " : a\r\n") },
                  answer_row{ "a line that begins with a tab changes the stamp",
                              AnswerBytes("200 OK", "\ta\r\n") }));

constexpr char kNameGuard[] = "an answer in whose head a name is no token reaches the client";

INSTANTIATE_TEST_SUITE_P(
  names,
  broken_answer_test,
  testing::Values(answer_row{ kNameGuard, AnswerBytes("200 OK", "A B: v\r\n") },
                  answer_row{ kNameGuard, AnswerBytes("200 OK", "A : v\r\n") },
                  answer_row{ kNameGuard, AnswerBytes("200 OK", "A\t: v\r\n") },
                  answer_row{ kNameGuard, AnswerBytes("200 OK", "A\x01: v\r\n") },
                  answer_row{ kNameGuard,
                              AnswerBytes("200 OK",
                                          "\x7f"
                                          "A: v\r\n") },
                  answer_row{ kNameGuard, AnswerBytes("200 OK", "A\rB: v\r\n") },
                  answer_row{ kNameGuard, AnswerBytes("200 OK", ": v\r\n") },
                  answer_row{ "the length is ignored since its name has a blank",
                              std::string("HTTP/1.1 200 OK\r\n") + kStampLine +
                                "Content-Length : 8\r\n\r\n" + kBody,
                              true },
                  answer_row{ "the coding is ignored since its name has a control byte",
                              ChunkedBytes(kStampLine + "Transfer-Encoding\x01: chunked\r\n"),
                              true },
                  answer_row{ "a name with a blank before the stamp passes",
                              "HTTP/1.1 200 OK\r\nX-Response-Stamp : " + std::string(kStamp) +
                                "\r\nContent-Length: 0\r\n\r\n" }));

} // namespace
} // namespace redwingdock::platform
