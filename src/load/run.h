#ifndef REDWINGDOCK_LOAD_RUN_H
#define REDWINGDOCK_LOAD_RUN_H

#include "load/report.h"

// Runs an experiment as an open-loop load test: sends each call at its planned time whether or not
// earlier ones have been answered, executes the events, and checks and summarizes the results.
//
//   result<load_report> report = Run(planned, config);

namespace redwingdock::load {

struct run_config
{
  std::vector<std::string> mDaemons; // caller addresses
  std::string mStandin;              // admin address; empty if there is no stand-in
  std::string mPidDirectory;         // <daemon>.pid files of the start script; may be empty
  route_records mRecords;            // searches of routes without records are not checked
  // Determine the number of parts that calls need; either may be null.
  std::shared_ptr<const routes_table> mRoutes;
  std::shared_ptr<const pools_table> mPools;
  // Called from several threads; may be empty.
  std::function<void(const std::string&)> mLog;
};

// Fails with step "reach daemons" if no daemon returns an entry VM, and with step "execute event"
// if an event fails.
result<load_report> Run(const experiment& aExperiment, const run_config& aConfig);

// Step of the error that Run returns when no daemon can be reached.
inline constexpr char kReachDaemonsStep[] = "reach daemons";

} // namespace redwingdock::load

#endif
