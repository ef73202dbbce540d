#ifndef REDWINGDOCK_FORWARD_PATIENCE_H
#define REDWINGDOCK_FORWARD_PATIENCE_H

#include "base/time.h"

#include <array>
#include <compare>
#include <cstdint>

// Estimates how long a client had waited before its request arrived. Clients of a route mostly
// start with the same timeout and state the time that remains of it. The difference was spent on
// finding an address, on connecting or on an earlier attempt.
//
//   patience_record next = WithPatience(record, patience);
//   micros spent = SpentTime(next, patience);

namespace redwingdock {

inline constexpr std::size_t kPatienceSamples = 16;

// The latest remaining times stated by clients, in milliseconds, as a ring buffer. Entry key:
// "patience/" and the route.
struct patience_record
{
  std::array<std::uint32_t, kPatienceSamples> mRecentMs{};
  std::uint32_t mCount = 0; // samples ever added

  auto operator<=>(const patience_record&) const = default;
};

patience_record WithPatience(const patience_record& aRecord, micros aPatience);

// Estimated time spent before the arrival. 0 while too few clients have stated the same time, or
// when aPatience is 0 because the client states none.
micros SpentTime(const patience_record& aRecord, micros aPatience);

} // namespace redwingdock

#endif
