#include "codec/peer_codec.h"

#include "base/hash.h"
#include "codec/peer.pb.h"

#include <algorithm>
#include <google/protobuf/arena.h>
#include <google/protobuf/stubs/logging.h>
#include <type_traits>
#include <utility>

namespace redwingdock {

namespace {

// Enumerators on the wire are one above those in src/core, so that 0 means unset and is rejected.
template<typename Wire, typename Value>
Wire ToWire(Value aValue)
{
  return static_cast<Wire>(static_cast<int>(aValue) + 1);
}

std::int64_t ToWire(micros aDuration)
{
  return std::max<std::int64_t>(aDuration.count(), 0);
}

template<typename Map>
void ToWire(const fields& aFields, Map* aOut)
{
  for (const auto& [name, value] : aFields) {
    (*aOut)[name] = value;
  }
}

void ToWire(const reason& aReason, wire::reason* aOut)
{
  aOut->set_step(aReason.mStep);
  aOut->set_peer(aReason.mPeer);
  aOut->set_text(aReason.mText);
}

void ToWire(const record& aRecord, wire::record* aOut)
{
  aOut->set_id(aRecord.mId);
  ToWire(aRecord.mFields, aOut->mutable_fields());
}

void ToWire(const index_version& aVersion, wire::index_version* aOut)
{
  aOut->set_version(aVersion.mVersion);
  aOut->set_map(aVersion.mMap);
}

void ToWire(const attempt_id& aAttempt, wire::attempt_id* aOut)
{
  aOut->set_origin(aAttempt.mOrigin);
  aOut->set_number(aAttempt.mNumber);
}

void ToWire(const suspect_entry& aEntry, wire::suspect_entry* aOut)
{
  aOut->set_fingerprint(aEntry.mFingerprint);
  aOut->set_level(ToWire<wire::suspicion>(aEntry.mLevel));
  for (const std::string& server : aEntry.mServersLost) {
    aOut->add_servers_lost(server);
  }
  aOut->set_remaining(ToWire(aEntry.mRemaining));
}

void ToWire(const part_request& aRequest, wire::part_request* aOut)
{
  ToWire(aRequest.mAttempt, aOut->mutable_attempt());
  aOut->set_server(aRequest.mServer);
  aOut->set_pool(aRequest.mPool);
  aOut->set_shard(aRequest.mShard);
  aOut->set_version(aRequest.mVersion);
  aOut->set_operation(ToWire<wire::operation>(aRequest.mOperation));
  ToWire(aRequest.mFilter, aOut->mutable_filter());
  aOut->set_request_key(aRequest.mRequestKey);
  aOut->set_fingerprint(aRequest.mFingerprint);
  aOut->set_urgency(ToWire<wire::urgency>(aRequest.mUrgency));
}

void ToWire(const part_reply& aReply, wire::part_reply* aOut)
{
  ToWire(aReply.mAttempt, aOut->mutable_attempt());
  aOut->set_result(ToWire<wire::part_result>(aReply.mResult));
  aOut->set_failure(ToWire<wire::part_failure>(aReply.mFailure));
  aOut->set_server(aReply.mServer);
  aOut->set_shard(aReply.mShard);
  aOut->set_version(aReply.mVersion);
  aOut->set_map(aReply.mMap);
  for (const record& each : aReply.mRecords) {
    ToWire(each, aOut->add_records());
  }
  if (aReply.mEvidence) {
    wire::server_evidence* evidence = aOut->mutable_evidence();
    evidence->set_instance(aReply.mEvidence->mInstance);
    evidence->set_mode(ToWire<wire::server_mode>(aReply.mEvidence->mMode));
    for (const index_version& version : aReply.mEvidence->mVersions) {
      ToWire(version, evidence->add_versions());
    }
  }
  ToWire(aReply.mReason, aOut->mutable_reason());
}

void ToWire(const query_request& aRequest, wire::query_request* aOut)
{
  aOut->set_route(aRequest.mRoute);
  aOut->set_caller(aRequest.mCaller);
  ToWire(aRequest.mFilter, aOut->mutable_filter());
  if (aRequest.mUrgency) {
    aOut->set_urgency(ToWire<wire::urgency>(*aRequest.mUrgency));
  }
  if (aRequest.mDeadline) {
    aOut->set_deadline(ToWire(*aRequest.mDeadline));
  }
  aOut->set_request_key(aRequest.mRequestKey);
}

void ToWire(const query_answer& aAnswer, wire::query_answer* aOut)
{
  aOut->set_outcome(ToWire<wire::outcome>(aAnswer.mOutcome));
  aOut->set_version(aAnswer.mVersion);
  aOut->set_map(aAnswer.mMap);
  wire::coverage* coverage = aOut->mutable_coverage();
  coverage->set_covered(aAnswer.mCoverage.mCovered);
  coverage->set_total(aAnswer.mCoverage.mTotal);
  for (const coverage_gap& gap : aAnswer.mCoverage.mMissing) {
    wire::coverage_gap* out = coverage->add_missing();
    out->set_pool(gap.mPool);
    out->set_shard(gap.mShard);
    for (const position_range& range : gap.mRanges) {
      wire::position_range* outRange = out->add_ranges();
      outRange->set_from(range.mFrom);
      outRange->set_to(range.mTo);
    }
    ToWire(gap.mReason, out->mutable_reason());
  }
  for (const record& each : aAnswer.mRecords) {
    ToWire(each, aOut->add_records());
  }
  ToWire(aAnswer.mReason, aOut->mutable_reason());
}

// Visitor that sets the member of the oneof for the type of the message.
struct message_encoder
{
  wire::peer_message* mOut;

