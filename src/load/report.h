#ifndef REDWINGDOCK_LOAD_REPORT_H
#define REDWINGDOCK_LOAD_REPORT_H

#include "load/outcome_check.h"

// Summarizes the samples of all calls of an experiment in a report.
//
//   load_report report = Summarize(planned, samples);
//   std::cout << ToText(report, baseline);

namespace redwingdock::load {

// Measurement of one finished call. Latency counts from the intended arrival, so that a stall also
// counts for the calls that wait during it.
struct sample
{
  micros mAt{ 0 }; // intended arrival, from the start of the experiment
  micros mLatency{ 0 };
  micros mDeadline{ 0 };
  urgency mUrgency = urgency::Normal;
  outcome mOutcome = outcome::Unknown;
  std::string mRoute;
  std::string mZone;
  int mAttempts = 0;
  std::uint32_t mCovered = 0; // positions
  std::uint32_t mTotal = 0;

  auto operator<=>(const sample&) const = default;
};

// Latency quantiles in milliseconds.
struct latency_quantiles
{
  double mP50 = 0;
  double mP99 = 0;
  double mP999 = 0;

  auto operator<=>(const latency_quantiles&) const = default;
};

// Summary of the calls of one urgency, zone, route or second, or of all calls.
struct group_summary
{
  std::uint64_t mCalls = 0;
  std::uint64_t mComplete = 0;
  std::uint64_t mPartial = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mRejected = 0;
  std::uint64_t mInTime = 0;   // complete or partial within the deadline
  std::uint64_t mRepeated = 0; // calls with more than one attempt by the client
  double mCoverage = 0;        // mean share of positions; calls without answer count as 0
  latency_quantiles mLatency;  // of complete and partial answers

  auto operator<=>(const group_summary&) const = default;
};

// Counts of the backend servers, summed over all of them. All but mNeeded come from the stand-in.
struct server_counts
{
  // Minimum number of parts: one per shard of each answered search, one per answered submit.
  std::uint64_t mNeeded = 0;
  std::uint64_t mReceived = 0; // parts
  std::uint64_t mRun = 0;      // parts
  std::uint64_t mShed = 0;     // parts refused because of load
  std::uint64_t mCrashes = 0;
  std::uint64_t mColdOverloads = 0;
  std::uint64_t mOverSlots = 0; // servers that received more requests at once than they have slots
  std::uint64_t mOverConnections = 0; // servers that exceeded their connection limit

  auto operator<=>(const server_counts&) const = default;
};

struct load_report
{
  std::string mName;
  std::uint64_t mSeed = 0;
  micros mDuration{ 0 };
  group_summary mTotal;
  std::map<std::string, group_summary> mUrgencies;
  std::map<std::string, group_summary> mZones;
  std::map<std::string, group_summary> mRoutes;
  std::vector<group_summary> mSeconds; // by intended arrival, warm-up included
  double mInTimeShare = 0; // of calls, weighted by urgency: urgent 4, normal 2, background 1
  std::vector<std::pair<micros, std::string>> mEvents; // time and label
  std::optional<server_counts> mServers;
  std::map<std::string, std::uint64_t> mViolations; // number by kind, zeros included
  std::vector<std::string> mExamples;               // descriptions of the first violations

  auto operator<=>(const load_report&) const = default;
};

// Groups and summarizes the samples. Those in the warm-up count only in mSeconds.
load_report Summarize(const experiment& aExperiment, const std::vector<sample>& aSamples);

// Adds the violations to the counts, and the first ones to the examples.
void AddViolations(load_report& aReport, const std::vector<violation>& aViolations);

// Returns whether there were no violations.
bool Passed(const load_report& aReport);

// Formats the report as a table, followed by a comparison with the baseline if there is one.
std::string ToText(const load_report& aReport, const std::optional<load_report>& aBaseline);

} // namespace redwingdock::load

#endif
