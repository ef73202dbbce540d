#ifndef REDWINGDOCK_GATE_RECENT_ATTEMPTS_H
#define REDWINGDOCK_GATE_RECENT_ATTEMPTS_H

#include "base/time.h"
#include "core/requests.h"

#include <memory>
#include <vector>

// Attempts that have a final result or were cancelled before their request arrived. They are kept
// for as long as a repeated message can refer to them.
//
//   recent = WithAttempt(recent, attempt, attempt_status::Finished, now, now + keep);
//   if (FindStatus(recent, attempt) == attempt_status::Finished) { ... }

namespace redwingdock {

enum class attempt_status
{
  Finished,
  Cancelled, // before the request arrived
};

struct recent_attempt
{
  attempt_id mAttempt;
  attempt_status mStatus = attempt_status::Finished;

  auto operator<=>(const recent_attempt&) const = default;
};

// A full block. It is immutable and shared between copies, so that copying recent_attempts copies
// at most one block of attempts.
struct attempt_block
{
  std::shared_ptr<const std::vector<recent_attempt>> mAttempts; // sorted by attempt
  instant mKeepUntil{};

  auto operator<=>(const attempt_block&) const = default;
};

struct recent_attempts
{
  std::vector<attempt_block> mFullBlocks; // oldest first
  std::vector<recent_attempt> mOpenBlock;
  instant mOpenBlockUntil{}; // time until which the attempts of mOpenBlock are kept

  auto operator<=>(const recent_attempts&) const = default;
};

// Empty when the attempt is unknown.
std::optional<attempt_status> FindStatus(const recent_attempts& aRecent,
                                         const attempt_id& aAttempt);

// Adds an attempt, which is kept at least until aUntil, and drops expired blocks.
recent_attempts WithAttempt(recent_attempts aRecent,
                            const attempt_id& aAttempt,
                            attempt_status aStatus,
                            instant aNow,
                            instant aUntil);

} // namespace redwingdock

#endif
