#include "codec/peer_codec.h"

#include "codec/peer.pb.h"

#include <functional>
#include <gtest/gtest.h>
#include <random>

namespace redwingdock {
namespace {

const attempt_id kAttempt{ "vm-1.5f2c", (7ULL << 16U) | 3 };
const suspect_entry kSuspect{ ~0ULL,
                              suspicion::Quarantined,
                              { "cw-00a", "cw-01b" },
                              std::chrono::minutes(10) };

part_request Request()
{
  part_request request;
  request.mAttempt = kAttempt;
  request.mServer = "cw-03a";
  request.mPool = "caseworker-desk";
  request.mShard = "cw-03";
  request.mVersion = 41;
  request.mOperation = operation::Submit;
  request.mFilter = { { "id", "case-17" }, { "office", "Sololá" } };
  request.mRequestKey = "vm-1.5f2c.desk-7-81";
  request.mFingerprint = 0xfedcba9876543210ULL;
  request.mUrgency = urgency::Urgent;
  return request;
}

part_reply Reply()
{
  part_reply reply;
  reply.mAttempt = kAttempt;
  reply.mResult = part_result::Answered;
  reply.mServer = "cw-03a";
  reply.mShard = "cw-03";
  reply.mVersion = 41;
  reply.mMap = 3;
  reply.mRecords = { { "case-17", { { "office", "Sololá" } } }, { "case-18", {} } };
  reply.mEvidence = server_evidence{ "cw-03a-2", server_mode::Draining, { { 40, 3 }, { 41, 3 } } };
  reply.mReason = { "step", "peer", "text" };
  return reply;
}

query_answer Answer()
{
  query_answer answer;
  answer.mOutcome = outcome::Partial;
  answer.mVersion = 41;
  answer.mMap = 3;
  answer.mCoverage = {
    3994, 4096, { { "archive-bridge", "ledger-2", { { 2048, 2150 } }, { "a", "b", "c" } } }
  };
  answer.mRecords = { { "case-17", { { "office", "" } } } };
  answer.mReason = { "gather", "", "1 of 25 parts missing" };
  return answer;
}

query_request Query()
{
  query_request request;
  request.mRoute = "case-search";
  request.mCaller = "desk-7";
  request.mFilter = { { "office", "Solola" } };
  request.mUrgency = urgency::Background;
  request.mDeadline = std::chrono::milliseconds(200);
  request.mRequestKey = "vm-1.5f2c.k";
  return request;
}

query_request MinimalQuery()
{
  query_request request;
  request.mRoute = "case-search";
  return request;
}

part_reply MalformedReply()
{
  part_reply reply;
  reply.mAttempt = kAttempt;
  reply.mFailure = part_failure::Malformed;
  return reply;
}

const std::vector<peer_message>& AllMessages()
{
  static const std::vector<peer_message> messages{
    view_message{ { { "vm-1", "5f2c", 5, 12, 31, true, std::chrono::milliseconds(3) },
                    { "vm-2", "", 0, 0, 0, false, micros(0) } },
                  { kSuspect } },
    probe_message{ -17, 5 },
    probe_reply_message{ 17, 6, true, std::chrono::hours(24 * 400), true },
    probe_reply_message{ 17, 6, false, std::nullopt, false },
    table_pull_message{ 1, 2, 3 },
    table_message{ table_kind::Vms, 5, "revision: 5\n", std::chrono::seconds(1), true, 31 },
    table_message{ table_kind::Routes, 12, "", std::nullopt, false, 0 },
    forward_part_message{ Request(), std::chrono::milliseconds(61) },
    part_reply_message{ Reply() },
    part_reply_message{ MalformedReply() },
    cancel_part_message{ kAttempt, "cw-03a" },
    server_stage_message{ "cw-03a", "cw-03a-2", 2, true, true, { { 41, 3 } }, micros(5), true },
    suspect_message{ kSuspect },
    permit_release_message{ 6, { "cw-00a", "cw-00b" } },
    forward_query_message{ 99, Query(), std::chrono::milliseconds(150) },
    forward_query_message{ 99, MinimalQuery(), micros(0) },
    query_answer_message{ 99, Answer() },
    view_message{
      { { "vm-xela-1", "5f2c", { 1, 5 }, { 2, 12 }, { 3, 31 }, true, std::chrono::seconds(1) } },
      {} },
    probe_message{ 17, { 1, 5 } },
    probe_reply_message{ 17, { 1, 6 }, true, std::nullopt, false },
    table_pull_message{ { 1, 12 }, { 2, 31 }, { 3, 5 } },
    table_message{ table_kind::Pools, { 1, 31 }, "", std::nullopt, true, { 2, 12 } },
    permit_release_message{ { 1, 6 }, { "cw-00a" } },
  };
  return messages;
}

class round_trip_test : public testing::TestWithParam<std::size_t>
{};

// Guards against a field that is not encoded, or is decoded into another field.
TEST_P(round_trip_test, ReadsWhatWasWritten)
{
  const peer_envelope sent{ "vm-1", "5f2c", { AllMessages()[GetParam()], probe_message{} } };
  const result<peer_envelope> received = DecodeEnvelope(EncodeEnvelope(sent));
  ASSERT_TRUE(received) << Describe(received.mReason);
  EXPECT_EQ(*received, sent);
}

// Guards against a truncated body that is decoded as a message with other contents.
TEST_P(round_trip_test, TruncationNeverChangesAMessage)
{
  const peer_envelope sent{ "vm-1", "5f2c", { AllMessages()[GetParam()] } };
  const std::string body = EncodeEnvelope(sent);
  for (std::size_t size = 0; size < body.size(); ++size) {
    const result<peer_envelope> received = DecodeEnvelope(std::string_view(body).substr(0, size));
    // Truncation between two fields of the envelope leaves a valid envelope without messages.
    EXPECT_TRUE(!received || received->mMessages.empty()) << size << " of " << body.size();
  }
}

INSTANTIATE_TEST_SUITE_P(messages,
                         round_trip_test,
                         testing::Range<std::size_t>(0, AllMessages().size()));

TEST(peer_codec_test, NegativeDurationIsSentAsZero)
{
  forward_part_message message{ Request(), micros(-5) };
  const auto received = DecodeEnvelope(EncodeEnvelope({ "vm-1", "5f2c", { message } }));
  ASSERT_TRUE(received);
  EXPECT_EQ(std::get<forward_part_message>(received->mMessages[0]).mRemaining, micros(0));
}

struct refusal_row
{
  const char* mGuardsAgainst;
  std::size_t mMessage; // index in AllMessages
  std::function<void(wire::envelope&)> mCorrupt;
  const char* mText; // part of the reason
};

class refusal_test : public testing::TestWithParam<refusal_row>
{};

TEST_P(refusal_test, NamesTheCheck)
{
  wire::envelope envelope;
  ASSERT_TRUE(envelope.ParseFromString(
    EncodeEnvelope({ "vm-1", "5f2c", { AllMessages()[GetParam().mMessage] } })));
  GetParam().mCorrupt(envelope);
  const result<peer_envelope> received = DecodeEnvelope(envelope.SerializeAsString());
  ASSERT_FALSE(received) << GetParam().mGuardsAgainst;
  EXPECT_NE(received.mReason.mText.find(GetParam().mText), std::string::npos)
    << GetParam().mGuardsAgainst << ": " << received.mReason.mText;
}

wire::peer_message& FirstMessage(wire::envelope& aEnvelope)
{
  return *aEnvelope.mutable_messages(0);
}

const auto kUnknownEnumerator = [](auto aValue) { return static_cast<decltype(aValue)>(77); };

INSTANTIATE_TEST_SUITE_P(
  rows,
  refusal_test,
  testing::Values(
    refusal_row{ "a sender without a name", 1, [](auto& e) { e.clear_vm(); }, "vm has 0" },
    refusal_row{ "a sender without an incarnation",
                 1,
                 [](auto& e) { e.clear_incarnation(); },
                 "incarnation has 0" },
    refusal_row{ "a name of 1000 bytes",
                 1,
                 [](auto& e) { e.set_vm(std::string(1000, 'v')); },
                 "vm has 1000" },
    refusal_row{ "a message of a later release",
                 1,
                 [](auto& e) { FirstMessage(e).clear_kind(); },
                 "unknown message kind" },
    refusal_row{ "a table of unknown kind",
                 5,
                 [](auto& e) {
                   FirstMessage(e).mutable_table()->set_kind(kUnknownEnumerator(wire::TABLE_VMS));
                 },
                 "kind 77" },
    refusal_row{ "an unset kind of table",
                 5,
                 [](auto& e) { FirstMessage(e).mutable_table()->clear_kind(); },
                 "kind 0" },
    refusal_row{ "a negative age",
                 5,
                 [](auto& e) { FirstMessage(e).mutable_table()->set_confirmed_age(-1); },
                 "confirmed age -1" },
    refusal_row{
      "an age that overflows when it is added to a time",
      0,
      [](auto& e) { FirstMessage(e).mutable_view()->mutable_entries(0)->set_age(INT64_MAX); },
      "age 9223372036854775807" },
    refusal_row{ "a member without a name",
                 0,
                 [](auto& e) { FirstMessage(e).mutable_view()->mutable_entries(1)->clear_vm(); },
                 "vm has 0" },
    refusal_row{ "a quarantine that never ends",
                 0,
                 [](auto& e) {
                   FirstMessage(e).mutable_view()->mutable_suspects(0)->set_remaining(INT64_MAX);
                 },
                 "remaining" },
    refusal_row{ "an unknown suspicion",
                 12,
                 [](auto& e) {
                   FirstMessage(e).mutable_suspect()->set_level(
                     kUnknownEnumerator(wire::SUSPICION_SUSPECT));
                 },
                 "level 77" },
    refusal_row{
      "a part with a deadline of hours",
      7,
      [](auto& e) { FirstMessage(e).mutable_forward_part()->set_remaining(3'600'000'000); },
      "remaining 3600000000" },
    refusal_row{ "a part without a request",
                 7,
                 [](auto& e) { FirstMessage(e).mutable_forward_part()->clear_request(); },
                 "attempt origin has 0" },
    refusal_row{ "an unknown operation decoded as a search",
                 7,
                 [](auto& e) {
                   FirstMessage(e).mutable_forward_part()->mutable_request()->set_operation(
                     kUnknownEnumerator(wire::OPERATION_SEARCH));
                 },
                 "operation 77" },
    refusal_row{
      "an unknown urgency",
      7,
      [](auto& e) { FirstMessage(e).mutable_forward_part()->mutable_request()->clear_urgency(); },
      "urgency 0" },
    refusal_row{ "an unset result decoded as an answer",
                 8,
                 [](auto& e) { FirstMessage(e).mutable_part_reply()->clear_result(); },
                 "result 0" },
    refusal_row{ "an unknown failure",
                 8,
                 [](auto& e) {
                   FirstMessage(e).mutable_part_reply()->set_failure(
                     kUnknownEnumerator(wire::FAILURE_SHED));
                 },
                 "failure 77" },
    refusal_row{
      "an unset mode decoded as warm",
      8,
      [](auto& e) { FirstMessage(e).mutable_part_reply()->mutable_evidence()->clear_mode(); },
      "mode 0" },
    refusal_row{ "a cancellation without a server",
                 10,
                 [](auto& e) { FirstMessage(e).mutable_cancel_part()->clear_server(); },
                 "server has 0" },
    refusal_row{ "a stage above the limit",
                 11,
                 [](auto& e) { FirstMessage(e).mutable_server_stage()->set_stage(65); },
                 "stage 65" },
    refusal_row{ "a query without a route",
                 14,
                 [](auto& e) { FirstMessage(e).mutable_forward_query()->clear_request(); },
                 "route has 0" },
    refusal_row{ "an unset outcome decoded as complete",
                 16,
                 [](auto& e) { FirstMessage(e).mutable_query_reply()->clear_answer(); },
                 "outcome 0" },
    refusal_row{
      "more coverage than positions",
      16,
      [](auto& e) {
        FirstMessage(e).mutable_query_reply()->mutable_answer()->mutable_coverage()->set_covered(
          4097);
      },
      "coverage 4097 of 4096" },
    refusal_row{ "a range beyond the positions",
                 16,
                 [](auto& e) {
                   FirstMessage(e)
                     .mutable_query_reply()
                     ->mutable_answer()
                     ->mutable_coverage()
                     ->mutable_missing(0)
                     ->mutable_ranges(0)
                     ->set_to(4097);
                 },
                 "range [2048, 4097)" },
    refusal_row{ "an empty range",
                 16,
                 [](auto& e) {
                   FirstMessage(e)
                     .mutable_query_reply()
                     ->mutable_answer()
                     ->mutable_coverage()
                     ->mutable_missing(0)
                     ->mutable_ranges(0)
                     ->set_to(2048);
                 },
                 "range [2048, 2048)" }));

TEST(peer_codec_test, RefusesABodyOverTheLimit)
{
  const auto received = DecodeEnvelope(std::string(kMaxEnvelopeBytes + 1, '\0'));
  ASSERT_FALSE(received);
  EXPECT_NE(received.mReason.mText.find("the limit is 4194304"), std::string::npos);
}

class mutation_test : public testing::TestWithParam<unsigned>
{};

// Guards against input that crashes the decoder, or that it accepts with values that the encoder
// can't represent. A corrupted envelope is rejected with a reason or decodes to a valid one.
TEST_P(mutation_test, CorruptionIsRefusedOrValid)
{
  std::mt19937_64 random(GetParam());
  const std::string valid = EncodeEnvelope({ "vm-1", "5f2c", AllMessages() });
  for (int round = 0; round < 2000; ++round) {
    std::string body = valid;
    for (std::uint64_t edits = 1 + random() % 4; edits > 0; --edits) {
      const std::size_t at = random() % body.size();
      switch (random() % 4) {
        case 0:
          body[at] = static_cast<char>(random());
          break;
        case 1:
          body.erase(at, 1 + random() % 8);
          break;
        case 2:
          body.insert(at, 1 + random() % 3, static_cast<char>(random()));
          break;
        default:
          body[at] = static_cast<char>(body[at] ^ (1 << (random() % 8)));
          break;
      }
    }
    const result<peer_envelope> received = DecodeEnvelope(body);
    if (!received) {
      ASSERT_FALSE(received.mReason.mText.empty());
      continue;
    }
    const result<peer_envelope> again = DecodeEnvelope(EncodeEnvelope(*received));
    ASSERT_TRUE(again) << Describe(again.mReason);
    ASSERT_EQ(*again, *received);
  }
}

INSTANTIATE_TEST_SUITE_P(seeds, mutation_test, testing::Values(1, 2, 3));

} // namespace
} // namespace redwingdock
