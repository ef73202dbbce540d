#ifndef REDWINGDOCK_LOAD_REPORT_JSON_H
#define REDWINGDOCK_LOAD_REPORT_JSON_H

#include "load/report.h"

// Reports as JSON, and the JSON of the stand-in's state.
//
//   result<load_report> baseline = ParseReport(text, "steady.json");

namespace redwingdock::load {

std::string WriteReport(const load_report& aReport);
result<load_report> ParseReport(const std::string& aText, const std::string& aFile);

// What the stand-in counted (GET /admin/state).
struct standin_state
{
  server_load mLoad;
  key_runs mKeys;

  auto operator<=>(const standin_state&) const = default;
};

result<standin_state> ParseStandinState(const std::string& aText, const std::string& aPeer);

} // namespace redwingdock::load

#endif
