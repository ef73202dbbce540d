#ifndef REDWINGDOCK_TESTING_FORWARDING_RIG_H
#define REDWINGDOCK_TESTING_FORWARDING_RIG_H

#include "assembly/forwarding.h"
#include "testing/event_queue.h"
#include "testing/fake_store.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

// Runs the core of one forwarding daemon on a manual clock, with scripted replicas and an in-memory
// store.
//
//   forwarding_rig rig({});
//   rig.Publish(ReplicaItem("a-1", "a", "zone-1"));
//   rig.Publish(ConfigurationItem(1, { GatherRoute({ "a", "b" }, 0.5) }));
//   rig.RunFor(std::chrono::milliseconds(100));
//   rig.SendRequest(1, "/q/x");

namespace redwingdock::testing {

// How a scripted replica responds to one attempt.
struct replica_action
{
  attempt_end mEnd = attempt_end::Answered;
  micros mAfter = std::chrono::milliseconds(10);
  unsigned mStatus = 200;
  std::string mBody;
  bool mSilent = false; // sends no response
  replica_notice mNotice;

  auto operator<=>(const replica_action&) const = default;
};

struct sent_attempt
{
  send_attempt mCommand;
  instant mAt{};
};

struct sent_answer
{
  forward_answer mAnswer;
  instant mAt{};
};

struct rig_options
{
  forward_hooks mHooks;
  forward_config mForward;
  std::string mZone = "zone-1";
  bool mStoreStatesEra = false;
  std::size_t mItemsPerPage = 500; // of a listing
};

// Store items and route rules as the platform publishes them.
store_item ReplicaItem(const std::string& aId,
                       const std::string& aService,
                       const std::string& aZone);
store_item ConfigurationItem(std::uint64_t aVersion, std::vector<route_rule> aRoutes);
route_rule PlainRoute(const std::string& aService, bool aIdempotent);
route_rule GatherRoute(const std::vector<std::string>& aServices, double aMinimumSuccessShare);

class forwarding_rig
{
public:
  explicit forwarding_rig(const rig_options& aOptions);

  // The store, and the reads of the daemon from it.
  void Publish(store_item aItem) { mStore.Publish(std::move(aItem)); }
  void Delete(const std::string& aKey) { mStore.Delete(aKey); }
  void FailStore(bool aFails) { mStore.Fail(aFails); }
  void SuppressWatchEvents(bool aSuppressed) { mReader.SuppressWatchEvents(aSuppressed); }
  void FailWatch() { mReader.FailWatch(); }
  void SilenceWatch() { mReader.SilenceWatch(); }
  void CutOff(bool aIsCut) { mReader.Cut(aIsCut); }
  void DropHistory() { mStore.DropHistory(); }
  void TakeCopy() { mStore.TakeCopy(); }
  void Restore() { mStore.Restore(); }
  void SetEra(std::uint64_t aEra) { mStore.SetEra(aEra); }

  // Sets the action of a replica for its Nth attempt, counted from 0. Without a script the replica
  // answers after 10 ms.
  void Script(const std::string& aReplica, std::function<replica_action(int)> aAction)
  {
    mScripts[aReplica] = std::move(aAction);
  }

  // Sets what a check of the replica finds; without this the replica runs.
  void ScriptCheck(const std::string& aReplica, std::function<replica_status()> aStatus)
  {
    mCheckScripts[aReplica] = std::move(aStatus);
  }

  void SendRequest(std::uint64_t aRequest, const std::string& aPath, micros aPatience = micros(0));
  void Post(fact aFact);
  void RunFor(micros aDuration);
  instant Now() const { return mEvents.Now(); }

  const blackboard& Board() const { return mCore.Board(); }
  std::vector<std::string> SentTo(std::uint64_t aRequest) const; // ids of the replicas, in order

  std::vector<sent_attempt> mSent;
  std::vector<cancel_attempt> mCancelled;
  std::vector<std::string> mCheckedReplicas;
  std::map<std::uint64_t, std::vector<sent_answer>> mAnswers; // by request
  std::vector<heartbeat> mHeartbeats;
  std::vector<answer_entry> mEntries;
  std::vector<watch_store> mWatches;
  int mListReads = 0;
  int mChecks = 0; // of the store
  std::optional<instant> mClosedAt;
  std::optional<instant> mStoppedAt;

private:
  void RunCore();
  void Execute(const command& aCommand);
  void Send(const send_attempt& aCommand);
  void Check(const check_replica& aCommand);

  event_queue mEvents;
  core mCore;
  fake_store mStore;
  store_reader mReader;
  instant mNextWakeUp = kNever;
  std::map<std::string, std::function<replica_action(int)>> mScripts;
  std::map<std::string, std::function<replica_status()>> mCheckScripts;
  std::map<std::string, int> mAttemptCounts; // by replica
};

} // namespace redwingdock::testing

#endif
