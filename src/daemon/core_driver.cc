#include "daemon/core_driver.h"

#include <algorithm>
#include <utility>

namespace redwingdock {

namespace {

// The core treats a gap of more than core_config::mPauseLimit (1 s) between two times as a pause of
// the process, so even an idle daemon must advance the time more often.
constexpr micros kMaxAdvanceInterval = std::chrono::milliseconds(250);

} // namespace

core_driver::core_driver(io_loop& aLoop,
                         core_config aConfig,
                         const assembly_hook& aAssemble,
                         std::size_t aShards,
                         std::function<void(command&)> aExecute)
  : mLoop(aLoop)
  , mCore(std::move(aConfig), aAssemble, aShards)
  , mExecute(std::move(aExecute))
  , mTimer(aLoop, [this] { Run(); })
{
}

void core_driver::Start()
{
  mCore.OnUnexpectedError([this](const std::string& aText) { mLoop.ReportUnexpectedError(aText); });
  mCore.Advance(SteadyNow());
  Schedule();
}

void core_driver::Post(fact aFact)
{
  mCore.Advance(SteadyNow());
  mCore.Post(std::move(aFact));
  Schedule();
}

void core_driver::Schedule()
{
  if (!mScheduled.exchange(true)) {
    mLoop.Post([this] { Run(); });
  }
}

void core_driver::Run()
{
  mScheduled = false;
  mCore.Advance(SteadyNow());
  // Several threads of the loop may call this at once. The blackboard lets one thread at a time
  // work on a shard.
  mCore.RunUntilIdle();
  const std::lock_guard lock(mRunLock);
  for (command& each : mCore.TakeCommands()) {
    try {
      mExecute(each);
    } catch (const std::exception& error) {
      // The other commands must still be carried out, and the timer be set.
      mLoop.ReportUnexpectedError(error.what());
    }
  }
  mTimer.Set(std::min(mCore.NextDue(), SteadyNow() + kMaxAdvanceInterval));
}

} // namespace redwingdock
