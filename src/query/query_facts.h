#ifndef REDWINGDOCK_QUERY_QUERY_FACTS_H
#define REDWINGDOCK_QUERY_QUERY_FACTS_H

#include "core/messages.h"

// Facts that the query controller posts to itself, under the key of the query.

namespace redwingdock {

// The hedge delay of an attempt has passed.
struct hedge_due
{
  std::uint64_t mAttempt = 0;

  auto operator<=>(const hedge_due&) const = default;
};

// The deadline of the query has passed.
struct query_deadline
{
  auto operator<=>(const query_deadline&) const = default;
};

// Time to place the parts again whose options were all in backoff.
struct retry_placement
{
  auto operator<=>(const retry_placement&) const = default;
};

// Time to start the query over on another snapshot.
struct restart_query
{
  std::uint32_t mRestart = 0; // number of the restart; facts of earlier restarts are ignored

  auto operator<=>(const restart_query&) const = default;
};

// A query that another daemon forwarded to this one. mNumber is its number at this daemon.
struct forwarded_query
{
  std::uint64_t mNumber = 0;
  std::string mFrom;
  forward_query_message mMessage;

  auto operator<=>(const forwarded_query&) const = default;
};

// Another daemon's answer to a query that this one forwarded.
struct forwarded_answer
{
  std::string mFrom;
  query_answer mAnswer;

  auto operator<=>(const forwarded_answer&) const = default;
};

// Posted to a query that waits for another one with the same request key, which has its answer.
struct key_finished
{
  query_answer mAnswer;

  auto operator<=>(const key_finished&) const = default;
};

// The stream to another daemon's VM was lost.
struct peer_disconnected
{
  std::string mVm;

  auto operator<=>(const peer_disconnected&) const = default;
};

} // namespace redwingdock

#endif
