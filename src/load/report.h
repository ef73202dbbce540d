#ifndef REDWINGDOCK_LOAD_REPORT_H
#define REDWINGDOCK_LOAD_REPORT_H

#include "load/outcome_check.h"

// Results of an experiment, computed from the samples of all calls.
//
//   load_report report = Summarize(planned, samples, facts);
//   std::cout << ToText(report, baseline);

namespace redwingdock::load {

// One finished call. Latency counts from the intended arrival.
struct sample
{
  micros mAt{ 0 }; // intended arrival
  micros mLatency{ 0 };
  micros mDeadline{ 0 };
  urgency mUrgency = urgency::Normal;
  outcome mOutcome = outcome::Unknown;
  std::string mRoute;
  std::string mZone;
  int mAttempts = 0;
  std::uint32_t mCovered = 0;
  std::uint32_t mTotal = 0;

  auto operator<=>(const sample&) const = default;
};

// Milliseconds.
struct latencies
{
  double mP50 = 0;
  double mP99 = 0;
  double mP999 = 0;

  auto operator<=>(const latencies&) const = default;
};

// A group of calls: of an urgency, a zone, a second, or all.
struct group_summary
{
  std::uint64_t mCalls = 0;
  std::uint64_t mComplete = 0;
  std::uint64_t mPartial = 0;
  std::uint64_t mNotRun = 0;
  std::uint64_t mUnknown = 0;
  std::uint64_t mRejected = 0;
  std::uint64_t mInTime = 0;   // complete or partial within the deadline
  std::uint64_t mRepeated = 0; // calls with more than one attempt
  double mCoverage = 0;        // mean share of positions over all calls; 0 for one without answer
  latencies mLatency;          // of complete and partial answers

  auto operator<=>(const group_summary&) const = default;
};

// Parts that the backend servers received, from their own counts.
struct server_load
{
  std::uint64_t mNeeded = 0; // one per shard of the route of each answered search, one per submit
  std::uint64_t mReceived = 0;
  std::uint64_t mRun = 0;
  std::uint64_t mShed = 0;
  std::uint64_t mCrashes = 0;
  std::uint64_t mColdOverloads = 0;
  std::uint64_t mOverSlots = 0; // servers that were asked for more than their slots
  std::uint64_t mOverConnections = 0;

  auto operator<=>(const server_load&) const = default;
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
  std::vector<group_summary> mSeconds;
  double mInTimeShare = 0; // weighted by urgency: urgent 4, normal 2, background 1
  std::vector<std::pair<micros, std::string>> mEvents;
  std::optional<server_load> mServers;
  std::map<std::string, std::uint64_t> mViolations; // by kind, zeros included
  std::vector<std::string> mExamples;               // the first violations

  auto operator<=>(const load_report&) const = default;
};

// Groups the samples; those before the warm-up appear only in mSeconds.
load_report Summarize(const experiment& aExperiment, const std::vector<sample>& aSamples);

// Adds violations to the counts and the first ones to the examples.
void AddViolations(load_report& aReport, const std::vector<violation>& aViolations);

bool Passed(const load_report& aReport);

std::string ToText(const load_report& aReport, const std::optional<load_report>& aBaseline);

} // namespace redwingdock::load

#endif
