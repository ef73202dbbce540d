#ifndef REDWINGDOCK_CORE_CONTEXT_H
#define REDWINGDOCK_CORE_CONTEXT_H

#include "blackboard/blackboard.h"
#include "core/commands.h"
#include "core/config.h"

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

// What a controller works with: the blackboard, the time, timers, commands and random numbers.
//
//   void AddGateController(core_context& aContext); // registers hooks on aContext.mBoard
//
//   aContext.After(std::chrono::milliseconds(20), "17", hedge_due{ ... }); // posts the fact later
//   aContext.Emit(answer_query{ ... });
//   aContext.Log("query", "query 17 complete");

namespace redwingdock {

class core_context
{
public:
  core_context(core_config aConfig, std::size_t aShards);

  const core_config mConfig;
  blackboard mBoard;

  // The settings of forwarding that are in force.
  std::shared_ptr<const forward_config> Forward() const;

  instant Now() const { return instant(micros(mNow.load(std::memory_order_relaxed))); }

  // Moves the time forward and posts the facts that are due. Returns the jump since the last call.
  micros Advance(instant aNow);

  // Due time of the earliest timer, kNever when there is none.
  instant NextDue() const;

  // Posts the fact at Now() + aDelay.
  template<typename T>
  void After(micros aDelay, const std::string& aKey, T aFact)
  {
    AddTimer(Now() + aDelay, [this, aKey, fact = std::move(aFact)] { mBoard.Post(aKey, fact); });
  }

  void Emit(command aCommand);
  void Log(const char* aPart, std::string aText, log_level aLevel = log_level::Info);
  std::vector<command> TakeCommands();

  // Seeded generator; numbers in [0, aBelow).
  std::uint64_t Random(std::uint64_t aBelow);

  // Unique numbers, from 1.
  std::uint64_t NextNumber() { return ++mNumber; }

  // Adds to a counter entry.
  void Count(const std::string& aName, std::uint64_t aBy = 1);

private:
  void AddTimer(instant aDue, std::function<void()> aPost);

  std::atomic<std::int64_t> mNow{ 0 };
  std::atomic<std::uint64_t> mNumber{ 0 };

  mutable std::mutex mTimerLock;
  std::multimap<instant, std::function<void()>> mTimers;

  std::mutex mCommandLock;
  std::vector<command> mCommands;

  std::mutex mRandomLock;
  std::uint64_t mRandomState;
};

} // namespace redwingdock

#endif
