#include "testing/fake_server.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace redwingdock::testing {

namespace {

constexpr std::uint32_t kRepliesPerStep =
  8; // successful replies that raise cold capacity by one slot
constexpr std::uint32_t kPositionsPerRecord = 16;

// Time after which all reachable daemons must know that the server is cold. The permit holder that
// learns it from a reply informs them at once, and two hops between daemons plus the hops to the
// server take less than this.
constexpr micros kColdNoticeDelay = std::chrono::milliseconds(20);

std::string TagOf(const part_request& aRequest)
{
  if (!aRequest.mRequestKey.empty()) {
    return aRequest.mRequestKey;
  }
  const auto tag = aRequest.mFilter.find("tag");
  return tag == aRequest.mFilter.end() ? std::string() : tag->second;
}

} // namespace

fake_server::fake_server(server_options aOptions, event_queue& aEvents, std::uint64_t aSeed)
  : mOptions(std::move(aOptions))
  , mEvents(aEvents)
  , mRandom(aSeed)
  , mCold(mOptions.mStartsCold)
  , mColdSince(aEvents.Now())
{
}

bool fake_server::Connect(const std::string& aConnection, std::function<void()> aOnLost)
{
  if (mFaults.mDead) {
    return false;
  }
  if (mConnections.size() >= mOptions.mConnections) {
    ++mCounts.mOverConnections;
    return false;
  }
  mConnections[aConnection] = std::move(aOnLost);
  mCounts.mMaxConnections =
    std::max(mCounts.mMaxConnections, static_cast<std::uint32_t>(mConnections.size()));
  return true;
}

void fake_server::Disconnect(const std::string& aConnection)
{
  mConnections.erase(aConnection);
}

void fake_server::AbandonConnection(const std::string& aConnection, micros aTimeout)
{
  const auto found = mConnections.find(aConnection);
  if (found == mConnections.end()) {
    return;
  }
  found->second = [] {};
  mEvents.After(aTimeout, [this, aConnection] { mConnections.erase(aConnection); });
}

server_evidence fake_server::Evidence() const
{
  server_mode mode = server_mode::Warm;
  if (mFaults.mDraining) {
    mode = server_mode::Draining;
  } else if (mCold && !mFaults.mReportsWarm) {
    mode = server_mode::Cold;
  }
  return { mOptions.mName + "-" + std::to_string(mEpoch), mode, mVersions };
}

std::uint32_t fake_server::Capacity() const
{
  return mCold ? std::min(mOptions.mSlots, 1 + mRepliesSinceCold / kRepliesPerStep)
               : mOptions.mSlots;
}

void fake_server::Refuse(const part_request& aRequest,
                         part_failure aFailure,
                         const reply_hook& aReply)
{
  part_reply reply;
  reply.mAttempt = aRequest.mAttempt;
  reply.mResult = part_result::NotRun;
  reply.mFailure = aFailure;
  reply.mServer = mOptions.mName;
  reply.mShard = mOptions.mShard;
  reply.mEvidence = Evidence();
  reply.mReason = { "send part", mOptions.mName, ToString(aFailure) };
  aReply(reply);
}

bool fake_server::IsKnownCold(std::size_t aDaemon) const
{
  const instant noticedBefore = mEvents.Now() - kColdNoticeDelay;
  return mStartedAt < noticedBefore ||
         std::any_of(mColdReportedAt.begin(), mColdReportedAt.end(), [&](const auto& aReport) {
           const auto& [daemon, at] = aReport;
           return at < noticedBefore && (daemon == aDaemon || mOptions.mCanReach(daemon, aDaemon));
         });
}

void fake_server::Run(std::size_t aDaemon,
                      const part_request& aRequest,
                      micros aRemaining,
                      reply_hook aReply)
{
  if (mFaults.mDead) {
    return;
  }
  mCounts.mLastWork = mEvents.Now();
  if (mRunning.size() >= mOptions.mSlots) {
    ++mCounts.mOverSlots;
    Refuse(aRequest, part_failure::Shed, aReply);
    return;
  }
  if (mCold && mRunning.size() >= Capacity() && IsKnownCold(aDaemon)) {
    ++mCounts.mColdOverloads;
    Crash(std::chrono::seconds(2));
    return;
  }
  if (mFaults.mDraining) {
    Refuse(aRequest, part_failure::Draining, aReply);
  } else if (aRequest.mShard != mOptions.mShard || aRequest.mServer != mOptions.mName) {
    Refuse(aRequest, part_failure::WrongTarget, aReply);
  } else {
    Start(aDaemon, aRequest, aRemaining, std::move(aReply));
  }
}

