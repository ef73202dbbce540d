#ifndef REDWINGDOCK_LOAD_REPORT_JSON_H
#define REDWINGDOCK_LOAD_REPORT_JSON_H

#include "load/report.h"

// Reads and writes reports as JSON, and reads the JSON state of the stand-in.
//
//   result<load_report> baseline = ParseReport(text, "steady.json");

namespace redwingdock::load {

// Returns the report as one line of JSON.
std::string WriteReport(const load_report& aReport);
// Parses the JSON of WriteReport. aFile is the file name for errors.
result<load_report> ParseReport(const std::string& aText, const std::string& aFile);

// Counts of the stand-in (GET /admin/state).
struct standin_state
{
  server_counts mServerCounts;
  run_counts mRequestKeyRuns; // possibly truncated by the stand-in

  auto operator<=>(const standin_state&) const = default;
};

// Parses the body of the state reply and sums the counts of all servers. mNeeded stays 0.
result<standin_state> ParseStandinState(const std::string& aText, const std::string& aPeer);

} // namespace redwingdock::load

#endif
