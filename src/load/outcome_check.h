#ifndef REDWINGDOCK_LOAD_OUTCOME_CHECK_H
#define REDWINGDOCK_LOAD_OUTCOME_CHECK_H

#include "client/client.h"
#include "load/call_plan.h"

#include <map>

// Checks answers against the records and against the servers' own counts of runs.
//
//   std::vector<violation> wrong = CheckAnswer(call, result, records);

namespace redwingdock::load {

enum class violation_kind
{
  Lost,          // a record of a covered position is missing, or a submit said to be done never ran
  Doubled,       // a record occurs twice, or a request key ran twice
  Cut,           // an answer failed its own check
  WrongCoverage, // the coverage disagrees with the outcome or the records
  WrongRecord,   // a record that does not belong to the answer
  FalseNotRun,   // a request said not to have run did run
};

inline constexpr int kViolationKinds = 6;

const char* ToString(violation_kind aKind);

struct violation
{
  violation_kind mKind = violation_kind::Lost;
  std::uint64_t mCall = 0;
  std::string mText;

  auto operator<=>(const violation&) const = default;
};

// Only searches are compared with records.
std::vector<violation> CheckAnswer(const planned_call& aCall,
                                   const call_result& aResult,
                                   const record_list& aRecords);

// Runs by request key, as the backend servers counted them.
using key_runs = std::map<std::string, std::uint64_t>;

std::vector<violation> CheckSubmit(const planned_call& aCall,
                                   const call_result& aResult,
                                   const key_runs& aRuns);

} // namespace redwingdock::load

#endif
