#ifndef REDWINGDOCK_STANDIN_RECORDS_H
#define REDWINGDOCK_STANDIN_RECORDS_H

#include "core/requests.h"

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

// Records of a data set, read from JSON lines such as
//   {"id": "case-000017", "fields": {"office": "Solola"}, "since": 41, "until": 45}
// where since and until (optional) are the first and last index version with the record.
//
//   result<record_store> store = ReadRecords(text, "cases.jsonl");
//   std::vector<record> found = Search(*store, 41, { { 0, 103 } }, { { "office", "Solola" } });

namespace redwingdock::standin {

struct stored_record
{
  std::uint32_t mPosition = 0;
  record mRecord;
  std::uint64_t mSince = 0;
  std::uint64_t mUntil = std::numeric_limits<std::uint64_t>::max();

  auto operator<=>(const stored_record&) const = default;
};

// Ordered by position, then id.
struct record_store
{
  std::vector<stored_record> mRecords;

  auto operator<=>(const record_store&) const = default;
};

result<record_store> ReadRecords(const std::string& aText, const std::string& aFile);

// Records of the version in the ranges whose fields equal the filter's, by id. The filter field
// "id" compares the record's id.
std::vector<record> Search(const record_store& aStore,
                           std::uint64_t aVersion,
                           const position_ranges& aRanges,
                           const fields& aFilter);

} // namespace redwingdock::standin

#endif
