#include "testing/child_process.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/ioctl.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

namespace redwingdock::testing_support {

namespace {

// Waits until the descriptor can be read. Returns false after the time limit.
bool WaitForInput(int aDescriptor, micros aLimit)
{
  pollfd entry{ aDescriptor, POLLIN, 0 };
  const auto limit = std::chrono::ceil<std::chrono::milliseconds>(std::max(aLimit, micros(0)));
  return poll(&entry, 1, static_cast<int>(limit.count())) > 0;
}

instant Now()
{
  return instant(
    std::chrono::duration_cast<micros>(std::chrono::steady_clock::now().time_since_epoch()));
}

} // namespace

child_process::child_process(std::vector<std::string> aCommand)
{
  std::array<int, 2> ends{};
  if (pipe2(ends.data(), O_CLOEXEC) != 0) {
    throw std::runtime_error("pipe2 failed");
  }
  mOutput = ends[0];
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t signals;
  sigemptyset(&signals);
  posix_spawnattr_setsigmask(&attributes, &signals);
  for (const int each : { SIGPIPE, SIGHUP, SIGINT, SIGTERM }) {
    sigaddset(&signals, each);
  }
  posix_spawnattr_setsigdefault(&attributes, &signals);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);
  std::vector<char*> arguments;
  arguments.reserve(aCommand.size() + 1);
  for (std::string& each : aCommand) {
    arguments.push_back(each.data());
  }
  arguments.push_back(nullptr);
  const int failed =
    posix_spawn(&mPid, arguments.front(), &actions, &attributes, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  posix_spawnattr_destroy(&attributes);
  close(ends[1]);
  if (failed != 0) {
    close(mOutput);
    throw std::runtime_error("cannot start " + aCommand.front());
  }
}

child_process::~child_process()
{
  if (!mEnd) {
    kill(mPid, SIGKILL);
    waitpid(mPid, nullptr, 0);
  }
  CloseOutput();
}

void child_process::Signal(int aSignal) const
{
  if (!mEnd) {
    kill(mPid, aSignal);
  }
}

void child_process::CloseOutput()
{
  if (mOutput >= 0) {
    close(mOutput);
    mOutput = -1;
  }
}

bool child_process::WaitForOutput(const std::string& aText, micros aLimit)
{
  const instant latest = Now() + aLimit;
  std::array<char, 4096> buffer{};
  while (mText.find(aText) == std::string::npos) {
    if (!WaitForInput(mOutput, latest - Now())) {
      return false;
    }
    const ssize_t count = read(mOutput, buffer.data(), buffer.size());
    if (count <= 0) {
      return false;
    }
    mText.append(buffer.data(), static_cast<std::size_t>(count));
  }
  return true;
}

std::size_t child_process::ShrinkOutput()
{
  fcntl(mOutput, F_SETPIPE_SZ, 1);
  return static_cast<std::size_t>(fcntl(mOutput, F_GETPIPE_SZ));
}

std::size_t child_process::UnreadOutput() const
{
  int count = 0;
  ioctl(mOutput, FIONREAD, &count);
  return static_cast<std::size_t>(count);
}

std::optional<process_end> child_process::WaitForEnd(micros aLimit)
{
  if (mEnd) {
    return mEnd;
  }
  const int descriptor = static_cast<int>(syscall(SYS_pidfd_open, mPid, 0));
  const bool ended = WaitForInput(descriptor, aLimit);
  close(descriptor);
  int status = 0;
  if (ended && waitpid(mPid, &status, 0) == mPid) {
    mEnd = process_end{ WIFEXITED(status) ? WEXITSTATUS(status) : 0,
                        WIFSIGNALED(status) ? WTERMSIG(status) : 0 };
  }
  return mEnd;
}

} // namespace redwingdock::testing_support
