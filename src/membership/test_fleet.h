#ifndef REDWINGDOCK_MEMBERSHIP_TEST_FLEET_H
#define REDWINGDOCK_MEMBERSHIP_TEST_FLEET_H

#include "assembly/hooks.h"
#include "core/context.h"
#include "core/facts.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

// Several daemons' table and membership controllers on one manual clock, joined by a simulated
// network and a simulated configuration service. For tests and benchmarks.
//
//   test_fleet fleet(options);
//   fleet.Publish(table_kind::Vms, fleet.VmTable(1, { 0, 1, 2 }));
//   fleet.StartAll();
//   fleet.RunUntil(std::chrono::seconds(2));

namespace redwingdock {

struct fleet_options
{
  int mProcesses = 5;
  int mZones = 4;
  int mShards = 4;                // of two replicas with three slots each
  std::size_t mTableBytes = 2000; // counted size of a routes or pools table
  micros mDelay = std::chrono::microseconds(500);
  micros mJitter = std::chrono::milliseconds(1);
  double mLoss = 0; // share of messages dropped
  std::uint64_t mSeed = 1;
  bool mCheckEvents = true;                // checks after every event, not only every 50 ms
  bool mIdleGates = true;                  // gates report no work in flight; otherwise none reports
  std::function<void(core_hooks&)> mBreak; // replaces a mechanism
  std::function<void(core_config&)> mConfigure;
};

struct traffic
{
  std::uint64_t mMessages = 0;
  std::uint64_t mBytes = 0; // sum of field sizes sent
  std::uint64_t mReads = 0; // from the service, a watch counts as one

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
  std::vector<std::function<void()>> mHeld; // deliveries while paused
  traffic mSent;
  instant mSendFree{};
};

class test_fleet
{
public:
  explicit test_fleet(fleet_options aOptions);

  // Adds a process under a VM name and returns its number. Processes 0 to mProcesses - 1 exist
  // from the beginning, under the names of VmName.
  int AddProcess(const std::string& aName);
  static std::string VmName(int aIndex) { return "vm-" + std::to_string(aIndex); }

  void Start(int aProcess);
  void StartAll();
  void Kill(int aProcess);
  void Pause(int aProcess);
  void Resume(int aProcess);

  // Whether a message from one process can reach another.
  void SetLinks(std::function<bool(int aFrom, int aTo)> aReachable)
  {
    mReachable = std::move(aReachable);
  }
  // Separates the processes into groups; processes in none reach nobody.
  void Partition(const std::vector<std::set<int>>& aGroups);

  // Tables. A YAML text is not needed: the parse hooks of the fleet look the text up.
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

  // Runs events up to the time; the check runs after every event and every 50 ms.
  void RunUntil(micros aTime);
  void SetCheck(std::function<void()> aCheck) { mCheck = std::move(aCheck); }
  void At(micros aTime, std::function<void()> aAction);

  instant Now() const { return mNow; }
  std::size_t Size() const { return mProcesses.size(); }
  const test_process& Process(int aIndex) const { return *mProcesses[aIndex]; }
  const std::vector<std::string>& Log() const { return mLog; }

  // Times of reads at the service, for peaks.
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

  void Add(instant aAt, std::function<void()> aAction);
  void Deliver(int aProcess, const std::function<void(core_context&)>& aPost);
  void Run(int aProcess);
  void Carry(int aProcess, const command& aCommand);
  void Send(int aProcess, const send_to_peer& aSend);
  void Read(int aProcess, const read_table& aRead);
  void Answer(const watch& aWatch);
  std::uint64_t Random(std::uint64_t aBelow);

  fleet_options mOptions;
  instant mNow = instant(std::chrono::seconds(1000));
  std::uint64_t mRandom;
  std::uint64_t mOrder = 0;
  std::priority_queue<event> mEvents;
  std::vector<std::unique_ptr<test_process>> mProcesses;
  std::vector<instant> mWakeAt;
  std::vector<int> mStarts;
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

// Sum of the sizes of all fields; a table counts with aTableBytes.
std::size_t FieldBytes(const peer_message& aMessage, std::size_t aTableBytes);

} // namespace redwingdock

#endif
