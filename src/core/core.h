#ifndef REDWINGDOCK_CORE_CORE_H
#define REDWINGDOCK_CORE_CORE_H

#include "core/context.h"
#include "core/core_facts.h"
#include "core/fleet.h"
#include "core/forwarding.h"
#include "core/store.h"

#include <functional>
#include <variant>

// The decision core: controllers on one blackboard. A front end posts facts and time, lets workers
// run, and carries out the commands. src/assembly has the sets of controllers to choose from.
//
//   core decisions(config, RecordSearch(core_hooks{}));
//   decisions.Advance(now);
//   decisions.Post(query_arrived{ 1, request });
//   decisions.RunUntilIdle(); // or Work() on several threads until Stop()
//   for (const command& each : decisions.TakeCommands()) { ... }

namespace redwingdock {

using fact = std::variant<query_arrived,
                          caller_gone,
                          entry_asked,
                          table_read,
                          table_unchanged,
                          table_read_failed,
                          connection_changed,
                          part_replied,
                          check_answered,
                          peer_received,
                          peer_connection,
                          stop_asked,
                          request_arrived,
                          request_abandoned,
                          attempt_ended,
                          store_page_read,
                          store_changes_read,
                          store_read_failed,
                          heartbeat_received,
                          settings_changed>;

// Adds the controllers that decide.
using assembly_hook = std::function<void(core_context&)>;

class core
{
public:
  // With more than one shard, facts of different keys can run at the same time on several workers.
  core(core_config aConfig, const assembly_hook& aAssemble, std::size_t aShards = 64);

  // Posts the timers that are due, and process_paused first when the clock jumped. Call before
  // the facts of that time.
  void Advance(instant aNow);
  void Post(fact aFact);

  void RunUntilIdle() { mContext.mBoard.RunUntilIdle(); }
  void Work() { mContext.mBoard.Work(); }
  void Stop() { mContext.mBoard.Stop(); }

  std::vector<command> TakeCommands() { return mContext.TakeCommands(); }
  instant NextDue() const { return mContext.NextDue(); }

  // For operators' views: entries may be read at any time.
  const blackboard& Board() const { return mContext.mBoard; }
  const core_config& Config() const { return mContext.mConfig; }

private:
  void PostMessage(const peer_received& aReceived);

  core_context mContext;
};

} // namespace redwingdock

#endif
