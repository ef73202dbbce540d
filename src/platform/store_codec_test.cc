#include "platform/store_codec.h"

#include <gtest/gtest.h>

namespace redwingdock::platform {
namespace {

const std::string kReplica =
  R"({"service":"desk","address":"10.128.0.9:8080","zone":"z","version":"v1","slots":3,)"
  R"("state":"draining","warmupRemainingMs":1500,"sequence":4,"born":1775133628009})";

std::string WithReplaced(std::string aText, const std::string& aFrom, const std::string& aTo)
{
  const std::size_t at = aText.find(aFrom);
  EXPECT_NE(at, std::string::npos);
  return aText.replace(at, aFrom.size(), aTo);
}

// Arrays within arrays, without their ends when aClosed is false.
std::string Nested(std::size_t aDepth, bool aClosed = true)
{
  return std::string(aDepth, '[') + std::string(aClosed ? aDepth : 0, ']');
}

struct replica_row
{
  const char* mGuardsAgainst;
  std::string mBytes;
};

class malformed_replica_test : public testing::TestWithParam<replica_row>
{};

TEST_P(malformed_replica_test, IsNotAReplica)
{
  const published_value value = DecodeValue("servers/i-1", GetParam().mBytes);
  EXPECT_TRUE(std::holds_alternative<unreadable_value>(value)) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  malformed_replica_test,
  testing::Values(
    replica_row{ "no bytes", "" },
    replica_row{ "bytes that are not JSON", "\xff{" },
    replica_row{ "an array", "[]" },
    replica_row{ "a missing service", WithReplaced(kReplica, R"("service":"desk",)", "") },
    replica_row{ "a service of another type", WithReplaced(kReplica, R"("desk")", "7") },
    replica_row{ "an address without port", WithReplaced(kReplica, ":8080", "") },
    replica_row{ "an address of another type",
                 WithReplaced(kReplica, R"("10.128.0.9:8080")", "[1]") },
    replica_row{ "an unknown state", WithReplaced(kReplica, "draining", "asleep") },
    replica_row{ "a missing state", WithReplaced(kReplica, R"("state":"draining",)", "") },
    replica_row{ "slots as a string", WithReplaced(kReplica, R"("slots":3)", R"("slots":"3")") },
    replica_row{ "a negative warm-up", WithReplaced(kReplica, "1500", "-1") },
    replica_row{ "a sequence with a fraction",
                 WithReplaced(kReplica, R"("sequence":4)", R"("sequence":4.5)") },
    replica_row{ "a start time as a string", WithReplaced(kReplica, "1775133628009", R"("now")") },
    // Overwritten entries that lack these fields had a higher sequence than the replica's own ones,
    // which then did not count (review/5).
    replica_row{ "a missing version", WithReplaced(kReplica, R"("version":"v1",)", "") },
    replica_row{ "a version of another type", WithReplaced(kReplica, R"("v1")", "1") },
    replica_row{ "a missing warm-up", WithReplaced(kReplica, R"("warmupRemainingMs":1500,)", "") },
    replica_row{ "a missing sequence", WithReplaced(kReplica, R"("sequence":4,)", "") },
    replica_row{ "a missing zone", WithReplaced(kReplica, R"("zone":"z",)", "") },
    replica_row{ "a deeply nested value", Nested(100'000) },
    replica_row{ "a deeply nested field",
                 WithReplaced(kReplica, R"("service":"desk")", R"("service":)" + Nested(1000)) },
    replica_row{ "a deeply nested field with an unknown name",
                 WithReplaced(kReplica, R"("version":"v1")", R"("note":)" + Nested(1000)) },
    replica_row{ "a port of 0", WithReplaced(kReplica, ":8080", ":0") },
    replica_row{ "a port over 65535", WithReplaced(kReplica, ":8080", ":65536") },
    replica_row{ "a port that wraps around", WithReplaced(kReplica, ":8080", ":4294975376") },
    replica_row{ "a port with a sign", WithReplaced(kReplica, ":8080", ":-8080") },
    replica_row{ "an address with a name", WithReplaced(kReplica, "10.128.0.9", "desk.example") },
    replica_row{ "an address with a zero byte", WithReplaced(kReplica, ":8080", "\\u0000:8080") },
    replica_row{ "more slots than a count holds",
                 WithReplaced(kReplica, R"("slots":3)", R"("slots":4294967296)") },
    replica_row{ "slots beyond any number",
                 WithReplaced(kReplica, R"("slots":3)", R"("slots":1e999)") },
    replica_row{ "a warm-up that overflows", WithReplaced(kReplica, "1500", "1e300") },
    replica_row{ "a warm-up that overflows when it is added to the present time",
                 WithReplaced(kReplica, "1500", "9e15") },
    replica_row{
      "a sequence with too many digits",
      WithReplaced(kReplica, R"("sequence":4)", R"("sequence":99999999999999999999999)") },
    replica_row{ "a start time beyond exact integers",
                 WithReplaced(kReplica, "1775133628009", "1e18") },
    replica_row{
      "a zone of a megabyte",
      WithReplaced(kReplica, R"("zone":"z")", R"("zone":")" + std::string(1'000'000, 'z') + '"') },
    replica_row{ "a zone that is not UTF-8",
                 WithReplaced(kReplica, R"("zone":"z")", "\"zone\":\"\xff\"") },
    replica_row{ "a service with a line break",
                 WithReplaced(kReplica, R"("desk")", R"("desk\nevent=x")") }));

struct key_row
{
  const char* mGuardsAgainst;
  std::string mKey;
};

class malformed_key_test : public testing::TestWithParam<key_row>
{};

TEST_P(malformed_key_test, IsUnreadable)
{
  const published_value value = DecodeValue(GetParam().mKey, kReplica);
  EXPECT_TRUE(std::holds_alternative<unreadable_value>(value)) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  malformed_key_test,
  testing::Values(key_row{ "a replica without id", "servers/" },
                  key_row{ "an id that adds a header field to requests",
                           "servers/i-1\r\nX-Deadline-Remaining: 1" },
                  key_row{ "an id with a space", "servers/i 1" },
                  key_row{ "an id with a zero byte", std::string("servers/i\0", 10) },
                  key_row{ "an id of a megabyte", "servers/" + std::string(1'000'000, 'i') },
                  key_row{ "a zone that adds a line to the log", "op/evacuate/z\nevent=x" },
                  key_row{ "no zone", "op/evacuate/" },
                  key_row{ "an unknown prefix", "other/i-1" }));

TEST(store_codec_test, LastOfRepeatedFieldsCounts)
{
  // Guards against an entry with repeated fields that ends the process.
  const published_value value = DecodeValue(
    "servers/i-1", WithReplaced(kReplica, R"("sequence":4)", R"("sequence":[],"sequence":5)"));
  ASSERT_TRUE(std::holds_alternative<replica_entry>(value));
  EXPECT_EQ(std::get<replica_entry>(value).mSequence, 5U);
}

TEST(store_codec_test, ReplicaIsRead)
{
  // Guards against fields that are swapped or dropped.
  replica_entry expected;
  expected.mId = "i-1";
  expected.mService = "desk";
  expected.mAddress = "10.128.0.9:8080";
  expected.mZone = "z";
  expected.mSlots = 3;
  expected.mDraining = true;
  expected.mWarmupRemaining = std::chrono::milliseconds(1500);
  expected.mBornMs = 1775133628009;
  expected.mSequence = 4;
  EXPECT_EQ(DecodeValue("servers/i-1", kReplica), published_value(expected));
}

const std::string kConfiguration =
  R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/a/","kind":"safe","timeoutMs":500,)"
  R"("targetLatencyMs":80,"priority":2,"gather":["x","y"],"maxAttempts":2,"topK":5,)"
  R"("minimumSuccessShare":0.75},{"name":"w","host":"h","prefix":"/b/","kind":"unsafe",)"
  R"("timeoutMs":900,"trafficSplit":[{"service":"x","weight":3},{"service":"y","weight":1}]},)"
  R"({"name":"p","host":"h","prefix":"/c/","kind":"safe","timeoutMs":900,"service":"x"}],)"
  R"("services":[{"name":"x","healthPath":"/health","connectionLimit":31,"warmupPerS":2.5}],)"
  R"("limits":{"maxHeaderBytes":1000,"maxBodyBytes":2000,"headerTimeoutMs":300,)"
  R"("idleTimeoutMs":4000}})";

TEST(store_codec_test, ConfigurationIsRead)
{
  // Guards against fields that are swapped or dropped.
  using std::chrono::milliseconds;
  configuration expected;
  expected.mVersion = 7;
  expected.mRoutes = { { "r",
                         "h",
                         "/a/",
                         { { "x", 1 }, { "y", 1 } },
                         gather_rule{ 5, 0.75 },
                         true,
                         milliseconds(500),
                         milliseconds(80),
                         2,
                         2 },
                       { "w",
                         "h",
                         "/b/",
                         { { "x", 3 }, { "y", 1 } },
                         std::nullopt,
                         false,
                         milliseconds(900),
                         milliseconds(900),
                         1,
                         0 },
                       { "p",
                         "h",
                         "/c/",
                         { { "x", 1 } },
                         std::nullopt,
                         true,
                         milliseconds(900),
                         milliseconds(900),
                         1,
                         0 } };
  expected.mServices = { { "x", 31, 2.5 } };
  expected.mLimits = { 1000, 2000, milliseconds(300), milliseconds(4000) };
  EXPECT_EQ(DecodeValue("op/config", kConfiguration), published_value(expected));
}

class malformed_configuration_test : public testing::TestWithParam<replica_row>
{};

TEST_P(malformed_configuration_test, IsUnreadable)
{
  const published_value value = DecodeValue("op/config", GetParam().mBytes);
  EXPECT_TRUE(std::holds_alternative<unreadable_value>(value)) << GetParam().mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  malformed_configuration_test,
  testing::Values(
    replica_row{ "a truncated configuration", kConfiguration.substr(0, 200) },
    replica_row{ "a missing version", WithReplaced(kConfiguration, R"("version":7,)", "") },
    replica_row{ "a version as a string",
                 WithReplaced(kConfiguration, R"("version":7)", R"("version":"7")") },
    replica_row{ "an unknown kind", WithReplaced(kConfiguration, "unsafe", "maybe") },
    replica_row{ "a route without services",
                 WithReplaced(kConfiguration, R"(,"service":"x")", "") },
    replica_row{ "a gather without topK", WithReplaced(kConfiguration, R"("topK":5,)", "") },
    replica_row{ "a weight of another type",
                 WithReplaced(kConfiguration, R"("weight":3)", R"("weight":{})") },
    replica_row{ "a timeout of another type", WithReplaced(kConfiguration, ":500", R"(:"500")") },
    replica_row{ "services that are not an array",
                 WithReplaced(kConfiguration, R"("services":[)", R"("services":5,"o":[)") }));

struct page_row
{
  const char* mGuardsAgainst;
  std::string mBody;
  bool mRead;
  std::size_t mItems;
  bool mMore;
};

class page_test : public testing::TestWithParam<page_row>
{};

TEST_P(page_test, Decoded)
{
  const result<store_page_read> page = DecodePage(GetParam().mBody);
  ASSERT_EQ(bool(page), GetParam().mRead) << GetParam().mGuardsAgainst;
  if (page) {
    EXPECT_EQ(page->mItems.size(), GetParam().mItems) << GetParam().mGuardsAgainst;
    EXPECT_EQ(page->mMore, GetParam().mMore) << GetParam().mGuardsAgainst;
    EXPECT_EQ(page->mAsOf.mRevision, 530U);
  }
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  page_test,
  testing::Values(
    page_row{ "an empty page", R"({"items":[],"hasMore":false,"asOf":530})", true, 0, false },
    page_row{ "a page with more pages to follow",
              R"({"items":[{"key":"servers/i","value":"e30=","revision":9,"created":9,"lease":0}],)"
              R"("hasMore":true,"asOf":530})",
              true,
              1,
              true },
    page_row{ "one malformed value makes the whole page fail",
              R"({"items":[{"key":"servers/i","value":"!!","revision":9},)"
              R"({"key":"op/evacuate/z","value":"e30=","revision":8}],"asOf":530})",
              true,
              2,
              false },
    page_row{ "a key that is not UTF-8 makes the whole page fail",
              "{\"items\":[{\"key\":\"servers/\xff\",\"value\":\"e30=\",\"revision\":9},"
              R"({"key":"op/evacuate/z","value":"e30=","revision":8}],"asOf":530})",
              true,
              2,
              false },
    page_row{ "an item with a wrong revision makes the whole page fail",
              R"({"items":[{"key":"servers/i","value":"e30=","revision":-9},)"
              R"({"key":"servers/j","value":[],"revision":9},)"
              R"({"key":"op/evacuate/z","value":"e30=","revision":8}],"asOf":530})",
              true,
              3,
              false },
    page_row{ "a body nested without end",
              R"({"items":)" + Nested(100'000, false),
              false,
              0,
              false },
    page_row{ "a truncated body", R"({"items":[)", false, 0, false },
    page_row{ "a body without revision", R"({"items":[]})", false, 0, false },
    page_row{ "items that are not an array", R"({"items":7,"asOf":530})", false, 0, false }));

TEST(store_codec_test, ChangesAreRead)
{
  // Guards against deletions that are read as writes.
  const result<store_changes_read> changes =
    DecodeChanges(R"({"events":[{"key":"op/evacuate/z","value":"e30=","revision":412},)"
                  R"({"key":"servers/i","revision":413,"deleted":true}],"asOf":413})");
  ASSERT_TRUE(changes);
  ASSERT_EQ(changes->mItems.size(), 2U);
  EXPECT_EQ(*changes->mItems[0], (store_item{ "op/evacuate/z", 412, closed_zone{ "z" } }));
  EXPECT_EQ(*changes->mItems[1], (store_item{ "servers/i", 413, deleted_value{} }));
}

} // namespace
} // namespace redwingdock::platform
