#ifndef REDWINGDOCK_CORE_CONFIG_H
#define REDWINGDOCK_CORE_CONFIG_H

#include "core/forward_config.h"
#include "core/values.h"

// Settings of the decision core. The defaults suit both deployments; docs/design.md gives the
// reason for each value. The numbers below are those of the questions in its headings.

namespace redwingdock {

struct core_config
{
  // Identity of this daemon.
  std::string mVm;
  std::string mIncarnation; // must differ from every earlier start of the same VM
  std::string mZone;
  std::string mAddress;          // for peers
  std::string mCallAddress;      // for callers
  std::vector<vm_spec> mSeeds;   // daemons to contact before the first VM list is known
  std::uint64_t mRandomSeed = 1; // of the random number generator
  bool mLogDecisions = true;

  // Membership and permits (questions 1, 9, 13, 14).
  micros mViewInterval = std::chrono::milliseconds(500);
  std::uint32_t mViewPeers = 3;
  std::uint32_t mWitnesses = 9;
  micros mHoldTime = std::chrono::seconds(4); // permits may be used this long after a confirmation
  micros mTakeDelay = std::chrono::seconds(10); // time after which a previous holder has stopped
  micros mTakeLong = std::chrono::minutes(10);  // longest wait for a previous holder
  micros mPauseLimit = std::chrono::seconds(1); // a longer clock step counts as a process pause
  micros mLongestDeadline = std::chrono::seconds(5);

  // Tables (question 8).
  std::uint32_t mReadersPerZone = 2;
  micros mWatchWait = std::chrono::seconds(20);
  micros mReadRetry = std::chrono::milliseconds(500);
  micros mRelaySilence = std::chrono::seconds(3);

  // Gates (questions 2 and 7).
  std::uint32_t mRampReplies = 8;
  micros mRampInterval = std::chrono::milliseconds(500);
  micros mEvidenceTtl = std::chrono::seconds(2);
  micros mSilenceLimit = std::chrono::milliseconds(250);
  std::uint32_t mSilenceFactor = 4;
  micros mSilentHold = std::chrono::seconds(60);
  micros mDeadlineSlack = std::chrono::seconds(1);
  std::uint32_t mQueueLimit = 64; // parts waiting per server

  // Queries (questions 11 and 12).
  // The median, because with 5% stragglers the 95th percentile is already a straggler's latency,
  // and hedges after it also go to parts that are only a little late and use up the budget.
  double mHedgeQuantile = 0.5;
  double mHedgeBudget = 0.05; // fraction of the parts sent
  double mRetryBudget = 0.10; // fraction of the parts sent
  micros mHedgeFloor = std::chrono::milliseconds(2);

  // Safety (question 6).
  micros mQuarantineTime = std::chrono::minutes(10);
  micros mSuspectTime = std::chrono::minutes(1);

  // Entry (question 10).
  micros mEntryLifetime = std::chrono::seconds(10);
  // Time that open work has once a stopping daemon accepts no more. The default is above the
  // longest deadline of a query and the slack of its parts.
  micros mClosingLimit = std::chrono::seconds(10);

  forward_config mForward;

  bool operator==(const core_config&) const = default;
};

} // namespace redwingdock

#endif
