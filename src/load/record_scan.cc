#include "load/record_scan.h"

#include "base/hash.h"

#include <algorithm>
#include <boost/json.hpp>
#include <sstream>

namespace redwingdock::load {

namespace json = boost::json;

namespace {

versioned_record ParseRecord(const std::string& aLine)
{
  json::value parsed = json::parse(aLine);
  const json::object& object = parsed.as_object();
  versioned_record versioned;
  versioned.mRecord.mId = json::value_to<std::string>(object.at("id"));
  for (const auto& [name, value] : object.at("fields").as_object()) {
    versioned.mRecord.mFields.emplace(name, json::value_to<std::string>(value));
  }
  versioned.mPosition = PositionOf(versioned.mRecord.mId);
  if (const json::value* since = object.if_contains("since")) {
    versioned.mSince = since->to_number<std::uint64_t>();
  }
  if (const json::value* until = object.if_contains("until")) {
    versioned.mUntil = until->to_number<std::uint64_t>();
  }
  return versioned;
}

bool Matches(const record& aRecord, const fields& aFilter)
{
  return std::all_of(aFilter.begin(), aFilter.end(), [&aRecord](const auto& aWanted) {
    if (aWanted.first == "id") {
      return aRecord.mId == aWanted.second;
    }
    auto found = aRecord.mFields.find(aWanted.first);
    return found != aRecord.mFields.end() && found->second == aWanted.second;
  });
}

} // namespace

result<record_list> ReadRecordFile(const std::string& aText, const std::string& aFile)
{
  record_list records;
  std::istringstream lines(aText);
  std::string line;
  for (int number = 1; std::getline(lines, line); ++number) {
    if (line.empty()) {
      continue;
    }
    try {
      records.push_back(ParseRecord(line));
    } catch (const std::exception& error) {
      return Failure<record_list>(
        "read records", aFile, "line " + std::to_string(number) + ": " + error.what());
    }
  }
  return Success(std::move(records));
}

const record_list& RecordsOf(const route_records& aRecords, const std::string& aRoute)
{
  static const record_list kNoRecords;
  auto found = aRecords.find(aRoute);
  return found == aRecords.end() ? kNoRecords : *found->second;
}

std::vector<record> Scan(const record_list& aRecords,
                         std::uint64_t aVersion,
                         const fields& aFilter,
                         const position_ranges& aMissing)
{
  std::vector<record> found;
  for (const versioned_record& each : aRecords) {
    bool missing =
      std::any_of(aMissing.begin(), aMissing.end(), [&each](const position_range& aRange) {
        return aRange.mFrom <= each.mPosition && each.mPosition < aRange.mTo;
      });
    if (!missing && each.mSince <= aVersion && aVersion <= each.mUntil &&
        Matches(each.mRecord, aFilter)) {
      found.push_back(each.mRecord);
    }
  }
  std::sort(found.begin(), found.end());
  return found;
}

} // namespace redwingdock::load
