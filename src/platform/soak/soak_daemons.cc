#include "platform/soak/soak_daemons.h"

#include "base/command_line.h"
#include "platform/soak/soak_process.h"

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sys/wait.h>
#include <unistd.h>

namespace redwingdock::platform {

namespace {

constexpr micros kQuotaPeriod = std::chrono::milliseconds(100);
constexpr std::size_t kFirstHost = 10;
constexpr micros kLogReaderTime = std::chrono::milliseconds(1500); // until it goes away

// Reads the signal masks of a process.
bool BlocksOrHandles(pid_t aPid, int aSignal)
{
  constexpr int kHexadecimal = 16;
  std::ifstream status("/proc/" + std::to_string(aPid) + "/status");
  std::uint64_t masks = 0;
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("SigBlk:") || line.starts_with("SigCgt:") || line.starts_with("SigIgn:")) {
      masks |= std::strtoull(line.c_str() + line.find(':') + 1, nullptr, kHexadecimal);
    }
  }
  return (masks >> static_cast<unsigned>(aSignal - 1) & 1U) != 0;
}

} // namespace

soak_daemons::soak_daemons(io_loop& aLoop, soak_process_options aOptions, start_hook aOnStart)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
  , mOnStart(std::move(aOnStart))
  , mProcesses(mOptions.mDaemons)
{
}

soak_daemons::~soak_daemons()
{
  std::vector<std::thread> waiters;
  {
    const std::lock_guard lock(mLock);
    mEnding = true;
    for (process& each : mProcesses) {
      if (each.mPid != 0) {
        ::kill(each.mPid, SIGCONT);
        ::kill(each.mPid, SIGKILL);
      }
      waiters.push_back(std::move(each.mWaiter));
    }
    std::move(mEndedWaiters.begin(), mEndedWaiters.end(), std::back_inserter(waiters));
  }
  for (std::thread& each : waiters) {
    if (each.joinable()) {
      each.join();
    }
  }
}

std::string soak_daemons::Ip(std::size_t aDaemon) const
{
  return mOptions.mNetwork + "." + std::to_string(kFirstHost + aDaemon);
}

std::string soak_daemons::CallerAddress(std::size_t aDaemon) const
{
  return Ip(aDaemon) + ":8104";
}

std::string soak_daemons::DirectoryAddress(std::size_t aDaemon) const
{
  return Ip(aDaemon) + ":8100";
}

std::string soak_daemons::ReadinessAddress(std::size_t aDaemon) const
{
  return Ip(aDaemon) + ":8108";
}

std::optional<std::size_t> soak_daemons::DaemonAt(const std::string& aCallerAddress) const
{
  for (std::size_t i = 0; i < mOptions.mDaemons; ++i) {
    if (CallerAddress(i) == aCallerAddress) {
      return i;
    }
  }
  return std::nullopt;
}

void soak_daemons::WriteSettings(std::size_t aDaemon, std::uint32_t aReloads) const
{
  const std::string ip = Ip(aDaemon);
  const std::string seeds =
    "\"" + Ip(0) + ":8106\", \"" + Ip(1) + ":8106\", \"" + Ip(mOptions.mDaemons - 1) + ":8106\"";
  const std::string text =
    "vm: front-" + std::to_string(aDaemon) + "\nzone: zone-" + std::to_string(aDaemon % 4) +
    "\nlisten: {callers: \"" + CallerAddress(aDaemon) + "\", readiness: \"" +
    ReadinessAddress(aDaemon) + "\", addresses: \"" + DirectoryAddress(aDaemon) + "\", peers: \"" +
    ip + ":7380\", metrics: \"" + ip + ":9464\"}\nstore: \"" + mOptions.mStore + "\"\nseeds: [" +
    seeds + "]\nforwarding: {repeat_slack: " + std::to_string(54 + aReloads) +
    ", most_daemons: " + std::to_string(std::max<std::size_t>(10, mOptions.mDaemons)) + "}\n";
  const std::string file = mOptions.mFolder + "/" + std::to_string(aDaemon) + ".yaml";
  if (const auto failed = WriteFile(file, text)) {
    std::fprintf(stderr, "redwingdock_edge_soak: %s\n", redwingdock::Describe(*failed).c_str());
  }
}

void soak_daemons::StartAll()
{
  for (std::size_t i = 0; i < mOptions.mDaemons; ++i) {
    WriteSettings(i, 0);
    Start(i);
  }
  if (mOptions.mQuota > micros(0)) {
    ApplyQuota(true);
  }
}

void soak_daemons::Start(std::size_t aDaemon)
{
  if (Launch(aDaemon)) {
    std::size_t earlier = 0;
    {
      const std::lock_guard lock(mLock);
      earlier = mProcesses[aDaemon].mStarts - 1;
    }
    mOnStart(aDaemon, earlier);
  }
}

