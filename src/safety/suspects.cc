#include "safety/suspects.h"

#include <algorithm>

namespace redwingdock {

namespace {

suspect CurrentOrNew(const suspect* aOld, std::uint64_t aFingerprint, instant aNow)
{
  if (aOld != nullptr && aOld->mUntil > aNow) {
    return *aOld;
  }
  suspect fresh;
  fresh.mFingerprint = aFingerprint;
  return fresh;
}

} // namespace

suspect AddServerLoss(const suspect* aOld,
                      std::uint64_t aFingerprint,
                      const std::string& aServer,
                      const suspect_times& aTimes)
{
  suspect next = CurrentOrNew(aOld, aFingerprint, aTimes.mNow);
  next.mServersLost.insert(aServer);
  next.mUntil = std::max(next.mUntil, aTimes.mNow + aTimes.mSuspectTime);
  return next;
}

suspect ApplyRunResult(const suspect* aOld,
                       const suspect_run_result& aRunResult,
                       const suspect_times& aTimes)
{
  suspect next = CurrentOrNew(aOld, aRunResult.mFingerprint, aTimes.mNow);
  next.mServersLost.insert(aRunResult.mServersLost.begin(), aRunResult.mServersLost.end());
  if (next.mServersLost.size() >= kQuarantineLosses) {
    next.mLevel = suspicion::Quarantined;
    next.mUntil = aTimes.mNow + aTimes.mQuarantineTime;
  } else {
    next.mUntil = std::max(next.mUntil, aTimes.mNow + aTimes.mSuspectTime);
  }
  return next;
}

suspect MergeEntry(const suspect* aOld, const suspect_entry& aEntry, instant aNow)
{
  suspect next = CurrentOrNew(aOld, aEntry.mFingerprint, aNow);
  next.mServersLost.insert(aEntry.mServersLost.begin(), aEntry.mServersLost.end());
  next.mLevel = std::max(next.mLevel, aEntry.mLevel);
  next.mUntil = std::max(next.mUntil, aNow + aEntry.mRemaining);
  return next;
}

bool DiffersApartFromTime(const suspect* aOld, const suspect& aNew)
{
  return aOld == nullptr || aOld->mLevel != aNew.mLevel || aOld->mServersLost != aNew.mServersLost;
}

suspect_entry ToEntry(const suspect& aSuspect, instant aNow)
{
  return { aSuspect.mFingerprint,
           aSuspect.mLevel,
           aSuspect.mServersLost,
           aSuspect.mUntil > aNow ? aSuspect.mUntil - aNow : micros(0) };
}

} // namespace redwingdock
