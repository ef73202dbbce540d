#ifndef REDWINGDOCK_QUERY_COVERAGE_H
#define REDWINGDOCK_QUERY_COVERAGE_H

#include "core/requests.h"

#include <string>
#include <vector>

// Coverage of an answer, computed from the parts that are in it.
//
//   coverage covered = ComputeCoverage(parts);

namespace redwingdock {

// One shard of the partition map that the answer was planned on.
struct planned_part
{
  std::string mPool;
  std::string mShard;
  position_ranges mRanges;
  bool mAnswered = false;
  reason mReason; // why it is missing

  auto operator<=>(const planned_part&) const = default;
};

std::uint32_t CountPositions(const position_ranges& aRanges);

bool Contains(const position_ranges& aRanges, std::uint32_t aPosition);

// Counts the positions of answered parts and names the others. The total is kPositions: positions
// that no part owns count as missing, and a position that two parts own counts once.
coverage ComputeCoverage(const std::vector<planned_part>& aParts);

} // namespace redwingdock

#endif
