#include "gate/gate_controller.h"

#include "gate/gate_events.h"
#include "gate/reconcile.h"
#include "gate/stage_exchange.h"

#include <algorithm>
#include <functional>
#include <memory>

namespace redwingdock {

namespace {

// Makes the gate of a server run again after an entry that it depends on changed. Key: server name.
struct gate_refresh
{
  auto operator<=>(const gate_refresh&) const = default;
};

// Expiry of a timer of a server's gate. Key: server name.
struct gate_timer
{
  instant mDue{};

  auto operator<=>(const gate_timer&) const = default;
};

class gate_runner
{
public:
  gate_runner(core_context& aContext, gate_hooks aHooks)
    : mContext(aContext)
    , mHooks(std::move(aHooks))
  {
  }

  // Applies the change to the state of the server's gate and schedules its next timer.
  void Run(const std::string& aServer, const std::function<void(gate_update&)>& aChange) const
  {
    gate_update update = BeginUpdate(mContext, mHooks, aServer);
    aChange(update);
    Reconcile(update);
    const instant due = NextDue(update);
    std::set<instant>& timers = update.mState.mTimers;
    if (due != kNever && (timers.empty() || due < *timers.begin())) {
      timers.insert(due);
      mContext.After(std::max(micros(0), due - update.mNow), aServer, gate_timer{ due });
    }
    CommitUpdate(update);
  }

  void Refresh(const std::string& aServer) const { mContext.mBoard.Post(aServer, gate_refresh{}); }

  void RefreshQueued() const
  {
    for (const auto& [server, state] : mContext.mBoard.List<gate_state>()) {
      if (!state->mQueue.empty()) {
        Refresh(server);
      }
    }
  }

  // Includes the servers of closed zones that were never used: their gates must record the closing
  // to detect the reopening.
  void RefreshAfterTableChange() const
  {
    std::set<std::string> servers;
    for (const auto& [server, state] : mContext.mBoard.List<gate_state>()) {
      servers.insert(server);
    }
    const auto tables = mContext.mBoard.Read<tables_in_force>(kTablesKey);
    if (tables && tables->mPools && !tables->mPools->mClosedZones.empty()) {
      for (const pool_spec& pool : tables->mPools->mPools) {
        for (const server_spec& server : pool.mServers) {
          if (tables->mPools->mClosedZones.contains(server.mZone)) {
            servers.insert(server.mName);
          }
        }
      }
    }
    for (const std::string& server : servers) {
      Refresh(server);
    }
  }

  core_context& mContext;
  const gate_hooks mHooks;
};

template<typename T>
void OnServerFact(const std::shared_ptr<const gate_runner>& aRunner,
                  const std::function<void(gate_update&, const T&)>& aChange)
{
  aRunner->mContext.mBoard.OnFact<T>(
    [aRunner, aChange](const std::string& aServer, const T& aFact) {
      aRunner->Run(aServer, [&](gate_update& aUpdate) { aChange(aUpdate, aFact); });
    });
}

} // namespace

void AddGateController(core_context& aContext, const gate_hooks& aHooks)
{
  const auto runner = std::make_shared<const gate_runner>(aContext, aHooks);
  OnServerFact<gate_request>(runner, [](gate_update& aUpdate, const gate_request& aFact) {
    OnRequest(aUpdate, { aFact.mFrom, aFact.mRequest });
  });
  OnServerFact<received<forward_part_message>>(
    runner, [](gate_update& aUpdate, const received<forward_part_message>& aFact) {
      waiting_part part{ aFact.mFrom, aFact.mMessage.mRequest };
      part.mRequest.mDeadline = aUpdate.mNow + aFact.mMessage.mRemaining;
      OnRequest(aUpdate, std::move(part));
    });
  OnServerFact<gate_cancel>(runner, [](gate_update& aUpdate, const gate_cancel& aFact) {
    OnCancel(aUpdate, aFact.mAttempt, aUpdate.mContext.mConfig.mVm);
  });
  OnServerFact<received<cancel_part_message>>(
    runner, [](gate_update& aUpdate, const received<cancel_part_message>& aFact) {
      OnCancel(aUpdate, aFact.mMessage.mAttempt, aFact.mFrom);
    });
  OnServerFact<received<server_stage_message>>(runner, OnStageMessage);
  OnServerFact<part_replied>(runner, OnReply);
  OnServerFact<connection_changed>(runner, OnConnection);
  OnServerFact<check_answered>(runner, OnCheck);
  OnServerFact<server_evidence_received>(
    runner, [](gate_update& aUpdate, const server_evidence_received& aFact) {
      OnRemoteEvidence(aUpdate, aFact.mEvidence);
    });
  OnServerFact<gate_refresh>(runner, [](gate_update&, const gate_refresh&) {});
  OnServerFact<gate_timer>(runner, [](gate_update& aUpdate, const gate_timer& aFact) {
    aUpdate.mState.mTimers.erase(aFact.mDue);
  });

  blackboard& board = aContext.mBoard;
  board.OnChange<server_permits>([runner](const std::string& aServer) {
    if (runner->mContext.mBoard.Read<gate_state>(aServer)) {
      runner->Refresh(aServer);
    }
  });
  board.OnChange<tables_in_force>(
    [runner](const std::string&) { runner->RefreshAfterTableChange(); });
  board.OnChange<member_view>([runner](const std::string&) { runner->RefreshQueued(); });
  board.OnFact<process_paused>([runner](const std::string&, const process_paused&) {
    runner->mContext.mBoard.Write(kMembersKey, gate_pause{ runner->mContext.Now() });
    runner->RefreshQueued();
  });
}

} // namespace redwingdock
