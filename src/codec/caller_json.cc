#include "codec/caller_json.h"

#include "base/hash.h"
#include "codec/json_reader.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace redwingdock {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxNameBytes = 63;
constexpr std::size_t kMaxCallerBytes = 128;
constexpr std::size_t kMaxUniqueKeyBytes = 64;
// A request key is the key prefix "<vm>.<incarnation>." and a part that the caller chooses.
constexpr std::size_t kMaxRequestKeyBytes = 2 * (kMaxNameBytes + 1) + kMaxUniqueKeyBytes;
constexpr std::uint64_t kMaxDeadlineMs = 5000;
constexpr std::size_t kMaxFilterFields = 64;
constexpr std::uint64_t kMaxUint64 = ~std::uint64_t{ 0 };
constexpr std::uint64_t kMaxUint32 = 0xffffffff;

constexpr const char* kOutcomeNames[] = { "complete", "partial", "not_run", "unknown", "rejected" };

bool IsRequestKey(const std::string& aKey)
{
  const std::size_t first = aKey.find('.');
  const std::size_t second = first == std::string::npos ? first : aKey.find('.', first + 1);
  if (first == 0 || second == std::string::npos || second == first + 1) {
    return false;
  }
  const std::string_view unique = std::string_view(aKey).substr(second + 1);
  return !unique.empty() && unique.size() <= kMaxUniqueKeyBytes &&
         std::all_of(
           aKey.begin(), aKey.end(), [](char aChar) { return aChar > 32 && aChar < 127; });
}

json::object CoverageToJson(const coverage& aCoverage)
{
  json::array missing;
  for (const coverage_gap& gap : aCoverage.mMissing) {
    json::array ranges;
    for (const position_range& range : gap.mRanges) {
      ranges.emplace_back(json::array{ range.mFrom, range.mTo });
    }
    json::object item;
    item.emplace("pool", gap.mPool);
    item.emplace("shard", gap.mShard);
    item.emplace("ranges", std::move(ranges));
    item.emplace("reason", detail::ToJson(gap.mReason));
    missing.emplace_back(std::move(item));
  }
  json::object object;
  object.emplace("covered", aCoverage.mCovered);
  object.emplace("total", aCoverage.mTotal);
  object.emplace("missing", std::move(missing));
  return object;
}

position_range ParseRange(detail::json_reader& aReader, const json::value& aValue)
{
  const json::array* pair = aValue.if_array();
  json::error_code error;
  position_range range;
  if (pair != nullptr && pair->size() == 2 && (*pair)[0].is_number() && (*pair)[1].is_number()) {
    range.mFrom = (*pair)[0].to_number<std::uint32_t>(error);
    if (!error) {
      range.mTo = (*pair)[1].to_number<std::uint32_t>(error);
    }
  }
  if (error || range.mFrom >= range.mTo || range.mTo > kPositions) {
    aReader.Fail("\"ranges\" has an element that is not [from, to] within " +
                 std::to_string(kPositions) + " positions");
  }
  return range;
}

coverage ParseCoverage(detail::json_reader& aReader, const json::object& aObject)
{
  coverage read;
  read.mTotal = static_cast<std::uint32_t>(aReader.Integer(aObject, "total", 0, kPositions));
  read.mCovered = static_cast<std::uint32_t>(aReader.Integer(aObject, "covered", 0, read.mTotal));
  for (const json::value& value : aReader.Array(aObject, "missing")) {
    const json::object& item = aReader.AsObject(value, "missing");
    coverage_gap gap;
    gap.mPool = aReader.String(item, "pool", 0, kMaxNameBytes);
    gap.mShard = aReader.String(item, "shard", 0, kMaxNameBytes);
    for (const json::value& range : aReader.Array(item, "ranges")) {
      gap.mRanges.push_back(ParseRange(aReader, range));
    }
    gap.mReason = aReader.Reason(item, "reason");
    read.mMissing.push_back(std::move(gap));
  }
  return read;
}

} // namespace

result<query_request> ParseQuery(std::string_view aBody)
{
  detail::json_reader reader(aBody, kMaxQueryBytes);
  const json::object& root = reader.Root();
  query_request request;
  request.mRoute = reader.String(root, "route", 1, kMaxNameBytes);
  if (reader.Has(root, "caller")) {
    request.mCaller = reader.String(root, "caller", 0, kMaxCallerBytes);
  }
  if (reader.Has(root, "filter")) {
    request.mFilter = reader.Fields(root, "filter");
    if (request.mFilter.size() > kMaxFilterFields) {
      reader.Fail("\"filter\" has " + std::to_string(request.mFilter.size()) +
                  " fields, the limit is " + std::to_string(kMaxFilterFields));
    }
  }
  if (reader.Has(root, "urgency")) {
    request.mUrgency = reader.Enum<urgency>(root, "urgency", detail::kUrgencyNames);
  }
  if (reader.Has(root, "deadline_ms")) {
    request.mDeadline =
      std::chrono::milliseconds(reader.Integer(root, "deadline_ms", 1, kMaxDeadlineMs));
  }
  if (reader.Has(root, "request_key")) {
    request.mRequestKey = reader.String(root, "request_key", 0, kMaxRequestKeyBytes);
    if (!request.mRequestKey.empty() && !IsRequestKey(request.mRequestKey)) {
      reader.Fail("\"request_key\" is not a key prefix followed by 1 to " +
                  std::to_string(kMaxUniqueKeyBytes) + " printable characters");
    }
  }
  if (reader.Error()) {
    return Failure<query_request>("read query", "", *reader.Error());
  }
  return Success(std::move(request));
}

