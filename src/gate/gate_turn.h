#ifndef REDWINGDOCK_GATE_GATE_TURN_H
#define REDWINGDOCK_GATE_GATE_TURN_H

#include "core/context.h"
#include "core/core_facts.h"
#include "gate/gate_hooks.h"
#include "gate/gate_state.h"

// One processing step of one server's gate: the entries it goes by, read once, and the state that
// it replaces.
//
//   gate_turn turn = LoadTurn(context, hooks, server);
//   turn.mState = WithUse(std::move(turn.mState), use);
//   StoreTurn(turn);

namespace redwingdock {

// Time of the last pause of this process. Entry key: kMembersKey.
struct gate_pause
{
  instant mEndedAt{};

  auto operator<=>(const gate_pause&) const = default;
};

struct gate_turn
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

gate_turn LoadTurn(core_context& aContext, const gate_hooks& aHooks, const std::string& aServer);

// Writes the state and the entries for other modules; erases them once nothing is left of a server
// that is not in the tables.
void StoreTurn(const gate_turn& aTurn);

// Writes the gate_load entry; done before each send, so that membership never misses one.
void WriteLoad(const gate_turn& aTurn);

// Whether this daemon may use permit 0 of the server.
bool Leads(const gate_turn& aTurn);
// VM that holds permit 0, empty when unknown.
std::string LeaderOf(const gate_turn& aTurn);
std::uint32_t TopStage(const gate_turn& aTurn);
std::uint32_t StageNow(const gate_turn& aTurn);
std::uint32_t ConnectionCap(const gate_turn& aTurn);
bool IsDraining(const gate_turn& aTurn);
bool InClosedZone(const gate_turn& aTurn);
bool IsQuarantined(const gate_turn& aTurn, const part_request& aRequest);

// Permits that this daemon may use now, busy ones included, by index.
std::vector<std::uint32_t> UsablePermits(const gate_turn& aTurn);

struct refusal
{
  part_failure mFailure = part_failure::NotSent;
  std::string mText;
};

// Why the server takes no parts from this gate now.
std::optional<refusal> RefusalOf(const gate_turn& aTurn);

// Gives the final result of an attempt to the VM that asked, and remembers the attempt.
void Finish(gate_turn& aTurn, const waiting_part& aPart, part_reply aReply);
void Finish(gate_turn& aTurn,
            const waiting_part& aPart,
            part_result aResult,
            part_failure aFailure,
            std::string aText);

} // namespace redwingdock

#endif
