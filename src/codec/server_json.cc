#include "codec/server_json.h"

#include "codec/json_reader.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

namespace redwingdock {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxNameBytes = 63;
constexpr std::size_t kMaxAttemptIdBytes = 255;
constexpr std::size_t kMaxRequestKeyBytes = 255;
constexpr std::size_t kMaxReasonTextBytes = 4096;
constexpr std::size_t kMaxRequestBytes = std::size_t{ 256 } * 1024;
constexpr std::uint64_t kMaxDeadlineMs = 60000;
constexpr std::uint64_t kMaxUint64 = ~std::uint64_t{ 0 };
constexpr std::uint64_t kMaxUint32 = 0xffffffff;

constexpr const char* kRefusalNames[] = { "shed",         "draining",        "version_gone",
                                          "wrong_target", "deadline_passed", "cancelled" };
constexpr part_failure kRefusals[] = { part_failure::Shed,           part_failure::Draining,
                                       part_failure::VersionGone,    part_failure::WrongTarget,
                                       part_failure::DeadlinePassed, part_failure::Cancelled };

const char* RefusalName(part_failure aFailure)
{
  const auto* found = std::find(std::begin(kRefusals), std::end(kRefusals), aFailure);
  return found == std::end(kRefusals) ? kRefusalNames[0]
                                      : kRefusalNames[found - std::begin(kRefusals)];
}

json::object EvidenceToJson(const server_evidence& aEvidence)
{
  json::array versions;
  for (const index_version& each : aEvidence.mVersions) {
    json::object item;
    item.emplace("version", each.mVersion);
    item.emplace("map", each.mMap);
    versions.emplace_back(std::move(item));
  }
  json::object object;
  object.emplace("instance", aEvidence.mInstance);
  object.emplace("mode", detail::EnumName(aEvidence.mMode, detail::kModeNames));
  object.emplace("versions", std::move(versions));
  return object;
}

server_evidence ParseEvidence(detail::json_reader& aReader, const json::object& aObject)
{
  server_evidence evidence;
  evidence.mInstance = aReader.String(aObject, "instance", 1, kMaxNameBytes);
  evidence.mMode = aReader.Enum<server_mode>(aObject, "mode", detail::kModeNames);
  for (const json::value& value : aReader.Array(aObject, "versions")) {
    const json::object& item = aReader.AsObject(value, "versions");
    evidence.mVersions.push_back(
      { aReader.Integer(item, "version", 1, kMaxUint64),
        static_cast<std::uint32_t>(aReader.Integer(item, "map", 0, kMaxUint32)) });
  }
  std::sort(evidence.mVersions.begin(), evidence.mVersions.end());
  return evidence;
}

void RequireEqual(detail::json_reader& aReader,
                  const char* aField,
                  const std::string& aFound,
                  const std::string& aExpected)
{
  if (aFound != aExpected) {
    aReader.Fail(std::string("\"") + aField + "\" is \"" + aFound + "\", expected \"" + aExpected +
                 "\"");
  }
}

part_reply MalformedReply(const part_request& aRequest, std::string aText)
{
  part_reply reply;
  reply.mAttempt = aRequest.mAttempt;
  reply.mResult = part_result::Unknown;
  reply.mFailure = part_failure::Malformed;
  reply.mServer = aRequest.mServer;
  reply.mShard = aRequest.mShard;
  reply.mReason = { "check reply", aRequest.mServer, std::move(aText) };
  return reply;
}

void ParseAnswer(detail::json_reader& aReader, const part_request& aRequest, part_reply& aReply)
{
  const json::object& root = aReader.Root();
  RequireEqual(
    aReader, "server", aReader.String(root, "server", 0, kMaxNameBytes), aRequest.mServer);
  RequireEqual(aReader, "shard", aReader.String(root, "shard", 0, kMaxNameBytes), aRequest.mShard);
  aReply.mVersion = aReader.Integer(root, "version", 1, kMaxUint64);
  aReply.mMap = static_cast<std::uint32_t>(aReader.Integer(root, "map", 0, kMaxUint32));
  if (aRequest.mVersion != 0 && aReply.mVersion != aRequest.mVersion) {
    aReader.Fail("\"version\" is " + std::to_string(aReply.mVersion) + ", expected " +
                 std::to_string(aRequest.mVersion));
  }
  aReply.mRecords = aReader.Records(root, "records");
  aReply.mResult = part_result::Answered;
}

void ParseRefusal(detail::json_reader& aReader, const part_request& aRequest, part_reply& aReply)
{
  const json::object& root = aReader.Root();
  const bool notRun = aReader.Bool(root, "not_run");
  const auto index = aReader.Enum<std::size_t>(root, "refusal", kRefusalNames);
  aReply.mFailure = kRefusals[index];
  // "not_run" may be false only for a part that was cancelled or expired while it ran.
  const bool stopped =
    aReply.mFailure == part_failure::Cancelled || aReply.mFailure == part_failure::DeadlinePassed;
  if (!notRun && !stopped) {
    aReader.Fail("\"not_run\" is not true in a refusal");
  }
  const std::string server = aReader.String(root, "server", 0, kMaxNameBytes);
  const std::string shard = aReader.String(root, "shard", 0, kMaxNameBytes);
  if (aReply.mFailure != part_failure::WrongTarget) {
    RequireEqual(aReader, "server", server, aRequest.mServer);
    RequireEqual(aReader, "shard", shard, aRequest.mShard);
  }
  aReply.mReason = { "run part",
                     aRequest.mServer,
                     aReader.String(root, "text", 0, kMaxReasonTextBytes) };
  aReply.mResult = notRun ? part_result::NotRun : part_result::Unknown;
}

} // namespace

