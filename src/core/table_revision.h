#ifndef REDWINGDOCK_CORE_TABLE_REVISION_H
#define REDWINGDOCK_CORE_TABLE_REVISION_H

#include <compare>
#include <cstdint>
#include <string>

// The revision of a published table, which tells newer tables from older ones.
//
//   table_revision revision{ 1, 30 }; // newer than revision 31 of history 0

namespace redwingdock {

// The configuration service numbers its tables. When it returns from an older copy of itself, it
// gives numbers out again, for other tables. Daemons count these histories, each table for itself,
// and tables of a later one are newer whatever their numbers are.
struct table_revision
{
  table_revision() = default;
  // A number stands for that revision of the first history. 0 stands for no table.
  table_revision(std::uint64_t aNumber)
    : mNumber(aNumber)
  {
  }
  table_revision(std::uint64_t aHistory, std::uint64_t aNumber)
    : mHistory(aHistory)
    , mNumber(aNumber)
  {
  }

  std::uint64_t mHistory = 0;
  std::uint64_t mNumber = 0;

  auto operator<=>(const table_revision&) const = default;
};

// Whether no table can have been published between the two.
inline bool Follows(const table_revision& aNext, const table_revision& aBefore)
{
  return aNext.mHistory == aBefore.mHistory && aNext.mNumber == aBefore.mNumber + 1;
}

// "31", or "30 of history 1".
inline std::string ToString(const table_revision& aRevision)
{
  return std::to_string(aRevision.mNumber) +
         (aRevision.mHistory == 0 ? "" : " of history " + std::to_string(aRevision.mHistory));
}

} // namespace redwingdock

#endif
