#include "platform/soak/soak_ledger.h"

#include "base/log_text.h"
#include "platform/soak/soak_changes.h"

#include <algorithm>
#include <csignal>

namespace redwingdock::platform {

namespace {

constexpr unsigned kNotRunStatuses[] = { 408, 421, 429, 503 };

bool IsNotRun(unsigned aStatus)
{
  return std::find(std::begin(kNotRunStatuses), std::end(kNotRunStatuses), aStatus) !=
         std::end(kNotRunStatuses);
}

bool IsAtWorkLate(const request_record& aRequest,
                  const std::vector<replica_run>& aRuns,
                  const process_record& aProcess,
                  const soak_bounds& aBounds)
{
  if (aProcess.mStopAt == kNever || aRequest.mSentAt > aProcess.mStopAt + aBounds.mLateRequest) {
    return false;
  }
  const instant lastPart =
    aProcess.mStopAt + aBounds.mGrace * (aBounds.mLastPart - 1) / aBounds.mLastPart;
  // A replica's silence is no reason to end an answer before that part.
  return aRequest.mEndedAt >= lastPart &&
         std::any_of(aRuns.begin(), aRuns.end(), [lastPart](const replica_run& aRun) {
           return aRun.mEndedAt >= lastPart && (aRun.mAborted || aRun.mEndedAt == kNever);
         });
}

// A client sees no reset of its connection earlier than the kill that caused it.
bool WasKilledBefore(const process_record& aProcess, instant aTime)
{
  return aProcess.mKillPlanned && aTime >= aProcess.mKilledAt;
}

bool IsExcused(const request_record& aRequest,
               const std::vector<replica_run>& aRuns,
               const process_record& aProcess,
               const soak_bounds& aBounds)
{
  const bool deadlineReached = aRequest.mEndedAt - aRequest.mSentAt >= aRequest.mTimeout;
  // While one replica of several has not broken off, its answer, or a failure, is due.
  const bool brokeOff =
    !aRuns.empty() && std::all_of(aRuns.begin(), aRuns.end(), [](const replica_run& aRun) {
      return aRun.mDisconnected;
    });
  return WasKilledBefore(aProcess, aRequest.mEndedAt) || deadlineReached || brokeOff ||
         IsAtWorkLate(aRequest, aRuns, aProcess, aBounds);
}

finding JudgeClosed(const request_record& aRequest,
                    const std::vector<replica_run>& aRuns,
                    const process_record& aProcess,
                    const soak_bounds& aBounds)
{
  if (aRuns.empty() && aRequest.mEndedAt - aRequest.mSentAt <= aBounds.mLossSlack) {
    return finding::Crossed;
  }
  if (IsExcused(aRequest, aRuns, aProcess, aBounds)) {
    return finding::Excused;
  }
  const bool stopping =
    aProcess.mStopAt != kNever && aRequest.mEndedAt >= aProcess.mStopAt &&
    aRequest.mEndedAt <= aProcess.mStopAt + aBounds.mGrace + std::chrono::seconds(1);
  return stopping ? finding::LostAtStop : finding::Lost;
}

std::string Since(instant aTime, instant aFrom)
{
  return aTime == kNever || aFrom == kNever ? "-" : MsText(aTime - aFrom);
}

std::string Describe(finding aFinding,
                     const request_record& aRequest,
                     const std::vector<replica_run>& aRuns,
                     const process_record& aProcess)
{
  const instant from = aProcess.mStopAt != kNever ? aProcess.mStopAt : aProcess.mStartedAt;
  std::string line =
    std::string(ToString(aFinding)) + " request=" + aRequest.mId + " route=" + aRequest.mRoute +
    " client=" + aRequest.mClient + " daemon=" + std::to_string(aRequest.mDaemon) + " since_" +
    (aProcess.mStopAt != kNever ? "stop" : "start") + "_ms: sent=" + Since(aRequest.mSentAt, from) +
    " ended=" + Since(aRequest.mEndedAt, from) +
    " process_ended=" + Since(aProcess.mEndedAt, from) +
    " status=" + std::to_string(aRequest.mStatus) + " close=\"" + aRequest.mCloseReason + "\"";
  for (const replica_run& run : aRuns) {
    line += " run=" + run.mReplica + " from=" + Since(run.mStartedAt, from) +
            " to=" + Since(run.mEndedAt, from) + " status=" + std::to_string(run.mStatus) +
            (run.mAborted ? " aborted" : "") + (run.mDisconnected ? " disconnected" : "");
  }
  return line;
}

bool IsBroken(finding aFinding)
{
  return aFinding != finding::Kept && aFinding != finding::Crossed && aFinding != finding::Excused;
}

} // namespace

const char* ToString(finding aFinding)
{
  switch (aFinding) {
    case finding::Kept:
      return "kept";
    case finding::Crossed:
      return "crossed";
    case finding::Excused:
      return "excused";
    case finding::LostAtStop:
      return "lost_at_stop";
    case finding::Lost:
      return "lost";
    case finding::RanTwice:
      return "ran_twice";
    case finding::RefusedButRan:
      return "refused_but_ran";
    case finding::WrongAnswer:
      return "wrong_answer";
    case finding::OlderVersion:
      return "older_version";
    case finding::WentBack:
      return "went_back";
    case finding::ReachedLeaving:
      return "reached_leaving";
    case finding::ReachedClosedZone:
      return "reached_closed_zone";
  }
  return "";
}

finding Judge(const request_record& aRequest,
              const std::vector<replica_run>& aRuns,
              const process_record& aProcess,
              const soak_bounds& aBounds)
{
  if (!aRequest.mIdempotent && aRuns.size() > 1) {
    return finding::RanTwice;
  }
  switch (aRequest.mEnd) {
    case request_end::Answered:
      if (!aRequest.mIsReply) {
        return finding::WrongAnswer;
      }
      return !aRequest.mIdempotent && IsNotRun(aRequest.mStatus) && !aRuns.empty()
               ? finding::RefusedButRan
               : finding::Kept;
    case request_end::Closed:
      return JudgeClosed(aRequest, aRuns, aProcess, aBounds);
    case request_end::GaveUp:
      // The client had waited beyond its deadline for an answer that was due before it.
      return WasKilledBefore(aProcess, aRequest.mEndedAt) ? finding::Excused : finding::Lost;
    case request_end::Malformed:
    case request_end::Unexpected:
      return finding::WrongAnswer;
  }
  return finding::WrongAnswer;
}

bool EndedByItself(const process_record& aProcess)
{
  return aProcess.mEndedAt != kNever && aProcess.mStopAt == kNever &&
         aProcess.mKilledAt == kNever && !EndedBeforeMain(aProcess);
}

bool EndedBeforeMain(const process_record& aProcess)
{
  return aProcess.mReloadedBeforeMain && aProcess.mEndSignal == SIGHUP;
}

bool ExceededItsGrace(const process_record& aProcess)
{
  return aProcess.mKilledAt != kNever && !aProcess.mKillPlanned;
}

std::size_t soak_result::Count(finding aFinding) const
{
  const auto found = mCounts.find(aFinding);
  return found == mCounts.end() ? 0 : found->second;
}

bool soak_result::IsClean() const
{
  return mEndedByThemselves == 0 && mExceededGrace == 0 &&
         std::all_of(mCounts.begin(), mCounts.end(), [](const auto& aEach) {
           return aEach.second == 0 || !IsBroken(aEach.first);
         });
}

soak_result JudgeAll(const soak_ledger& aLedger, const soak_bounds& aBounds)
{
  std::map<std::string, std::vector<replica_run>> runs;
  for (const replica_run& run : aLedger.mRuns) {
    runs[run.mRequestId].push_back(run);
  }
  soak_result result;
  const change_judge changes(aLedger, runs, aBounds);
  for (const request_record& request : aLedger.mRequests) {
    const std::vector<replica_run>& own = runs[request.mId];
    const process_record& record = ProcessOf(request, aLedger.mProcessRecords);
    const finding found = Judge(request, own, record, aBounds);
    ++result.mCounts[found];
    for (const finding each : changes.Judge(request, own, record)) {
      ++result.mCounts[each];
      result.mLines.push_back(Describe(each, request, own, record) +
                              changes.Describe(request, record));
    }
    result.mInTouch += changes.IsInTouch(request.mSentAt, record) ? 1 : 0;
    result.mRefused += request.mEnd == request_end::Answered && request.mStatus == 503 ? 1 : 0;
    if (IsBroken(found)) {
      result.mLines.push_back(Describe(found, request, own, record));
    }
  }
  for (const process_record& record : aLedger.mProcessRecords) {
    result.mEndedBeforeMain += EndedBeforeMain(record) ? 1 : 0;
    if (EndedByItself(record)) {
      ++result.mEndedByThemselves;
      result.mLines.push_back("ended_by_itself daemon=" + std::to_string(record.mDaemon) +
                              " after_ms=" + MsText(record.mEndedAt - record.mStartedAt) +
                              " signal=" + std::to_string(record.mEndSignal));
    }
    if (ExceededItsGrace(record)) {
      ++result.mExceededGrace;
      result.mLines.push_back("exceeded_its_grace daemon=" + std::to_string(record.mDaemon));
    }
  }
  return result;
}

} // namespace redwingdock::platform