void fake_server::Start(std::size_t aDaemon,
                        const part_request& aRequest,
                        micros aRemaining,
                        reply_hook aReply)
{
  const std::uint64_t version =
    aRequest.mVersion == 0 && !mVersions.empty() ? mVersions.back().mVersion : aRequest.mVersion;
  const auto served =
    std::find_if(mVersions.begin(), mVersions.end(), [version](const index_version& aVersion) {
      return aVersion.mVersion == version;
    });
  if (served == mVersions.end()) {
    Refuse(aRequest, part_failure::VersionGone, aReply);
    return;
  }
  ++mCounts.mRuns;
  ++mRunsByRequest[TagOf(aRequest)];
  mRunning[aRequest.mAttempt] = { mEpoch, aDaemon, std::move(aReply) };
  mCounts.mMaxConcurrent =
    std::max(mCounts.mMaxConcurrent, static_cast<std::uint32_t>(mRunning.size()));
  micros service = mOptions.mServiceTime / 2 + mFaults.mExtraServiceTime +
                   micros(static_cast<std::int64_t>(
                     static_cast<double>(mOptions.mServiceTime.count()) * mRandom.NextDouble()));
  if (mRandom.NextDouble() < mFaults.mStragglerShare) {
    service += mFaults.mStragglerDelay;
  }
  if (mCold) {
    service *= 3;
  }
  if (aRequest.mFilter.contains("crash")) {
    mEvents.After(service, [this, epoch = mEpoch] {
      if (epoch == mEpoch && !mFaults.mDead) {
        Crash(std::chrono::seconds(2));
      }
    });
    return;
  }
  const std::uint64_t epoch = mEpoch;
  if (service >= aRemaining) {
    // The server abandons the run at the deadline and sends no reply.
    mEvents.After(aRemaining, [this, attempt = aRequest.mAttempt] { mRunning.erase(attempt); });
    return;
  }
  mEvents.After(service, [this, aRequest, epoch, version] { FinishRun(aRequest, epoch, version); });
}

void fake_server::FinishRun(const part_request& aRequest,
                            std::uint64_t aEpoch,
                            std::uint64_t aVersion)
{
  const auto running = mRunning.find(aRequest.mAttempt);
  if (aEpoch != mEpoch || running == mRunning.end()) {
    return;
  }
  const reply_hook send = running->second.mReply;
  const std::size_t daemon = running->second.mDaemon;
  mRunning.erase(running);
  const auto served =
    std::find_if(mVersions.begin(), mVersions.end(), [aVersion](const index_version& aEach) {
      return aEach.mVersion == aVersion;
    });
  part_reply reply;
  reply.mAttempt = aRequest.mAttempt;
  reply.mServer = mOptions.mName;
  reply.mShard = mOptions.mShard;
  reply.mVersion = aVersion;
  if (served == mVersions.end()) {
    // The version was retired while the part ran, so there is no usable result.
    reply.mResult = part_result::Unknown;
    reply.mFailure = part_failure::VersionGone;
    reply.mEvidence = Evidence();
    reply.mReason = { "run part", mOptions.mName, "the index version was retired during the run" };
    send(reply);
    return;
  }
  reply.mMap = served->mMap;
  reply.mResult = part_result::Answered;
  const auto ranges = mOptions.mRanges.find(served->mMap);
  if (ranges != mOptions.mRanges.end()) {
    reply.mRecords = Scan(ranges->second, aVersion);
  }
  if (mCold) {
    mColdReportedAt.emplace(daemon, mEvents.Now());
    ++mRepliesSinceCold;
    if (mRepliesSinceCold >= kRepliesPerStep * mOptions.mSlots) {
      mCold = false;
      mCounts.mWarmAt = mEvents.Now();
    }
  }
  reply.mEvidence = Evidence();
  send(reply);
}

void fake_server::Cancel(const attempt_id& aAttempt)
{
  const auto running = mRunning.find(aAttempt);
  if (running == mRunning.end()) {
    return;
  }
  const reply_hook send = running->second.mReply;
  mRunning.erase(running);
  part_reply reply;
  reply.mAttempt = aAttempt;
  reply.mResult = part_result::Unknown;
  reply.mFailure = part_failure::Cancelled;
  reply.mServer = mOptions.mName;
  reply.mShard = mOptions.mShard;
  reply.mEvidence = Evidence();
  reply.mReason = { "run part", mOptions.mName, "the run was cancelled" };
  send(reply);
}

void fake_server::Crash(micros aDownFor)
{
  ++mCounts.mCrashes;
  ++mEpoch;
  mFaults.mDead = true;
  mRunning.clear();
  const auto connections = std::exchange(mConnections, {});
  for (const auto& [connection, lost] : connections) {
    lost();
  }
  mEvents.After(aDownFor, [this, epoch = mEpoch] {
    if (epoch == mEpoch) {
      mFaults.mDead = false;
      mCold = true;
      mRepliesSinceCold = 0;
      mColdSince = mEvents.Now();
      mColdReportedAt.clear();
      mStartedAt = mEvents.Now();
    }
  });
}

void fake_server::TurnCold()
{
  mCold = true;
  mRepliesSinceCold = 0;
  mColdSince = mEvents.Now();
  mColdReportedAt.clear();
  mStartedAt = kNever;
}

std::vector<record> fake_server::Scan(const position_ranges& aRanges, std::uint64_t aVersion)
{
  // The ids hash to positions over the whole space. Each record contains its version, so that an
  // answer mixed from two versions is detected.
  static const std::vector<std::pair<std::uint32_t, std::string>> kIds = [] {
    std::vector<std::pair<std::uint32_t, std::string>> ids;
    for (std::uint32_t i = 0; i < kPositions / kPositionsPerRecord; ++i) {
      const std::string id = "case-" + std::to_string(i);
      ids.emplace_back(PositionOf(id), id);
    }
    return ids;
  }();
  std::vector<record> found;
  for (const auto& [position, id] : kIds) {
    for (const position_range& range : aRanges) {
      if (range.mFrom <= position && position < range.mTo) {
        found.push_back({ id, { { "version", std::to_string(aVersion) } } });
      }
    }
  }
  return found;
}

} // namespace redwingdock::testing