  void operator()(const view_message& aMessage) const
  {
    wire::view* out = mOut->mutable_view();
    for (const view_entry& entry : aMessage.mEntries) {
      wire::view_entry* outEntry = out->add_entries();
      outEntry->set_vm(entry.mVm);
      outEntry->set_incarnation(entry.mIncarnation);
      outEntry->set_vm_revision(entry.mVmRevision.mNumber);
      outEntry->set_vm_history(entry.mVmRevision.mHistory);
      outEntry->set_routes_revision(entry.mRoutesRevision.mNumber);
      outEntry->set_routes_history(entry.mRoutesRevision.mHistory);
      outEntry->set_pools_revision(entry.mPoolsRevision.mNumber);
      outEntry->set_pools_history(entry.mPoolsRevision.mHistory);
      outEntry->set_draining(entry.mDraining);
      outEntry->set_age(ToWire(entry.mAge));
    }
    for (const suspect_entry& entry : aMessage.mSuspects) {
      ToWire(entry, out->add_suspects());
    }
  }

  void operator()(const probe_message& aMessage) const
  {
    wire::probe* out = mOut->mutable_probe();
    out->set_sent_at(aMessage.mSentAt);
    out->set_vm_revision(aMessage.mVmRevision.mNumber);
    out->set_vm_history(aMessage.mVmRevision.mHistory);
  }

  void operator()(const probe_reply_message& aMessage) const
  {
    wire::probe_reply* out = mOut->mutable_probe_reply();
    out->set_sent_at(aMessage.mSentAt);
    out->set_vm_revision(aMessage.mVmRevision.mNumber);
    out->set_vm_history(aMessage.mVmRevision.mHistory);
    out->set_lists_you(aMessage.mListsYou);
    if (aMessage.mListAge) {
      out->set_list_age(ToWire(*aMessage.mListAge));
    }
    out->set_knew_other(aMessage.mKnewOther);
  }

  void operator()(const table_pull_message& aMessage) const
  {
    wire::table_pull* out = mOut->mutable_table_pull();
    out->set_routes_revision(aMessage.mRoutesRevision.mNumber);
    out->set_routes_history(aMessage.mRoutesRevision.mHistory);
    out->set_pools_revision(aMessage.mPoolsRevision.mNumber);
    out->set_pools_history(aMessage.mPoolsRevision.mHistory);
    out->set_vm_revision(aMessage.mVmRevision.mNumber);
    out->set_vm_history(aMessage.mVmRevision.mHistory);
  }

  void operator()(const table_message& aMessage) const
  {
    wire::table* out = mOut->mutable_table();
    out->set_kind(ToWire<wire::table_kind>(aMessage.mKind));
    out->set_revision(aMessage.mRevision.mNumber);
    out->set_history(aMessage.mRevision.mHistory);
    out->set_text(aMessage.mText);
    if (aMessage.mConfirmedAge) {
      out->set_confirmed_age(ToWire(*aMessage.mConfirmedAge));
    }
    out->set_in_force(aMessage.mInForce);
    out->set_pair_revision(aMessage.mPairRevision.mNumber);
    out->set_pair_history(aMessage.mPairRevision.mHistory);
  }

