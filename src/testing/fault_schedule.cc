#include "testing/fault_schedule.h"

#include <algorithm>

namespace redwingdock::testing {

namespace {

constexpr micros kCheckInterval = std::chrono::milliseconds(100);
constexpr micros kWarmUp = std::chrono::seconds(4);
constexpr micros kRolloutInterval =
  std::chrono::milliseconds(50); // between two servers of a rollout
constexpr micros kEntryLifetime =
  std::chrono::seconds(11); // 10 s, plus 1 s until all daemons know of the stop
constexpr std::size_t kMaxViolations = 5;
constexpr std::size_t kMaxResends = 4;

class schedule_run
{
public:
  explicit schedule_run(const fault_schedule& aSchedule)
    : mSchedule(aSchedule)
    , mFleet(aSchedule.mFleet)
    , mLoadRandom(aSchedule.mFleet.mSeed * 31 + 7)
  {
  }

  schedule_result Run();

private:
  void Check();
  void ScheduleNextQuery();
  void SendRandomQuery();
  std::size_t PickDaemon();
  void ResendSubmit(const issued_query& aQuery, std::size_t aTries);
  void ScheduleResend(std::size_t aIndex, std::size_t aTries);
  void Begin(const fault& aFault);
  void BeginDaemonFault(const fault& aFault);
  void BeginServerFault(const fault& aFault);
  void End(const fault& aFault);
  void RollOut(std::uint64_t aVersion, std::uint32_t aMap);
  void SendCrashRequest(std::size_t aDaemon);
  std::size_t Daemon(const fault& aFault) const
  {
    return aFault.mTarget % mSchedule.mFleet.mDaemons;
  }
  fake_server& Server(const fault& aFault)
  {
    return *mFleet.Servers()[aFault.mTarget % mFleet.Servers().size()];
  }

