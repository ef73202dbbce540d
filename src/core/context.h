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

// The environment of a controller: the blackboard, clock, timers, commands and random numbers.
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

  // The current forwarding settings.
  std::shared_ptr<const forward_config> ForwardConfig() const;

  instant Now() const { return instant(micros(mNow.load(std::memory_order_relaxed))); }

  // Advances the clock to aNow and posts the facts that are due. Returns the time since the last
  // call.
  micros Advance(instant aNow);

  // Due time of the earliest timer, or kNever when there is none.
  instant NextDue() const;

  // Sets a timer that posts the fact at Now() + aDelay.
  template<typename T>
  void After(micros aDelay, const std::string& aKey, T aFact)
  {
    AddTimer(Now() + aDelay, [this, aKey, fact = std::move(aFact)] { mBoard.Post(aKey, fact); });
  }

  // Queues a command for the front end.
  void Emit(command aCommand);

  // Emits a log_line, unless the logging of decisions is off.
  void Log(const char* aComponent, std::string aText, log_level aLevel = log_level::Info);

  // Removes and returns the queued commands.
  std::vector<command> TakeCommands();

  // Next number in [0, aBelow) of the seeded generator; 0 when aBelow is 0.
  std::uint64_t Random(std::uint64_t aBelow);

  // Returns 1, 2, 3 and so on.
  std::uint64_t NextNumber() { return ++mNumber; }

  // Adds aBy to the counter entry aName.
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