  void operator()(const forward_part_message& aMessage) const
  {
    wire::forward_part* out = mOut->mutable_forward_part();
    ToWire(aMessage.mRequest, out->mutable_request());
    out->set_remaining(ToWire(aMessage.mRemaining));
  }

  void operator()(const part_reply_message& aMessage) const
  {
    ToWire(aMessage.mReply, mOut->mutable_part_reply());
  }

  void operator()(const cancel_part_message& aMessage) const
  {
    wire::cancel_part* out = mOut->mutable_cancel_part();
    ToWire(aMessage.mAttempt, out->mutable_attempt());
    out->set_server(aMessage.mServer);
  }

  void operator()(const server_stage_message& aMessage) const
  {
    wire::server_stage* out = mOut->mutable_server_stage();
    out->set_server(aMessage.mServer);
    out->set_instance(aMessage.mInstance);
    out->set_stage(aMessage.mStage);
    out->set_leads(aMessage.mLeads);
    out->set_draining(aMessage.mDraining);
    for (const index_version& version : aMessage.mVersions) {
      ToWire(version, out->add_versions());
    }
    out->set_age(ToWire(aMessage.mAge));
    out->set_asks(aMessage.mAsks);
  }

  void operator()(const suspect_message& aMessage) const
  {
    ToWire(aMessage.mSuspect, mOut->mutable_suspect());
  }

  void operator()(const permit_release_message& aMessage) const
  {
    wire::permit_release* out = mOut->mutable_permit_release();
    out->set_vm_revision(aMessage.mVmRevision.mNumber);
    out->set_vm_history(aMessage.mVmRevision.mHistory);
    for (const std::string& server : aMessage.mServers) {
      out->add_servers(server);
    }
  }

  void operator()(const forward_query_message& aMessage) const
  {
    wire::forward_query* out = mOut->mutable_forward_query();
    out->set_number(aMessage.mNumber);
    ToWire(aMessage.mRequest, out->mutable_request());
    out->set_remaining(ToWire(aMessage.mRemaining));
  }

  void operator()(const query_answer_message& aMessage) const
  {
    wire::query_reply* out = mOut->mutable_query_reply();
    out->set_number(aMessage.mNumber);
    ToWire(aMessage.mAnswer, out->mutable_answer());
  }
};

// Names have at most 63 characters, and the origin of an attempt joins two of them. No daemon
// sends longer ones.
constexpr std::size_t kMaxNameBytes = 255;
// Limit of ages and remaining times of state, which can be as old as a process; requests have
// kMaxDeadline. It keeps the sum of a duration and the clock from overflowing.
constexpr micros kMaxDuration = std::chrono::hours(24 * 365 * 30);
// Limit of deadlines and remaining times of requests. Callers may ask for 5 s at most.
constexpr micros kMaxDeadline = std::chrono::seconds(60);
constexpr std::uint32_t kMaxStage = 64;

// Converts wire messages and keeps the first validation error.
class message_decoder
{
public:
  std::optional<std::string> mError;

  peer_message Decode(const wire::peer_message& aMessage)
  {
    switch (aMessage.kind_case()) {
      case wire::peer_message::kView:
        return View(aMessage.view());
      case wire::peer_message::kProbe:
        return probe_message{ aMessage.probe().sent_at(),
                              { aMessage.probe().vm_history(), aMessage.probe().vm_revision() } };
      case wire::peer_message::kProbeReply:
        return ProbeReply(aMessage.probe_reply());
      case wire::peer_message::kTablePull:
        return TablePull(aMessage.table_pull());
      case wire::peer_message::kTable:
        return Table(aMessage.table());
      case wire::peer_message::kForwardPart:
        return forward_part_message{
          PartRequest(aMessage.forward_part().request()),
          Duration("remaining", aMessage.forward_part().remaining(), kMaxDeadline)
        };
      case wire::peer_message::kPartReply:
        return part_reply_message{ PartReply(aMessage.part_reply()) };
      case wire::peer_message::kCancelPart:
        return cancel_part_message{ Attempt(aMessage.cancel_part().attempt()),
                                    Name("server", aMessage.cancel_part().server()) };
      case wire::peer_message::kServerStage:
        return ServerStage(aMessage.server_stage());
      case wire::peer_message::kSuspect:
        return suspect_message{ Suspect(aMessage.suspect()) };
      case wire::peer_message::kPermitRelease:
        return permit_release_message{
          { aMessage.permit_release().vm_history(), aMessage.permit_release().vm_revision() },
          { aMessage.permit_release().servers().begin(), aMessage.permit_release().servers().end() }
        };
      case wire::peer_message::kForwardQuery:
        return forward_query_message{
          aMessage.forward_query().number(),
          QueryRequest(aMessage.forward_query().request()),
          Duration("remaining", aMessage.forward_query().remaining(), kMaxDeadline)
        };
      case wire::peer_message::kQueryReply:
        return query_answer_message{ aMessage.query_reply().number(),
                                     QueryAnswer(aMessage.query_reply().answer()) };
      case wire::peer_message::KIND_NOT_SET:
        break;
    }
    Fail("unknown message kind");
    return {};
  }

private:
  void Fail(std::string aText)
  {
    if (!mError) {
      mError = std::move(aText);
    }
  }

