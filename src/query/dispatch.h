#ifndef REDWINGDOCK_QUERY_DISPATCH_H
#define REDWINGDOCK_QUERY_DISPATCH_H

#include "core/context.h"
#include "query/placement.h"
#include "query/plan.h"
#include "query/query_hooks.h"
#include "query/query_state.h"

// Places the parts of a query: reads the candidate servers and permit holders from the blackboard,
// chooses one, and sends the attempt to the gate of this daemon or of the permit holder.

namespace redwingdock {

// This daemon's load on one server through one permit holder. Entry key: ServerHolderKey.
struct holder_load
{
  std::uint32_t mOutstanding = 0; // open attempts
  instant mAvoidUntil{};          // end of the backoff after a refusal

  auto operator<=>(const holder_load&) const = default;
};

// Places every Ready part that has an option. A part whose options are only in backoff stays Ready
// and is tried again on retry_placement. A part fails without any option, and when its attempts or
// the retry budget are used up.
query_state PlaceReadyParts(core_context& aContext, const query_hooks& aHooks, query_state aState);

// Sends a second attempt for a Running part, unless the request is a suspect, the hedge limit of
// the query or the hedge budget is used up, or no other server is available.
query_state PlaceHedge(core_context& aContext,
                       const query_hooks& aHooks,
                       query_state aState,
                       std::size_t aPart);

// Cancels the open attempts of a part and closes them.
query_state CancelAttempts(core_context& aContext, query_state aState, std::size_t aPart);

// Updates the holder_load of an attempt that ended: one open attempt less, and a backoff if the
// attempt was refused.
void CloseAttempt(core_context& aContext, const attempt_state& aAttempt, part_failure aFailure);

// Key of the latency_record of the part's shard.
std::string LatencyKey(const part_state& aPart);

// The shards of a route with the server status that the blackboard holds now.
std::vector<shard_info> ReadShards(core_context& aContext,
                                   const tables_in_force& aTables,
                                   const route_spec& aRoute);

} // namespace redwingdock

#endif
