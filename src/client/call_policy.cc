#include "client/call_policy.h"

#include "base/hash.h"

#include <algorithm>

namespace redwingdock {

namespace {

// A round trip takes 2 ms and one part about 3 ms, so a shorter attempt can't succeed.
constexpr micros kMinAttemptTime = std::chrono::milliseconds(5);
constexpr micros kNotRunBackoff = std::chrono::milliseconds(20);

} // namespace

bool IsEntryUsable(const std::optional<cached_entry>& aEntry, instant aNow, instant aAvoidUntil)
{
  return aEntry && aNow < aEntry->mExpiresAt && aNow >= aAvoidUntil;
}

std::vector<std::string> EntryRequestOrder(const std::vector<std::string>& aDaemons,
                                           const std::set<std::string>& aAvoided,
                                           const std::string& aCaller)
{
  std::vector<std::string> order = RankByWeight(aCaller, aDaemons);
  std::stable_partition(order.begin(), order.end(), [&aAvoided](const std::string& aDaemon) {
    return !aAvoided.contains(aDaemon);
  });
  return order;
}

std::string EntryRequestName(const std::string& aCaller, int aFailedAnswers)
{
  return aFailedAnswers == 0 ? aCaller : aCaller + "~" + std::to_string(aFailedAnswers);
}

call_decision DecideCall(const call_state& aState, call_event aEvent, outcome aOutcome)
{
  bool mayRetry = aState.mAttempts < aState.mMaxAttempts && aState.mRemaining >= kMinAttemptTime;
  bool sent = aEvent != call_event::NotConnected;
  bool notRun = aEvent == call_event::Answered && aOutcome == outcome::NotRun;
  call_decision next;
  next.mMayHaveRun = aState.mMayHaveRun || (sent && aEvent != call_event::Answered);
  next.mAvoidAddress = aEvent == call_event::NotConnected || aEvent == call_event::ConnectionLost ||
                       aEvent == call_event::Silent;
  if (aEvent == call_event::Answered && !notRun) {
    bool hasRecords = aOutcome == outcome::Complete || aOutcome == outcome::Partial;
    next.mOutcome = !hasRecords && next.mMayHaveRun ? outcome::Unknown : aOutcome;
    return next;
  }
  if (notRun || aEvent == call_event::StalledReply) {
    mayRetry = mayRetry && aState.mRepeatAllowed;
  }
  if (notRun) {
    next.mDelay = kNotRunBackoff * aState.mAttempts;
    mayRetry = mayRetry && next.mDelay + kMinAttemptTime <= aState.mRemaining;
  }
  if (!mayRetry) {
    next.mDelay = micros(0);
    next.mOutcome = next.mMayHaveRun ? outcome::Unknown : outcome::NotRun;
    return next;
  }
  next.mStep = next.mMayHaveRun ? call_step::RetryWithSameKey : call_step::RetryWithNewKey;
  return next;
}

micros SilenceCheckDelay(micros aDeadline, micros aLimit)
{
  return std::min(aLimit, aDeadline / 3);
}

} // namespace redwingdock
