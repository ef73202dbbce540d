#ifndef REDWINGDOCK_MEMBERSHIP_MEMBERSHIP_HOOKS_H
#define REDWINGDOCK_MEMBERSHIP_MEMBERSHIP_HOOKS_H

#include "core/messages.h"
#include "membership/peer_rotation.h"
#include "membership/takeover_rule.h"
#include "membership/witness.h"

#include <functional>

// Replaceable rules of the membership controller. Tests replace a rule to show which failure it
// prevents.

namespace redwingdock {

// Whether a probe reply helps to confirm the view of the prober: the witness lists the prober and
// has no newer VM list than aOwnRevision, the prober's.
bool ProbeReplyConfirms(const probe_reply_message& aReply, const table_revision& aOwnRevision);

// Earliest start time of a probe or read that may confirm the view after a pause of the process
// that ended at aNow.
instant EarliestConfirmationAfterPause(instant aNow);

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
  std::function<bool(const probe_reply_message&, const table_revision& aOwnRevision)>
    mReplyConfirms = ProbeReplyConfirms;
  std::function<instant(const claim&, const claim_evidence&, const core_config&)> mClaimExpiry =
    ClaimExpiry;
  std::function<instant(instant aNow)> mConfirmableAfterPause = EarliestConfirmationAfterPause;
  std::function<bool(const table_revision& aNext, const table_revision& aCurrent)> mMayReplaceList =
    std::greater<>();
  // Whether this process may answer probes as a witness. aRecovered is false while a restarted
  // process does not know which VM lists it answered for before the restart.
  std::function<bool(bool aRecovered)> mMayVote = [](bool aRecovered) { return aRecovered; };
};

} // namespace redwingdock

#endif
