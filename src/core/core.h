#ifndef REDWINGDOCK_CORE_CORE_H
#define REDWINGDOCK_CORE_CORE_H

#include "core/context.h"
#include "core/controller_facts.h"
#include "core/fleet.h"
#include "core/forwarding.h"
#include "core/store.h"

#include <functional>
#include <variant>

// The decision core: a set of controllers on one blackboard. A front end posts facts, advances the
// clock, runs workers and carries out the commands. src/assembly has the sets of controllers.
//
//   core decisions(config, RecordSearch(record_search_hooks{}));
//   decisions.Advance(now);
//   decisions.Post(query_arrived{ 1, request });
//   decisions.RunUntilIdle();
//   for (const command& each : decisions.TakeCommands()) { ... }

namespace redwingdock {

// Everything that a front end can post.
using fact = std::variant<query_arrived,
                          caller_disconnected,
                          entry_requested,
                          table_read,
                          table_unchanged,
                          table_read_failed,
                          connection_changed,
                          part_replied,
                          check_answered,
                          peer_message_received,
                          peer_connection_changed,
                          stop_requested,
                          request_arrived,
                          request_abandoned,
                          attempt_ended,
                          replica_checked,
                          store_page_read,
                          store_changes_read,
                          store_read_failed,
                          store_checked,
                          heartbeat_received,
                          settings_changed>;

// Adds a set of controllers to a new core.
using assembly_hook = std::function<void(core_context&)>;

class core
{
public:
  // aShards: shards of the blackboard. With more than one, workers can process facts of different
  // keys in parallel.
  core(core_config aConfig, const assembly_hook& aAssemble, std::size_t aShards = 64);

  // Advances the clock to aNow and posts the facts of due timers. Posts process_paused before them
  // when the step is longer than mPauseLimit. Call this before posting facts of that time.
  void Advance(instant aNow);
  void Post(fact aFact);

  void RunUntilIdle() { mContext.mBoard.RunUntilIdle(); }
  void Stop() { mContext.mBoard.Stop(); }
  // As blackboard::OnUnexpectedError. Call before posting facts.
  void OnUnexpectedError(std::function<void(const std::string&)> aHook)
  {
    mContext.mBoard.OnUnexpectedError(std::move(aHook));
  }

  std::vector<command> TakeCommands() { return mContext.TakeCommands(); }
  instant NextDue() const { return mContext.NextDue(); }

  // For views of operators. Entries can be read at any time, from any thread.
  const blackboard& Board() const { return mContext.mBoard; }
  const core_config& Config() const { return mContext.mConfig; }

private:
  void PostMessage(const peer_message_received& aReceived);

  core_context mContext;
};

} // namespace redwingdock

#endif
