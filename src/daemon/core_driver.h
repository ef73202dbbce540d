#ifndef REDWINGDOCK_DAEMON_CORE_DRIVER_H
#define REDWINGDOCK_DAEMON_CORE_DRIVER_H

#include "core/core.h"
#include "daemon/tcp.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <mutex>

// Runs the core on an io_loop with the steady clock: posts facts, runs controllers and timers on
// the loop's threads, and passes commands to a hook.
//
//   core_driver driver(loop, config, assembly, 64, [](command& aCommand) { ... });
//   driver.Start();
//   driver.Post(stop_requested{});

namespace redwingdock {

class core_driver
{
public:
  // Calls aExecute on the loop's threads with one command at a time, in the order in which the core
  // issued them. The hook must not block.
  core_driver(io_loop& aLoop,
              core_config aConfig,
              const assembly_hook& aAssemble,
              std::size_t aShards,
              std::function<void(command&)> aExecute);
  core_driver(const core_driver&) = delete;
  core_driver& operator=(const core_driver&) = delete;

  // Schedules the first run of the controllers.
  void Start();

  // May be called from any thread.
  void Post(fact aFact);

  const core& Core() const { return mCore; }

private:
  void Schedule();
  void Run();

  io_loop& mLoop;
  core mCore;
  const std::function<void(command&)> mExecute;
  std::atomic<bool> mScheduled{ false };
  std::mutex mRunLock; // keeps commands in order if the loop has several threads
  loop_timer mTimer;
};

} // namespace redwingdock

#endif