std::string FormatQuery(const query_request& aRequest)
{
  json::object root;
  root.emplace("route", aRequest.mRoute);
  root.emplace("caller", aRequest.mCaller);
  root.emplace("filter", detail::ToJson(aRequest.mFilter));
  if (aRequest.mUrgency) {
    root.emplace("urgency", detail::EnumName(*aRequest.mUrgency, detail::kUrgencyNames));
  }
  if (aRequest.mDeadline) {
    root.emplace("deadline_ms", ToMs(*aRequest.mDeadline));
  }
  if (!aRequest.mRequestKey.empty()) {
    root.emplace("request_key", aRequest.mRequestKey);
  }
  return json::serialize(root);
}

std::string FormatAnswer(const query_answer& aAnswer)
{
  json::object root;
  root.emplace("outcome", detail::EnumName(aAnswer.mOutcome, kOutcomeNames));
  root.emplace("version", aAnswer.mVersion);
  root.emplace("map", aAnswer.mMap);
  root.emplace("coverage", CoverageToJson(aAnswer.mCoverage));
  root.emplace("count", aAnswer.mRecords.size());
  root.emplace("records", detail::ToJson(aAnswer.mRecords.All()));
  root.emplace("reason", detail::ToJson(aAnswer.mReason));
  return json::serialize(root);
}

result<query_answer> ParseAnswer(std::string_view aBody)
{
  detail::json_reader reader(aBody, kMaxAnswerBytes);
  const json::object& root = reader.Root();
  query_answer answer;
  answer.mOutcome = reader.Enum<outcome>(root, "outcome", kOutcomeNames);
  answer.mVersion = reader.Integer(root, "version", 0, kMaxUint64);
  answer.mMap = static_cast<std::uint32_t>(reader.Integer(root, "map", 0, kMaxUint32));
  answer.mCoverage = ParseCoverage(reader, reader.Object(root, "coverage"));
  const std::uint64_t count = reader.Integer(root, "count", 0, kMaxUint64);
  answer.mRecords = reader.Records(root, "records");
  answer.mReason = reader.Reason(root, "reason");
  if (count != answer.mRecords.size()) {
    reader.Fail("\"count\" is " + std::to_string(count) + ", \"records\" has " +
                std::to_string(answer.mRecords.size()));
  }
  if (reader.Error()) {
    return Failure<query_answer>("read answer", "", *reader.Error());
  }
  return Success(std::move(answer));
}

unsigned HttpStatusOf(outcome aOutcome)
{
  switch (aOutcome) {
    case outcome::Complete:
    case outcome::Partial:
      return 200;
    case outcome::NotRun:
      return 503;
    case outcome::Unknown:
      return 504;
    case outcome::Rejected:
      return 400;
  }
  return 504;
}

std::string FormatEntry(const entry_answer& aAnswer)
{
  json::object root;
  root.emplace("vm", aAnswer.mVm);
  root.emplace("address", aAnswer.mAddress);
  root.emplace("lifetime_ms", ToMs(aAnswer.mLifetime));
  root.emplace("key_prefix", aAnswer.mKeyPrefix);
  return json::serialize(root);
}

result<entry_answer> ParseEntry(std::string_view aBody)
{
  constexpr std::uint64_t kMaxLifetimeMs = 24ULL * 3600 * 1000;
  detail::json_reader reader(aBody, kMaxQueryBytes);
  const json::object& root = reader.Root();
  entry_answer answer;
  answer.mVm = reader.String(root, "vm", 1, kMaxNameBytes);
  answer.mAddress = reader.String(root, "address", 1, kMaxNameBytes);
  answer.mLifetime =
    std::chrono::milliseconds(reader.Integer(root, "lifetime_ms", 0, kMaxLifetimeMs));
  answer.mKeyPrefix = reader.String(root, "key_prefix", 0, kMaxRequestKeyBytes);
  if (reader.Error()) {
    return Failure<entry_answer>("read entry", "", *reader.Error());
  }
  return Success(std::move(answer));
}

std::string FormatReason(const reason& aReason)
{
  json::object root;
  root.emplace("reason", detail::ToJson(aReason));
  return json::serialize(root);
}

} // namespace redwingdock
