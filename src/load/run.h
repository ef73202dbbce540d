#ifndef REDWINGDOCK_LOAD_RUN_H
#define REDWINGDOCK_LOAD_RUN_H

#include "load/report.h"

// Carries out an experiment: sends the planned calls at their times whether or not earlier ones
// are answered, carries out the events, and checks and summarizes the results.
//
//   result<load_report> report = Run(planned, config);

namespace redwingdock::load {

struct run_config
{
  std::vector<std::string> mDaemons; // caller addresses
  std::string mStandin;              // admin address; empty without one
  std::string mPidFolder;            // <daemon>.pid files of the starting script; may be empty
  route_records mRecords;            // searches of routes without records are not compared
  std::shared_ptr<const routes_table> mRoutes; // for the parts that calls need; may be null
  std::shared_ptr<const pools_table> mPools;
  std::function<void(const std::string&)> mLog;
};

// Fails with step "reach daemons" when no daemon names an entry VM, and with step "carry out
// event" when an event was refused.
result<load_report> Run(const experiment& aExperiment, const run_config& aConfig);

inline constexpr char kReachDaemons[] = "reach daemons";

} // namespace redwingdock::load

#endif