std::string FormatPartRequest(const part_request& aRequest, micros aRemaining)
{
  const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(aRemaining).count();
  json::object root;
  root.emplace("attempt", ToString(aRequest.mAttempt));
  root.emplace("server", aRequest.mServer);
  root.emplace("pool", aRequest.mPool);
  root.emplace("shard", aRequest.mShard);
  root.emplace("version", aRequest.mVersion);
  root.emplace("operation", detail::EnumName(aRequest.mOperation, detail::kOperationNames));
  root.emplace("filter", detail::ToJson(aRequest.mFilter));
  root.emplace("request_key", aRequest.mRequestKey);
  root.emplace("urgency", detail::EnumName(aRequest.mUrgency, detail::kUrgencyNames));
  root.emplace("deadline_ms", std::max<std::int64_t>(remaining, 1));
  return json::serialize(root);
}

result<attempt_id> ParseAttempt(std::string_view aText)
{
  const std::size_t separator = aText.rfind('#');
  attempt_id attempt;
  if (separator != std::string_view::npos && separator > 0) {
    attempt.mOrigin = aText.substr(0, separator);
    const char* end = aText.data() + aText.size();
    const auto [rest, error] = std::from_chars(aText.data() + separator + 1, end, attempt.mNumber);
    if (error == std::errc() && rest == end) {
      return Success(std::move(attempt));
    }
  }
  return Failure<attempt_id>(
    "read attempt", "", "\"" + std::string(aText) + "\" is not of the form origin#number");
}

result<received_part_request> ParsePartRequest(std::string_view aBody)
{
  detail::json_reader reader(aBody, kMaxRequestBytes);
  const json::object& root = reader.Root();
  received_part_request call;
  part_request& request = call.mRequest;
  const auto attempt = ParseAttempt(reader.String(root, "attempt", 1, kMaxAttemptIdBytes));
  if (attempt) {
    request.mAttempt = *attempt;
  } else {
    reader.Fail(attempt.mReason.mText);
  }
  request.mServer = reader.String(root, "server", 1, kMaxNameBytes);
  request.mPool = reader.String(root, "pool", 1, kMaxNameBytes);
  request.mShard = reader.String(root, "shard", 1, kMaxNameBytes);
  request.mVersion = reader.Integer(root, "version", 0, kMaxUint64);
  request.mOperation = reader.Enum<operation>(root, "operation", detail::kOperationNames);
  request.mFilter = reader.Fields(root, "filter");
  request.mRequestKey = reader.String(root, "request_key", 0, kMaxRequestKeyBytes);
  request.mUrgency = reader.Enum<urgency>(root, "urgency", detail::kUrgencyNames);
  call.mRemaining =
    std::chrono::milliseconds(reader.Integer(root, "deadline_ms", 1, kMaxDeadlineMs));
  if (reader.Error()) {
    return Failure<received_part_request>("read part", "", *reader.Error());
  }
  return Success(std::move(call));
}

part_reply ParsePartReply(const part_request& aRequest, unsigned aStatus, std::string_view aBody)
{
  if (aStatus != 200 && aStatus != 503) {
    return MalformedReply(aRequest, "status " + std::to_string(aStatus));
  }
  detail::json_reader reader(aBody, kMaxPartReplyBytes);
  const json::object& root = reader.Root();
  part_reply reply;
  reply.mAttempt = aRequest.mAttempt;
  reply.mServer = aRequest.mServer;
  reply.mShard = aRequest.mShard;
  RequireEqual(reader,
               "attempt",
               reader.String(root, "attempt", 0, kMaxAttemptIdBytes),
               ToString(aRequest.mAttempt));
  if (aStatus == 200) {
    ParseAnswer(reader, aRequest, reply);
  } else {
    ParseRefusal(reader, aRequest, reply);
  }
  reply.mEvidence = ParseEvidence(reader, reader.Object(root, "evidence"));
  if (reader.Error()) {
    return MalformedReply(aRequest, *reader.Error());
  }
  return reply;
}

std::string FormatPartReply(const part_reply& aReply)
{
  json::object root;
  root.emplace("attempt", ToString(aReply.mAttempt));
  root.emplace("server", aReply.mServer);
  root.emplace("shard", aReply.mShard);
  if (aReply.mResult == part_result::Answered) {
    root.emplace("version", aReply.mVersion);
    root.emplace("map", aReply.mMap);
    root.emplace("records", detail::ToJson(aReply.mRecords.All()));
  } else {
    root.emplace("not_run", aReply.mResult == part_result::NotRun);
    root.emplace("refusal", RefusalName(aReply.mFailure));
    root.emplace("text", aReply.mReason.mText);
  }
  root.emplace("evidence", EvidenceToJson(aReply.mEvidence.value_or(server_evidence{})));
  return json::serialize(root);
}

unsigned HttpStatusOf(const part_reply& aReply)
{
  return aReply.mResult == part_result::Answered ? 200 : 503;
}

std::string FormatCancel(const attempt_id& aAttempt)
{
  json::object root;
  root.emplace("attempt", ToString(aAttempt));
  return json::serialize(root);
}

result<attempt_id> ParseCancel(std::string_view aBody)
{
  detail::json_reader reader(aBody, kMaxRequestBytes);
  const std::string attempt = reader.String(reader.Root(), "attempt", 1, kMaxAttemptIdBytes);
  if (reader.Error()) {
    return Failure<attempt_id>("read cancel", "", *reader.Error());
  }
  return ParseAttempt(attempt);
}

} // namespace redwingdock
