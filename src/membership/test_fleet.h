#ifndef REDWINGDOCK_MEMBERSHIP_TEST_FLEET_H
#define REDWINGDOCK_MEMBERSHIP_TEST_FLEET_H

#include "assembly/record_search_hooks.h"
#include "core/context.h"
#include "core/facts.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

// Simulates a fleet for tests and benchmarks: the table and membership controllers of several
// daemons on one manual clock, with a simulated network and a simulated configuration service.
//
//   test_fleet fleet(options);
//   fleet.Publish(table_kind::Vms, 1, fleet.VmTable(1, { 0, 1, 2 }));
//   fleet.StartAll();
//   fleet.RunUntil(std::chrono::seconds(2));

namespace redwingdock {

struct fleet_options
{
  int mProcesses = 5;
  int mZones = 4;
  int mShards = 4;                                // with two replicas of three slots each
  std::size_t mTableBytes = 2000;                 // assumed size of a table in a message
  micros mDelay = std::chrono::microseconds(500); // of each message
  micros mJitter = std::chrono::milliseconds(1);  // largest random addition to the delay
  double mLoss = 0;                               // fraction of messages dropped
  std::uint64_t mSeed = 1;
  bool mCheckEvents = true; // check after every event, not only every 50 ms
  bool mIdleGates = true;   // write idle gate loads; otherwise write none
  std::function<void(record_search_hooks&)>
    mReplaceRules; // replaces a rule, to show that a test fails without it
  std::function<void(core_config&)> mConfigure;
};

// Messages and reads that a process has sent.
struct traffic
{
  std::uint64_t mMessages = 0;
  std::uint64_t mBytes = 0; // sum of the field sizes of the messages
  std::uint64_t mReads = 0; // from the configuration service; a watch counts as one

  auto operator<=>(const traffic&) const = default;
};

// One daemon process. Several processes can run under one VM name.
struct test_process
{
  std::string mName;
  std::string mAddress;
  bool mRunning = false;
  bool mPaused = false;
  std::unique_ptr<core_context> mCore;
  std::vector<std::function<void()>> mDeferredDeliveries; // deliveries that arrived during a pause
  traffic mTraffic;
  instant mLinkFreeAt{}; // when its network link has sent all earlier messages
};

class test_fleet
{
public:
  explicit test_fleet(fleet_options aOptions);

  // Adds a process under a VM name and returns its index. Processes 0 to mProcesses - 1 exist from
  // the start, with the names that VmName returns.
  int AddProcess(const std::string& aName);
  static std::string VmName(int aIndex) { return "vm-" + std::to_string(aIndex); }

  void Start(int aProcess);
  void StartAll();
  void Kill(int aProcess);
  void Pause(int aProcess);
  void Resume(int aProcess);

  // Sets which process can send messages to which.
  void SetLinks(std::function<bool(int aFrom, int aTo)> aReachable)
  {
    mReachable = std::move(aReachable);
  }
  // Lets processes reach only others in the same group. A process in no group reaches none.
  void Partition(const std::vector<std::set<int>>& aGroups);

  // Register a table and return a text that stands for it. The parse hooks of the fleet map the
  // text to the table, so no YAML is needed. The text of BrokenTable fails to parse.
  std::string VmTable(std::uint64_t aRevision, const std::vector<int>& aProcesses);
  std::string RoutesTable(std::uint64_t aRevision, const std::set<std::string>& aPools);
  std::string PoolsTable(std::uint64_t aRevision, const std::set<std::string>& aPools);
  std::string BrokenTable(std::uint64_t aRevision);
  void Publish(table_kind aKind, std::uint64_t aRevision, const std::string& aText);
  void SetServiceUp(bool aUp);
  void SetServiceReachable(std::function<bool(int)> aReachable)
  {
    mServiceReachable = std::move(aReachable);
  }

  // Runs all events until aTime after the start of the simulation. The check runs every 50 ms, and
  // after every event with mCheckEvents.
  void RunUntil(micros aTime);
  void SetCheck(std::function<void()> aCheck) { mCheck = std::move(aCheck); }
  void At(micros aTime, std::function<void()> aAction);

  instant Now() const { return mNow; }
  std::size_t Size() const { return mProcesses.size(); }
  const test_process& Process(int aIndex) const { return *mProcesses[aIndex]; }
  const std::vector<std::string>& Log() const { return mLog; }

  // Start times of all reads from the configuration service, to find peaks.
  const std::vector<instant>& ReadTimes() const { return mReadTimes; }

private:
  struct published
  {
    std::uint64_t mRevision = 0;
    std::string mText;
  };

  struct watch
  {
    int mProcess = 0;
    int mStart = 0;
    table_kind mKind = table_kind::Routes;
    std::uint64_t mAfter = 0;
    instant mSince{};
    instant mUntil{};
  };

  struct event
  {
    instant mAt{};
    std::uint64_t mOrder = 0;
    std::function<void()> mAction;

    bool operator<(const event& aOther) const
    {
      return mAt != aOther.mAt ? mAt > aOther.mAt : mOrder > aOther.mOrder;
    }
  };

  void Schedule(instant aAt, std::function<void()> aAction);
  void Deliver(int aProcess, const std::function<void(core_context&)>& aPost);
  void Run(int aProcess);
  void Execute(int aProcess, const command& aCommand);
  void Send(int aProcess, const send_to_peer& aSend);
  void Read(int aProcess, const read_table& aRead);
  void AnswerRead(const watch& aWatch);
  std::uint64_t Random(std::uint64_t aBelow);

  fleet_options mOptions;
  instant mNow = instant(std::chrono::seconds(1000));
  std::uint64_t mRandom;
  std::uint64_t mOrder = 0;
  std::priority_queue<event> mEvents;
  std::vector<std::unique_ptr<test_process>> mProcesses;
  std::vector<instant> mWakeAt;
  std::vector<int> mStartCounts;
  std::function<bool(int, int)> mReachable = [](int, int) { return true; };
  std::function<bool(int)> mServiceReachable = [](int) { return true; };
  std::function<void()> mCheck;
  bool mServiceUp = true;
  std::map<table_kind, published> mPublished;
  std::vector<watch> mWatches;
  std::vector<instant> mReadTimes;
  std::vector<std::string> mLog;
  std::map<std::string, routes_table> mRoutes;
  std::map<std::string, pools_table> mPools;
  std::map<std::string, vm_list> mVms;
};

// Returns the sum of the sizes of all fields; the text of a table counts as aTableBytes.
std::size_t FieldBytes(const peer_message& aMessage, std::size_t aTableBytes);

} // namespace redwingdock

#endif
