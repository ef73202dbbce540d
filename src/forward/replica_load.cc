#include "forward/replica_load.h"

#include <algorithm>
#include <cmath>

namespace redwingdock {

namespace {

// Weight of the newest attempt in the means.
constexpr double kNewest = 0.3;
// Upper bound of a latency sample: one attempt that met a pause of the replica says little about
// the next one.
constexpr double kMostSlowness = 12;
// Without attempts, excess slowness and the failing share halve in this time.
constexpr double kHalfLifeSeconds = 2;
constexpr int kOverdueFactor = 3;
constexpr micros kOverdueLeast = std::chrono::milliseconds(15);
// A process that refuses connections has usually ended, and its address may soon belong to another
// service. Each consecutive refusal doubles the block.
constexpr micros kBlockFirst = std::chrono::milliseconds(500);
constexpr micros kBlockMost = std::chrono::seconds(8);
constexpr std::uint32_t kMostDoublings = 4;

// Answers after which the connection limit increases by one.
constexpr std::uint32_t kAnswersToGrow = 4;
constexpr std::uint32_t kMostConnections = 64;
// A replica that answered within this time and closes a new connection is at its connection limit,
// not terminated.
constexpr micros kAliveTime = std::chrono::seconds(1);

replica_load WithAnswer(replica_load aLoad, instant aNow)
{
  aLoad.mRefusals = 0;
  aLoad.mAnsweredAt = aNow;
  if (++aLoad.mAnswers >= kAnswersToGrow) {
    aLoad.mAnswers = 0;
    aLoad.mConnections = std::min(aLoad.mConnections + 1, kMostConnections);
  }
  return aLoad;
}

replica_load WithRefusedConnection(replica_load aLoad)
{
  aLoad.mAnswers = 0;
  aLoad.mConnections = std::max(aLoad.mConnections / 2, std::uint32_t{ 1 });
  return aLoad;
}

double Fade(instant aSince, instant aNow)
{
  const double seconds = std::chrono::duration<double>(aNow - aSince).count();
  return std::exp2(-std::max(0.0, seconds) / kHalfLifeSeconds);
}

replica_load WithFailing(replica_load aLoad, double aSample, instant aNow)
{
  aLoad.mFailing = FailingAt(aLoad, aNow) * (1 - kNewest) + aSample * kNewest;
  aLoad.mFailingAt = aNow;
  return aLoad;
}

replica_load WithLatency(replica_load aLoad, const open_attempt& aAttempt, instant aNow)
{
  if (aAttempt.mExpected.count() <= 0) {
    return aLoad;
  }
  const double sample = static_cast<double>((aNow - aAttempt.mSentAt).count()) /
                        static_cast<double>(aAttempt.mExpected.count());
  aLoad.mSlowness =
    SlownessAt(aLoad, aNow) * (1 - kNewest) + std::min(sample, kMostSlowness) * kNewest;
  aLoad.mSlownessAt = aNow;
  return aLoad;
}

replica_load WithoutOpen(const replica_load& aLoad,
                         const attempt_key& aKey,
                         std::optional<open_attempt>& aTaken)
{
  replica_load next = aLoad;
  const auto found =
    std::find_if(next.mOpen.begin(), next.mOpen.end(), [&aKey](const open_attempt& aOpen) {
      return aOpen.mKey == aKey;
    });
  if (found != next.mOpen.end()) {
    aTaken = *found;
    next.mOpen.erase(found);
  }
  return next;
}

} // namespace

replica_load LoadOf(const replica_load* aKnown, const replica_entry& aReplica)
{
  if (aKnown != nullptr && aKnown->mBornMs == aReplica.mBornMs) {
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
  next.mSent = next.mSecond == second ? next.mSent + 1 : 1;
  next.mSecond = second;
  return next;
}

replica_load WithEnd(const replica_load& aLoad,
                     const attempt_key& aKey,
                     const attempt_outcome& aOutcome,
                     instant aNow)
{
  std::optional<open_attempt> attempt;
  replica_load next = WithoutOpen(aLoad, aKey, attempt);
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
      return WithFailing(WithLatency(std::move(next), *attempt, aNow), 0, aNow);
    case attempt_end::Rejected:
    case attempt_end::Lost:
    case attempt_end::Expired:
      return WithFailing(std::move(next), 1, aNow);
    case attempt_end::Misplaced:
      next.mGone = true;
      return next;
    case attempt_end::NotSent:
      if (aNow - next.mAnsweredAt < kAliveTime) {
        return next;
      }
      next.mBlockedUntil =
        aNow +
        std::min(kBlockMost,
                 kBlockFirst * (std::int64_t{ 1 } << std::min(next.mRefusals, kMostDoublings)));
      ++next.mRefusals;
      return next;
  }
  return next;
}

replica_load WithCancel(const replica_load& aLoad, const attempt_key& aKey, instant aNow)
{
  std::optional<open_attempt> attempt;
  replica_load next = WithoutOpen(aLoad, aKey, attempt);
  return attempt ? WithLatency(std::move(next), *attempt, aNow) : next;
}

replica_load WithAbandoned(const replica_load& aLoad, const attempt_key& aKey)
{
  std::optional<open_attempt> attempt;
  return WithoutOpen(aLoad, aKey, attempt);
}

double SlownessAt(const replica_load& aLoad, instant aNow)
{
  return 1 + (aLoad.mSlowness - 1) * Fade(aLoad.mSlownessAt, aNow);
}

double FailingAt(const replica_load& aLoad, instant aNow)
{
  return aLoad.mFailing * Fade(aLoad.mFailingAt, aNow);
}

bool IsOverdue(const replica_load& aLoad, instant aNow)
{
  return std::any_of(aLoad.mOpen.begin(), aLoad.mOpen.end(), [aNow](const open_attempt& aOpen) {
    return aNow - aOpen.mSentAt > std::max(kOverdueLeast, aOpen.mExpected * kOverdueFactor);
  });
}

} // namespace redwingdock
