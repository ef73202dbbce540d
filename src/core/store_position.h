#ifndef REDWINGDOCK_CORE_STORE_POSITION_H
#define REDWINGDOCK_CORE_STORE_POSITION_H

#include <compare>
#include <cstdint>

// A state of the store: a history and a revision in it.
//
//   store_position before{ 1, 696 };
//   store_position restored{ 2, 541 }; // later, although its revision is lower

namespace redwingdock {

// When the store returns from a copy of itself, its history since the copy is gone: a new history
// begins, with the next era, and gives revisions out again. Positions are ordered by era, then by
// revision. A store that does not state its era has era 0; two of its positions can be of different
// histories.
struct store_position
{
  std::uint64_t mEra = 0;
  std::uint64_t mRevision = 0;

  auto operator<=>(const store_position&) const = default;
};

// Whether a store that was at aBefore can be at aAfter later, without a new history.
inline bool Continues(const store_position& aAfter, const store_position& aBefore)
{
  return aAfter.mEra == aBefore.mEra && aAfter.mRevision >= aBefore.mRevision;
}

} // namespace redwingdock

#endif
