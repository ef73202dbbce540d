#include "query/coverage.h"

#include "base/hash.h"

#include <algorithm>
#include <bitset>

namespace redwingdock {

std::uint32_t CountPositions(const position_ranges& aRanges)
{
  std::uint32_t count = 0;
  for (const position_range& range : aRanges) {
    count += range.mTo - range.mFrom;
  }
  return count;
}

bool Contains(const position_ranges& aRanges, std::uint32_t aPosition)
{
  return std::any_of(aRanges.begin(), aRanges.end(), [aPosition](const position_range& aRange) {
    return aRange.mFrom <= aPosition && aPosition < aRange.mTo;
  });
}

namespace {

void MarkPositions(std::bitset<kPositions>& aPositions, const position_ranges& aRanges)
{
  for (const position_range& range : aRanges) {
    for (std::uint32_t position = range.mFrom; position < range.mTo && position < kPositions;
         ++position) {
      aPositions.set(position);
    }
  }
}

} // namespace

coverage ComputeCoverage(const std::vector<planned_part>& aParts)
{
  std::bitset<kPositions> covered;
  std::bitset<kPositions> owned;
  coverage result;
  result.mTotal = kPositions;
  for (const planned_part& part : aParts) {
    MarkPositions(owned, part.mRanges);
    if (part.mAnswered) {
      MarkPositions(covered, part.mRanges);
    } else {
      result.mMissing.push_back({ part.mPool, part.mShard, part.mRanges, part.mReason });
    }
  }
  result.mCovered = static_cast<std::uint32_t>(covered.count());
  if (!owned.all()) {
    coverage_gap gap;
    gap.mReason = { "plan", "", "no shard owns these positions" };
    for (std::uint32_t position = 0; position < kPositions; ++position) {
      if (owned.test(position)) {
        continue;
      }
      if (!gap.mRanges.empty() && gap.mRanges.back().mTo == position) {
        ++gap.mRanges.back().mTo;
      } else {
        gap.mRanges.push_back({ position, position + 1 });
      }
    }
    result.mMissing.push_back(std::move(gap));
  }
  return result;
}

} // namespace redwingdock
