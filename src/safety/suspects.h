#ifndef REDWINGDOCK_SAFETY_SUSPECTS_H
#define REDWINGDOCK_SAFETY_SUSPECTS_H

#include "core/messages.h"

#include <functional>
#include <optional>

// Suspects are requests that were in flight when a server was lost. These pure functions compute
// the next entry of one fingerprint; an expired aOld counts as none.
//
//   std::optional<suspect> next = AddServerLoss(old, fingerprint, server, times);

namespace redwingdock {

// Result of a query that ran a suspect, or lost a server; see IsHarmless. Key: kSuspectsKey.
struct suspect_run_result
{
  std::uint64_t mFingerprint = 0;
  bool mHarmless = false;
  std::set<std::string> mServersLost;

  auto operator<=>(const suspect_run_result&) const = default;
};

// Number of lost servers, without proof that the request is harmless, that quarantines a request.
inline constexpr std::size_t kQuarantineLosses = 2;

struct suspect_times
{
  micros mSuspectTime{ 0 };    // lifetime of a suspect entry
  micros mQuarantineTime{ 0 }; // lifetime of a quarantine
  instant mNow{};
};

// Adds a server that was lost while the request was in flight there.
suspect AddServerLoss(const suspect* aOld,
                      std::uint64_t aFingerprint,
                      const std::string& aServer,
                      const suspect_times& aTimes);

// Adds the servers that a query lost without showing that the request is harmless, and quarantines
// the request at kQuarantineLosses.
suspect ApplyRunResult(const suspect* aOld,
                       const suspect_run_result& aRunResult,
                       const suspect_times& aTimes);

// Merges the entry of another daemon: the higher level, the union of the lost servers, and the
// later end.
suspect MergeEntry(const suspect* aOld, const suspect_entry& aEntry, instant aNow);

// Whether the entries differ in anything but their time. Time alone is not sent to other daemons,
// or two of them would send each other the same entry forever.
bool DiffersApartFromTime(const suspect* aOld, const suspect& aNew);

// The entry as it is sent to other daemons, with the remaining time instead of the end.
suspect_entry ToEntry(const suspect& aSuspect, instant aNow);

} // namespace redwingdock

#endif
