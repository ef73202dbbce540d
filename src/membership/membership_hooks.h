#ifndef REDWINGDOCK_MEMBERSHIP_MEMBERSHIP_HOOKS_H
#define REDWINGDOCK_MEMBERSHIP_MEMBERSHIP_HOOKS_H

#include "core/messages.h"
#include "membership/peer_rotation.h"
#include "membership/take_rule.h"
#include "membership/witness.h"

#include <functional>

// Behaviour of the membership controller that tests replace to show what it protects against.

namespace redwingdock {

// Whether an answer to a probe counts for the keep rule: the witness lists the prober and has no
// newer list than the prober.
bool ProbeReplyConfirms(const probe_reply_message& aReply, std::uint64_t aOwnRevision);

// Earliest send time of a probe or read that still confirms a view after a pause ended at aNow.
instant ConfirmationAfterPause(instant aNow);

struct membership_hooks
{
  std::function<instant(const std::vector<std::string>& aWitnesses,
                        const std::string& aSelf,
                        const std::map<std::string, instant>& aAnswered)>
    mAnsweredSince = MajorityAnsweredSince;
  std::function<instant(instant aSince, micros aHoldTime)> mConfirmationEnds =
    [](instant aSince, micros aHoldTime) { return aSince + aHoldTime; };
  std::function<std::vector<std::string>(const std::vector<std::string>& aNames,
                                         std::size_t aCount,
                                         std::uint64_t aRotation)>
    mViewTargets = PeersInRotation;
  std::function<bool(const probe_reply_message&, std::uint64_t aOwnRevision)> mReplyConfirms =
    ProbeReplyConfirms;
  std::function<instant(const claim&, const claim_evidence&, const core_config&)> mClaimEnds =
    ClaimEnds;
  std::function<instant(instant aNow)> mAfterPause = ConfirmationAfterPause;
  // Whether a process that forgot its earlier answers may answer probes as a witness.
  std::function<bool(bool aRecovered)> mMayVote = [](bool aRecovered) { return aRecovered; };
};

} // namespace redwingdock

#endif