  // Checks that a name has 1 to kMaxNameBytes bytes.
  std::string Name(const char* aField, const std::string& aText)
  {
    if (aText.empty() || aText.size() > kMaxNameBytes) {
      Fail(std::string(aField) + " has " + std::to_string(aText.size()) +
           " bytes, must have 1 to " + std::to_string(kMaxNameBytes));
    }
    return aText;
  }

  template<typename Value>
  Value Enum(const char* aField, int aWire, Value aLast)
  {
    if (aWire < 1 || aWire > static_cast<int>(aLast) + 1) {
      Fail(std::string(aField) + " " + std::to_string(aWire) + " is unknown");
      return {};
    }
    return static_cast<Value>(aWire - 1);
  }

  micros Duration(const char* aField, std::int64_t aMicros, micros aLimit)
  {
    if (aMicros < 0 || aMicros > aLimit.count()) {
      Fail(std::string(aField) + " " + std::to_string(aMicros) + " us is not in 0 to " +
           std::to_string(aLimit.count()));
      return micros(0);
    }
    return micros(aMicros);
  }

  template<typename Map>
  static fields Fields(const Map& aMap)
  {
    return { aMap.begin(), aMap.end() };
  }

  template<typename List>
  static std::vector<index_version> Versions(const List& aVersions)
  {
    std::vector<index_version> versions;
    versions.reserve(static_cast<std::size_t>(aVersions.size()));
    for (const wire::index_version& each : aVersions) {
      versions.push_back({ each.version(), each.map() });
    }
    return versions;
  }

  template<typename List>
  static std::vector<record> Records(const List& aRecords)
  {
    std::vector<record> records;
    records.reserve(static_cast<std::size_t>(aRecords.size()));
    for (const wire::record& each : aRecords) {
      records.push_back({ each.id(), Fields(each.fields()) });
    }
    return records;
  }

  static reason Reason(const wire::reason& aReason)
  {
    return { aReason.step(), aReason.peer(), aReason.text() };
  }

  attempt_id Attempt(const wire::attempt_id& aAttempt)
  {
    return { Name("attempt origin", aAttempt.origin()), aAttempt.number() };
  }

  view_message View(const wire::view& aView)
  {
    view_message view;
    for (const wire::view_entry& each : aView.entries()) {
      view.mEntries.push_back({ Name("vm", each.vm()),
                                each.incarnation(),
                                { each.vm_history(), each.vm_revision() },
                                { each.routes_history(), each.routes_revision() },
                                { each.pools_history(), each.pools_revision() },
                                each.draining(),
                                Duration("age", each.age(), kMaxDuration) });
    }
    for (const wire::suspect_entry& each : aView.suspects()) {
      view.mSuspects.push_back(Suspect(each));
    }
    return view;
  }

  probe_reply_message ProbeReply(const wire::probe_reply& aReply)
  {
    probe_reply_message reply;
    reply.mSentAt = aReply.sent_at();
    reply.mVmRevision = { aReply.vm_history(), aReply.vm_revision() };
    reply.mListsYou = aReply.lists_you();
    if (aReply.has_list_age()) {
      reply.mListAge = Duration("list age", aReply.list_age(), kMaxDuration);
    }
    reply.mKnewOther = aReply.knew_other();
    return reply;
  }

  suspect_entry Suspect(const wire::suspect_entry& aEntry)
  {
    return { aEntry.fingerprint(),
             Enum("level", aEntry.level(), suspicion::Quarantined),
             { aEntry.servers_lost().begin(), aEntry.servers_lost().end() },
             Duration("remaining", aEntry.remaining(), kMaxDuration) };
  }

