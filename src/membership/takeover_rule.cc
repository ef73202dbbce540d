#include "membership/takeover_rule.h"

#include "membership/witness.h"

#include <algorithm>

namespace redwingdock {

namespace {

// Time at which the aNeeded-th of the VMs reached the revision; kNever when fewer have reached it.
instant NthReachedAt(const fleet_knowledge& aKnown,
                     const std::vector<std::string>& aVms,
                     const table_revision& aRevision,
                     std::size_t aNeeded)
{
  std::vector<instant> since;
  for (const std::string& vm : aVms) {
    const instant at = RevisionReachedAt(aKnown, vm, aRevision);
    if (at != kNever) {
      since.push_back(at);
    }
  }
  if (aNeeded == 0 || since.size() < aNeeded) {
    return kNever;
  }
  std::sort(since.begin(), since.end());
  return since[aNeeded - 1];
}

// Returns when a claim of the kind Start expires: this process does not know who holds its permits
// under earlier lists.
//
// Waiting rule: assumes that the list before the first known one differs in one VM. A holder under
// that list needs a majority of its witnesses. Once a recovery quorum of the other witnesses has
// the known list, no such majority is possible, and mTakeDelay later the holder's work has ended.
//
// Immediate rule, for the start of a whole fleet: all other witnesses answer with the known list,
// and each either has had it for mTakeDelay or has had no list before it in the life of its
// process. Then no listed VM has used permits under an earlier list within mTakeDelay. The rule
// does not cover a VM that is no longer listed and outlived all others by seconds.
//
// A list of one VM has no other witness to ask. Only reads from the configuration service confirm
// the view of such a VM, so any other holder has stopped mTakeDelay after this process read the
// list.
//
// In all cases an earlier process under this name may have work in flight at servers. Its
// connections closed when it ended, but servers finish requests that they have started. Therefore
// the claim lasts at least the longest deadline and its slack from the start of this process,
// unless no witness has seen another process.
instant StartClaimExpiry(const claim& aClaim,
                         const claim_evidence& aEvidence,
                         const core_config& aConfig)
{
  std::vector<std::string> others = aClaim.mWitnesses;
  std::erase(others, aEvidence.mSelf);
  bool allSettled = !others.empty();
  bool knewOther = false;
  for (const std::string& vm : others) {
    const auto found = aEvidence.mKnownRevisions.find(vm);
    const instant since = RevisionReachedAt(aEvidence.mKnownRevisions, vm, aClaim.mEndRevision);
    allSettled = allSettled && since != kNever &&
                 (found->second.mFirstList || since + aConfig.mTakeDelay <= aEvidence.mNow);
    knewOther = knewOther || (found != aEvidence.mKnownRevisions.end() && found->second.mKnewOther);
  }
  instant ends = kNever;
  if (allSettled) {
    ends = aEvidence.mNow;
  } else if (others.empty()) {
    ends = aClaim.mSeenAt + aConfig.mTakeDelay;
  } else {
    const instant since = NthReachedAt(aEvidence.mKnownRevisions,
                                       others,
                                       aClaim.mEndRevision,
                                       RecoveryQuorum(aClaim.mWitnesses.size()));
    if (since != kNever) {
      ends = since + aConfig.mTakeDelay;
    }
  }
  if (ends != kNever && knewOther) {
    ends = std::max(ends, aEvidence.mStartedAt + aConfig.mLongestDeadline + aConfig.mDeadlineSlack);
  }
  return ends;
}

} // namespace

instant RevisionReachedAt(const fleet_knowledge& aKnown,
                          const std::string& aVm,
                          const table_revision& aRevision)
{
  const auto found = aKnown.find(aVm);
  if (found == aKnown.end()) {
    return kNever;
  }
  instant since = kNever;
  for (auto it = found->second.mReachedAt.lower_bound(aRevision);
       it != found->second.mReachedAt.end();
       ++it) {
    since = std::min(since, it->second);
  }
  return since;
}

instant ClaimExpiry(const claim& aClaim,
                    const claim_evidence& aEvidence,
                    const core_config& aConfig)
{
  const micros workEnds = aConfig.mLongestDeadline + aConfig.mDeadlineSlack;
  instant ends = std::min(aClaim.mExpiresAt, aClaim.mSeenAt + aConfig.mTakeLong);
  if (aClaim.mKind == claim_kind::Start) {
    return std::min(ends, StartClaimExpiry(aClaim, aEvidence, aConfig));
  }
  if (aClaim.mKind == claim_kind::Pools) {
    return aClaim.mHolderCanAnswer && aEvidence.mHolderPoolsRevision >= aClaim.mEndRevision
             ? std::min(ends, aEvidence.mNow + workEnds)
             : ends;
  }
  const instant holder =
    RevisionReachedAt(aEvidence.mKnownRevisions, aClaim.mHolder, aClaim.mEndRevision);
  if (holder != kNever && aClaim.mHolderCanAnswer) {
    ends = std::min(ends, holder + workEnds);
  }
  const instant majority = NthReachedAt(aEvidence.mKnownRevisions,
                                        aClaim.mWitnesses,
                                        aClaim.mEndRevision,
                                        Majority(aClaim.mWitnesses.size()));
  if (majority != kNever) {
    ends = std::min(ends, majority + aConfig.mTakeDelay);
  }
  return ends;
}

} // namespace redwingdock
