#include "tables/table_history.h"

namespace redwingdock {

namespace {

// Texts of a table that are recognized after the service has returned from an older copy: those of
// a third of a day at 840 changes a day.
constexpr std::size_t kMaxKnownTexts = 256;

} // namespace

table_revision RevisionOfAnswer(const table_history& aHistory,
                                std::uint64_t aNumber,
                                std::uint64_t aTextHash)
{
  const auto known = aHistory.mTexts.find(aNumber);
  const bool other = known != aHistory.mTexts.end() && known->second != aTextHash;
  return { aHistory.mNumber + (other ? 1 : 0), aNumber };
}

table_history WithTable(table_history aHistory,
                        const table_revision& aRevision,
                        std::uint64_t aTextHash,
                        instant aSince)
{
  if (aRevision.mHistory > aHistory.mNumber) {
    aHistory.mNumber = aRevision.mHistory;
    aHistory.mSince = aSince;
    aHistory.mTexts.clear();
  }
  if (aRevision.mHistory == aHistory.mNumber) {
    aHistory.mTexts[aRevision.mNumber] = aTextHash;
    if (aHistory.mTexts.size() > kMaxKnownTexts) {
      aHistory.mTexts.erase(aHistory.mTexts.begin());
    }
  }
  return aHistory;
}

} // namespace redwingdock
