#ifndef REDWINGDOCK_STANDIN_BEHAVIOUR_H
#define REDWINGDOCK_STANDIN_BEHAVIOUR_H

#include "base/yaml_reader.h"
#include "core/values.h"

#include <vector>

// Simulated behaviour of one backend server. The configuration file and the requests that change a
// running server use the same keys and the same reader, because JSON is valid YAML.
//
//   behaviour updated = ReadBehaviour(mapping, current); // absent keys keep their value

namespace redwingdock::standin {

// What the health endpoint reports.
enum class health_report
{
  True,       // the actual state
  Misleading, // always warm and idle
  Silent,     // sends no reply
};

enum class drain_mode
{
  Off,
  Announce, // serves parts and reports in each reply that it is draining
  Refuse,   // refuses new parts
};

// Messages that are lost on a silent connection.
enum class silence_mode
{
  Requests, // the server does not receive them
  Replies,  // the server runs the requests
};

// Fault in a reply that is sent in place of a correct one.
enum class bad_reply
{
  Truncated, // the connection closes in the middle of the body
  NotJson,
  WrongAttempt,
  WrongShard,
  WrongVersion,
};

struct behaviour
{
  std::uint32_t mSlots = 1;
  std::uint32_t mConnectionLimit = 2;
  micros mConnectCost{ 0 };
  std::vector<index_version> mVersions; // ascending

  // Time from receipt to reply: a log-normal service time, multiplied by 1 + mLoadFactor * (other
  // parts in service), plus mLatency, plus mStragglerLatency for the fraction mStragglerShare of
  // the parts, plus 2 * mZoneLatency when the caller is in another zone.
  micros mServiceMedian = std::chrono::milliseconds(2);
  double mServiceSigma = 0.3; // standard deviation of the logarithm
  double mLoadFactor = 0;
  micros mLatency{ 0 };
  double mStragglerShare = 0;
  micros mStragglerLatency{ 0 };
  micros mZoneLatency{ 0 }; // one way

  // A cold server has a capacity of 1 part, plus 1 for every mColdReplies replies and mColdStep of
  // time, whichever gives less. It crashes on a part above its capacity, and becomes warm when the
  // capacity reaches mSlots. The defaults allow faster growth than the daemons' ramp (8 replies,
  // 500 ms): a correct daemon learns of each reply later than the server and so never overloads it.
  std::uint32_t mColdReplies = 6;
  micros mColdStep = std::chrono::milliseconds(400);
  double mColdFactor = 3; // multiplies the service time while cold
  bool mReportsCold = true;

  // A part whose filter has this field and value crashes the server. Disabled when the field is
  // empty.
  std::string mCrashField;
  std::string mCrashValue;
  micros mRestartDelay = std::chrono::milliseconds(500);

  double mSilentShare = 0; // fraction of new connections that are silent
  silence_mode mSilence = silence_mode::Requests;
  // How long a silent connection counts against mConnectionLimit; then it is reset.
  micros mSilentHold = std::chrono::seconds(60);

  health_report mHealth = health_report::True;
  drain_mode mDrain = drain_mode::Off;
  bad_reply mBadReply = bad_reply::Truncated;
  double mBadReplyShare = 0; // fraction of replies that have the fault mBadReply

  auto operator<=>(const behaviour&) const = default;
};

// Reads all keys except those of ReadPoolLimits.
behaviour ReadBehaviour(yaml_mapping& aMapping, behaviour aCurrent);

// Reads slots, connections and connect_ms. The pools table sets their initial values.
behaviour ReadPoolLimits(yaml_mapping& aMapping, behaviour aCurrent);
} // namespace redwingdock::standin

#endif
