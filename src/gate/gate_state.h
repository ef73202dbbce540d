#ifndef REDWINGDOCK_GATE_GATE_STATE_H
#define REDWINGDOCK_GATE_GATE_STATE_H

#include "gate/connections.h"
#include "gate/gate_queue.h"
#include "gate/ramp.h"
#include "gate/recent_attempts.h"

// State of the gate of one backend server on one daemon. Entry key: server name.

namespace redwingdock {

// A part that the server may be running. It keeps its permit in use.
struct permit_use
{
  std::uint32_t mPermit = 0;
  waiting_part mPart;
  std::uint64_t mConnection = 0; // 0 once it is closed or lost
  instant mSentAt{};
  instant mFreeAt{};         // the server has stopped working on it at the latest
  bool mReported = false;    // its attempt has a final result
  bool mChecked = false;     // a check of the server process was started or had no room
  instant mCloseAt = kNever; // its connection counts as silent from then on
  bool mLost = false;        // named in a server_lost fact

  auto operator<=>(const permit_use&) const = default;
};

// What evidence shows of the server apart from its stage.
struct server_facts
{
  bool mDraining = false;
  instant mDrainingSince{};
  std::vector<index_version> mVersions;
  instant mSeenAt{};

  auto operator<=>(const server_facts&) const = default;
};

struct gate_state
{
  std::string mServer;
  std::vector<permit_use> mUses;
  gate_queue mQueue;
  connections mConnections;
  ramp_state mRamp;
  server_facts mFacts;
  recent_attempts mRecent;
  bool mZoneClosed = false;
  std::uint32_t mOpenFailures = 0; // refused connections in a row
  instant mOpenNotBefore{};
  std::optional<std::uint32_t> mCheckPermit; // permit that the pending check counts against
  instant mCheckSince{};
  std::uint32_t mToldStage = 0;    // last stage that was sent to the other holders
  instant mTellAt{};               // next periodic stage message
  bool mAsked = false;             // the last stage message asked the leader
  std::optional<instant> mAskedAt; // another holder waits for the next own reply
  std::set<instant> mTimers;       // pending timers of this gate

  auto operator<=>(const gate_state&) const = default;
};

const permit_use* FindUse(const gate_state& aState, const attempt_id& aAttempt);
const permit_use* UseOfPermit(const gate_state& aState, std::uint32_t aPermit);
const permit_use* UseOfConnection(const gate_state& aState, std::uint64_t aConnection);

// Replaces the use of the same attempt, or adds it.
gate_state WithUse(gate_state aState, const permit_use& aUse);
gate_state WithoutUse(gate_state aState, const attempt_id& aAttempt);

// Time at which each of the permits is expected to be free; later than aNow for a busy one.
std::vector<instant> FreeTimes(const gate_state& aState,
                               const std::vector<std::uint32_t>& aPermits,
                               instant aNow);

// Facts with what was seen at aAt, unless they are newer. Empty versions tell nothing.
server_facts AfterSight(server_facts aFacts,
                        bool aDraining,
                        const std::vector<index_version>& aVersions,
                        instant aAt);

} // namespace redwingdock

#endif
