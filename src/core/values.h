#ifndef REDWINGDOCK_CORE_VALUES_H
#define REDWINGDOCK_CORE_VALUES_H

#include "base/reason.h"
#include "base/time.h"
#include "core/table_revision.h"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Immutable values that more than one module reads from the blackboard. A value that only one
// module uses is declared in that module.
//
//   auto tables = board.Read<tables_in_force>(kTablesKey);

namespace redwingdock {

// Half-open range of record positions, 0 <= mFrom < mTo <= kPositions.
struct position_range
{
  std::uint32_t mFrom = 0;
  std::uint32_t mTo = 0;

  auto operator<=>(const position_range&) const = default;
};

using position_ranges = std::vector<position_range>;

// A backend server: one replica of one shard of a pool.
struct server_spec
{
  std::string mName;
  std::string mPool;
  std::string mShard;
  std::string mZone;
  std::string mAddress;   // "ip:port"
  bool mDraining = false; // takes no new work

  auto operator<=>(const server_spec&) const = default;
};

// A shard and the record positions that it owns.
struct shard_spec
{
  std::string mName;
  std::map<std::uint32_t, position_ranges> mRanges; // by partition map id

  auto operator<=>(const shard_spec&) const = default;
};

// One pool of backend servers. The limits and the connection cost apply to each server.
struct pool_spec
{
  std::string mName;
  std::uint32_t mSlots = 1;       // parts that run at the same time; one permit each
  std::uint32_t mConnections = 2; // connections that the server accepts from all daemons together
  micros mConnectCost{ 0 };       // time to open a connection
  std::vector<shard_spec> mShards;
  std::vector<server_spec> mServers;

  auto operator<=>(const pool_spec&) const = default;
};

// Published table of the pools and of the zones that get no new work.
struct pools_table
{
  table_revision mRevision;
  std::set<std::string> mClosedZones;
  std::vector<pool_spec> mPools;

  auto operator<=>(const pools_table&) const = default;
};

// Search reads every shard of the route's pools. Submit is not idempotent and goes only to the
// shard that owns the position of the record that the request names.
enum class operation
{
  Search,
  Submit,
};

enum class urgency
{
  Urgent,
  Normal,
  Background,
};

// A route: the pools that serve it and the defaults of its requests.
struct route_spec
{
  std::string mName;
  std::vector<std::string> mPools;
  operation mOperation = operation::Search;
  urgency mUrgency = urgency::Normal;
  micros mDeadline = std::chrono::seconds(1);
  bool mHedge = true; // whether late parts are also sent to another replica

  auto operator<=>(const route_spec&) const = default;
};

// Published table of the routes.
struct routes_table
{
  table_revision mRevision;
  std::vector<route_spec> mRoutes;

  auto operator<=>(const routes_table&) const = default;
};

// The routes and pools tables in use, which were checked together: the pools of every route exist
// and cover all positions. The Find methods return null for an unknown name.
struct tables_in_force
{
  std::shared_ptr<const routes_table> mRoutes;
  std::shared_ptr<const pools_table> mPools;

  table_revision RoutesRevision() const { return mRoutes ? mRoutes->mRevision : table_revision{}; }
  table_revision PoolsRevision() const { return mPools ? mPools->mRevision : table_revision{}; }
  const route_spec* FindRoute(const std::string& aName) const;
  const pool_spec* FindPool(const std::string& aName) const;
  const server_spec* FindServer(const std::string& aName) const;

  // Compares revisions only: a revision is published once, so equal revisions have equal contents.
  bool operator==(const tables_in_force& aOther) const
  {
    return RoutesRevision() == aOther.RoutesRevision() && PoolsRevision() == aOther.PoolsRevision();
  }
};

enum class vm_state
{
  Live,
  Leaving,
};

// An entry VM: a machine that runs a daemon.
struct vm_spec
{
  std::string mName;
  std::string mAddress;     // peer address, "ip:port"
  std::string mCallAddress; // address for callers, "ip:port"
  std::string mZone;
  vm_state mState = vm_state::Live;

  auto operator<=>(const vm_spec&) const = default;
};

// Published list of the entry VMs.
struct vm_list
{
  table_revision mRevision;
  std::vector<vm_spec> mVms; // by name

  const vm_spec* Find(const std::string& aName) const;

