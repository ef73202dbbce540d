#ifndef REDWINGDOCK_GATE_GATE_UPDATE_H
#define REDWINGDOCK_GATE_GATE_UPDATE_H

#include "core/context.h"
#include "core/controller_facts.h"
#include "gate/gate_hooks.h"
#include "gate/gate_state.h"

// Processing of one fact by the gate of one server: a snapshot of the blackboard entries that the
// gate depends on, and the gate's state, which is written back at the end.
//
//   gate_update update = BeginUpdate(context, hooks, server);
//   update.mState = WithUse(std::move(update.mState), use);
//   CommitUpdate(update);

namespace redwingdock {

// End of the last pause of this process. Entry key: kMembersKey.
struct gate_pause
{
  instant mEndedAt{};

  auto operator<=>(const gate_pause&) const = default;
};

struct gate_update
{
  core_context& mContext;
  const gate_hooks& mHooks;
  instant mNow{};
  std::shared_ptr<const tables_in_force> mTables;
  std::shared_ptr<const member_view> mView;
  std::shared_ptr<const server_permits> mPermits;
  const pool_spec* mPool = nullptr; // null when the server is not in the tables
  const server_spec* mServer = nullptr;
  gate_state mState;
};

gate_update BeginUpdate(core_context& aContext,
                        const gate_hooks& aHooks,
                        const std::string& aServer);

// Writes the gate's state and the entries that other modules read. Erases them when the server has
// left the tables and no use, queued part or connection remains.
void CommitUpdate(const gate_update& aUpdate);

// Writes the gate_load entry. Called before each send, so that membership never releases a permit
// that is in use.
void WriteLoad(const gate_update& aUpdate);

// Whether this daemon is the leader: it may use permit 0 of the server.
bool IsLeader(const gate_update& aUpdate);
// VM that holds permit 0; empty when unknown.
std::string LeaderOf(const gate_update& aUpdate);
// Stage at which all slots may be used: slots - 1, or 0 when the pool is unknown.
std::uint32_t TopStage(const gate_update& aUpdate);
// Stage that may be used now.
std::uint32_t CurrentStage(const gate_update& aUpdate);
// Limit of each permit's connections, 0 when the pool is unknown.
std::uint32_t ConnectionCap(const gate_update& aUpdate);
// Whether the tables or recent evidence show that the server is draining.
bool IsDraining(const gate_update& aUpdate);
bool InClosedZone(const gate_update& aUpdate);
bool IsQuarantined(const gate_update& aUpdate, const part_request& aRequest);

// Indexes of the permits that this daemon may use now, including busy ones.
std::vector<std::uint32_t> UsablePermits(const gate_update& aUpdate);

struct refusal
{
  part_failure mFailure = part_failure::NotSent;
  std::string mText;
};

// The reason why the gate must refuse parts for the server now; empty when it accepts them.
std::optional<refusal> CurrentRefusal(const gate_update& aUpdate);

// Sends the final result of an attempt to the VM that requested it, and records the attempt as
// finished.
void FinishAttempt(gate_update& aUpdate, const waiting_part& aPart, part_reply aReply);
void FinishAttempt(gate_update& aUpdate,
                   const waiting_part& aPart,
                   part_result aResult,
                   part_failure aFailure,
                   std::string aText);

} // namespace redwingdock

#endif
