#ifndef REDWINGDOCK_BASE_TIME_H
#define REDWINGDOCK_BASE_TIME_H

#include <chrono>
#include <cstdint>
#include <ratio>

// Time types of the core: microseconds of a steady clock that the front end reads and posts.
//
//   instant deadline = now + std::chrono::milliseconds(72);

namespace redwingdock {

using micros = std::chrono::microseconds;

// Clock type without now(), because the core gets the time from the front end only.
struct core_clock
{
  using rep = std::int64_t;
  using period = std::micro;
  using duration = micros;
  using time_point = std::chrono::time_point<core_clock>;
};

using instant = core_clock::time_point;

inline constexpr instant kNever = instant::max();

// Converts a duration to milliseconds, rounding down.
constexpr std::int64_t ToMs(micros aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

} // namespace redwingdock

#endif
