#ifndef REDWINGDOCK_QUERY_COVERAGE_H
#define REDWINGDOCK_QUERY_COVERAGE_H

#include "core/requests.h"

#include <string>
#include <vector>

// Computes the coverage of an answer from the parts that were planned and answered.
//
//   coverage covered = ComputeCoverage(parts);

namespace redwingdock {

// One shard of the partition map that the query was planned on.
struct planned_part
{
  std::string mPool;
  std::string mShard;
  position_ranges mRanges;
  bool mAnswered = false;
  reason mReason; // why the part is missing, when it was not answered

  auto operator<=>(const planned_part&) const = default;
};

// Number of positions in the ranges. Ranges are half-open, [mFrom, mTo); overlaps count twice.
std::uint32_t CountPositions(const position_ranges& aRanges);

bool Contains(const position_ranges& aRanges, std::uint32_t aPosition);

// Counts the positions of answered parts and lists the others as missing. The total is kPositions:
// positions that no part owns are missing too, and a position that two parts own counts once.
coverage ComputeCoverage(const std::vector<planned_part>& aParts);

} // namespace redwingdock

#endif