  const fault_schedule& mSchedule;
  fake_fleet mFleet;
  seeded_random mLoadRandom;
  instant mEnd{};
  std::set<std::uint64_t> mCheckedSearches;
  std::map<std::size_t, instant> mStopRequestedAt;
  std::uint64_t mNextKey = 1;
  std::uint64_t mVersion = 40;
  std::uint32_t mMap = 3;
  schedule_result mResult;
};

void schedule_run::Check()
{
  if (mResult.mViolations.size() >= kMaxViolations) {
    return;
  }
  std::vector<std::string> found = CheckServers(mFleet);
  const std::vector<std::string> answers = CheckAnswers(mFleet, mCheckedSearches);
  found.insert(found.end(), answers.begin(), answers.end());
  for (const std::string& each : found) {
    const bool known = std::any_of(
      mResult.mViolations.begin(), mResult.mViolations.end(), [&each](const std::string& aOld) {
        return aOld.find(each) != std::string::npos;
      });
    if (!known && mResult.mViolations.size() < kMaxViolations) {
      mResult.mViolations.push_back(std::to_string(ToMs(mFleet.Events().Now().time_since_epoch())) +
                                    " ms: " + each);
    }
  }
}

// Callers use only daemons that have a process; a paused one can't be told from a running one. A
// stopping daemon is no longer listed in entry answers, and callers leave it when the lifetime of
// their last entry answer ends.
std::size_t schedule_run::PickDaemon()
{
  for (int i = 0; i < 20; ++i) {
    const std::size_t daemon = mLoadRandom.NextBelow(mFleet.DaemonCount());
    const auto stop = mStopRequestedAt.find(daemon);
    const bool left =
      stop != mStopRequestedAt.end() && mFleet.Events().Now() > stop->second + kEntryLifetime;
    if (!left && mFleet.HasProcess(daemon)) {
      return daemon;
    }
  }
  return 0;
}

void schedule_run::SendRandomQuery()
{
  const std::size_t daemon = PickDaemon();
  query_request request;
  const bool submit = mLoadRandom.NextBelow(100) < mSchedule.mSubmitPercent;
  request.mRoute = submit ? "submit" : "search";
  if (submit) {
    request.mFilter["id"] = "case-" + std::to_string(mLoadRandom.NextBelow(256));
    request.mRequestKey = mFleet.KeyPrefix(daemon) + "k" + std::to_string(mNextKey++);
  }
  const std::size_t index = mFleet.SendQuery(daemon, request, mSchedule.mDeadline);
  if (submit) {
    ScheduleResend(index, 0);
  }
}

// After the deadline the caller resends an open submit under the same key to another daemon.
void schedule_run::ScheduleResend(std::size_t aIndex, std::size_t aTries)
{
  mFleet.Events().After(
    mSchedule.mDeadline + std::chrono::milliseconds(20), [this, aIndex, aTries] {
      const issued_query query = mFleet.Queries()[aIndex];
      const bool open = query.mAnswerCount == 0 || query.mAnswer.mOutcome == outcome::Unknown;
      if (open && aTries < kMaxResends) {
        ResendSubmit(query, aTries + 1);
      }
    });
}

void schedule_run::ResendSubmit(const issued_query& aQuery, std::size_t aTries)
{
  query_request request = aQuery.mRequest;
  ScheduleResend(mFleet.SendQuery(PickDaemon(), request, mSchedule.mDeadline), aTries);
}

void schedule_run::ScheduleNextQuery()
{
  const auto gap = static_cast<std::int64_t>(2.0 * mLoadRandom.NextDouble() *
                                             static_cast<double>(mSchedule.mMeanInterval.count()));
  mFleet.Events().After(micros(gap + 1), [this] {
    if (mFleet.Events().Now() < mEnd) {
      SendRandomQuery();
      ScheduleNextQuery();
    }
  });
}

void schedule_run::RollOut(std::uint64_t aVersion, std::uint32_t aMap)
{
  const index_version before{ mVersion, mMap };
  const index_version after{ aVersion, aMap };
  micros delay{ 0 };
  for (const auto& server : mFleet.Servers()) {
    fake_server* target = server.get();
    delay += kRolloutInterval;
    mFleet.Events().After(delay, [target, before, after] {
      target->SetVersions({ before, after });
    });
  }
  for (const auto& server : mFleet.Servers()) {
    fake_server* target = server.get();
    delay += kRolloutInterval;
    mFleet.Events().After(delay, [target, after] { target->SetVersions({ after }); });
  }
  mVersion = aVersion;
  mMap = aMap;
}

void schedule_run::SendCrashRequest(std::size_t aDaemon)
{
  if (aDaemon >= mSchedule.mFleet.mDaemons) {
    return;
  }
  query_request request;
  request.mRoute = "search";
  request.mFilter = { { "crash", "yes" }, { "tag", "crash" } };
  mFleet.SendQuery(aDaemon, request, mSchedule.mDeadline);
  mFleet.Events().After(mSchedule.mDeadline, [this, aDaemon] { SendCrashRequest(aDaemon + 1); });
}

void schedule_run::BeginDaemonFault(const fault& aFault)
{
  const std::size_t daemon = Daemon(aFault);
  switch (aFault.mKind) {
    case fault_kind::KillDaemon:
      mFleet.Kill(daemon);
      break;
    case fault_kind::RestartDaemon:
      mFleet.Kill(daemon);
      mFleet.Start(daemon);
      break;
    case fault_kind::PauseDaemon:
      mFleet.Pause(daemon);
      break;
    case fault_kind::StopDaemon:
      mFleet.RequestStop(daemon);
      mStopRequestedAt[daemon] = mFleet.Events().Now();
      break;
    case fault_kind::CutFromPlatform:
      mFleet.SetPlatformReachable(daemon, false);
      break;
    case fault_kind::ReplaceVm:
      mFleet.SetPlatformReachable(daemon, false);
      mFleet.Partition({ daemon });
      mFleet.ReplaceVm(daemon, "vm-new-" + std::to_string(mFleet.DaemonCount()));
      break;
    default:
      break;
  }
}

void schedule_run::BeginServerFault(const fault& aFault)
{
  fake_server& server = Server(aFault);
  switch (aFault.mKind) {
    case fault_kind::CrashServer:
      server.Crash(std::chrono::seconds(2));
      break;
    case fault_kind::TurnServerCold:
      server.TurnCold();
      break;
    case fault_kind::SilenceConnections:
      mFleet.Silence(aFault.mCount % mSchedule.mFleet.mDaemons, server.Options().mName);
      break;
    case fault_kind::SlowServer:
      server.Faults().mExtraServiceTime = std::chrono::milliseconds(40);
      break;
    case fault_kind::StragglerServer:
      server.Faults().mStragglerShare = 0.1;
      break;
    case fault_kind::DrainServer:
      mFleet.SetServerDraining(server.Options().mName, true);
      break;
    default:
      break;
  }
}

void schedule_run::Begin(const fault& aFault)
{
  BeginDaemonFault(aFault);
  BeginServerFault(aFault);
  switch (aFault.mKind) {
    case fault_kind::PartitionDaemons: {
      std::set<std::size_t> group;
      for (std::size_t i = 0; i < aFault.mCount; ++i) {
        group.insert((aFault.mTarget + i) % mSchedule.mFleet.mDaemons);
      }
      mFleet.Partition(group);
      break;
    }
    case fault_kind::PlatformDown:
      mFleet.SetPlatformDown(true);
      break;
    case fault_kind::CloseZone:
      mFleet.CloseZone(mFleet.ZoneOf(aFault.mTarget));
      break;
    case fault_kind::NewVersion:
      RollOut(mVersion + 1, mMap);
      break;
    case fault_kind::Repartition:
      RollOut(mVersion + 1, mMap == 3 ? 4 : 3);
      break;
    case fault_kind::CrashRequest:
      SendCrashRequest(0);
      break;
    default:
      break;
  }
  if (aFault.mDuration.count() > 0) {
    mFleet.Events().After(aFault.mDuration, [this, aFault] { End(aFault); });
  }
}

void schedule_run::End(const fault& aFault)
{
  switch (aFault.mKind) {
    case fault_kind::KillDaemon:
      mFleet.Start(Daemon(aFault));
      break;
    case fault_kind::PauseDaemon:
      mFleet.Resume(Daemon(aFault));
      break;
    case fault_kind::PartitionDaemons:
    case fault_kind::ReplaceVm:
      mFleet.HealPartition();
      break;
    case fault_kind::PlatformDown:
      mFleet.SetPlatformDown(false);
      break;
    case fault_kind::CutFromPlatform:
      mFleet.SetPlatformReachable(Daemon(aFault), true);
      break;
    case fault_kind::SlowServer:
      Server(aFault).Faults().mExtraServiceTime = micros(0);
      break;
    case fault_kind::StragglerServer:
      Server(aFault).Faults().mStragglerShare = 0.0;
      break;
    case fault_kind::DrainServer:
      mFleet.SetServerDraining(Server(aFault).Options().mName, false);
      break;
    case fault_kind::CloseZone:
      mFleet.ReopenZone(mFleet.ZoneOf(aFault.mTarget));
      break;
    default:
      break;
  }
}

schedule_result schedule_run::Run()
{
  mFleet.RunFor(kWarmUp);
  mEnd = mFleet.Events().Now() + mSchedule.mLoadDuration;
  if (mSchedule.mPrepare) {
    mSchedule.mPrepare(mFleet);
  }
  ScheduleNextQuery();
  for (const fault& each : mSchedule.mFaults) {
    mFleet.Events().After(each.mAt, [this, each] { Begin(each); });
  }
  mFleet.Events().After(mSchedule.mLoadDuration, [this] {
    for (std::size_t i = 0; i < mFleet.DaemonCount(); ++i) {
      mResult.mDaemonsStopped += mFleet.HasStopped(i) ? 1 : 0;
    }
  });
  while (mFleet.Events().Now() < mEnd + std::chrono::seconds(6)) {
    mFleet.RunFor(kCheckInterval);
    Check();
  }
  // Resumes daemons that are still paused, since they must answer before answers are counted.
  for (std::size_t i = 0; i < mFleet.DaemonCount(); ++i) {
    mFleet.Resume(i);
  }
  mFleet.RunFor(std::chrono::seconds(2));
  Check();
  for (const std::string& each : CheckAllAnswered(mFleet)) {
    if (mResult.mViolations.size() < kMaxViolations) {
      mResult.mViolations.push_back("at the end: " + each);
    }
  }
  for (const auto& server : mFleet.Servers()) {
    mResult.mServersLost += server->Counts().mCrashes;
  }
  mResult.mTotals = ComputeTotals(mFleet);
  mResult.mLog = mFleet.LogLines();
  return std::move(mResult);
}

} // namespace

const char* ToString(fault_kind aKind)
{
  switch (aKind) {
    case fault_kind::KillDaemon:
      return "kill daemon";
    case fault_kind::RestartDaemon:
      return "restart daemon";
    case fault_kind::PauseDaemon:
      return "pause daemon";
    case fault_kind::PartitionDaemons:
      return "partition daemons";
    case fault_kind::PlatformDown:
      return "platform down";
    case fault_kind::CutFromPlatform:
      return "cut daemon from platform";
    case fault_kind::ReplaceVm:
      return "replace VM";
    case fault_kind::CrashServer:
      return "crash server";
    case fault_kind::TurnServerCold:
      return "turn server cold";
    case fault_kind::SilenceConnections:
      return "silence connections";
    case fault_kind::SlowServer:
      return "slow server";
    case fault_kind::StragglerServer:
      return "straggler server";
    case fault_kind::DrainServer:
      return "drain server";
    case fault_kind::CloseZone:
      return "close zone";
    case fault_kind::NewVersion:
      return "new version";
    case fault_kind::Repartition:
      return "repartition";
    case fault_kind::CrashRequest:
      return "crash request";
    case fault_kind::StopDaemon:
      return "stop daemon";
  }
  return "";
}

std::string Describe(const fault_schedule& aSchedule)
{
  std::string text = "seed " + std::to_string(aSchedule.mFleet.mSeed);
  for (const fault& each : aSchedule.mFaults) {
    text += "; " + std::to_string(ToMs(each.mAt)) + " ms " + ToString(each.mKind) + " " +
            std::to_string(each.mTarget) + "/" + std::to_string(each.mCount) + " for " +
            std::to_string(ToMs(each.mDuration)) + " ms";
  }
  return text;
}

fault_schedule MakeRandomSchedule(std::uint64_t aSeed)
{
  constexpr std::uint64_t kKinds = static_cast<std::uint64_t>(fault_kind::StopDaemon) + 1;
  seeded_random random(aSeed);
  fault_schedule schedule;
  schedule.mFleet.mSeed = aSeed;
  schedule.mFleet.mSlots = 2 + static_cast<std::uint32_t>(random.NextBelow(2));
  schedule.mFleet.mConnections = schedule.mFleet.mSlots == 2 ? 25 : 30;
  const std::uint64_t faults = 1 + random.NextBelow(4);
  for (std::uint64_t i = 0; i < faults; ++i) {
    fault each;
    each.mKind = static_cast<fault_kind>(random.NextBelow(kKinds));
    each.mAt = micros(static_cast<std::int64_t>(random.NextBelow(6'000'000)));
    each.mDuration = micros(static_cast<std::int64_t>(500'000 + random.NextBelow(9'500'000)));
    each.mTarget = random.NextBelow(60);
    each.mCount = 1 + random.NextBelow(2);
    schedule.mFaults.push_back(each);
  }
  return schedule;
}

schedule_result RunSchedule(const fault_schedule& aSchedule)
{
  return schedule_run(aSchedule).Run();
}

} // namespace redwingdock::testing
