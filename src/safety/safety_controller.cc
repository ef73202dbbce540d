#include "safety/safety_controller.h"

#include "core/controller_facts.h"
#include "core/send.h"
#include "safety/suspects.h"

namespace redwingdock {

namespace {

// In fleets of up to kMaxBroadcastVms VMs, a new suspect is sent to every VM. In larger fleets each
// VM that learns of it sends it to kForwardFanout random VMs, and the periodic views carry it to
// the rest.
constexpr std::size_t kMaxBroadcastVms = 32;
constexpr std::size_t kForwardFanout = 8;

// A suspect entry may have expired; it has not if its time was extended. Key: SuspectKey.
struct suspect_expiry
{
  std::uint64_t mFingerprint = 0;

  auto operator<=>(const suspect_expiry&) const = default;
};

suspect_times TimesOf(const core_context& aContext)
{
  return { aContext.mConfig.mSuspectTime, aContext.mConfig.mQuarantineTime, aContext.Now() };
}

void SendSuspectToPeers(core_context& aContext, const suspect& aSuspect)
{
  const auto view = aContext.mBoard.Read<member_view>(kMembersKey);
  if (!view) {
    return;
  }
  const suspect_message message{ ToEntry(aSuspect, aContext.Now()) };
  const std::vector<vm_spec>& vms = view->mVms.mVms;
  const bool all = vms.size() <= kMaxBroadcastVms;
  for (std::size_t i = 0; i < (all ? vms.size() : kForwardFanout); ++i) {
    const vm_spec& vm = all ? vms[i] : vms[aContext.Random(vms.size())];
    if (vm.mName != aContext.mConfig.mVm) {
      SendToPeer(aContext, vm.mName, message);
    }
  }
}

using suspect_change = std::function<suspect(const suspect*)>;

// Replaces the entry of a fingerprint. A change of more than its time is logged and sent to other
// daemons.
void UpdateSuspect(core_context& aContext,
                   std::uint64_t aFingerprint,
                   const suspect_change& aChange)
{
  bool isNew = false;
  suspect changed;
  aContext.mBoard.Update<suspect>(SuspectKey(aFingerprint), [&](const suspect* aOld) {
    changed = aChange(aOld);
    isNew = DiffersApartFromTime(aOld, changed);
    return std::optional(changed);
  });
  if (!isNew) {
    return;
  }
  aContext.Log(
    "safety",
    "request " + std::to_string(aFingerprint) +
      (changed.mLevel == suspicion::Quarantined ? " is quarantined, " : " is suspected, ") +
      std::to_string(changed.mServersLost.size()) + " servers lost",
    log_level::Warning);
  aContext.Count(changed.mLevel == suspicion::Quarantined ? "safety.quarantined"
                                                          : "safety.suspected");
  SendSuspectToPeers(aContext, changed);
  aContext.After(changed.mUntil - aContext.Now() + micros(1),
                 SuspectKey(aFingerprint),
                 suspect_expiry{ aFingerprint });
}

void OnRunResult(core_context& aContext, const suspect_run_result& aRunResult)
{
  if (aRunResult.mHarmless) {
    const auto old = aContext.mBoard.Read<suspect>(SuspectKey(aRunResult.mFingerprint));
    if (old && old->mLevel == suspicion::Suspect) {
      aContext.mBoard.Erase<suspect>(SuspectKey(aRunResult.mFingerprint));
      aContext.Log("safety",
                   "request " + std::to_string(aRunResult.mFingerprint) +
                     " is no longer suspected, each of its pools answered a part");
    }
    return;
  }
  UpdateSuspect(aContext, aRunResult.mFingerprint, [&](const suspect* aOld) {
    return ApplyRunResult(aOld, aRunResult, TimesOf(aContext));
  });
}

void OnEntry(core_context& aContext, const suspect_entry& aEntry)
{
  UpdateSuspect(aContext, aEntry.mFingerprint, [&](const suspect* aOld) {
    return MergeEntry(aOld, aEntry, aContext.Now());
  });
}

void OnExpiry(core_context& aContext, const suspect_expiry& aExpiry)
{
  const std::string key = SuspectKey(aExpiry.mFingerprint);
  const auto entry = aContext.mBoard.Read<suspect>(key);
  if (!entry) {
    return;
  }
  if (entry->mUntil <= aContext.Now()) {
    aContext.mBoard.Erase<suspect>(key);
  } else {
    aContext.After(entry->mUntil - aContext.Now() + micros(1), key, aExpiry);
  }
}

} // namespace

void AddSafetyController(core_context& aContext)
{
  blackboard& board = aContext.mBoard;
  board.OnFact<server_lost>([&aContext](const std::string&, const server_lost& aFact) {
    for (const std::uint64_t fingerprint : aFact.mFingerprints) {
      UpdateSuspect(aContext, fingerprint, [&](const suspect* aOld) {
        return AddServerLoss(aOld, fingerprint, aFact.mServer, TimesOf(aContext));
      });
    }
  });
  board.OnFact<suspect_run_result>(
    [&aContext](const std::string&, const suspect_run_result& aFact) {
      OnRunResult(aContext, aFact);
    });
  board.OnFact<received<suspect_message>>(
    [&aContext](const std::string&, const received<suspect_message>& aFact) {
      OnEntry(aContext, aFact.mMessage.mSuspect);
    });
  board.OnFact<received<view_message>>(
    [&aContext](const std::string&, const received<view_message>& aFact) {
      for (const suspect_entry& entry : aFact.mMessage.mSuspects) {
        OnEntry(aContext, entry);
      }
    });
  board.OnFact<suspect_expiry>(
    [&aContext](const std::string&, const suspect_expiry& aFact) { OnExpiry(aContext, aFact); });
}

} // namespace redwingdock
