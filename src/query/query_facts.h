#ifndef REDWINGDOCK_QUERY_QUERY_FACTS_H
#define REDWINGDOCK_QUERY_QUERY_FACTS_H

#include "core/messages.h"

// Facts of the query controller to itself, in the shard of the query.

namespace redwingdock {

// The attempt is unanswered after the hedge delay.
struct hedge_due
{
  std::uint64_t mAttempt = 0;

  auto operator<=>(const hedge_due&) const = default;
};

struct query_deadline
{
  auto operator<=>(const query_deadline&) const = default;
};

// Parts that had no option a moment ago are placed again.
struct retry_placement
{
  auto operator<=>(const retry_placement&) const = default;
};

// The query starts over on another snapshot.
struct restart_query
{
  std::uint32_t mRestart = 0; // the restart it leads to; older ones are ignored

  auto operator<=>(const restart_query&) const = default;
};

// A query that another daemon passed on, under the number that it has here.
struct forwarded_query
{
  std::uint64_t mNumber = 0;
  std::string mFrom;
  forward_query_message mMessage;

  auto operator<=>(const forwarded_query&) const = default;
};

// The query that runs the same request key has its answer.
struct key_finished
{
  query_answer mAnswer;

  auto operator<=>(const key_finished&) const = default;
};

// The stream to a VM went down.
struct peer_disconnected
{
  std::string mVm;

  auto operator<=>(const peer_disconnected&) const = default;
};

} // namespace redwingdock

#endif
