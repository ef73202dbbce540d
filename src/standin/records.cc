#include "standin/records.h"

#include "base/hash.h"

#include <algorithm>
#include <boost/json.hpp>
#include <sstream>

namespace redwingdock::standin {

namespace {

namespace json = boost::json;

// Parses one line. Returns nothing when it is malformed.
std::optional<stored_record> ReadRecord(const std::string& aLine)
{
  boost::system::error_code error;
  const json::value value = json::parse(aLine, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  stored_record stored;
  for (const auto& [key, item] : value.as_object()) {
    if (key == "id" && item.is_string() && !item.as_string().empty()) {
      stored.mRecord.mId = item.as_string().c_str();
    } else if (key == "fields" && item.is_object()) {
      for (const auto& [name, text] : item.as_object()) {
        if (!text.is_string()) {
          return std::nullopt;
        }
        stored.mRecord.mFields[name] = text.as_string().c_str();
      }
    } else if ((key == "since" || key == "until") && item.is_int64() && item.as_int64() >= 0) {
      (key == "since" ? stored.mSince : stored.mUntil) =
        static_cast<std::uint64_t>(item.as_int64());
    } else {
      return std::nullopt;
    }
  }
  if (stored.mRecord.mId.empty()) {
    return std::nullopt;
  }
  stored.mPosition = PositionOf(stored.mRecord.mId);
  return stored;
}

bool Matches(const record& aRecord, const fields& aFilter)
{
  return std::all_of(aFilter.begin(), aFilter.end(), [&](const auto& aField) {
    if (aField.first == "id") {
      return aRecord.mId == aField.second;
    }
    const auto found = aRecord.mFields.find(aField.first);
    return found != aRecord.mFields.end() && found->second == aField.second;
  });
}

} // namespace

result<record_store> ReadRecords(const std::string& aText, const std::string& aFile)
{
  record_store store;
  std::istringstream lines(aText);
  std::string line;
  for (int number = 1; std::getline(lines, line); ++number) {
    if (line.empty()) {
      continue;
    }
    std::optional<stored_record> stored = ReadRecord(line);
    if (!stored) {
      return Failure<record_store>(
        "read records",
        aFile,
        "line " + std::to_string(number) + ": found " + line.substr(0, 60) +
          R"(, allowed: {"id": text, "fields": {name: text}, "since": version, "until": version})");
    }
    store.mRecords.push_back(std::move(*stored));
  }
  std::sort(store.mRecords.begin(), store.mRecords.end());
  const auto duplicate = std::adjacent_find(
    store.mRecords.begin(), store.mRecords.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mRecord.mId == aRight.mRecord.mId && aRight.mSince <= aLeft.mUntil;
    });
  if (duplicate != store.mRecords.end()) {
    return Failure<record_store>(
      "read records", aFile, "id " + duplicate->mRecord.mId + " occurs twice in one version");
  }
  return Success(std::move(store));
}

std::vector<record> Search(const record_store& aStore,
                           std::uint64_t aVersion,
                           const position_ranges& aRanges,
                           const fields& aFilter)
{
  std::vector<record> found;
  const auto before = [](const stored_record& aStored, std::uint32_t aPosition) {
    return aStored.mPosition < aPosition;
  };
  for (const position_range& range : aRanges) {
    const auto end =
      std::lower_bound(aStore.mRecords.begin(), aStore.mRecords.end(), range.mTo, before);
    for (auto it =
           std::lower_bound(aStore.mRecords.begin(), aStore.mRecords.end(), range.mFrom, before);
         it < end;
         ++it) {
      if (it->mSince <= aVersion && aVersion <= it->mUntil && Matches(it->mRecord, aFilter)) {
        found.push_back(it->mRecord);
      }
    }
  }
  std::sort(found.begin(), found.end());
  return found;
}

} // namespace redwingdock::standin
