#ifndef REDWINGDOCK_PERMITS_PERMITS_H
#define REDWINGDOCK_PERMITS_PERMITS_H

#include "core/values.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

// Assigns the permits of backend servers, one per slot, to the VMs of the published list. The
// holders depend only on the names of the listed VMs and on the names and slots of the shard's
// replicas. Therefore all daemons with the same tables agree, and a change of one shard moves no
// permit of another shard.
//
//   permit_assigner assigner(list);
//   std::vector<permit_shape> shapes = ShapesOf(pools);
//   permit_holders holders = assigner.Assign(shapes[0]); // holders["cw-00a"][2] == "vm-xela-1"

namespace redwingdock {

// The properties of a shard that determine the holders of its permits.
struct permit_shape
{
  std::string mPool;
  std::string mShard;
  std::uint32_t mSlots = 1;
  std::vector<std::string> mServers; // sorted by name

  auto operator<=>(const permit_shape&) const = default;
};

// One element for each shard of each pool.
std::vector<permit_shape> ShapesOf(const pools_table& aPools);

// VM that holds each permit, by server name and permit index.
using permit_holders = std::map<std::string, std::vector<std::string>>;

// Assigns permits by rendezvous hashing over the listed VMs, whose hashes are computed once. Live
// and leaving VMs hold permits: a leaving VM keeps them until a list without it is published.
class permit_assigner
{
public:
  explicit permit_assigner(const vm_list& aList);

  // Assigns permit 0 of all replicas, then permit 1 and so on, each to the VM with the highest
  // rendezvous weight among those with the fewest permits of the shard. Holders are empty when no
  // VM is listed.
  permit_holders Assign(const permit_shape& aShape) const;

private:
  struct candidate
  {
    std::string mName;
    std::uint64_t mHash = 0;
  };

  std::vector<candidate> mCandidates; // sorted by name
};

} // namespace redwingdock

#endif
