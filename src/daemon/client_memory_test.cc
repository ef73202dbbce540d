#include "daemon/client_memory.h"

#include "daemon/http_server.h"
#include "daemon/loopback_test_util.h"

#include <atomic>
#include <gtest/gtest.h>

namespace redwingdock {
namespace {

using test_util::blocking_socket;
using test_util::ParseStatus;
using test_util::WaitUntil;

constexpr std::size_t kKilobyte = 1000;
constexpr std::size_t kMegabyte = 1000 * kKilobyte;

struct shares_row
{
  const char* mGuardsAgainst;
  std::size_t mMemory;
  std::size_t mLeast; // of all shares together
  std::size_t mMost;
};

class shares_test : public testing::TestWithParam<shares_row>
{};

TEST_P(shares_test, LeaveRoomForTheProcess)
{
  const shares_row& row = GetParam();
  const memory_shares shares = MemoryShares({ row.mMemory, 4100 });
  const std::size_t sum = shares.mReading + shares.mOpen + shares.mReplies;
  EXPECT_GE(sum, row.mLeast) << row.mGuardsAgainst;
  EXPECT_LE(sum, row.mMost) << row.mGuardsAgainst;
  EXPECT_GT(shares.mReading, 0U);
  EXPECT_GT(shares.mOpen, 0U);
  EXPECT_GT(shares.mReplies, shares.mOpen);
}

constexpr std::size_t kMebibyte = std::size_t{ 1024 } * 1024;

INSTANTIATE_TEST_SUITE_P(rows,
                         shares_test,
                         testing::Values(shares_row{ "clients get all the memory of a small VM",
                                                     64 * kMebibyte,
                                                     20 * kMebibyte,
                                                     40 * kMebibyte },
                                         shares_row{ "clients get little of the memory",
                                                     260 * kMebibyte,
                                                     130 * kMebibyte,
                                                     236 * kMebibyte },
                                         shares_row{ "a VM without memory for clients serves none",
                                                     kMebibyte,
                                                     kMebibyte,
                                                     4 * kMebibyte }));

// A server whose replies to "/long" are long, and that does not reply to "/open" until told.
class limited_server
{
public:
  explicit limited_server(io_loop& aLoop)
    : mMemory(aLoop,
              { 200 * kKilobyte, kMegabyte, 40 * kMegabyte },
              [this](memory_use, const client_holding&) { ++mGivenUp; })
    , mServer(aLoop,
              mRequestIds,
              { [this](std::uint64_t aId, const http_message& aRequest) {
                 if (aRequest.mTarget == "/open") {
                   mOpen = aId;
                   return;
                 }
                 // More than the kernel buffers of a connection hold.
                 mServer.Reply(aId, { 200, "", std::string(32 * kMegabyte, 'x'), {} });
               },
                nullptr,
                nullptr },
              { { kMegabyte } },
              &mMemory)
    , mAddress(mServer.ListenOn("127.0.0.1:0").mValue.value_or(""))
  {
  }

  request_id_source mRequestIds{ 0 };
  std::atomic<std::size_t> mGivenUp{ 0 };
  std::atomic<std::uint64_t> mOpen{ 0 };
  client_memory mMemory;
  http_server mServer;
  const std::string mAddress;
};

// A request of which aSent bytes of the body arrive.
std::string Partial(const std::string& aTarget, std::size_t aSent)
{
  return "POST " + aTarget +
         " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(kMegabyte) + "\r\n\r\n" +
         std::string(aSent, 'x');
}

const std::string kOpen = "GET /open HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string kLong = "GET /long HTTP/1.1\r\nHost: h\r\n\r\n";

struct given_up_row
{
  const char* mGuardsAgainst;
  memory_use mUse;
  std::string mFirst; // sent by the client that is given up
  std::string mOthers;
};

class given_up_test : public testing::TestWithParam<given_up_row>
{};

TEST_P(given_up_test, TellsTheClientTheTruth)
{
  const given_up_row& row = GetParam();
  io_loop loop(2);
  limited_server tested(loop);
  loop.Start();
  const memory_budget& budget = *tested.mMemory.Budget(row.mUse);
  blocking_socket first(tested.mAddress);
  first.Send(row.mFirst);
  ASSERT_TRUE(WaitUntil([&] { return budget.Used() > budget.Limit() / 3; })) << row.mGuardsAgainst;
  std::vector<std::unique_ptr<blocking_socket>> others;
  while (tested.mGivenUp == 0 && others.size() < 10) {
    others.push_back(std::make_unique<blocking_socket>(tested.mAddress));
    others.back()->Send(row.mOthers);
    const std::size_t before = budget.Used();
    WaitUntil([&] { return tested.mGivenUp > 0 || budget.Used() > before + budget.Limit() / 4; });
  }
  ASSERT_GT(tested.mGivenUp, 0U) << row.mGuardsAgainst;
  if (tested.mOpen != 0) {
    tested.mServer.Reply(tested.mOpen, { 200, "", "late", {} });
  }
  const std::string reply = first.ReadToEnd();
  EXPECT_TRUE(first.Ended()) << row.mGuardsAgainst;
  if (row.mUse == memory_use::Replies) {
    EXPECT_LT(reply.size(), 32 * kMegabyte) << row.mGuardsAgainst;
  } else if (tested.mOpen != 0) {
    EXPECT_EQ(ParseStatus(reply), 200U) << row.mGuardsAgainst;
    EXPECT_NE(reply.find("Connection: close"), std::string::npos) << row.mGuardsAgainst;
    EXPECT_EQ(reply.find("HTTP/1.1", 1), std::string::npos) << "a reply to what was given up";
  } else {
    EXPECT_EQ(ParseStatus(reply), 503U) << row.mGuardsAgainst;
    EXPECT_NE(reply.find("Retry-After: 1\r\n"), std::string::npos) << row.mGuardsAgainst;
  }
  EXPECT_TRUE(WaitUntil([&] { return budget.Used() <= budget.Limit(); })) << row.mGuardsAgainst;
  others.clear();
  EXPECT_TRUE(WaitUntil([&] { return budget.Used() == 0; })) << "bytes of closed connections count";
  loop.Stop();
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  given_up_test,
  testing::Values(given_up_row{ "a request that was not read whole gets no refusal",
                                memory_use::Reading,
                                Partial("/long", 90 * kKilobyte),
                                Partial("/long", 60 * kKilobyte) },
                  given_up_row{ "an answer that is owed is lost with what is pipelined behind it",
                                memory_use::Reading,
                                kOpen + Partial("/long", 90 * kKilobyte),
                                Partial("/long", 60 * kKilobyte) },
                  given_up_row{ "a reply that is cut looks whole, or its memory stays",
                                memory_use::Replies,
                                kLong,
                                kLong }));

// Guards against bytes of a rejected request that stay until its client closes, and count against
// the requests of others.
TEST(client_memory, FreesWhatARejectedRequestSent)
{
  io_loop loop(2);
  limited_server tested(loop);
  loop.Start();
  blocking_socket client(tested.mAddress);
  client.Send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n10000\r\n" +
              std::string(65'536, 'x') + "\r\nno chunk\r\n");
  EXPECT_EQ(ParseStatus(client.ReadReply()), 400U);
  EXPECT_EQ(tested.mServer.Connections(), 1U);
  EXPECT_EQ(tested.mMemory.Budget(memory_use::Reading)->Used(), 0U);
  loop.Stop();
}

} // namespace
} // namespace redwingdock
