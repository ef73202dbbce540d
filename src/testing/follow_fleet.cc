#include "testing/follow_fleet.h"

#include "assembly/forwarding.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace redwingdock::testing {

namespace {

constexpr std::uint64_t kMaxBeatDelayMs = 5;
constexpr std::uint64_t kLostBeatsPercent = 2;

std::string PeerAddress(std::size_t aDaemon)
{
  return "10.0.0." + std::to_string(aDaemon + 1) + ":7380";
}

core_config ConfigOf(const follow_fleet_options& aOptions,
                     std::size_t aDaemon,
                     std::uint64_t aStarts)
{
  core_config config;
  config.mVm = "vm-" + std::to_string(aDaemon + 1);
  config.mIncarnation = std::to_string(aStarts);
  config.mZone = "zone-" + std::to_string(aDaemon % 3 + 1);
  config.mAddress = PeerAddress(aDaemon);
  config.mCallAddress = "10.0.0." + std::to_string(aDaemon + 1) + ":8100";
  config.mRandomSeed = aOptions.mSeed * 1000 + aDaemon * 50 + aStarts;
  config.mLogDecisions = aOptions.mOnLog != nullptr;
  config.mForward = aOptions.mForward;
  for (std::size_t i = 0; i < aOptions.mDaemons; ++i) {
    config.mForward.mPeers.push_back(PeerAddress(i));
  }
  return config;
}

} // namespace

follow_fleet::follow_fleet(follow_fleet_options aOptions)
  : mStore(aOptions.mStore)
  , mOptions(std::move(aOptions))
  , mRandom(mOptions.mSeed)
{
  for (std::size_t i = 0; i < mOptions.mDaemons; ++i) {
    mDaemons.push_back(std::make_unique<daemon>());
    mDaemons[i]->mReader = std::make_unique<store_reader>(
      mStore, mEvents, [this, i](fact aFact) { Post(i, std::move(aFact)); });
  }
  for (std::size_t i = 0; i < mOptions.mDaemons; ++i) {
    Start(i);
  }
}

void follow_fleet::Restart(std::size_t aDaemon)
{
  mDaemons[aDaemon]->mReader->EndCalls();
  Start(aDaemon);
}

void follow_fleet::Start(std::size_t aDaemon)
{
  daemon& started = *mDaemons[aDaemon];
  ++started.mStarts;
  started.mNextWakeUp = kNever;
  started.mCore = std::make_unique<core>(
    ConfigOf(mOptions, aDaemon, started.mStarts), Forwarding(forward_hooks{}), 8);
  RunCore(aDaemon);
}

void follow_fleet::Post(std::size_t aDaemon, fact aFact)
{
  mDaemons[aDaemon]->mCore->Advance(Now());
  mDaemons[aDaemon]->mCore->Post(std::move(aFact));
  RunCore(aDaemon);
}

void follow_fleet::RunCore(std::size_t aDaemon)
{
  daemon& run = *mDaemons[aDaemon];
  run.mCore->Advance(Now());
  run.mCore->RunUntilIdle();
  for (const command& each : run.mCore->TakeCommands()) {
    Execute(aDaemon, each);
  }
  const instant due = run.mCore->NextDue();
  if (due >= run.mNextWakeUp) {
    return;
  }
  run.mNextWakeUp = due;
  mEvents.After(std::max(due - Now(), micros(0)), [this, aDaemon, due, start = run.mStarts] {
    daemon& woken = *mDaemons[aDaemon];
    if (woken.mStarts != start) {
      return;
    }
    if (woken.mNextWakeUp == due) {
      woken.mNextWakeUp = kNever;
    }
    RunCore(aDaemon);
  });
}

void follow_fleet::Execute(std::size_t aDaemon, const command& aCommand)
{
  daemon& sender = *mDaemons[aDaemon];
  if (const auto* page = std::get_if<read_store_page>(&aCommand)) {
    sender.mListings += page->mAfter.empty() ? 1 : 0;
    sender.mReader->Read(*page);
  } else if (const auto* watch = std::get_if<watch_store>(&aCommand)) {
    sender.mReader->Watch(*watch);
  } else if (const auto* check = std::get_if<check_store>(&aCommand)) {
    ++sender.mChecks;
    sender.mReader->Check(*check);
  } else if (const auto* beat = std::get_if<send_heartbeat>(&aCommand)) {
    for (std::size_t i = 0; i < Size(); ++i) {
      if (PeerAddress(i) == beat->mAddress && mRandom.NextBelow(100) >= kLostBeatsPercent) {
        mEvents.After(std::chrono::milliseconds(1 + mRandom.NextBelow(kMaxBeatDelayMs)),
                      [this, i, sent = beat->mHeartbeat] { Post(i, heartbeat_received{ sent }); });
      }
    }
  } else if (const auto* line = std::get_if<log_line>(&aCommand)) {
    if (mOptions.mOnLog) {
      mOptions.mOnLog(aDaemon, std::string(line->mComponent) + ": " + line->mText);
    }
  }
}

} // namespace redwingdock::testing
