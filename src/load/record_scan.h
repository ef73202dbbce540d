#ifndef REDWINGDOCK_LOAD_RECORD_SCAN_H
#define REDWINGDOCK_LOAD_RECORD_SCAN_H

#include "core/requests.h"

#include <memory>
#include <vector>

// The records behind the backend servers, read from the same files (JSON lines, docs/interfaces.md
// section 6) and searched one by one, to compare answers with.
//
//   result<record_list> all = ReadRecordFile(text, "cases.jsonl");
//   std::vector<record> expected = Scan(*all, 41, { { "office", "Solola" } }, {});

namespace redwingdock::load {

struct versioned_record
{
  record mRecord;
  std::uint32_t mPosition = 0;
  std::uint64_t mSince = 0;
  std::uint64_t mUntil = UINT64_MAX; // last version with the record

  auto operator<=>(const versioned_record&) const = default;
};

using record_list = std::vector<versioned_record>;

// Records that a route reaches, by route.
using route_records = std::map<std::string, std::shared_ptr<const record_list>>;

// The records of a route; empty when there are none.
const record_list& RecordsOf(const route_records& aRecords, const std::string& aRoute);

result<record_list> ReadRecordFile(const std::string& aText, const std::string& aFile);

// Records of a version that match the filter and lie outside the missing ranges, by id.
std::vector<record> Scan(const record_list& aRecords,
                         std::uint64_t aVersion,
                         const fields& aFilter,
                         const position_ranges& aMissing);

} // namespace redwingdock::load

#endif
