#include "forward/crash_controller.h"

#include "base/log_text.h"
#include "core/controller_facts.h"
#include "forward/crash_record.h"
#include "forward/forward_state.h"
#include "forward/replica_load.h"

#include <algorithm>
#include <utility>

namespace redwingdock {

namespace {

// A report extends a refusal only by more than this. The way of a heartbeat counts as time left,
// and daemons must not extend each other's refusals by it.
constexpr micros kMinExtension = std::chrono::seconds(1);

// Fact: a crash_record may have expired. Key: CrashKey.
struct crash_expiry
{
  std::uint64_t mFingerprint = 0;

  auto operator<=>(const crash_expiry&) const = default;
};

void StoreCrashRecord(core_context& aContext, crash_record aRecord)
{
  const std::uint64_t fingerprint = aRecord.mFingerprint;
  aContext.After(
    aRecord.mUntil - aContext.Now(), CrashKey(fingerprint), crash_expiry{ fingerprint });
  aContext.mBoard.Write(CrashKey(fingerprint), std::move(aRecord));
}

// Whether this start of the replica has ended: its address refuses connections or belongs to
// another process, or the replica has restarted.
bool HasEnded(core_context& aContext, const std::string& aReplica, std::int64_t aBornMs)
{
  const auto load = aContext.mBoard.Read<replica_load>(aReplica);
  return load &&
         (load->mBornMs != aBornMs || load->mAddressTaken || load->mConsecutiveRefusals > 0);
}

void OnCrashExpiry(core_context& aContext, std::uint64_t aFingerprint)
{
  const auto record = aContext.mBoard.Read<crash_record>(CrashKey(aFingerprint));
  if (record && record->mUntil <= aContext.Now()) {
    aContext.mBoard.Erase<crash_record>(CrashKey(aFingerprint));
  }
}

// Refuses the requests that the sender of the heartbeat refuses.
void OnRefusalsReceived(core_context& aContext, const heartbeat& aHeartbeat)
{
  for (const refused_request& refused : aHeartbeat.mRefused) {
    // The refusal ends here when it ends at the sender. With a full time from here on, daemons
    // would tell it each other again and again, and it would never end.
    const instant until = aContext.Now() + std::min(refused.mTimeLeft, kCrashRecordTtl);
    const auto known = aContext.mBoard.Read<crash_record>(CrashKey(refused.mFingerprint));
    if (until <= aContext.Now() ||
        (known && known->mRefused && until < known->mUntil + kMinExtension)) {
      continue;
    }
    crash_record record = known ? *known : crash_record{ refused.mFingerprint };
    if (!record.mRefused) {
      aContext.Log(
        "forward",
        "event=crashing_request_learnt fingerprint=" + std::to_string(refused.mFingerprint) +
          " from=" + aHeartbeat.mSender.mVm + " left_ms=" + MsText(refused.mTimeLeft));
    }
    record.mRefused = true;
    record.mUntil = until;
    StoreCrashRecord(aContext, std::move(record));
  }
}

// Records a lost attempt, whose request may have crashed the replica. Does nothing when the state
// of the request has already been removed.
void OnAttemptEnded(core_context& aContext, const attempt_ended& aFact)
{
  const auto state = aContext.mBoard.Read<forward_state>(ForwardRequestKey(aFact.mKey.mRequest));
  if (aFact.mEnd != attempt_end::Lost || !state || state->mContent.mFingerprint == 0) {
    return;
  }
  const std::uint64_t fingerprint = state->mContent.mFingerprint;
  const auto known = aContext.mBoard.Read<crash_record>(CrashKey(fingerprint));
  StoreCrashRecord(aContext,
                   WithLostReplica(known ? *known : crash_record{ fingerprint },
                                   aFact.mReplica->mId,
                                   aFact.mReplica->mBornMs,
                                   aContext.Now()));
}

} // namespace

bool IsCrashingRequest(core_context& aContext, const forward_request& aRequest)
{
  const auto record = aContext.mBoard.Read<crash_record>(CrashKey(aRequest.mFingerprint));
  if (aRequest.mFingerprint == 0 || !record) {
    return false;
  }
  const std::size_t ended =
    CountEndedReplicas(*record, [&aContext](const std::string& aReplica, std::int64_t aBornMs) {
      return HasEnded(aContext, aReplica, aBornMs);
    });
  if (!record->mRefused && ended < kCrashThreshold) {
    return false;
  }
  crash_record next = *record;
  next.mRefused = true;
  next.mUntil = aContext.Now() + kCrashRecordTtl;
  aContext.Count("forward.crashing_refused");
  aContext.Log("forward",
               "event=crashing_request request=" + Quoted(aRequest.mId) +
                 " fingerprint=" + std::to_string(aRequest.mFingerprint) + " lost=" +
                 std::to_string(record->mLostReplicas.size()) + " ended=" + std::to_string(ended),
               log_level::Warning);
  StoreCrashRecord(aContext, std::move(next));
  return true;
}

void AddCrashController(core_context& aContext)
{
  blackboard& board = aContext.mBoard;
  board.OnFact<attempt_ended>([&aContext](const std::string&, const attempt_ended& aFact) {
    OnAttemptEnded(aContext, aFact);
  });
  board.OnFact<crash_expiry>([&aContext](const std::string&, const crash_expiry& aFact) {
    OnCrashExpiry(aContext, aFact.mFingerprint);
  });
  board.OnFact<heartbeat_received>(
    [&aContext](const std::string&, const heartbeat_received& aFact) {
      OnRefusalsReceived(aContext, aFact.mHeartbeat);
    });
}

} // namespace redwingdock
