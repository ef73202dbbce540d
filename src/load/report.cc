#include "load/report.h"

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <cstdio>

namespace redwingdock::load {

namespace {

namespace histogram = boost::histogram;

constexpr std::size_t kMaxExamples = 10;
constexpr double kUrgencyWeights[] = { 4, 2, 1 }; // urgent, normal, background

// Rounds to a multiple of 1/aStepsPerUnit. Reports hold latencies rounded to microseconds and
// shares rounded to parts per billion, the units of the JSON form, so that writing and parsing lose
// nothing.
double RoundToFraction(double aValue, double aStepsPerUnit)
{
  return std::round(aValue * aStepsPerUnit) / aStepsPerUnit;
}

// Logarithmic histogram with bins 2% wide from 10 microseconds to 100 seconds.
class latency_histogram
{
public:
  void Add(micros aLatency)
  {
    mBins(std::max(0.01, static_cast<double>(aLatency.count()) / 1000));
    ++mCount;
  }

  // Returns the upper bound of the bin that contains the quantile, in milliseconds; 0 without
  // samples.
  double Quantile(double aQuantile) const
  {
    auto wanted = static_cast<std::uint64_t>(std::ceil(aQuantile * static_cast<double>(mCount)));
    std::uint64_t seen = 0;
    for (auto&& bin : histogram::indexed(mBins, histogram::coverage::all)) {
      seen += static_cast<std::uint64_t>(*bin);
      if (mCount != 0 && seen >= wanted) {
        return RoundToFraction(bin.bin().upper(), 1e3);
      }
    }
    return 0;
  }

private:
  using axis = histogram::axis::regular<double, histogram::axis::transform::log>;
  decltype(histogram::make_histogram(axis(814, 0.01, 100'000))) mBins =
    histogram::make_histogram(axis(814, 0.01, 100'000));
  std::uint64_t mCount = 0;
};

struct group
{
  group_summary mSummary;
  latency_histogram mLatencies;
};

bool IsAnswered(const sample& aSample)
{
  return aSample.mOutcome == outcome::Complete || aSample.mOutcome == outcome::Partial;
}

bool IsInTime(const sample& aSample)
{
  return IsAnswered(aSample) && aSample.mLatency <= aSample.mDeadline;
}

void Add(group& aGroup, const sample& aSample)
{
  group_summary& summary = aGroup.mSummary;
  ++summary.mCalls;
  std::uint64_t* counts[] = {
    &summary.mComplete, &summary.mPartial, &summary.mNotRun, &summary.mUnknown, &summary.mRejected
  };
  ++*counts[static_cast<std::size_t>(aSample.mOutcome)];
  summary.mInTime += IsInTime(aSample) ? 1 : 0;
  summary.mRepeated += aSample.mAttempts > 1 ? 1 : 0;
  if (IsAnswered(aSample)) {
    aGroup.mLatencies.Add(aSample.mLatency);
    summary.mCoverage +=
      aSample.mTotal == 0 ? 1 : static_cast<double>(aSample.mCovered) / aSample.mTotal;
  }
}

group_summary ToSummary(const group& aGroup)
{
  group_summary done = aGroup.mSummary;
  done.mCoverage =
    done.mCalls == 0 ? 0 : RoundToFraction(done.mCoverage / static_cast<double>(done.mCalls), 1e9);
  done.mLatency = { aGroup.mLatencies.Quantile(0.5),
                    aGroup.mLatencies.Quantile(0.99),
                    aGroup.mLatencies.Quantile(0.999) };
  return done;
}

std::map<std::string, group_summary> ToSummary(const std::map<std::string, group>& aGroups)
{
  std::map<std::string, group_summary> done;
  for (const auto& [name, each] : aGroups) {
    done.emplace(name, ToSummary(each));
  }
  return done;
}

template<typename... Values>
std::string FormatLine(const char* aFormat, Values... aValues)
{
  char line[256];
  std::snprintf(line, sizeof line, aFormat, aValues...);
  return line;
}

// Converts a count for %llu, because std::uint64_t is unsigned long on Linux.
unsigned long long ToULongLong(std::uint64_t aCount)
{
  return aCount;
}

double Ratio(std::uint64_t aPart, std::uint64_t aWhole)
{
  return aWhole == 0 ? 0 : static_cast<double>(aPart) / static_cast<double>(aWhole);
}

std::string FormatGroup(const std::string& aName, const group_summary& aGroup)
{
  return FormatLine("%-24s %7llu %8.3f %8.3f %8.3f %8.3f%% %8.3f%% %7llu %7llu %7llu\n",
                    aName.c_str(),
                    ToULongLong(aGroup.mCalls),
                    aGroup.mLatency.mP50,
                    aGroup.mLatency.mP99,
                    aGroup.mLatency.mP999,
                    100 * Ratio(aGroup.mInTime, aGroup.mCalls),
                    100 * aGroup.mCoverage,
                    ToULongLong(aGroup.mPartial),
                    ToULongLong(aGroup.mNotRun),
                    ToULongLong(aGroup.mUnknown + aGroup.mRejected));
}

std::string FormatRatio(const char* aName, double aValue, double aBase)
{
  return FormatLine("  %-28s %10.3f %10.3f   %s\n",
                    aName,
                    aValue,
                    aBase,
                    aBase == 0 ? "-" : FormatLine("x %.3f", aValue / aBase).c_str());
}

// Returns the share of parts that the servers received beyond those needed.
double ExtraLoadShare(const load_report& aReport)
{
  return aReport.mServers && aReport.mServers->mNeeded != 0
           ? Ratio(aReport.mServers->mReceived, aReport.mServers->mNeeded) - 1
           : 0;
}

std::string FormatComparison(const load_report& aReport, const load_report& aBase)
{
  std::string text = FormatLine("against baseline %s:\n  %-28s %10s %10s   ratio\n",
                                aBase.mName.c_str(),
                                "",
                                "this",
                                "baseline");
  auto urgent = [](const load_report& aOf) {
    auto found = aOf.mUrgencies.find("urgent");
    return found == aOf.mUrgencies.end() ? aOf.mTotal : found->second;
  };
  text += FormatRatio("p50 ms", aReport.mTotal.mLatency.mP50, aBase.mTotal.mLatency.mP50);
  text += FormatRatio("p99 ms", aReport.mTotal.mLatency.mP99, aBase.mTotal.mLatency.mP99);
  text += FormatRatio("p99.9 ms", aReport.mTotal.mLatency.mP999, aBase.mTotal.mLatency.mP999);
  text += FormatRatio("urgent p99 ms", urgent(aReport).mLatency.mP99, urgent(aBase).mLatency.mP99);
  text += FormatRatio("coverage %", 100 * aReport.mTotal.mCoverage, 100 * aBase.mTotal.mCoverage);
  text += FormatRatio("in time, weighted %", 100 * aReport.mInTimeShare, 100 * aBase.mInTimeShare);
  text += FormatRatio("extra load %", 100 * ExtraLoadShare(aReport), 100 * ExtraLoadShare(aBase));
  if (aReport.mServers && aBase.mServers) {
    text += FormatRatio("server crashes",
                        static_cast<double>(aReport.mServers->mCrashes),
                        static_cast<double>(aBase.mServers->mCrashes));
    text += FormatRatio("cold overloads",
                        static_cast<double>(aReport.mServers->mColdOverloads),
                        static_cast<double>(aBase.mServers->mColdOverloads));
  }
  return text;
}

} // namespace

load_report Summarize(const experiment& aExperiment, const std::vector<sample>& aSamples)
{
  static constexpr const char* kUrgencies[] = { "urgent", "normal", "background" };
  load_report report;
  report.mName = aExperiment.mName;
  report.mSeed = aExperiment.mSeed;
  report.mDuration = aExperiment.mDuration;
  auto seconds = std::chrono::ceil<std::chrono::seconds>(aExperiment.mDuration).count();
  std::vector<group> bySecond(static_cast<std::size_t>(seconds));
  group total;
  std::map<std::string, group> urgencies;
  std::map<std::string, group> zones;
  std::map<std::string, group> routes;
  double weight = 0;
  double weightInTime = 0;
  for (const sample& each : aSamples) {
    auto second = static_cast<std::size_t>(each.mAt / std::chrono::seconds(1));
    if (second < bySecond.size()) {
      Add(bySecond[second], each);
    }
    if (each.mAt < aExperiment.mWarmUp) {
      continue;
    }
    auto kind = static_cast<std::size_t>(each.mUrgency);
    Add(total, each);
    Add(urgencies[kUrgencies[kind]], each);
    Add(zones[each.mZone.empty() ? "-" : each.mZone], each);
    Add(routes[each.mRoute], each);
    weight += kUrgencyWeights[kind];
    weightInTime += IsInTime(each) ? kUrgencyWeights[kind] : 0;
  }
  report.mTotal = ToSummary(total);
  report.mUrgencies = ToSummary(urgencies);
  report.mZones = ToSummary(zones);
  report.mRoutes = ToSummary(routes);
  for (const group& each : bySecond) {
    report.mSeconds.push_back(ToSummary(each));
  }
  report.mInTimeShare = weight == 0 ? 0 : RoundToFraction(weightInTime / weight, 1e9);
  for (const load_event& each : aExperiment.mEvents) {
    report.mEvents.emplace_back(each.mAt, each.mLabel);
  }
  for (int kind = 0; kind < kViolationKindCount; ++kind) {
    report.mViolations[ToString(static_cast<violation_kind>(kind))] = 0;
  }
  return report;
}

void AddViolations(load_report& aReport, const std::vector<violation>& aViolations)
{
  for (const violation& each : aViolations) {
    ++aReport.mViolations[ToString(each.mKind)];
    if (aReport.mExamples.size() < kMaxExamples) {
      aReport.mExamples.push_back(std::string(ToString(each.mKind)) + ": " + each.mText);
    }
  }
}

bool Passed(const load_report& aReport)
{
  return std::all_of(aReport.mViolations.begin(), aReport.mViolations.end(), [](const auto& aItem) {
    return aItem.second == 0;
  });
}

std::string ToText(const load_report& aReport, const std::optional<load_report>& aBaseline)
{
  std::string text = FormatLine("%s: %llu calls in %.1f s, seed %llu\n",
                                aReport.mName.c_str(),
                                ToULongLong(aReport.mTotal.mCalls),
                                static_cast<double>(aReport.mDuration.count()) / 1e6,
                                ToULongLong(aReport.mSeed));
  text += FormatLine("%-24s %7s %8s %8s %8s %9s %9s %7s %7s %7s\n",
                     "",
                     "calls",
                     "p50 ms",
                     "p99 ms",
                     "p99.9 ms",
                     "in time",
                     "coverage",
                     "partial",
                     "not_run",
                     "other");
  text += FormatGroup("all", aReport.mTotal);
  for (const auto* groups : { &aReport.mUrgencies, &aReport.mRoutes, &aReport.mZones }) {
    for (const auto& [name, group] : *groups) {
      text += FormatGroup(name, group);
    }
  }
  for (std::size_t second = 0; second < aReport.mSeconds.size(); ++second) {
    text += FormatGroup("second " + std::to_string(second), aReport.mSeconds[second]);
  }
  text += FormatLine("answered in time, weighted by urgency: %.3f%%\n", 100 * aReport.mInTimeShare);
  text += FormatLine("calls retried by clients: %llu\n", ToULongLong(aReport.mTotal.mRepeated));
  if (aReport.mServers) {
    const server_counts& servers = *aReport.mServers;
    text +=
      FormatLine("servers: %llu parts received for %llu needed (%+.2f%%), %llu run, %llu shed\n",
                 ToULongLong(servers.mReceived),
                 ToULongLong(servers.mNeeded),
                 100 * ExtraLoadShare(aReport),
                 ToULongLong(servers.mRun),
                 ToULongLong(servers.mShed));
    text += FormatLine("servers: %llu crashes, %llu cold overloads, %llu over slots, %llu over "
                       "connections\n",
                       ToULongLong(servers.mCrashes),
                       ToULongLong(servers.mColdOverloads),
                       ToULongLong(servers.mOverSlots),
                       ToULongLong(servers.mOverConnections));
  }
  for (const auto& [at, label] : aReport.mEvents) {
    text += FormatLine("event at %.1f s: ", static_cast<double>(at.count()) / 1e6) + label + "\n";
  }
  text += "checked against the records:";
  for (const auto& [kind, count] : aReport.mViolations) {
    text += " " + kind + " " + std::to_string(count);
  }
  text += "\n";
  for (const std::string& each : aReport.mExamples) {
    text += "  " + each + "\n";
  }
  if (aBaseline) {
    text += FormatComparison(aReport, *aBaseline);
  }
  return text;
}

} // namespace redwingdock::load
