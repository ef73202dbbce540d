#include "core/context.h"

#include <iterator>
#include <optional>

namespace redwingdock {

core_context::core_context(core_config aConfig, std::size_t aShards)
  : mConfig(std::move(aConfig))
  , mBoard(aShards)
  , mRandomState(mConfig.mRandomSeed)
{
  mBoard.Write(kSettingsKey, mConfig.mForward);
}

std::shared_ptr<const forward_config> core_context::ForwardConfig() const
{
  return mBoard.Read<forward_config>(kSettingsKey);
}

micros core_context::Advance(instant aNow)
{
  const std::int64_t now = aNow.time_since_epoch().count();
  std::int64_t before = mNow.load(std::memory_order_relaxed);
  while (before < now && !mNow.compare_exchange_weak(before, now)) {
  }
  std::vector<std::function<void()>> due;
  {
    const std::lock_guard lock(mTimerLock);
    const auto end = mTimers.upper_bound(aNow);
    for (auto it = mTimers.begin(); it != end; ++it) {
      due.push_back(std::move(it->second));
    }
    mTimers.erase(mTimers.begin(), end);
  }
  for (const auto& post : due) {
    post();
  }
  return micros(now > before ? now - before : 0);
}

instant core_context::NextDue() const
{
  const std::lock_guard lock(mTimerLock);
  return mTimers.empty() ? kNever : mTimers.begin()->first;
}

void core_context::AddTimer(instant aDue, std::function<void()> aPost)
{
  const std::lock_guard lock(mTimerLock);
  mTimers.emplace(aDue, std::move(aPost));
}

void core_context::Emit(command aCommand)
{
  const std::lock_guard lock(mCommandLock);
  mCommands.push_back(std::move(aCommand));
}

void core_context::Log(const char* aComponent, std::string aText, log_level aLevel)
{
  if (mConfig.mLogDecisions) {
    Emit(log_line{ aLevel, aComponent, std::move(aText) });
  }
}

std::vector<command> core_context::TakeCommands()
{
  std::vector<command> taken;
  const std::lock_guard lock(mCommandLock);
  taken.swap(mCommands);
  return taken;
}

std::uint64_t core_context::Random(std::uint64_t aBelow)
{
  // splitmix64: its small state makes one generator per core cheap to share under a lock.
  const std::lock_guard lock(mRandomLock);
  mRandomState += 0x9e3779b97f4a7c15ULL;
  std::uint64_t mixed = mRandomState;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  mixed ^= mixed >> 31U;
  return aBelow == 0 ? 0 : mixed % aBelow;
}

void core_context::Count(const std::string& aName, std::uint64_t aBy)
{
  mBoard.Update<counter>(aName, [aBy](const counter* aOld) {
    return std::optional<counter>(counter{ (aOld != nullptr ? aOld->mCount : 0) + aBy });
  });
}

} // namespace redwingdock
