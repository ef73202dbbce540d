#ifndef REDWINGDOCK_PLATFORM_SOAK_SOAK_CHANGES_H
#define REDWINGDOCK_PLATFORM_SOAK_SOAK_CHANGES_H

#include "platform/soak/soak_ledger.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

// Whether requests were handled by the versions of the configuration, the replicas and the zones
// that had to be in effect when they were sent or run.

namespace redwingdock::platform {

// The process of the daemon that ran when the request was sent.
const process_record& ProcessOf(const request_record& aRequest,
                                const std::vector<process_record>& aProcesses);

class change_judge
{
public:
  // Keeps references to the ledger and the bounds.
  change_judge(const soak_ledger& aLedger,
               const std::map<std::string, std::vector<replica_run>>& aRuns,
               const soak_bounds& aBounds);

  // The promises that the request breaks. aRuns are its runs; aProcess is the process that took it.
  std::vector<finding> Judge(const request_record& aRequest,
                             const std::vector<replica_run>& aRuns,
                             const process_record& aProcess) const;
  // Whether neither the store nor the process was disturbed shortly before.
  bool IsInTouch(instant aTime, const process_record& aProcess) const;
  // Which version the request had to be handled by, for a log line.
  std::string Describe(const request_record& aRequest, const process_record& aProcess) const;

private:
  using process_key = std::pair<std::size_t, instant>; // daemon and start

  // The latest version that allows how the request was handled; without a value if every version
  // does.
  std::optional<std::uint64_t> LatestAllowing(const request_record& aRequest,
                                              const std::vector<replica_run>& aRuns) const;
  // The latest time, not after aTime, at which the store or the process was disturbed.
  instant DisturbedAt(instant aTime, const process_record& aProcess) const;
  bool IsDue(const acknowledged_change& aChange,
             micros aBound,
             instant aTime,
             const process_record& aProcess) const;
  std::uint64_t DueVersion(instant aTime, const process_record& aProcess) const;
  // The latest version that the process had been seen to apply by then.
  std::uint64_t SeenVersion(instant aTime, const process_record& aProcess) const;
  bool ReachesLeaving(const replica_run& aRun, const process_record& aProcess) const;
  bool ReachesClosedZone(const replica_run& aRun, const process_record& aProcess) const;

  const soak_ledger& mLedger;
  const change_ledger& mWritten;
  const soak_bounds& mBounds;
  std::map<process_key, std::map<instant, std::uint64_t>> mSeen; // rising versions
};

} // namespace redwingdock::platform

#endif
