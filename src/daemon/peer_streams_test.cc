#include "daemon/peer_streams.h"

#include "codec/peer_codec.h"
#include "daemon/loopback_test_util.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

using test_util::blocking_socket;
using test_util::fact_log;
using test_util::scripted_reply;
using test_util::scripted_server;
using test_util::WaitUntil;

constexpr char kPreface[] = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

// The streams of one daemon and the facts that they post.
struct node
{
  node(io_loop& aLoop, const std::string& aVm, peer_limits aLimits = {})
    : mStreams(aLoop,
               { aVm, "5f2c" },
               { [this](fact aFact) { mFacts.Add(std::move(aFact)); }, [](const std::string&) {} },
               aLimits)
    , mAddress(mStreams.ListenOn("127.0.0.1:0").mValue.value_or(""))
  {
  }

  fact_log mFacts;
  peer_streams mStreams;
  std::string mAddress;
};

bool IsUp(const fact& aFact)
{
  const auto* changed = std::get_if<peer_connection_changed>(&aFact);
  return changed != nullptr && changed->mConnected;
}

bool IsDown(const fact& aFact)
{
  const auto* changed = std::get_if<peer_connection_changed>(&aFact);
  return changed != nullptr && !changed->mConnected;
}

// Sends one POST on a new connection and returns its status, 0 when the connection ends without
// one.
unsigned PostBody(const std::string& aAddress, const std::string& aPath, const std::string& aBody)
{
  blocking_socket socket(aAddress);
  http2_session session(http2_side::Client, kMaxEnvelopeBytes);
  session.Post(aPath, aAddress, aBody);
  socket.Send(session.TakeOutput());
  unsigned status = 0;
  WaitUntil([&] {
    const std::string bytes = socket.ReadSome();
    const result<http2_events> events = session.Receive(bytes);
    socket.Send(session.TakeOutput());
    if (events && !events->mStatuses.empty()) {
      status = events->mStatuses[0];
    }
    return status != 0 || !events || bytes.empty();
  });
  return status;
}

struct frame_row
{
  const char* mGuardsAgainst;
  std::string mBytes;
};

class bad_frame_test : public testing::TestWithParam<frame_row>
{};

// Guards against input other than HTTP/2 that posts a fact or stops the service for later peers;
// only its own connection may end.
TEST_P(bad_frame_test, EndsItsConnectionOnly)
{
  io_loop loop(2);
  node receiver(loop, "vm-1");
  loop.Start();
  blocking_socket socket(receiver.mAddress);
  ASSERT_TRUE(socket.Connected());
  socket.Send(GetParam().mBytes);
  socket.EndSending();
  socket.ReadToEnd();
  EXPECT_TRUE(socket.Ended()) << GetParam().mGuardsAgainst;
  EXPECT_TRUE(receiver.mFacts.All().empty());
  EXPECT_EQ(PostBody(receiver.mAddress,
                     "/v1/messages",
                     EncodeEnvelope({ "vm-2", "1", { probe_message{} } })),
            204U);
  EXPECT_EQ(receiver.mFacts.Of<peer_message_received>().size(), 1U);
  loop.Stop();
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  bad_frame_test,
  testing::Values(
    frame_row{ "an HTTP/1.1 request to the wrong port",
               "GET /v1/view HTTP/1.1\r\nHost: a\r\n\r\n" },
    frame_row{ "bytes that are not HTTP", std::string(3000, '\xa5') },
    frame_row{ "zero bytes", std::string(3000, '\0') },
    frame_row{ "an empty connection", "" },
    frame_row{ "a truncated preface", std::string(kPreface, 10) },
    frame_row{ "a preface followed by an invalid frame", kPreface + std::string(3000, '\x7f') },
    frame_row{ "a frame header that announces 16 MB",
               kPreface + std::string("\xff\xff\xff\x00\x00\x00\x00\x00\x01", 9) },
    frame_row{ "a DATA frame on a stream that is not open",
               kPreface + std::string("\0\0\0\4\0\0\0\0\0\0\0\1\0\1\0\0\0\1x", 19) },
    frame_row{ "a header block that cannot be decompressed",
               kPreface + std::string("\0\0\0\4\0\0\0\0\0\0\0\3\1\5\0\0\0\1\xff\xff\xff", 21) }));

struct body_row
{
  const char* mGuardsAgainst;
  std::string mPath;
  std::string mBody;
  unsigned mStatus;
  std::size_t mFacts;
};

class body_test : public testing::TestWithParam<body_row>
{};

// Guards against a request that gets the wrong status, or whose messages are accepted although one
// part of it is invalid.
TEST_P(body_test, BadBodyChangesNothing)
{
  io_loop loop(2);
  node receiver(loop, "vm-1");
  loop.Start();
  EXPECT_EQ(PostBody(receiver.mAddress, GetParam().mPath, GetParam().mBody), GetParam().mStatus)
    << GetParam().mGuardsAgainst;
  EXPECT_EQ(receiver.mFacts.Of<peer_message_received>().size(), GetParam().mFacts);
  loop.Stop();
}

