#ifndef REDWINGDOCK_FORWARD_PATIENCE_H
#define REDWINGDOCK_FORWARD_PATIENCE_H

#include "base/time.h"

#include <array>
#include <compare>
#include <cstdint>

// How long a client has waited before its request arrived. Clients of a route mostly start with the
// same patience and state what is left of it, so that the difference was spent on finding an
// address, on connecting or on an earlier attempt.
//
//   patience_record next = WithPatience(record, patience);
//   micros spent = SpentTime(next, patience);

namespace redwingdock {

inline constexpr std::size_t kPatienceSamples = 16;

// The latest stated times in milliseconds. Entry key: "patience/" and the route.
struct patience_record
{
  std::array<std::uint32_t, kPatienceSamples> mRecentMs{};
  std::uint32_t mCount = 0; // of all samples

  auto operator<=>(const patience_record&) const = default;
};

patience_record WithPatience(const patience_record& aRecord, micros aPatience);

// 0 while too few clients have stated the same time, or when the client does not state any.
micros SpentTime(const patience_record& aRecord, micros aPatience);

} // namespace redwingdock

#endif
