#include "daemon/core_driver.h"

#include <algorithm>
#include <utility>

namespace redwingdock {

namespace {

// The core takes a gap of more than core_config::mPauseLimit (1 s) between two times for a pause
// of the process, so an idle daemon must post the time more often.
constexpr micros kHeartbeat = std::chrono::milliseconds(250);

} // namespace

core_driver::core_driver(io_loop& aLoop,
                         core_config aConfig,
                         const core_hooks& aHooks,
                         std::size_t aWorkers,
                         std::size_t aShards,
                         std::function<void(command&)> aExecute)
  : mLoop(aLoop)
  , mCore(std::move(aConfig), aHooks, aShards)
  , mWorkerCount(std::max<std::size_t>(aWorkers, 1))
  , mExecute(std::move(aExecute))
  , mTimer(aLoop, [this] { Run(); })
{
  mCore.OnWork([this] { Schedule(); });
}

core_driver::~core_driver()
{
  Stop();
}

void core_driver::Start()
{
  mCore.Advance(SteadyNow());
  for (std::size_t i = 0; i < mWorkerCount; ++i) {
    mWorkers.emplace_back([this] { mCore.Work(); });
  }
  Schedule();
}

void core_driver::Stop()
{
  mCore.Stop();
  for (std::thread& worker : mWorkers) {
    worker.join();
  }
  mWorkers.clear();
}

void core_driver::Post(fact aFact)
{
  mCore.Advance(SteadyNow());
  mCore.Post(std::move(aFact));
}

void core_driver::Schedule()
{
  if (!mScheduled.exchange(true)) {
    mLoop.Post([this] { Run(); });
  }
}

void core_driver::Run()
{
  const std::lock_guard lock(mRunLock);
  mScheduled = false;
  const instant now = SteadyNow();
  mCore.Advance(now);
  for (command& each : mCore.TakeCommands()) {
    mExecute(each);
  }
  mTimer.Set(std::min(mCore.NextDue(), now + kHeartbeat));
}

} // namespace redwingdock
