#ifndef REDWINGDOCK_LOAD_RECORD_SCAN_H
#define REDWINGDOCK_LOAD_RECORD_SCAN_H

#include "core/requests.h"

#include <memory>
#include <vector>

// Reference search for checking answers: reads the record files of the backend servers (JSON lines,
// docs/interfaces.md section 6) and scans all records linearly.
//
//   result<record_list> all = ReadRecordFile(text, "cases.jsonl");
//   std::vector<record> expected = Scan(*all, 41, { { "office", "Solola" } }, {});

namespace redwingdock::load {

struct versioned_record
{
  record mRecord;
  std::uint32_t mPosition = 0;
  std::uint64_t mSince = 0;          // first version that contains the record
  std::uint64_t mUntil = UINT64_MAX; // last version that contains the record

  auto operator<=>(const versioned_record&) const = default;
};

using record_list = std::vector<versioned_record>;

// Records of each route.
using route_records = std::map<std::string, std::shared_ptr<const record_list>>;

// Returns the records of a route, or an empty list if it has none.
const record_list& RecordsOf(const route_records& aRecords, const std::string& aRoute);

// Parses the text of a record file. Errors give the line number; aFile is the file name for errors.
result<record_list> ReadRecordFile(const std::string& aText, const std::string& aFile);

// Returns the records of a version that match the filter and lie outside the missing ranges,
// ordered by id.
std::vector<record> Scan(const record_list& aRecords,
                         std::uint64_t aVersion,
                         const fields& aFilter,
                         const position_ranges& aMissing);

} // namespace redwingdock::load

#endif
