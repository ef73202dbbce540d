#ifndef REDWINGDOCK_STANDIN_BEHAVIOUR_H
#define REDWINGDOCK_STANDIN_BEHAVIOUR_H

#include "base/yaml_reader.h"
#include "core/values.h"

#include <vector>

// How one stand-in backend server behaves. The same reader serves the configuration file and
// requests to change a running server (JSON is YAML).
//
//   behaviour next = ReadBehaviour(mapping, present); // keys that are absent keep their value

namespace redwingdock::standin {

// What the health endpoint says.
enum class health_report
{
  True,
  Misleading, // always warm and idle
  Silent,     // no reply
};

enum class drain_mode
{
  Off,
  Announce, // serves, and says in each reply that it drains
  Refuse,   // refuses new parts
};

// What gets lost on a silent connection.
enum class silence_mode
{
  Requests, // the server does not see them
  Replies,  // the server runs the request
};

enum class bad_reply
{
  Truncated, // ends in the middle of the body
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

  // Time from receipt to reply: log-normal service time, which grows by the factor mLoadFactor for
  // each other part in service, plus mLatency, plus mStragglerLatency for
  // a share of the parts, plus twice mZoneLatency when the sender is in another zone.
  micros mServiceMedian = std::chrono::milliseconds(2);
  double mServiceSigma = 0.3;
  double mLoadFactor = 0;
  micros mLatency{ 0 };
  double mStragglerShare = 0;
  micros mStragglerLatency{ 0 };
  micros mZoneLatency{ 0 };

  // A cold server bears 1 part, and 1 more for each mColdReplies replies and mColdStep of time;
  // one part above that and it crashes. It is warm when it bears mSlots parts.
  // The defaults are below the daemons' ramp (8 replies, 500 ms), which a correct daemon never
  // exceeds even though it learns of a reply later than the server.
  std::uint32_t mColdReplies = 6;
  micros mColdStep = std::chrono::milliseconds(400);
  double mColdFactor = 3; // service time while cold
  bool mReportsCold = true;

  // A part whose filter has this field and value crashes the server; off when the field is empty.
  std::string mCrashField;
  std::string mCrashValue;
  micros mRestartDelay = std::chrono::milliseconds(500);

  double mSilentShare = 0; // of new connections
  silence_mode mSilence = silence_mode::Requests;
  micros mSilentHold = std::chrono::seconds(60); // then it is no longer counted

  health_report mHealth = health_report::True;
  drain_mode mDrain = drain_mode::Off;
  bad_reply mBadReply = bad_reply::Truncated;
  double mBadReplyShare = 0;

  auto operator<=>(const behaviour&) const = default;
};

behaviour ReadBehaviour(yaml_mapping& aMapping, behaviour aCurrent);

// The limits that the pools table gives at the start: slots, connections, connect_ms.
behaviour ReadPoolLimits(yaml_mapping& aMapping, behaviour aCurrent);
} // namespace redwingdock::standin

#endif
