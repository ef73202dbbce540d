#ifndef REDWINGDOCK_TESTING_FOLLOW_FLEET_H
#define REDWINGDOCK_TESTING_FOLLOW_FLEET_H

#include "core/core.h"
#include "testing/event_queue.h"
#include "testing/fake_store.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

// Cores of several forwarding daemons on one manual clock, which share a store and exchange
// heartbeats.
//
//   follow_fleet fleet({});
//   fleet.mStore.Publish(ConfigurationItem(1, {}));
//   fleet.RunFor(std::chrono::seconds(1));
//   auto known = fleet.Board(0).Read<catalog>(kCatalogKey);

namespace redwingdock::testing {

struct follow_fleet_options
{
  std::size_t mDaemons = 5;
  fake_store_options mStore;
  forward_config mForward; // without the peers
  std::uint64_t mSeed = 1;
  // Called with each line that a daemon logs.
  std::function<void(std::size_t aDaemon, const std::string& aLine)> mOnLog;
};

class follow_fleet
{
public:
  explicit follow_fleet(follow_fleet_options aOptions);

  std::size_t Size() const { return mDaemons.size(); }
  instant Now() const { return mEvents.Now(); }
  void After(micros aDelay, std::function<void()> aEvent)
  {
    mEvents.After(aDelay, std::move(aEvent));
  }
  void RunFor(micros aDuration) { mEvents.RunFor(aDuration); }

  store_reader& Reader(std::size_t aDaemon) { return *mDaemons[aDaemon]->mReader; }
  const blackboard& Board(std::size_t aDaemon) const { return mDaemons[aDaemon]->mCore->Board(); }
  // Ends the daemon and starts it again with an empty copy of the store.
  void Restart(std::size_t aDaemon);

  // Since the first start of the daemon.
  std::uint64_t Listings(std::size_t aDaemon) const { return mDaemons[aDaemon]->mListings; }
  std::uint64_t Checks(std::size_t aDaemon) const { return mDaemons[aDaemon]->mChecks; }

  fake_store mStore;

private:
  struct daemon
  {
    std::unique_ptr<core> mCore;
    std::unique_ptr<store_reader> mReader;
    std::uint64_t mStarts = 0;
    instant mNextWakeUp = kNever;
    std::uint64_t mListings = 0; // that were begun
    std::uint64_t mChecks = 0;
  };

  void Start(std::size_t aDaemon);
  void Post(std::size_t aDaemon, fact aFact);
  void RunCore(std::size_t aDaemon);
  void Execute(std::size_t aDaemon, const command& aCommand);

  const follow_fleet_options mOptions;
  event_queue mEvents;
  seeded_random mRandom;
  std::vector<std::unique_ptr<daemon>> mDaemons;
};

} // namespace redwingdock::testing

#endif
