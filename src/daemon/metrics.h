#ifndef REDWINGDOCK_DAEMON_METRICS_H
#define REDWINGDOCK_DAEMON_METRICS_H

#include "blackboard/blackboard.h"
#include "core/requests.h"

#include <map>
#include <memory>
#include <string>

// Latency histograms, and the body of /metrics in the Prometheus text format.
//
//   metrics measured;
//   measured.CountQuery("case-search", urgency::Urgent, outcome::Complete, latency);
//   std::string text = measured.ExpositionText(core.Board(), { { "redwingdock_peers", 4 } });

namespace redwingdock {

class metrics
{
public:
  metrics();
  ~metrics();
  metrics(const metrics&) = delete;
  metrics& operator=(const metrics&) = delete;

  // aUrgency is empty if the caller left it to the route. Drops queries that would start more than
  // kMaxQuerySeries series.
  void CountQuery(const std::string& aRoute,
                  std::optional<urgency> aUrgency,
                  outcome aOutcome,
                  micros aLatency);
  void CountPart(const part_reply& aReply, micros aLatency);

  // Count a forwarded request by the outcome of its answer, and an attempt at a replica by its end.
  void CountForward(const std::string& aOutcome, micros aLatency);
  void CountAttempt(const std::string& aEnd, micros aLatency);

  // Formats the histograms, the counters on the blackboard, and aGauges, which maps names to
  // values.
  std::string ExpositionText(const blackboard& aBoard,
                             const std::map<std::string, double>& aGauges) const;

  static constexpr std::size_t kMaxQuerySeries = 500;

private:
  struct state;
  std::unique_ptr<state> mState;
};

} // namespace redwingdock

#endif
