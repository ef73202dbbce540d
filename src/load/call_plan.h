#ifndef REDWINGDOCK_LOAD_CALL_PLAN_H
#define REDWINGDOCK_LOAD_CALL_PLAN_H

#include "load/experiment.h"
#include "load/record_scan.h"

// The calls of an experiment, fixed by its seed.
//
//   std::vector<planned_call> calls = PlanCalls(planned, records);

namespace redwingdock::load {

struct planned_call
{
  std::uint64_t mNumber = 0;
  micros mAt{ 0 }; // intended arrival, from the start of the experiment
  std::string mZone;
  operation mOperation = operation::Search;
  query_request mRequest; // with urgency and deadline, without request key

  auto operator<=>(const planned_call&) const = default;
};

// Arrivals with exponential gaps at the experiment's rate until its duration. A caller keeps its
// zone. Kinds that sample fields are left out when their route has no records.
std::vector<planned_call> PlanCalls(const experiment& aExperiment, const route_records& aRecords);

} // namespace redwingdock::load

#endif
