#ifndef REDWINGDOCK_TESTING_FAKE_FLEET_H
#define REDWINGDOCK_TESTING_FAKE_FLEET_H

#include "assembly/record_search.h"
#include "testing/fake_server.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

// Simulates daemons (with real cores), fake backend servers and a fake platform on one manual
// clock. Delivers facts and executes commands between them with delays, and injects faults.
//
//   fake_fleet fleet(fleet_options{});
//   fleet.RunFor(std::chrono::seconds(3));
//   fleet.SendQuery(0, request);

namespace redwingdock::testing {

struct fleet_options
{
  std::uint64_t mSeed = 1;
  std::uint32_t mDaemons = 5;
  std::uint32_t mShards = 6;
  std::uint32_t mReplicas = 2;
  std::uint32_t mSlots = 3;
  std::uint32_t mConnections = 30;
  std::uint32_t mZones = 4;
  bool mServersStartCold = false;
  micros mPeerDelay = std::chrono::microseconds(500);
  micros mServerDelay = std::chrono::microseconds(500);
  micros mCallerDelay = std::chrono::milliseconds(1);
  bool mLogDecisions = false; // LogLines() returns every decision of every daemon
  record_search_hooks mHooks;
  std::function<void(core_config&)> mConfigure; // adjusts the settings of every daemon
};

struct issued_query
{
  std::uint64_t mNumber = 0;
  std::size_t mDaemon = 0;
  std::string mTag; // request key, or the "tag" field of the filter
  query_request mRequest;
  instant mSentAt{};
  instant mDeadline{};
  bool mDaemonLost = false; // killed while the query was open: the caller's connection closes
  std::uint32_t mAnswerCount = 0;
  instant mAnsweredAt{};
  query_answer mAnswer;
};

class fake_fleet
{
public:
  explicit fake_fleet(fleet_options aOptions);

  event_queue& Events() { return mEvents; }
  seeded_random& Random() { return mRandom; }
  const fleet_options& Options() const { return mOptions; }
  void RunFor(micros aDuration) { mEvents.RunFor(aDuration); }

  // Callers. Sends a query to the daemon; returns its index in Queries().
  std::size_t SendQuery(std::size_t aDaemon, query_request aRequest, micros aDeadline);
  const std::vector<issued_query>& Queries() const { return mQueries; }
  // Prefix of the request keys that this daemon assigns to its callers.
  std::string KeyPrefix(std::size_t aDaemon) const;

  // Daemons.
  std::size_t DaemonCount() const { return mDaemons.size(); }
  void Kill(std::size_t aDaemon);
  void Start(std::size_t aDaemon); // with empty state and a new incarnation
  void Pause(std::size_t aDaemon);
  void Resume(std::size_t aDaemon);
  bool IsRunning(std::size_t aDaemon) const;
  bool HasProcess(std::size_t aDaemon) const { return mDaemons.at(aDaemon).mCore != nullptr; }
  bool HasStopped(std::size_t aDaemon) const;
  void RequestStop(std::size_t aDaemon);
  // Partitions the daemons into those in aGroup and all others, in place of an earlier partition.
  void Partition(const std::set<std::size_t>& aGroup);
  void HealPartition() { Partition({}); }
  const core& Core(std::size_t aDaemon) const { return *mDaemons.at(aDaemon).mCore; }

  // Servers.
  std::vector<std::unique_ptr<fake_server>>& Servers() { return mServers; }
  const std::vector<std::unique_ptr<fake_server>>& Servers() const { return mServers; }
  void SetVersions(const std::vector<index_version>& aVersions);
  // From now on every open connection of the daemon to the server drops all traffic without
  // closing.
  void Silence(std::size_t aDaemon, const std::string& aServer);

