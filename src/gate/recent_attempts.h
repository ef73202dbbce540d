#ifndef REDWINGDOCK_GATE_RECENT_ATTEMPTS_H
#define REDWINGDOCK_GATE_RECENT_ATTEMPTS_H

#include "base/time.h"
#include "core/requests.h"

#include <memory>
#include <vector>

// Attempts that have a final result, or were cancelled before they arrived, for as long as a
// repeated message can name them.
//
//   recent = WithAttempt(recent, attempt, attempt_fate::Finished, now, now + keep);
//   if (FateOf(recent, attempt) == attempt_fate::Finished) { ... }

namespace redwingdock {

enum class attempt_fate
{
  Finished,
  Cancelled, // before its request arrived
};

struct recent_attempt
{
  attempt_id mAttempt;
  attempt_fate mFate = attempt_fate::Finished;

  auto operator<=>(const recent_attempt&) const = default;
};

// A full block is immutable and shared by all later values, so that a copy of recent_attempts
// costs one block at most.
struct attempt_block
{
  std::shared_ptr<const std::vector<recent_attempt>> mAttempts; // by attempt
  instant mKeepUntil{};

  auto operator<=>(const attempt_block&) const = default;
};

struct recent_attempts
{
  std::vector<attempt_block> mFull; // oldest first
  std::vector<recent_attempt> mOpen;
  instant mOpenUntil{}; // latest time to keep an attempt of mOpen

  auto operator<=>(const recent_attempts&) const = default;
};

std::optional<attempt_fate> FateOf(const recent_attempts& aRecent, const attempt_id& aAttempt);

// Adds an attempt and drops blocks whose time is over. An attempt is kept at least until aUntil.
recent_attempts WithAttempt(recent_attempts aRecent,
                            const attempt_id& aAttempt,
                            attempt_fate aFate,
                            instant aNow,
                            instant aUntil);

} // namespace redwingdock

#endif
