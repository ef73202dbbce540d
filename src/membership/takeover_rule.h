#ifndef REDWINGDOCK_MEMBERSHIP_TAKEOVER_RULE_H
#define REDWINGDOCK_MEMBERSHIP_TAKEOVER_RULE_H

#include "core/config.h"
#include "core/values.h"

#include <map>
#include <string>
#include <vector>

// The takeover rule decides when a daemon may use a permit that another VM, or an earlier process
// under its own name, may still be using. Each possible earlier holder is a claim; the permit is
// usable once all its claims have expired.
//
//   instant usableFrom = ClaimExpiry(claim, evidence, config);

namespace redwingdock {

// What the probe replies of another daemon have shown about its VM list.
struct vm_knowledge
{
  std::string mIncarnation;
  std::map<table_revision, instant>
    mReachedAt;            // by revision, latest time at which the VM can have reached it
  bool mFirstList = false; // its process has had no earlier list
  bool mKnewOther = false; // it has seen another process under this daemon's name

  auto operator<=>(const vm_knowledge&) const = default;
};

using fleet_knowledge = std::map<std::string, vm_knowledge>;

// Time since which a VM is known to have aRevision or a higher one; kNever when it is not known to
// have it.
instant RevisionReachedAt(const fleet_knowledge& aKnown,
                          const std::string& aVm,
                          const table_revision& aRevision);

// Why a claim exists.
enum class claim_kind
{
  List,  // the holder under an earlier VM list
  Pools, // the holder under an earlier pools table
  Start, // unknown holders under VM lists that this process never had
};

// A possible earlier holder of a permit, until its work under the permit has ended.
struct claim
{
  claim_kind mKind = claim_kind::List;
  std::string mHolder;
  table_revision mListRevision; // VM list under which it holds the permit
  table_revision mEndRevision;  // VM list or pools table that takes the permit away
  std::vector<std::string> mWitnesses;
  bool mHolderCanAnswer = false; // still listed at the same address, so it can answer
  instant mSeenAt{};             // when this daemon adopted mEndRevision
  instant mExpiresAt = kNever;   // earliest expiry found so far

  auto operator<=>(const claim&) const = default;
};

// Inputs of ClaimExpiry besides the claim and the settings.
struct claim_evidence
{
  const fleet_knowledge& mKnownRevisions;
  std::string mSelf;
  instant mStartedAt{};                // start of this process
  table_revision mHolderPoolsRevision; // last reported by the holder
  instant mNow{};
};

// Returns when a claim expires. This is the earliest of:
// - The holder is known to have the new list. It starts no more work under the permit, and work in
//   flight ends within the longest deadline and its slack. This does not apply when the VM was
//   replaced under the same name, because then another process answers.
// - A strict majority of the holder's witnesses has the new list. The view of the holder is
//   unconfirmed at most mHoldTime later, and its work has ended mTakeDelay later.
// - mTakeLong has passed since mSeenAt.
// StartClaimExpiry describes claims of the kind Start.
instant ClaimExpiry(const claim& aClaim,
                    const claim_evidence& aEvidence,
                    const core_config& aConfig);

} // namespace redwingdock

#endif
