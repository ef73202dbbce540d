#ifndef REDWINGDOCK_QUERY_PLACEMENT_H
#define REDWINGDOCK_QUERY_PLACEMENT_H

#include "base/time.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

// Chooses the replica and the permit holder for an attempt of a part.
//
//   std::optional<std::size_t> chosen = ChooseOption(options, limits, random);

namespace redwingdock {

// A server, and a VM whose gate holds permits for it.
struct placement_option
{
  std::string mServer;
  std::string mZone;
  std::string mHolder;
  std::uint32_t mPermits = 1;     // number that mHolder holds
  std::uint32_t mOutstanding = 0; // this daemon's open attempts at mServer through mHolder
  bool mLocal = false;            // whether mHolder is this daemon
  instant mAvoidUntil{};          // end of the backoff after a refusal

  auto operator<=>(const placement_option&) const = default;
};

struct placement_limits
{
  std::set<std::string> mExcludedServers;
  std::set<std::string> mExcludedPairs; // ServerHolderKey of options that refused for good
  std::string mAvoidZone;               // for hedges: another zone is preferred; empty for none
  instant mNow{};

  auto operator<=>(const placement_limits&) const = default;
};

// Blackboard key of a server and permit holder pair.
std::string ServerHolderKey(const std::string& aServer, const std::string& aHolder);

// Returns the index of the option with the lowest cost: open attempts per permit, plus the cost of
// a hop to another daemon, plus a penalty for mAvoidZone. Ties are broken at random, by aRandom(n)
// in [0, n). Options that are excluded or in backoff are skipped; nullopt if no other is left.
std::optional<std::size_t> ChooseOption(const std::vector<placement_option>& aOptions,
                                        const placement_limits& aLimits,
                                        const std::function<std::uint64_t(std::uint64_t)>& aRandom);

// Whether an option is available once all backoffs have ended.
bool HasOptionAfterBackoff(const std::vector<placement_option>& aOptions,
                           const placement_limits& aLimits);

} // namespace redwingdock

#endif