  // Platform.
  void CloseZone(const std::string& aZone);
  void ReopenZone(const std::string& aZone);
  void SetServerDraining(const std::string& aServer, bool aDraining);
  // Replaces the daemon's VM in the VM list by one with a new name, and starts a daemon there. The
  // old process keeps running unless killed.
  void ReplaceVm(std::size_t aDaemon, const std::string& aNewName);
  // Changes published during an outage become readable when it ends, so ClosedSince() and
  // DrainingSince() give the end of the outage for them.
  void SetPlatformDown(bool aDown);
  void SetPlatformReachable(std::size_t aDaemon, bool aReachable);
  void PublishText(table_kind aKind, std::uint64_t aRevision, std::string aText);
  std::uint64_t Revision(table_kind aKind) const { return mTables.at(aKind).mRevision; }
  void Publish(table_kind aKind); // a new revision with the current content
  std::string ZoneOf(std::size_t aNumber) const
  {
    return "zone-" + std::to_string(aNumber % mOptions.mZones);
  }
  const std::map<std::string, instant>& ClosedSince() const { return mClosedSince; }
  const std::map<std::string, instant>& DrainingSince() const { return mDrainingSince; }

  // Totals over all daemons.
  std::uint64_t PeerMessages() const { return mPeerMessages; }
  std::uint64_t PlatformReads() const { return mPlatformReads; }
  const std::vector<std::string>& LogLines() const { return mLog; }

private:
  struct daemon
  {
    std::string mVm;
    std::string mZone;
    std::uint32_t mStarts = 0;
    std::unique_ptr<core> mCore;
    bool mPaused = false;
    bool mStopped = false;
    bool mPlatformReachable = true;
    std::vector<fact> mBacklog; // facts that arrived while the daemon was paused
    instant mWakeAt = kNever;
    std::uint32_t mGroup = 0;
    std::set<std::string> mConnectedPeers;
  };

  struct connection
  {
    std::string mServer;
    bool mSilent = false;
  };

  struct watch
  {
    std::size_t mDaemon = 0;
    std::uint32_t mStart = 0;
    read_table mRead;
    instant mSince{};
  };

  struct table
  {
    std::uint64_t mRevision = 0;
    std::string mText;
  };

  fake_server* FindServer(const std::string& aName);
  std::size_t FindDaemon(const std::string& aVm) const;
  bool CanReach(std::size_t aFrom, std::size_t aTo) const;
  void Deliver(std::size_t aDaemon, std::uint32_t aStart, fact aFact);
  void RunCore(std::size_t aDaemon);
  void UpdatePeerConnections();
  void Execute(std::size_t aDaemon, const command& aCommand);
  void Execute(std::size_t aDaemon, const answer_query& aCommand);
  void Execute(std::size_t aDaemon, const open_connection& aCommand);
  void Execute(std::size_t aDaemon, const close_connection& aCommand);
  void Execute(std::size_t aDaemon, const send_part& aCommand);
  void Execute(std::size_t aDaemon, const cancel_part& aCommand);
  void Execute(std::size_t aDaemon, const check_connection& aCommand);
  void Execute(std::size_t aDaemon, const send_to_peer& aCommand);
  void Execute(std::size_t aDaemon, const read_table& aCommand);
  void AnswerWatch(const watch& aWatch);
  instant VisibleAt() const;
  std::string RoutesText() const;
  std::string PoolsText() const;
  std::string VmsText() const;
  void SetText(table_kind aKind, std::string aText);
  std::string ConnectionName(std::size_t aDaemon, std::uint64_t aConnection) const;

  fleet_options mOptions;
  event_queue mEvents;
  seeded_random mRandom;
  std::vector<daemon> mDaemons;
  std::vector<std::unique_ptr<fake_server>> mServers;
  std::map<std::string, connection> mConnections; // by ConnectionName
  std::vector<issued_query> mQueries;
  std::vector<vm_spec> mVms;
  std::set<std::string> mClosedZones;
  std::set<std::string> mDrainingServers;
  std::map<std::string, instant> mClosedSince;
  std::map<std::string, instant> mDrainingSince;
  std::map<table_kind, table> mTables;
  std::vector<watch> mWatches;
  bool mPlatformDown = false;
  std::uint64_t mPeerMessages = 0;
  std::uint64_t mPlatformReads = 0;
  std::vector<std::string> mLog;
};

} // namespace redwingdock::testing

#endif
