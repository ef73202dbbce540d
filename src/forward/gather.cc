#include "forward/gather.h"

#include <algorithm>
#include <functional>
#include <string_view>

namespace redwingdock {

std::string MergeGreatestRecords(const std::vector<reply_pointer>& aParts, std::uint32_t aLimit)
{
  std::vector<std::string_view> records;
  for (const reply_pointer& part : aParts) {
    const std::string_view body = part->mBody;
    for (std::size_t at = 0; at + kRecordBytes <= body.size(); at += kRecordBytes) {
      records.push_back(body.substr(at, kRecordBytes));
    }
  }
  const auto kept = static_cast<std::ptrdiff_t>(std::min<std::size_t>(records.size(), aLimit));
  // string_view compares characters as unsigned.
  std::partial_sort(
    records.begin(), records.begin() + kept, records.end(), std::greater<std::string_view>());
  std::string merged;
  merged.reserve(static_cast<std::size_t>(kept) * kRecordBytes);
  for (auto it = records.begin(); it != records.begin() + kept; ++it) {
    merged.append(*it);
  }
  return merged;
}

} // namespace redwingdock
