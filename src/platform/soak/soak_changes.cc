#include "platform/soak/soak_changes.h"

#include "base/log_text.h"

#include <algorithm>

namespace redwingdock::platform {

namespace {

constexpr unsigned kNotFound = 404;
constexpr int kSlowedFactor = 8;

// Whether the version sends the route to the service.
bool Allows(const version_routes& aVersion, const std::string& aRoute, const std::string& aService)
{
  const auto found = aVersion.find(aRoute);
  return found != aVersion.end() && (found->second.empty() || found->second == aService);
}

// How a request was handled, as far as the configuration decides it.
struct handling
{
  std::vector<std::string> mServices; // that ran it
  bool mNotFound = false;
};

bool Allows(const version_routes& aVersion, const std::string& aRoute, const handling& aHandling)
{
  if (aHandling.mNotFound && aVersion.contains(aRoute)) {
    return false;
  }
  return std::all_of(
    aHandling.mServices.begin(), aHandling.mServices.end(), [&](const std::string& aService) {
      return Allows(aVersion, aRoute, aService);
    });
}

handling HandlingOf(const request_record& aRequest,
                    const std::vector<replica_run>& aRuns,
                    const change_ledger& aWritten)
{
  handling found;
  for (const replica_run& run : aRuns) {
    if (const auto place = aWritten.mReplicas.find(run.mReplica);
        place != aWritten.mReplicas.end()) {
      found.mServices.push_back(place->second.mService);
    }
  }
  found.mNotFound =
    aRuns.empty() && aRequest.mEnd == request_end::Answered && aRequest.mStatus == kNotFound;
  return found;
}

} // namespace

const process_record& ProcessOf(const request_record& aRequest,
                                const std::vector<process_record>& aProcesses)
{
  static const process_record kUnknown;
  const process_record* found = &kUnknown;
  for (const process_record& each : aProcesses) {
    if (each.mDaemon == aRequest.mDaemon && each.mStartedAt <= aRequest.mSentAt) {
      found = &each; // records are in the order of their starts
    }
  }
  return *found;
}

change_judge::change_judge(const soak_ledger& aLedger,
                           const std::map<std::string, std::vector<replica_run>>& aRuns,
                           const soak_bounds& aBounds)
  : mLedger(aLedger)
  , mWritten(aLedger.mWritten)
  , mBounds(aBounds)
{
  for (const request_record& request : mLedger.mRequests) {
    const auto runs = aRuns.find(request.mId);
    if (runs == aRuns.end()) {
      continue;
    }
    const process_record& process = ProcessOf(request, mLedger.mProcessRecords);
    for (const replica_run& run : runs->second) {
      const handling handled = HandlingOf(request, { run }, mWritten);
      const auto first = std::find_if(
        mWritten.mVersions.begin(), mWritten.mVersions.end(), [&](const auto& aVersion) {
          return Allows(aVersion.second, request.mRoute, handled);
        });
      if (first != mWritten.mVersions.end()) {
        std::uint64_t& seen = mSeen[{ process.mDaemon, process.mStartedAt }][run.mStartedAt];
        seen = std::max(seen, first->first);
      }
    }
  }
  for (auto& [process, seen] : mSeen) {
    std::uint64_t latest = 0;
    for (auto& [at, version] : seen) {
      version = latest = std::max(latest, version);
    }
  }
}

std::vector<finding> change_judge::Judge(const request_record& aRequest,
                                         const std::vector<replica_run>& aRuns,
                                         const process_record& aProcess) const
{
  std::vector<finding> found;
  if (const auto latest = LatestAllowing(aRequest, aRuns)) {
    if (*latest < DueVersion(aRequest.mSentAt, aProcess)) {
      found.push_back(finding::OlderVersion);
    }
    if (*latest < SeenVersion(aRequest.mSentAt, aProcess)) {
      found.push_back(finding::WentBack);
    }
  }
  if (std::any_of(aRuns.begin(), aRuns.end(), [&](const replica_run& aRun) {
        return ReachesLeaving(aRun, aProcess);
      })) {
    found.push_back(finding::ReachedLeaving);
  }
  if (std::any_of(aRuns.begin(), aRuns.end(), [&](const replica_run& aRun) {
        return ReachesClosedZone(aRun, aProcess);
      })) {
    found.push_back(finding::ReachedClosedZone);
  }
  return found;
}

std::string change_judge::Describe(const request_record& aRequest,
                                   const process_record& aProcess) const
{
  const auto span =
    std::max_element(mWritten.mStoreDisturbances.begin(), mWritten.mStoreDisturbances.end());
  return " due_version=" + std::to_string(DueVersion(aRequest.mSentAt, aProcess)) +
         " seen_version=" + std::to_string(SeenVersion(aRequest.mSentAt, aProcess)) +
         (span == mWritten.mStoreDisturbances.end() || span->mTo == kNever
            ? ""
            : " sent_after_store_disturbance_ms=" + MsText(aRequest.mSentAt - span->mTo));
}

std::optional<std::uint64_t> change_judge::LatestAllowing(
  const request_record& aRequest,
  const std::vector<replica_run>& aRuns) const
{
  const handling handled = HandlingOf(aRequest, aRuns, mWritten);
  if (handled.mServices.empty() && !handled.mNotFound) {
    return std::nullopt;
  }
  std::uint64_t latest = 0;
  for (const auto& [version, routes] : mWritten.mVersions) {
    if (Allows(routes, aRequest.mRoute, handled)) {
      latest = version;
    }
  }
  return latest;
}

instant change_judge::DisturbedAt(instant aTime, const process_record& aProcess) const
{
  instant latest = aProcess.mStartedAt;
  for (const instant each : { aProcess.mStopAt, aProcess.mKilledAt }) {
    if (each <= aTime) {
      latest = std::max(latest, each);
    }
  }
  for (const time_span& each : mWritten.mStoreDisturbances) {
    if (each.mFrom <= aTime) {
      latest = std::max(latest, std::min(each.mTo, aTime));
    }
  }
  return latest;
}

bool change_judge::IsInTouch(instant aTime, const process_record& aProcess) const
{
  return !mWritten.mSlowed && aTime > DisturbedAt(aTime, aProcess) + mBounds.mDisturbanceTime;
}

bool change_judge::IsDue(const acknowledged_change& aChange,
                         micros aBound,
                         instant aTime,
                         const process_record& aProcess) const
{
  // What the store has lost is known to the processes in which it was due before.
  const instant latest = std::min(aTime, aChange.mLostAt);
  return latest > aChange.mAt + aBound && IsInTouch(aTime, aProcess) &&
         (latest == aTime || IsInTouch(latest - micros(1), aProcess));
}

std::uint64_t change_judge::DueVersion(instant aTime, const process_record& aProcess) const
{
  std::uint64_t due = 0;
  for (const acknowledged_change& each : mWritten.mChanges) {
    if (each.mKind == change_kind::Version && IsDue(each, mBounds.mVersionBound, aTime, aProcess)) {
      due = std::max(due, each.mVersion);
    }
  }
  return due;
}

std::uint64_t change_judge::SeenVersion(instant aTime, const process_record& aProcess) const
{
  const auto seen = mSeen.find({ aProcess.mDaemon, aProcess.mStartedAt });
  if (seen == mSeen.end()) {
    return 0;
  }
  const micros slack = mBounds.mRollbackSlack * (mWritten.mSlowed ? kSlowedFactor : 1);
  const auto later = seen->second.lower_bound(aTime - slack);
  return later == seen->second.begin() ? 0 : std::prev(later)->second;
}

bool change_judge::ReachesLeaving(const replica_run& aRun, const process_record& aProcess) const
{
  return std::any_of(
    mWritten.mChanges.begin(), mWritten.mChanges.end(), [&](const acknowledged_change& aChange) {
      return aChange.mKind == change_kind::ReplicaLeaves && aChange.mName == aRun.mReplica &&
             IsDue(aChange, mBounds.mLeavingBound, aRun.mStartedAt, aProcess);
    });
}

bool change_judge::ReachesClosedZone(const replica_run& aRun, const process_record& aProcess) const
{
  const auto place = mWritten.mReplicas.find(aRun.mReplica);
  if (place == mWritten.mReplicas.end()) {
    return false;
  }
  const auto isOfZone = [&](const acknowledged_change& aChange, change_kind aKind) {
    return aChange.mKind == aKind && aChange.mName == place->second.mZone;
  };
  instant opened{};
  for (const acknowledged_change& each : mWritten.mChanges) {
    if (isOfZone(each, change_kind::ZoneOpens) && each.mAt <= aRun.mStartedAt) {
      opened = std::max(opened, each.mAt);
    }
  }
  return std::any_of(
    mWritten.mChanges.begin(), mWritten.mChanges.end(), [&](const acknowledged_change& aChange) {
      return isOfZone(aChange, change_kind::ZoneCloses) && aChange.mAt >= opened &&
             IsDue(aChange, mBounds.mClosedZoneBound, aRun.mStartedAt, aProcess);
    });
}

} // namespace redwingdock::platform
