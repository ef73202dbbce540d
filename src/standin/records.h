#ifndef REDWINGDOCK_STANDIN_RECORDS_H
#define REDWINGDOCK_STANDIN_RECORDS_H

#include "core/requests.h"

#include <cstdint>
#include <limits>
#include <string>
#include <vector>

// Records of a data set, read from JSON lines such as
//   {"id": "case-000017", "fields": {"office": "Solola"}, "since": 41, "until": 45}
// where "since" and "until", both optional, are the first and the last index version that contain
// the record.
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

// Records ordered by position, then by id.
struct record_store
{
  std::vector<stored_record> mRecords;

  auto operator<=>(const record_store&) const = default;
};

// Fails on a malformed line and on an id that occurs twice in one index version.
result<record_store> ReadRecords(const std::string& aText, const std::string& aFile);

// Returns the records of the index version whose position is in one of the ranges and that have all
// fields of the filter, sorted by id. The filter field "id" matches the id of the record.
std::vector<record> Search(const record_store& aStore,
                           std::uint64_t aVersion,
                           const position_ranges& aRanges,
                           const fields& aFilter);

} // namespace redwingdock::standin

#endif
