#include "forward/crash_controller.h"

#include "base/log_text.h"
#include "core/controller_facts.h"
#include "forward/crash_record.h"
#include "forward/forward_state.h"
#include "forward/replica_load.h"

#include <algorithm>
#include <set>
#include <utility>

namespace redwingdock {

namespace {

// A refusal of another daemon extends a known one only by more than this. The way of a heartbeat
// counts as time left, and daemons must not extend each other's refusals by it.
constexpr micros kMinExtension = std::chrono::seconds(1);
// Delay from a lost run to the check of its replica. A part of a gather that is answered meanwhile
// clears the request, and so does a later answer of the replica.
constexpr micros kCheckDelay = std::chrono::milliseconds(100);
// Time between checks of a replica about which nothing is known, for example because connections to
// it time out.
constexpr micros kRecheckInterval = std::chrono::seconds(2);

// Facts with the key CrashKey of their fingerprint.

// A run of the request was lost with its connection.
struct run_lost
{
  std::uint64_t mFingerprint = 0;
  replica_pointer mReplica;

  auto operator<=>(const run_lost&) const = default;
};

// A replica answered the request.
struct run_answered
{
  std::uint64_t mFingerprint = 0;

  auto operator<=>(const run_answered&) const = default;
};

// Checks the lost replicas of the record and removes what has expired.
struct crash_check_due
{
  std::uint64_t mFingerprint = 0;
  bool mImmediate = false; // not by the timer of the record

  auto operator<=>(const crash_check_due&) const = default;
};

// The connection attempt to a lost replica of the request ended.
struct lost_replica_checked
{
  std::uint64_t mFingerprint = 0;
  std::string mReplica;
  std::int64_t mBornMs = 0;
  replica_status mStatus = replica_status::Unknown;

  auto operator<=>(const lost_replica_checked&) const = default;
};

// Another daemon refuses the request, or lost a replica with it.
struct refusal_reported
{
  std::string mFrom;
  refused_request mRefused;

  auto operator<=>(const refusal_reported&) const = default;
};

struct crash_reported
{
  std::string mFrom;
  replica_crash mCrash;

  auto operator<=>(const crash_reported&) const = default;
};

// A connection attempt to a replica in progress. Entry key: id of the replica.
struct pending_check
{
  std::int64_t mBornMs = 0;
  std::set<std::uint64_t> mFingerprints; // of the requests that wait for the result

