#include "platform/soak/soak_daemons.h"

#include "base/command_line.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

namespace redwingdock::platform {

namespace {

constexpr micros kQuotaPeriod = std::chrono::milliseconds(100);
constexpr std::size_t kFirstHost = 10;

pid_t Spawn(const std::string& aProgram,
            std::vector<std::string> aArguments,
            const std::string& aLog)
{
  std::vector<char*> arguments;
  arguments.reserve(aArguments.size() + 1);
  for (std::string& each : aArguments) {
    arguments.push_back(each.data());
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(
    &actions, STDOUT_FILENO, aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  pid_t pid = 0;
  std::array<char*, 1> environment{ nullptr };
  const int failed =
    posix_spawn(&pid, aProgram.c_str(), &actions, nullptr, arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  return failed == 0 ? pid : 0;
}

} // namespace

soak_daemons::soak_daemons(io_loop& aLoop, soak_process_options aOptions)
  : mLoop(aLoop)
  , mOptions(std::move(aOptions))
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
    seeds + "]\nforwarding: {repeat_slack: " + std::to_string(54 + aReloads) + "}\n";
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
  const std::lock_guard lock(mLock);
  if (mEnding) {
    return;
  }
  process& started = mProcesses[aDaemon];
  const std::string file = mOptions.mFolder + "/" + std::to_string(aDaemon);
  const double grace = std::chrono::duration<double>(mOptions.mGrace).count();
  started.mPid =
    Spawn(mOptions.mProgram,
          { "redwingdock_edge", "--settings", file + ".yaml", "--grace", std::to_string(grace) },
          file + ".log");
  started.mLife = mLives.size();
  mLives.push_back({ aDaemon, SteadyNow() });
  if (started.mPid == 0) {
    mLives.back().mEndedAt = SteadyNow();
    return;
  }
  started.mWaiter = std::thread([this, aDaemon, pid = started.mPid] {
    int status = 0;
    ::waitpid(pid, &status, 0);
    Ended(aDaemon, pid);
  });
}

void soak_daemons::Ended(std::size_t aDaemon, pid_t aPid)
{
  const std::lock_guard lock(mLock);
  process& ended = mProcesses[aDaemon];
  if (ended.mPid != aPid) {
    return;
  }
  ended.mPid = 0;
  mLives[ended.mLife].mEndedAt = SteadyNow();
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
  daemon_life& life = mLives[target.mLife];
  if (aSignal == SIGTERM && life.mStopAt == kNever) {
    life.mStopAt = SteadyNow();
    mLoop.After(mOptions.mGrace, [this, aDaemon, pid = target.mPid] {
      const std::lock_guard relock(mLock);
      const process& late = mProcesses[aDaemon];
      if (late.mPid == pid) {
        mLives[late.mLife].mKilledAt = SteadyNow();
        ::kill(pid, SIGKILL);
      }
    });
  } else if (aSignal == SIGKILL) {
    life.mKilledAt = SteadyNow();
    life.mKillPlanned = true;
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

std::vector<daemon_life> soak_daemons::Lives() const
{
  const std::lock_guard lock(mLock);
  return mLives;
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
