#ifndef REDWINGDOCK_PLATFORM_STANDIN_H
#define REDWINGDOCK_PLATFORM_STANDIN_H

#include "core/catalog.h"
#include "daemon/http_server.h"

#include <atomic>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

// Simulated store and replicas of the platform on loopback, for tests and demos.
//
//   store_standin store(loop);
//   replica_standin replica(loop, "i-1", { .mDelay = std::chrono::milliseconds(5) });
//   store.Put("servers/i-1", replica.PublishedEntry("desk", "zone-1"));

namespace redwingdock::platform {

// What becomes of the watches that wait when the store returns from a copy of itself.
enum class waiting_watches
{
  Cut,
  WaitOn, // until their wait ends or the revision passes theirs
  Silent, // nothing more is delivered on their connections, which stay open
};

// A store that serves range and watch calls for items with revisions.
class store_standin
{
public:
  struct item
  {
    std::string mValue;
    std::uint64_t mRevision = 0;
    bool mDeleted = false;

    auto operator<=>(const item&) const = default;
  };

  struct copy
  {
    std::map<std::string, item> mItems;
    std::uint64_t mRevision = 0;

    auto operator<=>(const copy&) const = default;
  };

  explicit store_standin(io_loop& aLoop);

  result<std::string> ListenOn(const std::string& aAddress) { return mServer.ListenOn(aAddress); }
  void Put(const std::string& aKey, const std::string& aValue);
  void Delete(const std::string& aKey);
  // While the store is down, it answers all calls with status 503.
  void SetDown(bool aDown);
  // The connections of the watches that wait now deliver nothing more, without being closed.
  void SilenceWatches();
  copy TakeCopy() const;
  // Returns from the copy with the next era. Revisions go back and are given out again.
  void ReturnFrom(const copy& aCopy, waiting_watches aWaiting);
  // Answers have no era. Call before ListenOn.
  void LeaveEraOut() { mStatesEra = false; }

private:
  struct watch
  {
    std::uint64_t mRequestId = 0;
    std::uint64_t mAfter = 0;
  };

  void OnRequest(std::uint64_t aRequestId, const http_message& aMessage);
  // These read the state while mLock is held.
  http_response Answer(unsigned aStatus, std::string aBody = "") const;
  std::string RangeBody(const std::string& aAfter) const;
  std::string EventsBody(std::uint64_t aAfter) const;
  bool HasChangesAfter(std::uint64_t aAfter) const;
  void ApplyChange(const std::string& aKey, item aItem);

  io_loop& mLoop;
  request_id_source mRequestIds{ 0 };
  mutable std::mutex mLock;
  std::map<std::string, item> mItems;
  std::uint64_t mRevision = 1;
  std::uint64_t mEra = 1;
  bool mStatesEra = true;
  bool mDown = false;
  std::vector<watch> mWatches;
  http_server mServer;
};

struct replica_behaviour
{
  micros mDelay = std::chrono::milliseconds(2);
  unsigned mStatus = 200;
  std::string mBody;    // if empty, the reply has the path of the request as its body
  bool mSilent = false; // runs the request and loses the reply
  bool mNotRun = false;
  bool mDisconnects = false; // instead of the reply

  auto operator<=>(const replica_behaviour&) const = default;
};

// Chooses the behaviour for a request.
using behaviour_hook = std::function<replica_behaviour(const http_message&)>;

// A run of a request by a replica.
struct replica_run
{
  std::string mRequestId; // of the client's attempt
  std::string mReplica;
  instant mStartedAt{};
  instant mEndedAt = kNever;  // kNever while the replica is at work
  unsigned mStatus = 0;       // of the reply
  bool mAborted = false;      // the caller closed the connection first
  bool mDisconnected = false; // the replica closed the connection instead of a reply

  auto operator<=>(const replica_run&) const = default;
};

// One replica. It answers requests for another replica with status 421.
class replica_standin
{
public:
  replica_standin(io_loop& aLoop, std::string aId, replica_behaviour aBehaviour);

  result<std::string> ListenOn(const std::string& aAddress);
  // The value that the replica publishes in the store, as JSON.
  std::string PublishedEntry(const std::string& aService,
                             const std::string& aZone,
                             bool aDraining) const;
  void SetBehaviour(const replica_behaviour& aBehaviour);
  // Chooses the behaviour for each request instead of SetBehaviour. Call before ListenOn.
  void ChooseBehaviour(behaviour_hook aHook) { mChooseBehaviour = std::move(aHook); }
  // How often the replica ran each request, by attempt ID.
  std::map<std::string, int> RunCounts() const;
  std::vector<replica_run> Runs() const;

private:
  void OnRequest(std::uint64_t aRequestId, const http_message& aMessage);
  void OnDisconnected(std::uint64_t aRequestId);
  // Records the end of a run; false if it had ended before.
  bool EndRun(std::uint64_t aRequestId, const std::function<void(replica_run&)>& aSetEnd);

  io_loop& mLoop;
  const std::string mId;
  std::string mAddress;
  request_id_source mRequestIds{ 0 };
  behaviour_hook mChooseBehaviour;
  mutable std::mutex mLock;
  replica_behaviour mBehaviour;
  std::map<std::uint64_t, replica_run> mRuns; // by the server's request ID
  http_server mServer;
};

} // namespace redwingdock::platform

#endif
