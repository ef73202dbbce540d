#include "forward/replica_load.h"

#include <algorithm>
#include <cmath>

namespace redwingdock {

namespace {

// Weight of the newest attempt in the means.
constexpr double kNewestWeight = 0.3;
// Upper bound of a latency sample, in multiples of the expected latency: one attempt that met a
// pause of the replica says little about the next one.
constexpr double kMaxLatencyRatio = 12;
// Without attempts, the excess of the latency ratio over 1 and the failure share halve in this
// time.
constexpr double kHalfLifeSeconds = 2;
// An attempt is overdue after this multiple of its expected latency, but at least kMinOverdue.
constexpr int kOverdueFactor = 3;
constexpr micros kMinOverdue = std::chrono::milliseconds(15);
// A process that refuses connections has usually ended, and its address may soon belong to another
// service. Each consecutive refusal doubles the block.
constexpr micros kInitialBlock = std::chrono::milliseconds(500);
constexpr micros kMaxBlock = std::chrono::seconds(8);
constexpr std::uint32_t kMaxBlockDoublings = 4;

// Answers after which the connection limit increases by one.
constexpr std::uint32_t kAnswersPerIncrease = 4;
constexpr std::uint32_t kMaxConnections = 64; // to a replica
// A replica that answered within this time and closes a new connection is at its connection limit,
// not terminated.
constexpr micros kRecentAnswerTime = std::chrono::seconds(1);

replica_load WithAnswer(replica_load aLoad, instant aNow)
{
  aLoad.mConsecutiveRefusals = 0;
  aLoad.mLastAnswerAt = aNow;
  if (++aLoad.mAnswersSinceChange >= kAnswersPerIncrease) {
    aLoad.mAnswersSinceChange = 0;
    aLoad.mConnections = std::min(aLoad.mConnections + 1, kMaxConnections);
  }
  return aLoad;
}

replica_load WithRefusedConnection(replica_load aLoad)
{
  aLoad.mAnswersSinceChange = 0;
  aLoad.mConnections = std::max(aLoad.mConnections / 2, std::uint32_t{ 1 });
  return aLoad;
}

double Decay(instant aSince, instant aNow)
{
  const double seconds = std::chrono::duration<double>(aNow - aSince).count();
  return std::exp2(-std::max(0.0, seconds) / kHalfLifeSeconds);
}

replica_load WithFailureSample(replica_load aLoad, double aSample, instant aNow)
{
  aLoad.mFailureShare = FailureShareAt(aLoad, aNow) * (1 - kNewestWeight) + aSample * kNewestWeight;
  aLoad.mFailureShareAt = aNow;
  return aLoad;
}

replica_load WithLatencySample(replica_load aLoad, const open_attempt& aAttempt, instant aNow)
{
  if (aAttempt.mExpectedLatency.count() <= 0) {
    return aLoad;
  }
  const double sample = static_cast<double>((aNow - aAttempt.mSentAt).count()) /
                        static_cast<double>(aAttempt.mExpectedLatency.count());
  aLoad.mLatencyRatio = LatencyRatioAt(aLoad, aNow) * (1 - kNewestWeight) +
                        std::min(sample, kMaxLatencyRatio) * kNewestWeight;
  aLoad.mLatencyRatioAt = aNow;
  return aLoad;
}

replica_load WithoutAttempt(const replica_load& aLoad,
                            const attempt_key& aKey,
                            std::optional<open_attempt>& aRemoved)
{
  replica_load next = aLoad;
  const auto found =
    std::find_if(next.mOpen.begin(), next.mOpen.end(), [&aKey](const open_attempt& aOpen) {
      return aOpen.mKey == aKey;
    });
  if (found != next.mOpen.end()) {
    aRemoved = *found;
    next.mOpen.erase(found);
  }
  return next;
}

} // namespace

replica_load LoadOf(const replica_load* aKnown, const replica_entry& aReplica)
{
  if (aKnown != nullptr && (aKnown->mBornMs == aReplica.mBornMs ||
                            (aKnown->mLeaving && aKnown->mBornMs > aReplica.mBornMs))) {
    return *aKnown;
  }
  replica_load load;
  load.mBornMs = aReplica.mBornMs;
  return load;
}

replica_load WithSend(const replica_load& aLoad,
                      const attempt_key& aKey,
                      instant aNow,
                      micros aExpected)
{
  replica_load next = aLoad;
  next.mOpen.push_back({ aKey, aNow, aExpected });
  const std::int64_t second =
    std::chrono::duration_cast<std::chrono::seconds>(aNow.time_since_epoch()).count();
  next.mSentInSecond = next.mSentSecond == second ? next.mSentInSecond + 1 : 1;
  next.mSentSecond = second;
  return next;
}

replica_load WithEnd(const replica_load& aLoad,
                     const attempt_key& aKey,
                     const attempt_outcome& aOutcome,
                     instant aNow)
{
  std::optional<open_attempt> attempt;
  replica_load next = WithoutAttempt(aLoad, aKey, attempt);
  if (!attempt) {
    return next;
  }
  const bool lost = aOutcome.mEnd == attempt_end::Lost || aOutcome.mEnd == attempt_end::NotSent;
  if (lost && aOutcome.mNewConnection) {
    next = WithRefusedConnection(std::move(next));
  }
  switch (aOutcome.mEnd) {
    case attempt_end::Answered:
      next = WithAnswer(std::move(next), aNow);
      return WithFailureSample(WithLatencySample(std::move(next), *attempt, aNow), 0, aNow);
    case attempt_end::Ambiguous:
    case attempt_end::Rejected:
    case attempt_end::Lost:
    case attempt_end::Expired:
      return WithFailureSample(std::move(next), 1, aNow);
    case attempt_end::Misplaced:
      next.mAddressTaken = true;
      return next;
    case attempt_end::NotSent:
      if (aNow - next.mLastAnswerAt < kRecentAnswerTime) {
        return next;
      }
      next.mBlockedUntil =
        aNow + std::min(kMaxBlock,
                        kInitialBlock * (std::int64_t{ 1 } << std::min(next.mConsecutiveRefusals,
                                                                       kMaxBlockDoublings)));
      ++next.mConsecutiveRefusals;
      return next;
  }
  return next;
}

replica_load WithCancel(const replica_load& aLoad, const attempt_key& aKey, instant aNow)
{
  std::optional<open_attempt> attempt;
  replica_load next = WithoutAttempt(aLoad, aKey, attempt);
  return attempt ? WithLatencySample(std::move(next), *attempt, aNow) : next;
}

replica_load WithAbandoned(const replica_load& aLoad, const attempt_key& aKey)
{
  std::optional<open_attempt> attempt;
  return WithoutAttempt(aLoad, aKey, attempt);
}

replica_load WithNotice(const replica_load& aLoad, const replica_notice& aNotice, instant aNow)
{
  replica_load next = aLoad;
  next.mLeaving = aLoad.mLeaving || aNotice.mLeaving;
  if (aNotice.mRetryAfter > micros(0)) {
    next.mRetryAt = std::max(aLoad.mRetryAt, aNow + aNotice.mRetryAfter);
  }
  return next;
}

instant AcceptsRequestsAt(const replica_load& aLoad)
{
  return aLoad.mLeaving || aLoad.mAddressTaken ? kNever : aLoad.mRetryAt;
}

double LatencyRatioAt(const replica_load& aLoad, instant aNow)
{
  return 1 + (aLoad.mLatencyRatio - 1) * Decay(aLoad.mLatencyRatioAt, aNow);
}

double FailureShareAt(const replica_load& aLoad, instant aNow)
{
  return aLoad.mFailureShare * Decay(aLoad.mFailureShareAt, aNow);
}

bool IsOverdue(const replica_load& aLoad, instant aNow)
{
  return std::any_of(aLoad.mOpen.begin(), aLoad.mOpen.end(), [aNow](const open_attempt& aOpen) {
    return aNow - aOpen.mSentAt > std::max(kMinOverdue, aOpen.mExpectedLatency * kOverdueFactor);
  });
}

} // namespace redwingdock
