#include "codec/heartbeat_json.h"
#include "daemon/http_text.h"
#include "platform/edge_settings.h"
#include "platform/request_codec.h"
#include "platform/store_codec.h"
#include "testing/fuzz_settings.h"

#include <gtest/gtest.h>
#include <random>

namespace redwingdock::platform {
namespace {

// Parts that mutations insert: numbers beyond each type, nesting, and bytes with a meaning.
const std::vector<std::string> kParts = { "0",
                                          "-1",
                                          "1e999",
                                          "4294967296",
                                          "9223372036854775808",
                                          "99999999999999999999999999",
                                          "0.5",
                                          "nan",
                                          "null",
                                          "true",
                                          "\"\"",
                                          "{}",
                                          "[]",
                                          std::string(200, '['),
                                          std::string(200, '{'),
                                          R"({"a":)",
                                          "\\u0000",
                                          "\r\n",
                                          "\r\n\r\n",
                                          ":65536",
                                          std::string(1, '\0'),
                                          "\xff\xfe",
                                          std::string(3000, 'x') };

std::string Mutated(std::string aText, std::mt19937_64& aRandom)
{
  const auto below = [&aRandom](std::size_t aLimit) { return aRandom() % aLimit; };
  for (std::size_t count = 1 + below(4); count > 0; --count) {
    const std::size_t at = below(aText.size() + 1);
    const std::size_t length = std::min<std::size_t>(below(12), aText.size() - at);
    switch (below(5)) {
      case 0:
        aText.erase(at, length);
        break;
      case 1:
        aText.insert(at, kParts[below(kParts.size())]);
        break;
      case 2:
        aText.replace(at, length, kParts[below(kParts.size())]);
        break;
      case 3:
        aText.insert(at, aText.substr(below(aText.size() + 1), below(40)));
        break;
      default:
        if (at < aText.size()) {
          aText[at] = static_cast<char>(below(256));
        }
    }
  }
  return aText;
}

struct decoder_row
{
  const char* mName;
  std::vector<std::string> mCorpus;
  std::function<void(const std::string&)> mDecode;
};

class decoder_fuzz_test : public testing::TestWithParam<decoder_row>
{};

// Guards against a malformed message that ends the process: each decoder returns or refuses.
TEST_P(decoder_fuzz_test, ReturnsOnAnyInput)
{
  const auto [runs, seed] = testing_support::ReadFuzzSettings();
  std::mt19937_64 random(seed);
  const std::vector<std::string>& corpus = GetParam().mCorpus;
  for (std::uint64_t run = 0; run < runs; ++run) {
    const std::string input = Mutated(corpus[random() % corpus.size()], random);
    EXPECT_NO_THROW(GetParam().mDecode(input)) << GetParam().mName << ", run " << run;
  }
}

void DecodeHttp(http_side aSide, const std::string& aBytes)
{
  http_reader reader(aSide, { 4096, 1024 });
  std::size_t at = 0;
  while (at < aBytes.size()) {
    const std::size_t size = std::min<std::size_t>(7, aBytes.size() - at);
    const http_read_status status = reader.Feed(std::string_view(aBytes).substr(at, size));
    at += size;
    if (status == http_read_status::Failed) {
      return;
    }
    if (status == http_read_status::Complete) {
      http_message message = reader.Take();
      if (aSide == http_side::Server) {
        DecodeRequest(message);
        EncodeAttempt(message, replica_entry{}, micros(1));
      } else {
        MatchesRequestId(message, "9c");
        DecodeReply(std::move(message), "i-1");
      }
    }
  }
  reader.FeedEof();
}

const std::string kReplica =
  R"({"service":"desk","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":3,)"
  R"("state":"draining","warmupRemainingMs":1500,"sequence":4,"born":1775133628009})";
const std::string kConfiguration =
  R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/a/","kind":"safe","timeoutMs":500,)"
  R"("targetLatencyMs":80,"priority":2,"gather":["x","y"],"maxAttempts":2,"topK":5,)"
  R"("minimumSuccessShare":0.75},{"name":"w","host":"h","prefix":"/b/","kind":"unsafe",)"
  R"("timeoutMs":900,"trafficSplit":[{"service":"x","weight":3}]}],)"
  R"("services":[{"name":"x","connectionLimit":31,"warmupPerS":2.5}],)"
  R"("limits":{"maxHeaderBytes":1000,"headerTimeoutMs":300}})";
const std::string kPage =
  R"({"items":[{"key":"servers/i","value":"e30=","revision":9,"created":9,"lease":0}],)"
  R"("hasMore":true,"asOf":530})";
const std::string kChanges = R"({"events":[{"key":"op/evacuate/z","value":"e30=","revision":412},)"
                             R"({"key":"servers/i","revision":413,"deleted":true}],"asOf":413})";
const std::string kHeartbeat =
  R"({"vm":"vm-1","incarnation":5,"beat":7,"peer":"10.1.0.9:7380","calls":"10.1.0.9:8104",)"
  R"("zone":"z","serving":true,"interval_us":400000,"peers":["10.1.0.8:1"],"refused":[7],)"
  R"("refused_left_ms":[59],"members":[["vm-2",5,7,"p","c","z",true,12]],)"
  R"("client_timeouts":[["r",800,60000]]})";
const std::string kSettings =
  "vm: a\nzone: z\nlisten:\n  callers: \"10.1.0.9:8104\"\n  readiness: \"10.1.0.9:8108\"\n"
  "  addresses: \"10.1.0.9:8100\"\n  peers: \"10.1.0.9:7380\"\n  metrics: \"10.1.0.9:9464\"\n"
  "store: \"10.200.1.7:8102\"\nseeds: [\"10.1.0.9:8106\"]\nforwarding:\n  repeat_slack: 20\n";

INSTANTIATE_TEST_SUITE_P(
  decoders,
  decoder_fuzz_test,
  testing::Values(
    decoder_row{ "replica entry",
                 { kReplica },
                 [](const std::string& aInput) { DecodeValue("servers/i-1", aInput); } },
    decoder_row{ "key of an entry",
                 { "servers/i-1", "op/evacuate/zone-1", "op/config" },
                 [](const std::string& aInput) { DecodeValue(aInput, kReplica); } },
    decoder_row{ "configuration",
                 { kConfiguration },
                 [](const std::string& aInput) { DecodeValue("op/config", aInput); } },
    decoder_row{ "listing", { kPage }, [](const std::string& aInput) { DecodePage(aInput); } },
    decoder_row{ "changes",
                 { kChanges },
                 [](const std::string& aInput) { DecodeChanges(aInput); } },
    decoder_row{ "heartbeat",
                 { kHeartbeat },
                 [](const std::string& aInput) { ParseHeartbeat(aInput); } },
    decoder_row{ "settings",
                 { kSettings },
                 [](const std::string& aInput) { ParseEdgeSettings(aInput, "boot.yaml"); } },
    decoder_row{ "request of a client",
                 { "GET /a/2f?x=1 HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 9c\r\n"
                   "X-Deadline-Remaining: 800\r\n\r\n",
                   "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "3;a=b\r\nabc\r\n0\r\nT: v\r\n\r\n" },
                 [](const std::string& aInput) { DecodeHttp(http_side::Server, aInput); } },
    decoder_row{
      "reply of a replica",
      { "HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c\r\nX-Response-Stamp: s.1\r\n"
        "Keep-Alive: timeout=4\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nRetry-After: 0.5\r\nServer-Leaving: 1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" },
      [](const std::string& aInput) { DecodeHttp(http_side::Client, aInput); } }));

} // namespace
} // namespace redwingdock::platform
