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

// Choice of the replica and of the permit holder for a part.
//
//   std::optional<std::size_t> chosen = ChooseOption(options, limits, random);

namespace redwingdock {

// A server, and a VM whose gate holds permits of it.
struct placement_option
{
  std::string mServer;
  std::string mZone;
  std::string mHolder;
  std::uint32_t mPermits = 1;     // held by mHolder
  std::uint32_t mOutstanding = 0; // this daemon's open attempts there
  bool mLocal = false;
  instant mAvoidUntil{}; // after a refusal

  auto operator<=>(const placement_option&) const = default;
};

struct placement_limits
{
  std::set<std::string> mExcludedServers;
  std::set<std::string>
    mExcludedPairs;       // ServerHolderKey of options that refused this part for good
  std::string mAvoidZone; // prefer another zone, for hedges
  instant mNow{};

  auto operator<=>(const placement_limits&) const = default;
};

std::string ServerHolderKey(const std::string& aServer, const std::string& aHolder);

// The option with the least expected wait: open attempts per permit, plus the hop to another
// daemon, plus a malus for the zone to avoid. Equal ones are chosen at random. Options that
// refused lately are left out. Nothing when no option is left.
std::optional<std::size_t> ChooseOption(const std::vector<placement_option>& aOptions,
                                        const placement_limits& aLimits,
                                        const std::function<std::uint64_t(std::uint64_t)>& aRandom);

// Whether a later try could find an option: some are only left out for a while.
bool HasOptionAfterBackoff(const std::vector<placement_option>& aOptions,
                           const placement_limits& aLimits);

} // namespace redwingdock

#endif
