#ifndef REDWINGDOCK_TESTING_EVENT_QUEUE_H
#define REDWINGDOCK_TESTING_EVENT_QUEUE_H

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

// Manual clock with an event queue. Events that are due at the same time run in the order in which
// they were scheduled.
//
//   event_queue events;
//   events.After(std::chrono::milliseconds(5), [] { ... });
//   events.RunFor(std::chrono::seconds(1));

namespace redwingdock::testing {

class event_queue
{
public:
  // Starts at one second because the core treats time zero as unset.
  instant Now() const { return mNow; }

  void After(micros aDelay, std::function<void()> aEvent)
  {
    mEvents.emplace(std::pair(mNow + aDelay, mNext++), std::move(aEvent));
  }

  void RunFor(micros aDuration)
  {
    const instant end = mNow + aDuration;
    while (!mEvents.empty() && mEvents.begin()->first.first <= end) {
      const auto event = mEvents.extract(mEvents.begin());
      mNow = event.key().first;
      event.mapped()();
    }
    mNow = end;
  }

private:
  instant mNow{ std::chrono::seconds(1) };
  std::uint64_t mNext = 0;
  std::multimap<std::pair<instant, std::uint64_t>, std::function<void()>> mEvents;
};

// Seeded pseudo-random generator (splitmix64) with the same sequence on every platform.
class seeded_random
{
public:
  explicit seeded_random(std::uint64_t aSeed)
    : mState(aSeed)
  {
  }

  std::uint64_t NextBelow(std::uint64_t aBound)
  {
    mState += 0x9e3779b97f4a7c15ULL;
    std::uint64_t mixed = mState;
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
    return (mixed ^ (mixed >> 31U)) % aBound;
  }

  double NextDouble()
  {
    return static_cast<double>(NextBelow(1U << 30U)) / static_cast<double>(1U << 30U);
  }

private:
  std::uint64_t mState;
};

} // namespace redwingdock::testing

#endif