  auto operator<=>(const pending_check&) const = default;
};

std::optional<crash_record> FindRecord(core_context& aContext, std::uint64_t aFingerprint)
{
  const auto suspects = aContext.mBoard.Read<crash_suspects>(CrashKey(aFingerprint));
  if (!suspects) {
    return std::nullopt;
  }
  const auto found = suspects->mRecords.find(aFingerprint);
  return found == suspects->mRecords.end() ? std::nullopt : std::optional(found->second);
}

bool WasAnsweredRecently(core_context& aContext, std::uint64_t aFingerprint)
{
  const auto answered = aContext.mBoard.Read<answered_requests>(AnsweredKey(aFingerprint));
  return answered && WasAnswered(*answered, aFingerprint, aContext.Now());
}

// Only hooks of the record's key call this, so no other change is lost. aCheckDelay is the time
// until lost replicas of unknown status are checked.
void Store(core_context& aContext, const crash_record& aRecord, micros aCheckDelay)
{
  const std::string key = CrashKey(aRecord.mFingerprint);
  const auto known = aContext.mBoard.Read<crash_suspects>(key);
  const crash_suspects suspects = known ? *known : crash_suspects{};
  const instant now = aContext.Now();
  std::optional<crash_record> next = WithoutExpired(aRecord, now);
  if (!next) {
    aContext.mBoard.Write(key, WithoutRecord(suspects, aRecord.mFingerprint));
    return;
  }
  const instant due =
    CountEnded(*next) < next->mLost.size() ? now + aCheckDelay : NextExpiry(*next);
  if (next->mCheckAt <= now || due < next->mCheckAt) {
    next->mCheckAt = due;
    aContext.After(due - now, key, crash_check_due{ aRecord.mFingerprint });
  }
  aContext.mBoard.Write(key, WithRecord(suspects, std::move(*next)));
}

// Stores the record, with a refusal when its evidence is sufficient.
void StoreEvidence(core_context& aContext, crash_record aRecord)
{
  if (IsRefusalDue(aRecord)) {
    aRecord = WithRefusal(aRecord, aContext.Now());
    aContext.Count("forward.crashing_requests");
    aContext.Log(
      "forward",
      "event=crashing_request_found fingerprint=" + std::to_string(aRecord.mFingerprint) +
        " refusals=" + std::to_string(aRecord.mRefusals) +
        " refused_ms=" + MsText(aRecord.mRefusedUntil - aContext.Now()),
      log_level::Warning);
  }
  Store(aContext, aRecord, kRecheckInterval);
}

void LogReplica(core_context& aContext,
                const char* aEvent,
                std::uint64_t aFingerprint,
                const std::string& aReplica,
                const std::string& aSource)
{
  aContext.Log("forward",
               std::string("event=") + aEvent + " fingerprint=" + std::to_string(aFingerprint) +
                 " replica=" + aReplica + " source=" + aSource);
}

void OnRunLost(core_context& aContext, const run_lost& aFact)
{
  const auto known = FindRecord(aContext, aFact.mFingerprint);
  if (known && known->mRefusedUntil > aContext.Now()) {
    return; // sent before the refusal, which must last longer only for crashes after it
  }
  const replica_entry& replica = *aFact.mReplica;
  Store(aContext,
        WithLoss(known ? *known : crash_record{ aFact.mFingerprint },
                 replica.mService,
                 replica.mId,
                 replica.mBornMs,
                 aContext.Now()),
        kCheckDelay);
}

void OnRunAnswered(core_context& aContext, std::uint64_t aFingerprint)
{
  const std::string key = CrashKey(aFingerprint);
  const auto suspects = aContext.mBoard.Read<crash_suspects>(key);
  if (!suspects || !suspects->mRecords.contains(aFingerprint)) {
    return;
  }
  const crash_record& cleared = suspects->mRecords.at(aFingerprint);
  if (cleared.mRefusals > 0 || CountEnded(cleared) > 0) {
    aContext.Log("forward",
                 "event=crash_evidence_cleared fingerprint=" + std::to_string(aFingerprint) +
                   " ended=" + std::to_string(CountEnded(cleared)) +
                   " refusals=" + std::to_string(cleared.mRefusals));
  }
  aContext.mBoard.Write(key, WithoutRecord(*suspects, aFingerprint));
}

// Posts what the request's attempt shows, once for each request. Does nothing when the state of the
// request has already been removed.
void OnAttemptEnded(core_context& aContext, const attempt_ended& aFact)
{
  const auto state = aContext.mBoard.Read<forward_state>(ForwardRequestKey(aFact.mKey.mRequest));
  if (!state || state->mContent.mFingerprint == 0 ||
      std::any_of(state->mParts.begin(), state->mParts.end(), [](const part_pointer& aPart) {
        return aPart->mReply != nullptr;
      })) {
    return;
  }
  const std::uint64_t fingerprint = state->mContent.mFingerprint;
  if (aFact.mEnd == attempt_end::Lost && !WasAnsweredRecently(aContext, fingerprint)) {
    aContext.mBoard.Post(CrashKey(fingerprint), run_lost{ fingerprint, aFact.mReplica });
  } else if (aFact.mEnd == attempt_end::Answered || aFact.mEnd == attempt_end::Ambiguous) {
    aContext.mBoard.Update<answered_requests>(
      AnsweredKey(fingerprint), [&aContext, fingerprint](const answered_requests* aOld) {
        return std::optional(
          WithAnswered(aOld != nullptr ? *aOld : answered_requests{}, fingerprint, aContext.Now()));
      });
    if (FindRecord(aContext, fingerprint)) {
      aContext.mBoard.Post(CrashKey(fingerprint), run_answered{ fingerprint });
    }
  }
}

// What this daemon already knows about the process of a lost replica.
struct known_status
{
  replica_status mStatus = replica_status::Unknown;
  const char* mSource = "";   // of the status; empty when unknown
  replica_pointer mPublished; // the published entry of the same process; null when there is none
};

known_status StatusFromCatalog(core_context& aContext, const lost_replica& aLost)
{
  const auto known = aContext.mBoard.Read<catalog>(kCatalogKey);
  if (!known || !known->mReplicas.contains(aLost.mService)) {
    return {};
  }
  const std::vector<replica_pointer>& replicas = known->mReplicas.at(aLost.mService);
  const auto published =
    std::find_if(replicas.begin(), replicas.end(), [&aLost](const replica_pointer& aEach) {
      return aEach->mId == aLost.mId;
    });
  if (published == replicas.end()) {
    return { replica_status::Ended, "entry_removed" };
  }
  if ((*published)->mBornMs != aLost.mBornMs) {
    return { replica_status::Ended, "restarted" };
  }
  if ((*published)->mDraining) {
    // A planned end is no evidence about the request.
    return { replica_status::Running, "draining" };
  }
  return { replica_status::Unknown, "", *published };
}

known_status StatusOf(core_context& aContext, const lost_replica& aLost)
{
  const auto load = aContext.mBoard.Read<replica_load>(aLost.mId);
  if (load && load->mBornMs == aLost.mBornMs && load->mLastAnswerAt > aLost.mLostAt) {
    return { replica_status::Running, "answer" };
  }
  if (load && load->mBornMs != aLost.mBornMs) {
    return { replica_status::Ended, "restarted" };
  }
  if (load && load->mAddressTaken) {
    return { replica_status::Ended, "address_taken" };
  }
  if (load && load->mConsecutiveRefusals > 0) {
    return { replica_status::Ended, "connection_refused" };
  }
  return StatusFromCatalog(aContext, aLost);
}

// Opens a connection to the replica, unless one is being opened for another request.
void StartCheck(core_context& aContext, std::uint64_t aFingerprint, const replica_pointer& aReplica)
{
  bool started = false;
  aContext.mBoard.Update<pending_check>(aReplica->mId, [&](const pending_check* aOld) {
    started = aOld == nullptr || aOld->mBornMs != aReplica->mBornMs;
    pending_check next = started ? pending_check{ aReplica->mBornMs } : *aOld;
    next.mFingerprints.insert(aFingerprint);
    return std::optional(std::move(next));
  });
  if (started) {
    aContext.Count("forward.replica_checks");
    aContext.Emit(check_replica{ aReplica });
  }
}

crash_record WithStatus(core_context& aContext,
                        const crash_record& aRecord,
                        const lost_replica& aLost,
                        replica_status aStatus,
                        const char* aSource)
{
  switch (aStatus) {
    case replica_status::Ended:
      LogReplica(aContext, "replica_crashed", aRecord.mFingerprint, aLost.mId, aSource);
      return WithEnded(aRecord, aLost.mId, aLost.mBornMs, aContext.Now() + kCrashRecordTtl);
    case replica_status::Running:
      return WithoutLoss(aRecord, aLost.mId, aLost.mBornMs);
    case replica_status::Unknown:
      return aRecord;
  }
  return aRecord;
}

void OnCheckDue(core_context& aContext, const crash_check_due& aFact)
{
  const auto known = FindRecord(aContext, aFact.mFingerprint);
  if (!known || (!aFact.mImmediate && known->mCheckAt > aContext.Now())) {
    return;
  }
  crash_record next = *known;
  for (const lost_replica& lost : known->mLost) {
    if (lost.mEnded || lost.mUntil <= aContext.Now()) {
      continue;
    }
    const known_status status = StatusOf(aContext, lost);
    next = WithStatus(aContext, next, lost, status.mStatus, status.mSource);
    if (status.mPublished) {
      StartCheck(aContext, aFact.mFingerprint, status.mPublished);
    }
  }
  StoreEvidence(aContext, std::move(next));
}

void OnReplicaChecked(core_context& aContext, const replica_checked& aFact)
{
  const replica_entry& replica = *aFact.mReplica;
  const auto check = aContext.mBoard.Read<pending_check>(replica.mId);
  if (!check || check->mBornMs != replica.mBornMs) {
    return;
  }
  aContext.mBoard.Erase<pending_check>(replica.mId);
  aContext.Log("forward",
               "event=replica_checked replica=" + replica.mId +
                 " status=" + ToString(aFact.mStatus) +
                 " requests=" + std::to_string(check->mFingerprints.size()));
  for (const std::uint64_t fingerprint : check->mFingerprints) {
    aContext.mBoard.Post(
      CrashKey(fingerprint),
      lost_replica_checked{ fingerprint, replica.mId, replica.mBornMs, aFact.mStatus });
  }
}

void OnLostReplicaChecked(core_context& aContext, const lost_replica_checked& aFact)
{
  const auto known = FindRecord(aContext, aFact.mFingerprint);
  if (!known) {
    return;
  }
  const auto lost =
    std::find_if(known->mLost.begin(), known->mLost.end(), [&aFact](const lost_replica& aEach) {
      return aEach.mId == aFact.mReplica && aEach.mBornMs == aFact.mBornMs;
    });
  if (lost != known->mLost.end() && !lost->mEnded) {
    StoreEvidence(aContext,
                  WithStatus(aContext, *known, *lost, aFact.mStatus, "connection_attempt"));
  }
}

void OnRefusalReported(core_context& aContext, const refusal_reported& aFact)
{
  const std::uint64_t fingerprint = aFact.mRefused.mFingerprint;
  // The refusal ends here when it ends at the sender. With a full time from here on, daemons would
  // tell it each other again and again, and it would never end.
  const instant until = aContext.Now() + std::min(aFact.mRefused.mTimeLeft, kMaxRefusalTime);
  const auto known = FindRecord(aContext, fingerprint);
  if (until <= aContext.Now() || WasAnsweredRecently(aContext, fingerprint) ||
      (known && known->mRefusals > 0 && until < known->mRefusedUntil + kMinExtension)) {
    return;
  }
  if (!known || known->mRefusedUntil <= aContext.Now()) {
    aContext.Log("forward",
                 "event=crashing_request_learnt fingerprint=" + std::to_string(fingerprint) +
                   " from=" + aFact.mFrom + " left_ms=" + MsText(aFact.mRefused.mTimeLeft));
  }
  Store(aContext,
        WithRefusalUntil(known ? *known : crash_record{ fingerprint }, until),
        kRecheckInterval);
}

void OnCrashReported(core_context& aContext, const crash_reported& aFact)
{
  const replica_crash& crash = aFact.mCrash;
  const instant until = aContext.Now() + std::min(crash.mTimeLeft, kCrashRecordTtl);
  const auto known = FindRecord(aContext, crash.mFingerprint);
  const bool refused = known && known->mRefusedUntil > aContext.Now();
  const bool counted =
    known && std::any_of(known->mLost.begin(), known->mLost.end(), [&crash](const auto& aEach) {
      return aEach.mId == crash.mReplica && aEach.mBornMs == crash.mBornMs && aEach.mEnded;
    });
  if (until <= aContext.Now() || refused || counted ||
      WasAnsweredRecently(aContext, crash.mFingerprint)) {
    return;
  }
  LogReplica(aContext, "replica_crashed", crash.mFingerprint, crash.mReplica, aFact.mFrom);
  StoreEvidence(
    aContext,
    WithEnded(
      known ? *known : crash_record{ crash.mFingerprint }, crash.mReplica, crash.mBornMs, until));
}

void OnHeartbeat(core_context& aContext, const heartbeat& aHeartbeat)
{
  for (const refused_request& each : aHeartbeat.mRefused) {
    aContext.mBoard.Post(CrashKey(each.mFingerprint),
                         refusal_reported{ aHeartbeat.mSender.mVm, each });
  }
  for (const replica_crash& each : aHeartbeat.mCrashes) {
    aContext.mBoard.Post(CrashKey(each.mFingerprint),
                         crash_reported{ aHeartbeat.mSender.mVm, each });
  }
}

} // namespace

namespace {

// Whether replicas have ended since the last check, so that the request is to be refused now.
bool HasNewEvidence(core_context& aContext, const crash_record& aRecord)
{
  crash_record next = aRecord;
  for (const lost_replica& lost : aRecord.mLost) {
    if (!lost.mEnded && StatusOf(aContext, lost).mStatus == replica_status::Ended) {
      next = WithEnded(next, lost.mId, lost.mBornMs, lost.mUntil);
    }
  }
  return IsRefusalDue(next);
}

} // namespace

crash_verdict VerdictOf(core_context& aContext, const forward_request& aRequest)
{
  if (aRequest.mFingerprint == 0) {
    return crash_verdict::None;
  }
  const auto record = FindRecord(aContext, aRequest.mFingerprint);
  if (!record) {
    return crash_verdict::None;
  }
  const bool refused = record->mRefusedUntil > aContext.Now();
  if (!refused && !HasNewEvidence(aContext, *record)) {
    return record->mRefusals > 0 ? crash_verdict::Trial : crash_verdict::None;
  }
  if (!refused) {
    aContext.mBoard.Post(CrashKey(aRequest.mFingerprint),
                         crash_check_due{ aRequest.mFingerprint, true });
  }
  aContext.Count("forward.crashing_refused");
  aContext.Log("forward",
               "event=crashing_request request=" + Quoted(aRequest.mId) +
                 " fingerprint=" + std::to_string(aRequest.mFingerprint) +
                 " refusals=" + std::to_string(record->mRefusals) +
                 " left_ms=" + MsText(refused ? record->mRefusedUntil - aContext.Now() : micros(0)),
               log_level::Warning);
  return crash_verdict::Refused;
}

void AddCrashController(core_context& aContext)
{
  blackboard& board = aContext.mBoard;
  board.OnFact<attempt_ended>([&aContext](const std::string&, const attempt_ended& aFact) {
    OnAttemptEnded(aContext, aFact);
  });
  board.OnFact<run_lost>(
    [&aContext](const std::string&, const run_lost& aFact) { OnRunLost(aContext, aFact); });
  board.OnFact<run_answered>([&aContext](const std::string&, const run_answered& aFact) {
    OnRunAnswered(aContext, aFact.mFingerprint);
  });
  board.OnFact<crash_check_due>(
    [&aContext](const std::string&, const crash_check_due& aFact) { OnCheckDue(aContext, aFact); });
  board.OnFact<replica_checked>([&aContext](const std::string&, const replica_checked& aFact) {
    OnReplicaChecked(aContext, aFact);
  });
  board.OnFact<lost_replica_checked>(
    [&aContext](const std::string&, const lost_replica_checked& aFact) {
      OnLostReplicaChecked(aContext, aFact);
    });
  board.OnFact<refusal_reported>([&aContext](const std::string&, const refusal_reported& aFact) {
    OnRefusalReported(aContext, aFact);
  });
  board.OnFact<crash_reported>([&aContext](const std::string&, const crash_reported& aFact) {
    OnCrashReported(aContext, aFact);
  });
  board.OnFact<heartbeat_received>(
    [&aContext](const std::string&, const heartbeat_received& aFact) {
      OnHeartbeat(aContext, aFact.mHeartbeat);
    });
}

} // namespace redwingdock
