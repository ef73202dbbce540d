#include "client/caller_json.h"

#include "base/hash.h"

#include <algorithm>
#include <boost/json.hpp>
#include <stdexcept>

namespace redwingdock {

namespace json = boost::json;

namespace {

std::string Text(const json::object& aObject, const char* aKey)
{
  return json::value_to<std::string>(aObject.at(aKey));
}

std::uint64_t Number(const json::object& aObject, const char* aKey)
{
  return aObject.at(aKey).to_number<std::uint64_t>();
}

reason Reason(const json::object& aObject)
{
  return { Text(aObject, "step"), Text(aObject, "peer"), Text(aObject, "text") };
}

outcome OutcomeOf(const std::string& aText)
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

record Record(const json::object& aObject)
{
  record parsed{ Text(aObject, "id"), {} };
  for (const auto& [name, value] : aObject.at("fields").as_object()) {
    parsed.mFields.emplace(name, json::value_to<std::string>(value));
  }
  return parsed;
}

coverage_gap Gap(const json::object& aObject)
{
  coverage_gap gap{ Text(aObject, "pool"), Text(aObject, "shard"), {}, {} };
  for (const json::value& each : aObject.at("ranges").as_array()) {
    const json::array& pair = each.as_array();
    gap.mRanges.push_back(
      { pair.at(0).to_number<std::uint32_t>(), pair.at(1).to_number<std::uint32_t>() });
  }
  gap.mReason = Reason(aObject.at("reason").as_object());
  return gap;
}

std::string CheckCoverage(const query_answer& aAnswer)
{
  position_ranges missing;
  std::uint64_t missed = 0;
  for (const coverage_gap& gap : aAnswer.mCoverage.mMissing) {
    for (const position_range& range : gap.mRanges) {
      if (range.mFrom >= range.mTo || range.mTo > kPositions) {
        return "a missing range of shard " + gap.mShard +
               " is empty or ends beyond the last position";
      }
      missed += range.mTo - range.mFrom;
      missing.push_back(range);
    }
  }
  std::sort(missing.begin(), missing.end());
  for (std::size_t i = 1; i < missing.size(); ++i) {
    if (missing[i].mFrom < missing[i - 1].mTo) {
      return "position " + std::to_string(missing[i].mFrom) + " is missing twice";
    }
  }
  if (aAnswer.mCoverage.mCovered + missed != aAnswer.mCoverage.mTotal) {
    return std::to_string(aAnswer.mCoverage.mCovered) + " covered and " + std::to_string(missed) +
           " missing positions do not add up to the total of " +
           std::to_string(aAnswer.mCoverage.mTotal);
  }
  if (aAnswer.mOutcome == outcome::Complete && missed != 0) {
    return "a complete answer lists missing positions";
  }
  if (aAnswer.mOutcome == outcome::Partial && missed == 0) {
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
result<T> Guarded(const char* aStep, const std::string& aPeer, Parse aParse)
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
  static constexpr const char* kUrgencies[] = { "urgent", "normal", "background" };
  json::object filter;
  for (const auto& [name, value] : aRequest.mFilter) {
    filter[name] = value;
  }
  json::object written{ { "route", aRequest.mRoute },
                        { "caller", aRequest.mCaller },
                        { "filter", std::move(filter) } };
  if (aRequest.mUrgency) {
    written["urgency"] = kUrgencies[static_cast<std::size_t>(*aRequest.mUrgency)];
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
  return Guarded<entry_answer>("parse entry answer", aPeer, [&aText] {
    json::value parsed = json::parse(aText);
    const json::object& object = parsed.as_object();
    return entry_answer{ Text(object, "vm"),
                         Text(object, "address"),
                         std::chrono::milliseconds(Number(object, "lifetime_ms")),
                         Text(object, "key_prefix") };
  });
}

result<query_answer> ParseAnswer(const std::string& aText, const std::string& aPeer)
{
  return Guarded<query_answer>("parse answer", aPeer, [&aText] {
    json::value parsed = json::parse(aText);
    const json::object& object = parsed.as_object();
    query_answer answer;
    answer.mOutcome = OutcomeOf(Text(object, "outcome"));
    if (const json::value* why = object.if_contains("reason"); why != nullptr && why->is_object()) {
      answer.mReason = Reason(why->as_object());
    }
    if (answer.mOutcome != outcome::Complete && answer.mOutcome != outcome::Partial) {
      return answer;
    }
    answer.mVersion = Number(object, "version");
    answer.mMap = object.at("map").to_number<std::uint32_t>();
    const json::object& covered = object.at("coverage").as_object();
    answer.mCoverage.mCovered = covered.at("covered").to_number<std::uint32_t>();
    answer.mCoverage.mTotal = covered.at("total").to_number<std::uint32_t>();
    for (const json::value& each : covered.at("missing").as_array()) {
      answer.mCoverage.mMissing.push_back(Gap(each.as_object()));
    }
    std::vector<record> records;
    for (const json::value& each : object.at("records").as_array()) {
      records.push_back(Record(each.as_object()));
    }
    answer.mRecords = std::move(records);
    if (std::string wrong = CheckWhole(answer, Number(object, "count")); !wrong.empty()) {
      throw std::runtime_error(wrong);
    }
    return answer;
  });
}

std::string CheckWhole(const query_answer& aAnswer, std::uint64_t aCount)
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
