#include "platform/soak/soak_process.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <unistd.h>

namespace redwingdock::platform {

log_output OpenLog(log_sink aSink, const std::string& aFile)
{
  if (aSink == log_sink::File) {
    return { ::open(aFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600) };
  }
  std::array<int, 2> ends{ -1, -1 };
  return ::pipe2(ends.data(), O_CLOEXEC) == 0 ? log_output{ ends[1], ends[0] } : log_output{};
}

pid_t SpawnProcess(const std::string& aProgram, std::vector<std::string> aArguments, int aOutput)
{
  std::vector<char*> arguments;
  arguments.reserve(aArguments.size() + 1);
  for (std::string& each : aArguments) {
    arguments.push_back(each.data());
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, aOutput, STDOUT_FILENO);
  posix_spawn_file_actions_adddup2(&actions, aOutput, STDERR_FILENO);
  // A soak that was started with signals ignored, as by nohup, must not pass that on.
  posix_spawnattr_t attributes;
  posix_spawnattr_init(&attributes);
  sigset_t signals;
  sigemptyset(&signals);
  posix_spawnattr_setsigmask(&attributes, &signals);
  for (const int each : { SIGHUP, SIGINT, SIGPIPE, SIGTERM }) {
    sigaddset(&signals, each);
  }
  posix_spawnattr_setsigdefault(&attributes, &signals);
  posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);
  pid_t pid = 0;
  std::array<char*, 1> environment{ nullptr };
  const int failed = posix_spawn(
    &pid, aProgram.c_str(), &actions, &attributes, arguments.data(), environment.data());
  posix_spawnattr_destroy(&attributes);
  posix_spawn_file_actions_destroy(&actions);
  return failed == 0 ? pid : 0;
}

} // namespace redwingdock::platform
