#ifndef REDWINGDOCK_SAFETY_SUSPECTS_H
#define REDWINGDOCK_SAFETY_SUSPECTS_H

#include "core/messages.h"

#include <functional>
#include <optional>

// Suspects: requests that were in flight when a server was lost. Pure functions on the entry of one
// fingerprint.
//
//   std::optional<suspect> next = AddServerLoss(old, fingerprint, server, config, now);

namespace redwingdock {

// What the query that ran a suspect found: with an answered part the request is harmless. Key:
// kSuspectsKey.
struct suspect_run_result
{
  std::uint64_t mFingerprint = 0;
  bool mHarmless = false;
  std::set<std::string> mServersLost;

  auto operator<=>(const suspect_run_result&) const = default;
};

// Number of servers lost, with no part answered, after which a request is quarantined.
inline constexpr std::size_t kQuarantineLosses = 2;

struct suspect_times
{
  micros mSuspect{ 0 };
  micros mQuarantine{ 0 };
  instant mNow{};
};

// A server was lost while the request was in flight there.
suspect AddServerLoss(const suspect* aOld,
                      std::uint64_t aFingerprint,
                      const std::string& aServer,
                      const suspect_times& aTimes);

// The query ended without any answer after these losses.
suspect ApplyRunResult(const suspect* aOld,
                       const suspect_run_result& aRunResult,
                       const suspect_times& aTimes);

// Another daemon's knowledge: the stronger level, the union of the losses, the longer time.
suspect MergeEntry(const suspect* aOld, const suspect_entry& aEntry, instant aNow);

// Whether the merged entry holds anything that the old one did not, apart from its time.
bool DiffersApartFromTime(const suspect* aOld, const suspect& aNew);

suspect_entry ToEntry(const suspect& aSuspect, instant aNow);

} // namespace redwingdock

#endif
