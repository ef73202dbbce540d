#include "standin/scan.h"

#include "base/hash.h"

namespace redwingdock::standin {

result<std::vector<std::string>> Scan(const std::string& aText,
                                      const std::string& aFile,
                                      const std::vector<std::string>& aFilter,
                                      std::uint64_t aVersion)
{
  fields filter;
  for (const std::string& item : aFilter) {
    const std::size_t equals = item.find('=');
    if (equals == std::string::npos || equals == 0) {
      return Failure<std::vector<std::string>>(
        "scan", aFile, "--filter: found \"" + item + "\", allowed: field=value");
    }
    filter[item.substr(0, equals)] = item.substr(equals + 1);
  }
  const auto store = ReadRecords(aText, aFile);
  if (!store) {
    return { std::nullopt, store.mReason };
  }
  std::vector<std::string> ids;
  for (const record& match : Search(*store, aVersion, { { 0, kPositions } }, filter)) {
    ids.push_back(match.mId);
  }
  return Success(std::move(ids));
}

} // namespace redwingdock::standin
