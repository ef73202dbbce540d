#ifndef REDWINGDOCK_LOAD_EXPERIMENT_H
#define REDWINGDOCK_LOAD_EXPERIMENT_H

#include "core/requests.h"

#include <vector>

// An experiment: what callers send, at which rate, and what happens meanwhile. Read from YAML
// (docs/experiments.md); errors name file, line, key, what was found and what is allowed.
//
//   result<experiment> planned = ParseExperiment(text, "zone-out.yaml");

namespace redwingdock::load {

// One kind of request. The values of mSample's fields are taken from a random record, so that the
// filter matches at least one; mFilter's values are fixed.
struct request_kind
{
  std::string mRoute;
  operation mOperation = operation::Search;
  urgency mUrgency = urgency::Normal;
  micros mDeadline = std::chrono::seconds(1);
  double mWeight = 1;
  std::vector<std::string> mSample;
  fields mFilter;
  micros mFrom{ 0 };       // not sent before this time of the experiment
  std::uint64_t mMost = 0; // not sent more often; 0 is without limit

  auto operator<=>(const request_kind&) const = default;
};

enum class event_kind
{
  Admin,   // a request to the stand-in
  Signal,  // to a daemon
  Restart, // of a daemon, by the script that started it
  Mark,    // changes nothing, appears in the plot
};

struct load_event
{
  micros mAt{ 0 };
  event_kind mKind = event_kind::Mark;
  std::string mLabel;  // for the plot, for example "close_zone solola"
  std::string mTarget; // path at the stand-in, or name of the daemon
  std::string mBody;   // for the stand-in
  int mSignal = 0;

  auto operator<=>(const load_event&) const = default;
};

struct experiment
{
  std::string mName;
  std::uint64_t mSeed = 1;
  micros mDuration = std::chrono::seconds(10);
  micros mWarmUp{ 0 }; // results of this first time are checked but not measured
  double mRate = 100;  // requests per second over all callers
  std::uint32_t mCallers = 100;
  std::vector<std::string> mZones; // of the callers
  std::vector<request_kind> mMix;
  std::vector<load_event> mEvents; // by time

  auto operator<=>(const experiment&) const = default;
};

result<experiment> ParseExperiment(const std::string& aText, const std::string& aFile);

} // namespace redwingdock::load

#endif