std::string Envelope(std::vector<peer_message> aMessages)
{
  return EncodeEnvelope({ "vm-2", "1", std::move(aMessages) });
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  body_test,
  testing::Values(
    body_row{ "a valid envelope",
              "/v1/messages",
              Envelope({ probe_message{}, probe_message{ 1 } }),
              204,
              2 },
    body_row{ "an envelope without messages", "/v1/messages", Envelope({}), 204, 0 },
    body_row{ "an unknown path", "/v1/query", Envelope({ probe_message{} }), 404, 0 },
    body_row{ "a body that is not protobuf", "/v1/messages", std::string(200, '\xff'), 400, 0 },
    body_row{ "a truncated envelope",
              "/v1/messages",
              Envelope({ probe_message{ 7 }, probe_message{ 8 } }).substr(0, 14),
              400,
              0 },
    body_row{ "an empty body", "/v1/messages", "", 400, 0 },
    body_row{ "a body over the limit",
              "/v1/messages",
              std::string(kMaxEnvelopeBytes + 1, 'x'),
              400,
              0 },
    body_row{ "a valid message followed by an invalid one",
              "/v1/messages",
              Envelope({ probe_message{}, forward_part_message{} }),
              400,
              0 }));

// Guards against messages that are lost or reordered between queue and envelopes, and against a
// connection that is not reported.
TEST(peer_streams_test, OrderIsKeptAndStreamsAreReported)
{
  io_loop loop(2);
  auto receiver = std::make_unique<node>(loop, "vm-1");
  node sender(loop, "vm-2");
  loop.Start();
  constexpr std::int64_t kCount = 500;
  for (std::int64_t i = 0; i < kCount; ++i) {
    sender.mStreams.Send({ "vm-1", receiver->mAddress, probe_message{ i } });
  }
  ASSERT_TRUE(receiver->mFacts.WaitForType<peer_message_received>(kCount));
  std::int64_t next = 0;
  for (const peer_message_received& each : receiver->mFacts.Of<peer_message_received>()) {
    EXPECT_EQ(each.mFrom, "vm-2");
    EXPECT_EQ(std::get<probe_message>(each.mMessage).mSentAt, next++);
  }
  EXPECT_TRUE(sender.mFacts.WaitFor(IsUp));
  EXPECT_EQ(sender.mStreams.DroppedMessages(), 0U);
  loop.Stop();
}

// Guards against large messages (tables of 1 MB) that stall in HTTP/2 flow control.
TEST(peer_streams_test, LargeMessagesArrive)
{
  io_loop loop(2);
  node receiver(loop, "vm-1");
  node sender(loop, "vm-2");
  loop.Start();
  table_message table;
  table.mText = std::string(1024UL * 1024, 't');
  for (int i = 0; i < 6; ++i) {
    sender.mStreams.Send({ "vm-1", receiver.mAddress, table });
  }
  EXPECT_TRUE(receiver.mFacts.WaitForType<peer_message_received>(6));
  loop.Stop();
}

// Guards against a connection to a paused process that is kept forever, and against a connection
// that is reported before the peer has answered.
TEST(peer_streams_test, SilentPeerIsReplaced)
{
  io_loop loop(2);
  scripted_server silent(loop, [](const std::string&) { return scripted_reply{}; });
  peer_limits limits;
  limits.mPingInterval = std::chrono::milliseconds(20);
  limits.mPingTimeout = std::chrono::milliseconds(60);
  limits.mInitialBackoff = std::chrono::milliseconds(1);
  node sender(loop, "vm-2", limits);
  loop.Start();
  EXPECT_TRUE(WaitUntil([&] {
    sender.mStreams.Send({ "vm-1", silent.Address(), probe_message{} });
    return silent.Connections() >= 3;
  }));
  EXPECT_TRUE(sender.mFacts.All().empty());
  loop.Stop();
}

// Guards against a lost connection that is not reported, and against a peer that is not reconnected
// after its restart.
TEST(peer_streams_test, LostPeerIsReportedAndReconnected)
{
  io_loop loop(2);
  peer_limits limits;
  limits.mInitialBackoff = std::chrono::milliseconds(1);
  node sender(loop, "vm-2", limits);
  io_loop other(1);
  loop.Start();
  std::string address;
  {
    io_loop first(1);
    node receiver(first, "vm-1");
    address = receiver.mAddress;
    first.Start();
    sender.mStreams.Send({ "vm-1", address, probe_message{} });
    ASSERT_TRUE(sender.mFacts.WaitFor(IsUp));
    first.Stop();
  }
  EXPECT_TRUE(sender.mFacts.WaitFor(IsDown));
  fact_log facts;
  peer_streams again(
    other,
    { "vm-1", "later" },
    { [&](fact aFact) { facts.Add(std::move(aFact)); }, [](const std::string&) {} });
  ASSERT_TRUE(again.ListenOn(address));
  other.Start();
  EXPECT_TRUE(WaitUntil([&] {
    sender.mStreams.Send({ "vm-1", address, probe_message{} });
    return !facts.Of<peer_message_received>().empty();
  }));
  other.Stop();
  loop.Stop();
}

// Guards against memory that grows without bound while a peer is unreachable.
TEST(peer_streams_test, QueueIsBounded)
{
  io_loop loop(1); // not started, so that nothing is sent
  peer_limits limits;
  limits.mMaxQueueBytes = 1000;
  node sender(loop, "vm-2", limits);
  table_message table;
  table.mText = std::string(400, 't');
  for (int i = 0; i < 5; ++i) {
    sender.mStreams.Send({ "vm-1", "127.0.0.1:1", table });
  }
  EXPECT_EQ(sender.mStreams.DroppedMessages(), 3U);
}

} // namespace
} // namespace redwingdock
