#ifndef REDWINGDOCK_CORE_CONFIG_H
#define REDWINGDOCK_CORE_CONFIG_H

#include "core/forward_config.h"
#include "core/values.h"

// Settings of the decision core. The defaults serve both deployments; docs/design.md gives the
// reason for each figure.

namespace redwingdock {

struct core_config
{
  // Identity.
  std::string mVm;
  std::string mIncarnation; // must differ from every earlier start of the same VM
  std::string mZone;
  std::string mAddress;        // for peers
  std::string mCallAddress;    // for callers
  std::vector<vm_spec> mSeeds; // daemons to ask before the first VM list is known
  std::uint64_t mSeed = 1;
  bool mLogDecisions = true;

  // Membership and permits (questions 1, 9, 13, 14).
  micros mViewInterval = std::chrono::milliseconds(500);
  std::uint32_t mViewPeers = 3;
  std::uint32_t mWitnesses = 9;
  micros mHoldTime = std::chrono::seconds(4);
  micros mTakeDelay = std::chrono::seconds(10);
  micros mTakeLong = std::chrono::minutes(10);
  micros mPauseLimit = std::chrono::seconds(1);
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
  // The median: with 5% stragglers the 95th percentile is the latency of a straggler, and hedges
  // after it also go to parts that are only a little late and use up the budget.
  double mHedgeQuantile = 0.5;
  double mHedgeBudget = 0.05; // of parts sent
  double mRetryBudget = 0.10; // of parts sent
  micros mHedgeFloor = std::chrono::milliseconds(2);

  // Safety (question 6).
  micros mQuarantineTime = std::chrono::minutes(10);
  micros mSuspectTime = std::chrono::minutes(1);

  // Entry (question 10).
  micros mEntryLifetime = std::chrono::seconds(10);

  forward_config mForward;

  bool operator==(const core_config&) const = default;
};

} // namespace redwingdock

#endif
