#ifndef REDWINGDOCK_GATE_GATE_STATE_H
#define REDWINGDOCK_GATE_GATE_STATE_H

#include "gate/connections.h"
#include "gate/gate_queue.h"
#include "gate/ramp.h"
#include "gate/recent_attempts.h"

// State of one daemon's gate for one backend server. Entry key: server name.

namespace redwingdock {

// A part that the server may be running. It occupies its permit until it is removed.
struct permit_use
{
  std::uint32_t mPermit = 0;
  waiting_part mPart;
  std::uint64_t mConnection = 0; // 0 after the connection was closed or lost
  instant mSentAt{};
  instant mFreeAt{};          // latest time at which the server stops working on it
  bool mReported = false;     // the final result of its attempt was sent
  bool mChecked = false;      // a liveness check was started, or had no connection left
  instant mCloseAt = kNever;  // time at which its connection is closed as silent
  bool mLossReported = false; // reported in a server_lost fact

  auto operator<=>(const permit_use&) const = default;
};

// Latest observations of the server, except its stage.
struct server_observations
{
  bool mDraining = false;
  instant mDrainingSince{};
  std::vector<index_version> mVersions;
  instant mSeenAt{};

  auto operator<=>(const server_observations&) const = default;
};

struct gate_state
{
  std::string mServer;
  std::vector<permit_use> mUses;
  gate_queue mQueue;
  connections mConnections;
  ramp_state mRamp;
  server_observations mObservations;
  recent_attempts mRecent;
  bool mZoneClosed = false;
  std::uint32_t mConnectFailures = 0;        // consecutive refused connections
  instant mConnectNotBefore{};               // end of the reconnect delay
  std::optional<std::uint32_t> mCheckPermit; // permit of the pending liveness check
  instant mCheckSince{};
  std::uint32_t mSentStage = 0; // last stage sent to other permit holders
  instant mStageMessageDue{};   // time of the next periodic stage message
  bool mStageRequested = false; // the last stage message asked the leader for its stage
  // Time at which another holder asked for the stage after the next reply to this daemon.
  std::optional<instant> mStageRequestedAt;
  std::set<instant> mTimers; // due times of the pending timers

  auto operator<=>(const gate_state&) const = default;
};

// These return null when there is no such use.
const permit_use* FindUse(const gate_state& aState, const attempt_id& aAttempt);
const permit_use* FindUseOfPermit(const gate_state& aState, std::uint32_t aPermit);
const permit_use* FindUseOfConnection(const gate_state& aState, std::uint64_t aConnection);

// Adds the use, or replaces the one of the same attempt.
gate_state WithUse(gate_state aState, const permit_use& aUse);
gate_state WithoutUse(gate_state aState, const attempt_id& aAttempt);

// Expected time at which each of the permits becomes free: aNow for a free permit, later for a busy
// one.
std::vector<instant> FreeTimes(const gate_state& aState,
                               const std::vector<std::uint32_t>& aPermits,
                               instant aNow);

// Updates the observations with those made at aAt, unless newer ones are stored. Empty versions
// keep the stored versions.
server_observations WithObservation(server_observations aObservations,
                                    bool aDraining,
                                    const std::vector<index_version>& aVersions,
                                    instant aAt);

} // namespace redwingdock

#endif