  auto operator<=>(const vm_list&) const = default;
};

// State of another daemon, from its own messages or relayed by other daemons. Entry key: PeerKey.
struct peer_state
{
  std::string mVm;
  std::string mIncarnation; // changes with every start of the process
  table_revision mVmRevision;
  table_revision mRoutesRevision;
  table_revision mPoolsRevision;
  bool mDraining = false;
  instant mHeardAt{}; // latest time at which this was true: time of receipt less the reported age
  bool mConnected = false;

  auto operator<=>(const peer_state&) const = default;
};

// Membership as seen by this daemon, which may use its permits until `mConfirmedUntil`. Entry key:
// kMembersKey.
struct member_view
{
  std::string mSelf;
  std::string mIncarnation;
  vm_list mVms;
  instant mConfirmedUntil{};

  auto operator<=>(const member_view&) const = default;
};

// Revision of the VM list that this daemon last read from the configuration service itself.
// mReadStartedAt is when that read was started. Entry key: kTablesKey.
struct vm_list_confirmation
{
  table_revision mRevision;
  instant mReadStartedAt{};

  auto operator<=>(const vm_list_confirmation&) const = default;
};

// Whether this daemon must read the VM list itself to confirm its view, because probes do not
// confirm it. Entry key: kMembersKey.
struct confirmation_need
{
  bool mNeeded = false;

  auto operator<=>(const confirmation_need&) const = default;
};

// One permit of a server. The holder must not use it before `mUsableFrom`, because the previous
// holder may still use it until then.
struct permit
{
  std::uint32_t mIndex = 0;
  std::string mHolder;
  instant mUsableFrom{};

  auto operator<=>(const permit&) const = default;
};

// All permits of one server, ordered by index. Entry key: server name.
struct server_permits
{
  std::string mServer;
  std::vector<permit> mPermits;

  auto operator<=>(const server_permits&) const = default;
};

// A version of the index that a server can serve, and the partition map it was built with.
struct index_version
{
  std::uint64_t mVersion = 0;
  std::uint32_t mMap = 0;

  auto operator<=>(const index_version&) const = default;
};

// State of a server as its replies to this or another daemon report it. Entry key: server name.
// mStage counts the warm-up steps: 0 is cold or unknown, and permit k may be used at stage >= k.
struct server_status
{
  std::string mServer;
  std::string mInstance; // changes with every start of the server process; empty when unknown
  std::uint32_t mStage = 0;
  bool mDraining = false;
  std::vector<index_version> mVersions; // ascending; empty when unknown
  instant mSeenAt{};                    // when this was last confirmed
  std::uint32_t mQueueLength = 0;       // parts waiting at this daemon's gate

  auto operator<=>(const server_status&) const = default;
};

// Work of this daemon in flight at a server, written by the server's gate before the first part is
// sent. A permit that moved to another VM is released once it is no longer in use; without an entry
// it is never released early. Entry key: server name.
struct gate_load
{
  std::string mServer;
  std::uint32_t mInFlight = 0;
  std::set<std::uint32_t> mPermitsInUse; // by index

  auto operator<=>(const gate_load&) const = default;
};

enum class drain_phase
{
  Serving,
  Draining, // still serves its callers, but is no longer given to callers as entry VM
  Closing,  // finishes running work; new work is passed on or refused before it runs
  Stopped,
};

// Progress of this daemon's own shutdown. Entry key: kSelfKey.
struct drain_state
{
  drain_phase mPhase = drain_phase::Serving;
  instant mEarliestClosing{}; // earliest change from Draining to Closing

  auto operator<=>(const drain_state&) const = default;
};

enum class suspicion
{
  Suspect,
  Quarantined,
};

// Fingerprint of a request that was in flight when a server was lost and may have crashed it.
// Entry key: SuspectKey.
struct suspect
{
  std::uint64_t mFingerprint = 0;
  suspicion mLevel = suspicion::Suspect;
  std::set<std::string> mServersLost;
  instant mUntil{};

  auto operator<=>(const suspect&) const = default;
};

// Key of the peer_state entry of a VM.
inline std::string PeerKey(const std::string& aVm)
{
  return "peer/" + aVm;
}

inline constexpr char kTablesKey[] = "tables";
inline constexpr char kMembersKey[] = "members";
inline constexpr char kSelfKey[] = "self";

// Count of one kind of decision; the front end reads it for metrics and operators. Entry key: name
// of the count.
struct counter
{
  std::uint64_t mCount = 0;

  auto operator<=>(const counter&) const = default;
};

} // namespace redwingdock

#endif
