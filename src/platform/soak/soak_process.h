#ifndef REDWINGDOCK_PLATFORM_SOAK_SOAK_PROCESS_H
#define REDWINGDOCK_PLATFORM_SOAK_SOAK_PROCESS_H

#include "platform/soak/soak_plan.h"

#include <compare>
#include <string>
#include <sys/types.h>
#include <vector>

// Starts a program with its output in a file or a pipe.

namespace redwingdock::platform {

// Standard output of a process: a file, or the writing end of a pipe.
struct log_output
{
  int mDescriptor = -1;
  int mReader = -1; // of the pipe, or -1

  auto operator<=>(const log_output&) const = default;
};

log_output OpenLog(log_sink aSink, const std::string& aFile);

// The first argument is the name of the program; 0 when it cannot be started.
pid_t SpawnProcess(const std::string& aProgram, std::vector<std::string> aArguments, int aOutput);

} // namespace redwingdock::platform

#endif
