#ifndef REDWINGDOCK_TESTING_STORE_SCHEDULE_H
#define REDWINGDOCK_TESTING_STORE_SCHEDULE_H

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

// Random schedules of writes to a store that several daemons follow, and of faults: the store
// returns from a copy, refuses calls, drops its history; daemons lose their connections, get slow
// answers, start again. Checks what the daemons then use.
//
//   store_schedule_result result = RunStoreSchedule(17);

namespace redwingdock::testing {

struct store_schedule_totals
{
  std::uint64_t mWrites = 0;
  std::uint64_t mReturns = 0; // of the store from a copy
  std::uint64_t mOutages = 0;
  std::uint64_t mOtherFaults = 0;
  std::uint64_t mListings = 0; // of all daemons
  std::uint64_t mChecks = 0;

  auto operator<=>(const store_schedule_totals&) const = default;
};

struct store_schedule_result
{
  std::string mDescription;
  std::vector<std::string> mViolations;
  std::vector<std::string> mLog; // with aLogs
  store_schedule_totals mTotals;

  auto operator<=>(const store_schedule_result&) const = default;
};

store_schedule_result RunStoreSchedule(std::uint64_t aSeed, bool aLogs = false);

} // namespace redwingdock::testing

#endif
