#include "daemon/metrics.h"

#include "base/sharded_map.h"
#include "core/values.h"

#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cstdio>
#include <vector>

namespace redwingdock {

namespace {

namespace histograms = boost::histogram;

using axis = histograms::axis::variable<double>;
using histogram = decltype(histograms::make_histogram(axis{ 0.0, 1.0 }));

// Upper bounds of the buckets in milliseconds. 72 is the target for the 99th percentile of answers.
const std::vector<double> kBucketBoundsMs{ 0,  0.25, 0.5, 1,   2,   3,   5,    10,   15,   20,
                                           30, 50,   72,  100, 200, 500, 1000, 2000, 5000, 10000 };

struct series
{
  histogram mCounts = histograms::make_histogram(axis(kBucketBoundsMs));
  double mSumMs = 0;

  void Add(micros aLatency)
  {
    const double ms = static_cast<double>(aLatency.count()) / 1000.0;
    mCounts(ms);
    mSumMs += ms;
  }
};

using series_map = sharded_map<std::string, series>;

std::string EscapeLabel(const std::string& aText)
{
  std::string escaped;
  for (const char each : aText) {
    if (each == '\\' || each == '"') {
      escaped.push_back('\\');
    }
    escaped.push_back(each == '\n' ? ' ' : each);
  }
  return escaped;
}

std::string FormatNumber(double aValue)
{
  char text[32];
  std::snprintf(text, sizeof(text), "%.10g", aValue);
  return text;
}

void AddHeader(std::string& aText, const std::string& aName, const char* aHelp, const char* aType)
{
  aText.append("# HELP ").append(aName).append(" ").append(aHelp);
  aText.append("\n# TYPE ").append(aName).append(" ").append(aType).append("\n");
}

void AddLine(std::string& aText,
             const std::string& aName,
             const std::string& aLabels,
             const std::string& aValue)
{
  aText.append(aName).append("{").append(aLabels).append("} ").append(aValue).append("\n");
}

void AddSeries(std::string& aText,
               const std::string& aName,
               const std::string& aLabels,
               const series& aSeries)
{
  double count = 0;
  const auto& bins = aSeries.mCounts.axis();
  for (int i = 0; i < bins.size(); ++i) {
    count += static_cast<double>(aSeries.mCounts.at(i));
    AddLine(aText,
            aName + "_bucket",
            aLabels + ",le=\"" + FormatNumber(bins.bin(i).upper()) + "\"",
            FormatNumber(count));
  }
  count += static_cast<double>(aSeries.mCounts.at(bins.size()));
  AddLine(aText, aName + "_bucket", aLabels + ",le=\"+Inf\"", FormatNumber(count));
  AddLine(aText, aName + "_sum", aLabels, FormatNumber(aSeries.mSumMs));
  AddLine(aText, aName + "_count", aLabels, FormatNumber(count));
}

} // namespace

struct metrics::state
{
  series_map mQueries;  // by labels
  series_map mParts;    // by labels
  series_map mForwards; // by labels
  series_map mAttempts; // by labels
};

metrics::metrics()
  : mState(std::make_unique<state>())
{
}

metrics::~metrics() = default;

void metrics::CountQuery(const std::string& aRoute,
                         std::optional<urgency> aUrgency,
                         outcome aOutcome,
                         micros aLatency)
{
  const char* urgencyName = "route";
  if (aUrgency) {
    urgencyName = *aUrgency == urgency::Urgent   ? "urgent"
                  : *aUrgency == urgency::Normal ? "normal"
                                                 : "background";
  }
  // The route of a rejected query may be any text from the caller, which would start new series.
  const std::string route = aOutcome == outcome::Rejected ? std::string() : EscapeLabel(aRoute);
  const std::string labels = "route=\"" + route + "\",urgency=\"" + urgencyName + "\",outcome=\"" +
                             redwingdock::ToString(aOutcome) + "\"";
  const bool known =
    mState->mQueries.With(labels, [aLatency](series& aSeries) { aSeries.Add(aLatency); });
  if (!known && mState->mQueries.Size() < kMaxQuerySeries) {
    mState->mQueries.WithOrInsert(labels, [aLatency](series& aSeries) { aSeries.Add(aLatency); });
  }
}

void metrics::CountPart(const part_reply& aReply, micros aLatency)
{
  const std::string labels =
    std::string("failure=\"") + redwingdock::ToString(aReply.mFailure) + "\"";
  mState->mParts.WithOrInsert(labels, [aLatency](series& aSeries) { aSeries.Add(aLatency); });
}

void metrics::CountForward(const std::string& aOutcome, micros aLatency)
{
  mState->mForwards.WithOrInsert("outcome=\"" + aOutcome + "\"",
                                 [aLatency](series& aSeries) { aSeries.Add(aLatency); });
}

void metrics::CountAttempt(const std::string& aEnd, micros aLatency)
{
  mState->mAttempts.WithOrInsert("end=\"" + aEnd + "\"",
                                 [aLatency](series& aSeries) { aSeries.Add(aLatency); });
}

std::string metrics::ExpositionText(const blackboard& aBoard,
                                    const std::map<std::string, double>& aGauges) const
{
  std::string text;
  const auto add = [&text](const char* aName, const char* aHelp, const series_map& aMap) {
    AddHeader(text, aName, aHelp, "histogram");
    aMap.ForEach([&](const std::string& aLabels, const series& aSeries) {
      AddSeries(text, aName, aLabels, aSeries);
    });
  };
  add("redwingdock_query_latency_ms", "Time from a request to its answer.", mState->mQueries);
  add("redwingdock_part_latency_ms",
      "Time from sending a part to its reply or loss.",
      mState->mParts);
  add("redwingdock_forward_latency_ms",
      "Time from a forwarded request to its answer.",
      mState->mForwards);
  add("redwingdock_attempt_latency_ms",
      "Time from sending to a replica to the end of the attempt.",
      mState->mAttempts);
  AddHeader(text, "redwingdock_decisions_total", "Decisions of the core by name.", "counter");
  for (const auto& [name, count] : aBoard.List<counter>()) {
    AddLine(text,
            "redwingdock_decisions_total",
            "name=\"" + EscapeLabel(name) + "\"",
            std::to_string(count->mCount));
  }
  for (const auto& [name, value] : aGauges) {
    AddHeader(text, name, "Current value.", "gauge");
    text += name + " " + FormatNumber(value) + "\n";
  }
  return text;
}

} // namespace redwingdock
