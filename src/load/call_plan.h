#ifndef REDWINGDOCK_LOAD_CALL_PLAN_H
#define REDWINGDOCK_LOAD_CALL_PLAN_H

#include "load/experiment.h"
#include "load/record_scan.h"

// Generates the calls of an experiment, which are determined by its seed.
//
//   std::vector<planned_call> calls = PlanCalls(planned, records);

namespace redwingdock::load {

struct planned_call
{
  std::uint64_t mNumber = 0; // index of the call in the plan
  micros mAt{ 0 };           // intended arrival, from the start of the experiment
  std::string mZone;
  operation mOperation = operation::Search;
  query_request mRequest; // with urgency and deadline; the client adds request keys

  auto operator<=>(const planned_call&) const = default;
};

// Generates Poisson arrivals at the experiment's rate for its duration. Each caller has one fixed
// zone. Kinds that sample fields are skipped if their route has no records.
std::vector<planned_call> PlanCalls(const experiment& aExperiment, const route_records& aRecords);

} // namespace redwingdock::load

#endif