  static table_pull_message TablePull(const wire::table_pull& aPull)
  {
    return { { aPull.routes_history(), aPull.routes_revision() },
             { aPull.pools_history(), aPull.pools_revision() },
             { aPull.vm_history(), aPull.vm_revision() } };
  }

  table_message Table(const wire::table& aTable)
  {
    table_message table;
    table.mKind = Enum("kind", aTable.kind(), table_kind::Vms);
    table.mRevision = { aTable.history(), aTable.revision() };
    table.mText = aTable.text();
    if (aTable.has_confirmed_age()) {
      table.mConfirmedAge = Duration("confirmed age", aTable.confirmed_age(), kMaxDuration);
    }
    table.mInForce = aTable.in_force();
    table.mPairRevision = { aTable.pair_history(), aTable.pair_revision() };
    return table;
  }

  part_request PartRequest(const wire::part_request& aRequest)
  {
    part_request request;
    request.mAttempt = Attempt(aRequest.attempt());
    request.mServer = Name("server", aRequest.server());
    request.mPool = Name("pool", aRequest.pool());
    request.mShard = Name("shard", aRequest.shard());
    request.mVersion = aRequest.version();
    request.mOperation = Enum("operation", aRequest.operation(), operation::Submit);
    request.mFilter = Fields(aRequest.filter());
    request.mRequestKey = aRequest.request_key();
    request.mFingerprint = aRequest.fingerprint();
    request.mUrgency = Enum("urgency", aRequest.urgency(), urgency::Background);
    return request;
  }

  part_reply PartReply(const wire::part_reply& aReply)
  {
    part_reply reply;
    reply.mAttempt = Attempt(aReply.attempt());
    reply.mResult = Enum("result", aReply.result(), part_result::Unknown);
    reply.mFailure = Enum("failure", aReply.failure(), part_failure::Malformed);
    reply.mServer = aReply.server();
    reply.mShard = aReply.shard();
    reply.mVersion = aReply.version();
    reply.mMap = aReply.map();
    reply.mRecords = Records(aReply.records());
    if (aReply.has_evidence()) {
      reply.mEvidence =
        server_evidence{ aReply.evidence().instance(),
                         Enum("mode", aReply.evidence().mode(), server_mode::Draining),
                         Versions(aReply.evidence().versions()) };
    }
    reply.mReason = Reason(aReply.reason());
    return reply;
  }

  server_stage_message ServerStage(const wire::server_stage& aStage)
  {
    if (aStage.stage() > kMaxStage) {
      Fail("stage " + std::to_string(aStage.stage()) + " is above " + std::to_string(kMaxStage));
    }
    return { Name("server", aStage.server()),
             aStage.instance(),
             aStage.stage(),
             aStage.leads(),
             aStage.draining(),
             Versions(aStage.versions()),
             Duration("age", aStage.age(), kMaxDuration),
             aStage.asks() };
  }

  query_request QueryRequest(const wire::query_request& aRequest)
  {
    query_request request;
    request.mRoute = Name("route", aRequest.route());
    request.mCaller = aRequest.caller();
    request.mFilter = Fields(aRequest.filter());
    if (aRequest.has_urgency()) {
      request.mUrgency = Enum("urgency", aRequest.urgency(), urgency::Background);
    }
    if (aRequest.has_deadline()) {
      request.mDeadline = Duration("deadline", aRequest.deadline(), kMaxDeadline);
    }
    request.mRequestKey = aRequest.request_key();
    return request;
  }

