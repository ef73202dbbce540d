#ifndef REDWINGDOCK_DAEMON_CORE_DRIVER_H
#define REDWINGDOCK_DAEMON_CORE_DRIVER_H

#include "core/core.h"
#include "daemon/tcp.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

// Drives the core with the steady clock: posts facts, runs its workers and timers, and hands its
// commands to a hook.
//
//   core_driver driver(loop, config, core_hooks{}, 2, 64, [](command& aCommand) { ... });
//   driver.Start();
//   driver.Post(stop_asked{});

namespace redwingdock {

class core_driver
{
public:
  // The hook is called on threads of the loop, one command at a time, in the order the core gave
  // them. It must not block.
  core_driver(io_loop& aLoop,
              core_config aConfig,
              const core_hooks& aHooks,
              std::size_t aWorkers,
              std::size_t aShards,
              std::function<void(command&)> aExecute);
  ~core_driver();
  core_driver(const core_driver&) = delete;
  core_driver& operator=(const core_driver&) = delete;

  void Start();
  // Joins the workers. Stop the loop first.
  void Stop();

  // From any thread.
  void Post(fact aFact);

  const core& Core() const { return mCore; }

private:
  void Schedule();
  void Run();

  io_loop& mLoop;
  core mCore;
  const std::size_t mWorkerCount;
  const std::function<void(command&)> mExecute;
  std::atomic<bool> mScheduled{ false };
  std::mutex mRunLock; // keeps commands in order when the loop has several threads
  loop_timer mTimer;
  std::vector<std::thread> mWorkers;
};

} // namespace redwingdock

#endif
