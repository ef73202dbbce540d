#include "daemon/configuration_client.h"

#include "daemon/loopback_test_util.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

using test_util::fact_log;
using test_util::scripted_reply;
using test_util::scripted_server;
using test_util::stub_http_server;

struct read_row
{
  const char* mGuardsAgainst;
  std::string mReply; // raw bytes; empty if the service does not answer
  fact mFact;         // its reason and times are not compared
};

class read_test : public testing::TestWithParam<read_row>
{};

const read_table kRead{ table_kind::Pools, 31, micros(0) };

std::string ReplyBytes(unsigned aStatus, const std::string& aBody, const std::string& aRevision)
{
  http_response reply{ aStatus, "text/yaml", aBody, {} };
  if (!aRevision.empty()) {
    reply.mFields.push_back({ "Table-Revision", aRevision });
  }
  return FormatReply(reply, true);
}

TEST_P(read_test, PostsOneFact)
{
  io_loop loop(2);
  scripted_server service(loop,
                          [](const std::string&) { return scripted_reply{ GetParam().mReply }; });
  fact_log facts;
  configuration_client tested(
    loop, { service.Address() }, [&facts](fact aFact) { facts.Add(std::move(aFact)); });
  loop.Start();
  const instant before = SteadyNow();
  tested.Read(kRead);
  ASSERT_TRUE(facts.WaitFor([](const fact&) { return true; })) << GetParam().mGuardsAgainst;
  loop.Stop();
  ASSERT_EQ(facts.All().size(), 1U);
  fact found = facts.All()[0];
  if (auto* read = std::get_if<table_read>(&found)) {
    EXPECT_GE(read->mReadStartedAt, before);
    read->mReadStartedAt = {};
  } else if (auto* same = std::get_if<table_unchanged>(&found)) {
    EXPECT_GE(same->mReadStartedAt, before);
    same->mReadStartedAt = {};
  } else if (auto* failed = std::get_if<table_read_failed>(&found)) {
    EXPECT_FALSE(failed->mReason.mText.empty());
    failed->mReason = {};
  }
  EXPECT_EQ(found, GetParam().mFact) << GetParam().mGuardsAgainst;
}

const fact kFailed = table_read_failed{ table_kind::Pools, {} };

INSTANTIATE_TEST_SUITE_P(
  rows,
  read_test,
  testing::Values(
    read_row{ "a common reply",
              ReplyBytes(200, "revision: 32\n", "32"),
              table_read{ table_kind::Pools, 32, "revision: 32\n", {} } },
    read_row{ "an older revision, which the core must learn of",
              ReplyBytes(200, "revision: 3\n", "3"),
              table_read{ table_kind::Pools, 3, "revision: 3\n", {} } },
    read_row{ "a watch that ends without changes",
              ReplyBytes(204, "", "31"),
              table_unchanged{ table_kind::Pools, 31, {} } },
    read_row{ "a reply without a revision", ReplyBytes(200, "revision: 32\n", ""), kFailed },
    read_row{ "a revision that is not a number", ReplyBytes(200, "", "32x"), kFailed },
    read_row{ "a negative revision", ReplyBytes(200, "", "-1"), kFailed },
    read_row{ "another status", ReplyBytes(500, "", "32"), kFailed },
    read_row{ "bytes that are not HTTP", std::string(100, '\xa5') + "\r\n\r\n", kFailed },
    read_row{ "a table of 16 MB",
              "HTTP/1.1 200 OK\r\nTable-Revision: 32\r\nContent-Length: 16000000\r\n\r\n",
              kFailed },
    read_row{ "a service that does not answer", "", kFailed }));

struct target_row
{
  read_table mRead;
  const char* mTarget;
};

class target_test : public testing::TestWithParam<target_row>
{};

TEST_P(target_test, MatchesTheInterface)
{
  EXPECT_EQ(TableRequestTarget(GetParam().mRead), GetParam().mTarget);
}

INSTANTIATE_TEST_SUITE_P(
  rows,
  target_test,
  testing::Values(target_row{ { table_kind::Routes, 12, micros(0) }, "/v1/tables/routes" },
                  target_row{ { table_kind::Pools, 31, std::chrono::seconds(20) },
                              "/v1/tables/pools?after=31&wait_ms=20000" },
                  target_row{ { table_kind::Vms, 0, std::chrono::milliseconds(5) },
                              "/v1/vms?after=0&wait_ms=5" }));

// Guards against a client that keeps using an address where the service no longer answers.
TEST(configuration_client_test, UsesTheNextAddressAfterAFailure)
{
  io_loop loop(2);
  stub_http_server service(loop, [](const http_message&) {
    return http_response{ 200, "text/yaml", "x", { { "Table-Revision", "7" } } };
  });
  fact_log facts;
  configuration_client tested(loop, { "127.0.0.1:1", service.Address() }, [&facts](fact aFact) {
    facts.Add(std::move(aFact));
  });
  loop.Start();
  tested.Read(kRead);
  ASSERT_TRUE(facts.WaitForType<table_read_failed>());
  tested.Read(kRead);
  EXPECT_TRUE(facts.WaitForType<table_read>());
  loop.Stop();
}

} // namespace
} // namespace redwingdock