  query_answer QueryAnswer(const wire::query_answer& aAnswer)
  {
    query_answer answer;
    answer.mOutcome = Enum("outcome", aAnswer.outcome(), outcome::Rejected);
    answer.mVersion = aAnswer.version();
    answer.mMap = aAnswer.map();
    answer.mCoverage.mCovered = aAnswer.coverage().covered();
    answer.mCoverage.mTotal = aAnswer.coverage().total();
    if (answer.mCoverage.mTotal > kPositions ||
        answer.mCoverage.mCovered > answer.mCoverage.mTotal) {
      Fail("coverage " + std::to_string(answer.mCoverage.mCovered) + " of " +
           std::to_string(answer.mCoverage.mTotal) + " positions is out of range");
    }
    for (const wire::coverage_gap& each : aAnswer.coverage().missing()) {
      coverage_gap gap{ each.pool(), each.shard(), {}, Reason(each.reason()) };
      for (const wire::position_range& range : each.ranges()) {
        if (range.from() >= range.to() || range.to() > kPositions) {
          Fail("range [" + std::to_string(range.from()) + ", " + std::to_string(range.to()) +
               ") is not within the " + std::to_string(kPositions) + " positions");
        }
        gap.mRanges.push_back({ range.from(), range.to() });
      }
      answer.mCoverage.mMissing.push_back(std::move(gap));
    }
    answer.mRecords = Records(aAnswer.records());
    answer.mReason = Reason(aAnswer.reason());
    return answer;
  }
};

} // namespace

std::string EncodeMessage(const peer_message& aMessage)
{
  google::protobuf::Arena arena;
  auto* message = google::protobuf::Arena::CreateMessage<wire::peer_message>(&arena);
  std::visit(message_encoder{ message }, aMessage);
  return message->SerializeAsString();
}

std::string AssembleEnvelope(const std::string& aVm,
                             const std::string& aIncarnation,
                             const std::vector<std::string>& aMessages)
{
  // A protobuf message is the concatenation of its fields, so each encoded message is appended as
  // an element of the repeated field: its tag, its length as a varint, and its bytes.
  constexpr char kMessagesTag = (wire::envelope::kMessagesFieldNumber << 3) | 2;
  wire::envelope head;
  head.set_vm(aVm);
  head.set_incarnation(aIncarnation);
  std::string body = head.SerializeAsString();
  for (const std::string& message : aMessages) {
    body.push_back(kMessagesTag);
    std::size_t size = message.size();
    for (; size > 0x7f; size >>= 7U) {
      body.push_back(static_cast<char>((size & 0x7fU) | 0x80U));
    }
    body.push_back(static_cast<char>(size));
    body += message;
  }
  return body;
}

std::string EncodeEnvelope(const peer_envelope& aEnvelope)
{
  std::vector<std::string> messages;
  messages.reserve(aEnvelope.mMessages.size());
  for (const peer_message& message : aEnvelope.mMessages) {
    messages.push_back(EncodeMessage(message));
  }
  return AssembleEnvelope(aEnvelope.mVm, aEnvelope.mIncarnation, messages);
}

result<peer_envelope> DecodeEnvelope(std::string_view aBody)
{
  if (aBody.size() > kMaxEnvelopeBytes) {
    return Failure<peer_envelope>("read envelope",
                                  "",
                                  std::to_string(aBody.size()) + " bytes, the limit is " +
                                    std::to_string(kMaxEnvelopeBytes));
  }
  // protobuf logs each string that is not UTF-8, which would let a sender fill the log.
  static google::protobuf::LogHandler* const kPreviousLogHandler =
    google::protobuf::SetLogHandler(nullptr);
  static_cast<void>(kPreviousLogHandler);
  google::protobuf::Arena arena;
  auto* envelope = google::protobuf::Arena::CreateMessage<wire::envelope>(&arena);
  if (!envelope->ParseFromArray(aBody.data(), static_cast<int>(aBody.size()))) {
    return Failure<peer_envelope>("read envelope", "", "not a protobuf envelope");
  }
  for (const auto& [field, text] :
       { std::pair<const char*, const std::string&>("vm", envelope->vm()),
         std::pair<const char*, const std::string&>("incarnation", envelope->incarnation()) }) {
    if (text.empty() || text.size() > kMaxNameBytes) {
      return Failure<peer_envelope>("read envelope",
                                    envelope->vm().substr(0, kMaxNameBytes),
                                    std::string(field) + " has " + std::to_string(text.size()) +
                                      " bytes, must have 1 to " + std::to_string(kMaxNameBytes));
    }
  }
  peer_envelope decoded{ envelope->vm(), envelope->incarnation(), {} };
  decoded.mMessages.reserve(static_cast<std::size_t>(envelope->messages_size()));
  message_decoder decoder;
  for (const wire::peer_message& message : envelope->messages()) {
    decoded.mMessages.push_back(decoder.Decode(message));
    if (decoder.mError) {
      return Failure<peer_envelope>("read message " + std::to_string(decoded.mMessages.size()),
                                    envelope->vm(),
                                    std::move(*decoder.mError));
    }
  }
  return Success(std::move(decoded));
}

} // namespace redwingdock
