#ifndef REDWINGDOCK_MEMBERSHIP_TAKE_RULE_H
#define REDWINGDOCK_MEMBERSHIP_TAKE_RULE_H

#include "core/config.h"
#include "core/values.h"

#include <map>
#include <string>
#include <vector>

// When a daemon may use a permit that another VM, or an earlier process under its own name, may
// still hold. Every possible earlier holder is a claim; the permit is usable once all claims have
// ended.
//
//   instant from = ClaimEnds(claim, knowledge, peers, start, config, now);

namespace redwingdock {

// What is known of another daemon's VM list, from its answers to probes.
struct vm_knowledge
{
  std::string mIncarnation;
  std::map<std::uint64_t, instant> mSince; // at this revision or a higher one since, at the latest
  bool mFirstList = false;                 // its process never had an earlier list
  bool mKnewOther = false;                 // it has seen another process under this daemon's name

  auto operator<=>(const vm_knowledge&) const = default;
};

using fleet_knowledge = std::map<std::string, vm_knowledge>;

// Time since which a VM is known to have at least this revision; kNever when it is not known.
instant SinceRevision(const fleet_knowledge& aKnown,
                      const std::string& aVm,
                      std::uint64_t aRevision);

enum class claim_kind
{
  List,  // holder under an earlier VM list
  Pools, // holder under an earlier pools table
  Start, // anybody, under lists that this process does not know
};

struct claim
{
  claim_kind mKind = claim_kind::List;
  std::string mHolder;
  std::uint64_t mListRevision = 0; // of the list under which it holds the permit
  std::uint64_t mRevision = 0;     // from which on it does not hold it (VM list, or pools)
  std::vector<std::string> mWitnesses;
  bool mHolderAnswers = false; // the holder is listed now at the same address, so it can answer
  instant mSeenAt{};           // when this daemon learned of that revision
  instant mEnds = kNever;      // earliest end found so far

  auto operator<=>(const claim&) const = default;
};

// What the rule looks at besides the claim itself.
struct claim_evidence
{
  const fleet_knowledge& mKnown;
  std::string mSelf;
  instant mStartedAt{};                   // start of this process
  std::uint64_t mHolderPoolsRevision = 0; // in force at the holder, as last heard
  instant mNow{};
};

// The take rule. Earliest of
// - the holder is known to have the new list: it starts no work under the permit, and work in
//   flight ends within the longest deadline and its slack (not when its VM was replaced under the
//   same name, because then another process answers);
// - a strict majority of the holder's witnesses has the new list: the holder is not confirmed
//   mHoldTime later, and its work has ended mTakeDelay later;
// - mTakeLong.
// A Start claim is described at StartClaimEnds.
instant ClaimEnds(const claim& aClaim, const claim_evidence& aEvidence, const core_config& aConfig);

} // namespace redwingdock

#endif
