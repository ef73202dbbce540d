#include "client/caller_json.h"

#include "base/hash.h"

#include <algorithm>
#include <boost/json.hpp>
#include <stdexcept>

namespace redwingdock {

namespace json = boost::json;

namespace {

std::string StringAt(const json::object& aObject, const char* aKey)
{
  return json::value_to<std::string>(aObject.at(aKey));
}

std::uint64_t IntegerAt(const json::object& aObject, const char* aKey)
{
  return aObject.at(aKey).to_number<std::uint64_t>();
}

reason ParseReason(const json::object& aObject)
{
  return { StringAt(aObject, "step"), StringAt(aObject, "peer"), StringAt(aObject, "text") };
}

outcome ParseOutcome(const std::string& aText)
{
  for (outcome each : { outcome::Complete,
                        outcome::Partial,
                        outcome::NotRun,
                        outcome::Unknown,
                        outcome::Rejected }) {
    if (aText == ToString(each)) {
      return each;
    }
  }
  throw std::runtime_error("outcome \"" + aText + "\" is unknown");
}

record ParseRecord(const json::object& aObject)
{
  record parsed{ StringAt(aObject, "id"), {} };
  for (const auto& [name, value] : aObject.at("fields").as_object()) {
    parsed.mFields.emplace(name, json::value_to<std::string>(value));
  }
  return parsed;
}

coverage_gap ParseGap(const json::object& aObject)
{
  coverage_gap gap{ StringAt(aObject, "pool"), StringAt(aObject, "shard"), {}, {} };
  for (const json::value& each : aObject.at("ranges").as_array()) {
    const json::array& pair = each.as_array();
    gap.mRanges.push_back(
      { pair.at(0).to_number<std::uint32_t>(), pair.at(1).to_number<std::uint32_t>() });
  }
  gap.mReason = ParseReason(aObject.at("reason").as_object());
  return gap;
}

std::string CheckCoverage(const query_answer& aAnswer)
{
  position_ranges missing;
  std::uint64_t missingCount = 0;
  for (const coverage_gap& gap : aAnswer.mCoverage.mMissing) {
    for (const position_range& range : gap.mRanges) {
      if (range.mFrom >= range.mTo || range.mTo > kPositions) {
        return "a missing range of shard " + gap.mShard +
               " is empty or ends beyond the last position";
      }
      missingCount += range.mTo - range.mFrom;
      missing.push_back(range);
    }
  }
  std::sort(missing.begin(), missing.end());
  for (std::size_t i = 1; i < missing.size(); ++i) {
    if (missing[i].mFrom < missing[i - 1].mTo) {
      return "position " + std::to_string(missing[i].mFrom) + " is missing twice";
    }
  }
  if (aAnswer.mCoverage.mCovered + missingCount != aAnswer.mCoverage.mTotal) {
    return std::to_string(aAnswer.mCoverage.mCovered) + " covered and " +
           std::to_string(missingCount) + " missing positions do not add up to the total of " +
           std::to_string(aAnswer.mCoverage.mTotal);
  }
  if (aAnswer.mOutcome == outcome::Complete && missingCount != 0) {
    return "a complete answer lists missing positions";
  }
  if (aAnswer.mOutcome == outcome::Partial && missingCount == 0) {
    return "a partial answer lists no missing position";
  }
  for (const record& each : aAnswer.mRecords) {
    std::uint32_t position = PositionOf(each.mId);
    for (const position_range& range : missing) {
      if (range.mFrom <= position && position < range.mTo) {
        return "record " + each.mId + " is in a range that is listed as missing";
      }
    }
  }
  return "";
}

// Runs a parser that throws on malformed input, and converts the exception to a failure.
template<typename T, typename Parse>
result<T> CatchParseErrors(const char* aStep, const std::string& aPeer, Parse aParse)
{
  try {
    return Success<T>(aParse());
  } catch (const std::exception& error) {
    return Failure<T>(aStep, aPeer, error.what());
  }
}

} // namespace

std::string WriteQuery(const query_request& aRequest)
{
  static constexpr const char* kUrgencyNames[] = { "urgent", "normal", "background" };
  json::object filter;
  for (const auto& [name, value] : aRequest.mFilter) {
    filter[name] = value;
  }
  json::object written{ { "route", aRequest.mRoute },
                        { "caller", aRequest.mCaller },
                        { "filter", std::move(filter) } };
  if (aRequest.mUrgency) {
    written["urgency"] = kUrgencyNames[static_cast<std::size_t>(*aRequest.mUrgency)];
  }
  if (aRequest.mDeadline) {
    written["deadline_ms"] = std::max<std::int64_t>(1, ToMs(*aRequest.mDeadline));
  }
  if (!aRequest.mRequestKey.empty()) {
    written["request_key"] = aRequest.mRequestKey;
  }
  return json::serialize(written);
}

result<entry_answer> ParseEntry(const std::string& aText, const std::string& aPeer)
{
  return CatchParseErrors<entry_answer>("parse entry answer", aPeer, [&aText] {
    json::value parsed = json::parse(aText);
    const json::object& object = parsed.as_object();
    return entry_answer{ StringAt(object, "vm"),
                         StringAt(object, "address"),
                         std::chrono::milliseconds(IntegerAt(object, "lifetime_ms")),
                         StringAt(object, "key_prefix") };
  });
}

result<query_answer> ParseAnswer(const std::string& aText, const std::string& aPeer)
{
  return CatchParseErrors<query_answer>("parse answer", aPeer, [&aText] {
    json::value parsed = json::parse(aText);
    const json::object& object = parsed.as_object();
    query_answer answer;
    answer.mOutcome = ParseOutcome(StringAt(object, "outcome"));
    if (const json::value* reasonValue = object.if_contains("reason");
        reasonValue != nullptr && reasonValue->is_object()) {
      answer.mReason = ParseReason(reasonValue->as_object());
    }
    if (answer.mOutcome != outcome::Complete && answer.mOutcome != outcome::Partial) {
      return answer;
    }
    answer.mVersion = IntegerAt(object, "version");
    answer.mMap = object.at("map").to_number<std::uint32_t>();
    const json::object& coverageObject = object.at("coverage").as_object();
    answer.mCoverage.mCovered = coverageObject.at("covered").to_number<std::uint32_t>();
    answer.mCoverage.mTotal = coverageObject.at("total").to_number<std::uint32_t>();
    for (const json::value& each : coverageObject.at("missing").as_array()) {
      answer.mCoverage.mMissing.push_back(ParseGap(each.as_object()));
    }
    std::vector<record> records;
    for (const json::value& each : object.at("records").as_array()) {
      records.push_back(ParseRecord(each.as_object()));
    }
    answer.mRecords = std::move(records);
    if (std::string wrong = CheckConsistency(answer, IntegerAt(object, "count")); !wrong.empty()) {
      throw std::runtime_error(wrong);
    }
    return answer;
  });
}

std::string CheckConsistency(const query_answer& aAnswer, std::uint64_t aCount)
{
  if (aCount != aAnswer.mRecords.size()) {
    return "the count is " + std::to_string(aCount) + " but there are " +
           std::to_string(aAnswer.mRecords.size()) + " records";
  }
  std::set<std::string> ids;
  for (const record& each : aAnswer.mRecords) {
    if (!ids.insert(each.mId).second) {
      return "record " + each.mId + " occurs twice";
    }
  }
  return CheckCoverage(aAnswer);
}

} // namespace redwingdock
