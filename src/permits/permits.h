#ifndef REDWINGDOCK_PERMITS_PERMITS_H
#define REDWINGDOCK_PERMITS_PERMITS_H

#include "core/values.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Assigns the permits (slots) of backend servers to the VMs of the published list. The holder of a
// permit depends only on the names of the listed VMs, the names of the shard's replicas and their
// slots, so all daemons with the same tables agree, and a change of one shard moves no permit of
// another.
//
//   permit_ring ring(list);
//   std::vector<permit_shape> shapes = ShapesOf(pools);
//   permit_holders holders = ring.Assign(shapes[0]); // holders["cw-00a"][2] == "vm-xela-1"

namespace redwingdock {

// Everything of a shard that determines the holders of its permits.
struct permit_shape
{
  std::string mPool;
  std::string mShard;
  std::uint32_t mSlots = 1;
  std::vector<std::string> mServers; // by name

  auto operator<=>(const permit_shape&) const = default;
};

// One shape per shard of every pool.
std::vector<permit_shape> ShapesOf(const pools_table& aPools);

// Holder of each permit by server name and index.
using permit_holders = std::map<std::string, std::vector<std::string>>;

// The listed VMs, prepared for many assignments. Live and leaving VMs hold permits: a leaving VM
// keeps its permits until a list without it is published.
class permit_ring
{
public:
  explicit permit_ring(const vm_list& aList);

  // Permit 0 of all replicas first, then permit 1 and so on, each to the VM of highest rendezvous
  // weight among those with the fewest permits of the shard. Empty holders when no VM is listed.
  permit_holders Assign(const permit_shape& aShape) const;

private:
  struct candidate
  {
    std::string mName;
    std::uint64_t mHash = 0;
  };

  std::vector<candidate> mCandidates; // by name
};

} // namespace redwingdock

#endif