bool soak_daemons::Launch(std::size_t aDaemon)
{
  const std::lock_guard lock(mLock);
  if (mEnding) {
    return false;
  }
  process& started = mProcesses[aDaemon];
  const std::string file = mOptions.mFolder + "/" + std::to_string(aDaemon);
  const double grace = std::chrono::duration<double>(mOptions.mGrace).count();
  const log_output log = OpenLog(mOptions.mLogSink, file + ".log");
  started.mPid = SpawnProcess(
    mOptions.mProgram,
    { "redwingdock_edge", "--settings", file + ".yaml", "--grace", std::to_string(grace) },
    log.mDescriptor);
  ::close(log.mDescriptor);
  started.mLogReader = log.mReader;
  started.mProcessRecord = mProcessRecords.size();
  ++started.mStarts;
  mProcessRecords.push_back({ aDaemon, SteadyNow() });
  if (started.mPid == 0) {
    CloseLogReader(started);
    mProcessRecords.back().mEndedAt = SteadyNow();
    return false;
  }
  started.mWaiter = std::thread([this, aDaemon, pid = started.mPid] {
    int status = 0;
    ::waitpid(pid, &status, 0);
    Ended(aDaemon, pid, status);
  });
  if (mOptions.mLogSink == log_sink::ClosedPipe) {
    mLoop.After(kLogReaderTime, [this, aDaemon, pid = started.mPid] {
      const std::lock_guard relock(mLock);
      if (mProcesses[aDaemon].mPid == pid) {
        CloseLogReader(mProcesses[aDaemon]);
      }
    });
  }
  return true;
}

void soak_daemons::CloseLogReader(process& aProcess)
{
  if (aProcess.mLogReader >= 0) {
    ::close(aProcess.mLogReader);
    aProcess.mLogReader = -1;
  }
}

void soak_daemons::Ended(std::size_t aDaemon, pid_t aPid, int aStatus)
{
  const std::lock_guard lock(mLock);
  process& ended = mProcesses[aDaemon];
  if (ended.mPid != aPid) {
    return;
  }
  ended.mPid = 0;
  CloseLogReader(ended);
  mProcessRecords[ended.mProcessRecord].mEndedAt = SteadyNow();
  mProcessRecords[ended.mProcessRecord].mEndSignal = WIFSIGNALED(aStatus) ? WTERMSIG(aStatus) : 0;
  if (mEnding) {
    return;
  }
  mEndedWaiters.push_back(std::move(ended.mWaiter));
  mLoop.After(mOptions.mRestartDelay, [this, aDaemon] { Start(aDaemon); });
}

void soak_daemons::Signal(std::size_t aDaemon, int aSignal)
{
  const std::lock_guard lock(mLock);
  const process& target = mProcesses[aDaemon];
  if (target.mPid == 0) {
    return;
  }
  process_record& record = mProcessRecords[target.mProcessRecord];
  if (aSignal == SIGTERM && record.mStopAt == kNever) {
    record.mStopAt = SteadyNow();
    mLoop.After(mOptions.mGrace, [this, aDaemon, pid = target.mPid] {
      const std::lock_guard relock(mLock);
      const process& late = mProcesses[aDaemon];
      if (late.mPid == pid) {
        mProcessRecords[late.mProcessRecord].mKilledAt = SteadyNow();
        ::kill(pid, SIGKILL);
      }
    });
  } else if (aSignal == SIGKILL) {
    record.mKilledAt = SteadyNow();
    record.mKillPlanned = true;
  } else if (aSignal == SIGHUP && !BlocksOrHandles(target.mPid, SIGHUP)) {
    record.mReloadedBeforeMain = true;
  }
  ::kill(target.mPid, aSignal);
}

void soak_daemons::Terminate(std::size_t aDaemon)
{
  Signal(aDaemon, SIGTERM);
}

void soak_daemons::Kill(std::size_t aDaemon)
{
  Signal(aDaemon, SIGKILL);
}

void soak_daemons::Reload(std::size_t aDaemon)
{
  std::uint32_t reloads = 0;
  {
    const std::lock_guard lock(mLock);
    reloads = ++mProcesses[aDaemon].mReloads;
  }
  WriteSettings(aDaemon, reloads);
  Signal(aDaemon, SIGHUP);
}

void soak_daemons::TerminateAll()
{
  {
    const std::lock_guard lock(mLock);
    mEnding = true;
  }
  for (std::size_t i = 0; i < mOptions.mDaemons; ++i) {
    Signal(i, SIGTERM);
  }
}

bool soak_daemons::AllEnded() const
{
  const std::lock_guard lock(mLock);
  for (const process& each : mProcesses) {
    if (each.mPid != 0) {
      return false;
    }
  }
  return true;
}

std::vector<std::size_t> soak_daemons::Stopping() const
{
  const std::lock_guard lock(mLock);
  std::vector<std::size_t> stopping;
  for (std::size_t i = 0; i < mProcesses.size(); ++i) {
    if (mProcesses[i].mPid != 0 &&
        mProcessRecords[mProcesses[i].mProcessRecord].mStopAt != kNever) {
      stopping.push_back(i);
    }
  }
  return stopping;
}

std::vector<process_record> soak_daemons::ProcessRecords() const
{
  const std::lock_guard lock(mLock);
  return mProcessRecords;
}

void soak_daemons::ApplyQuota(bool aRun)
{
  {
    const std::lock_guard lock(mLock);
    for (const process& each : mProcesses) {
      if (each.mPid != 0) {
        ::kill(each.mPid, aRun ? SIGCONT : SIGSTOP);
      }
    }
  }
  mLoop.After(aRun ? mOptions.mQuota : kQuotaPeriod - mOptions.mQuota,
              [this, aRun] { ApplyQuota(!aRun); });
}

} // namespace redwingdock::platform
