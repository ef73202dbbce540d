#ifndef REDWINGDOCK_QUERY_DISPATCH_H
#define REDWINGDOCK_QUERY_DISPATCH_H

#include "core/context.h"
#include "query/placement.h"
#include "query/plan.h"
#include "query/query_hooks.h"
#include "query/query_state.h"

// Places parts of a query: reads the options off the blackboard, chooses, and hands the attempt to
// the gate of this daemon or of the permit holder.

namespace redwingdock {

// This daemon's open attempts at one server through one holder, and until when not to try it after
// a refusal. Entry key: ServerHolderKey.
struct holder_load
{
  std::uint32_t mOutstanding = 0;
  instant mAvoidUntil{};

  auto operator<=>(const holder_load&) const = default;
};

// Places every Ready part that has an option. A part without one fails when no option can come
// back before the deadline; otherwise it stays Ready and retry_placement follows.
query_state PlaceReadyParts(core_context& aContext, const query_hooks& aHooks, query_state aState);

// Sends a second attempt for a part in Running, when the budgets and the fingerprint allow it.
query_state PlaceHedge(core_context& aContext,
                       const query_hooks& aHooks,
                       query_state aState,
                       std::size_t aPart);

// Gives up the open attempts of a part and closes them.
query_state CancelAttempts(core_context& aContext, query_state aState, std::size_t aPart);

// Books the end of an attempt: load of its holder, and the time to avoid it after a refusal.
void CloseAttempt(core_context& aContext, const attempt_state& aAttempt, part_failure aFailure);

// Key of the latency record of a shard.
std::string LatencyKey(const part_state& aPart);

// Shards of a route as the blackboard has them now.
std::vector<shard_info> ReadShards(core_context& aContext,
                                   const tables_in_force& aTables,
                                   const route_spec& aRoute);

} // namespace redwingdock

#endif
