#ifndef REDWINGDOCK_LOAD_EXPERIMENT_H
#define REDWINGDOCK_LOAD_EXPERIMENT_H

#include "core/requests.h"

#include <vector>

// A load experiment: the requests that callers send, their rate, and the events during the run.
// Parsed from YAML (docs/experiments.md). Errors give the file, line and key, what was found and
// what is allowed.
//
//   result<experiment> planned = ParseExperiment(text, "zone-out.yaml");

namespace redwingdock::load {

// One kind of request of the mix. mSample names fields whose filter values are copied from a random
// record, so that the filter matches at least that record; the values in mFilter are fixed.
struct request_kind
{
  std::string mRoute;
  operation mOperation = operation::Search;
  urgency mUrgency = urgency::Normal;
  micros mDeadline = std::chrono::seconds(1);
  double mWeight = 1; // share of the mix, relative to the other kinds
  std::vector<std::string> mSample;
  fields mFilter;
  micros mFrom{ 0 };       // earliest send time, from the start of the experiment
  std::uint64_t mMost = 0; // maximum number of calls; 0 means unlimited

  auto operator<=>(const request_kind&) const = default;
};

enum class event_kind
{
  Admin,   // a request to the admin port of the stand-in
  Signal,  // a signal to a daemon
  Restart, // restart of a daemon by the script that started it
  Mark,    // only a label in the report and the plot
};

struct load_event
{
  micros mAt{ 0 }; // from the start of the experiment
  event_kind mKind = event_kind::Mark;
  std::string mLabel;  // in the report and the plot, for example "close_zone solola"
  std::string mTarget; // path of the admin request, or name of the daemon
  std::string mBody;   // of the admin request
  int mSignal = 0;     // for Signal

  auto operator<=>(const load_event&) const = default;
};

struct experiment
{
  std::string mName;
  std::uint64_t mSeed = 1;
  micros mDuration = std::chrono::seconds(10);
  micros mWarmUp{ 0 }; // calls before this time are checked but left out of the totals
  double mRate = 100;  // requests per second of all callers together
  std::uint32_t mCallers = 100;
  std::vector<std::string> mZones; // of the callers, assigned round-robin
  std::vector<request_kind> mMix;
  std::vector<load_event> mEvents; // ordered by time

  auto operator<=>(const experiment&) const = default;
};

// Parses the text of an experiment file. aFile is the file name for errors.
result<experiment> ParseExperiment(const std::string& aText, const std::string& aFile);

} // namespace redwingdock::load

#endif
