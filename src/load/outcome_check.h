#ifndef REDWINGDOCK_LOAD_OUTCOME_CHECK_H
#define REDWINGDOCK_LOAD_OUTCOME_CHECK_H

#include "client/client.h"
#include "load/call_plan.h"

#include <map>

// Checks answers against the records, and submits against the executions that the backend servers
// counted.
//
//   std::vector<violation> violations = CheckAnswer(call, result, records);

namespace redwingdock::load {

enum class violation_kind
{
  Lost,          // a record of a covered position is missing, or a completed submit never ran
  Doubled,       // a record occurs twice, or a request key ran more than once
  Cut,           // an answer failed the client's integrity check, see CheckWhole
  WrongCoverage, // the coverage contradicts the outcome or the records
  WrongRecord,   // a record does not match the filter or version
  FalseNotRun,   // a submit answered as not_run or rejected did run
};

inline constexpr int kViolationKindCount = 6;

// Name in reports, for example "wrong_coverage".
const char* ToString(violation_kind aKind);

struct violation
{
  violation_kind mKind = violation_kind::Lost;
  std::uint64_t mCall = 0; // number of the planned call
  std::string mText;

  auto operator<=>(const violation&) const = default;
};

// Compares a search answer with aRecords, which are those of its route. For submits, only reports
// a failed integrity check.
std::vector<violation> CheckAnswer(const planned_call& aCall,
                                   const call_result& aResult,
                                   const record_list& aRecords);

// Number of executions by request key, as counted by the backend servers.
using run_counts = std::map<std::string, std::uint64_t>;

// Compares the outcome of a submit with the executions of its request key. Other calls have no
// violations.
std::vector<violation> CheckSubmit(const planned_call& aCall,
                                   const call_result& aResult,
                                   const run_counts& aRunCounts);

} // namespace redwingdock::load

#endif
