#ifndef REDWINGDOCK_TABLES_TABLE_HISTORY_H
#define REDWINGDOCK_TABLES_TABLE_HISTORY_H

#include "base/time.h"
#include "core/table_revision.h"

#include <map>
#include <optional>

// What is known of the history of one table in the configuration service, as an immutable value.
//
//   table_revision revision = RevisionOfAnswer(history, 30, Hash(text));
//   history = WithTable(history, revision, Hash(text), readStartedAt);

namespace redwingdock {

struct table_history
{
  std::uint64_t mNumber = 0;
  instant mSince{}; // reads that were started earlier belong to earlier histories
  std::map<std::uint64_t, std::uint64_t> mTexts; // by the number of the revision, hash of the text
  std::optional<std::uint64_t> mStated; // in the last answer of the service, if it answered

  auto operator<=>(const table_history&) const = default;
};

// Returns the revision of a table that the service returned under aNumber. When this history has
// another text under that number, the service has returned from an older copy of itself, and the
// table is of the next history. A lower number alone does not show this: the service may be stale.
table_revision RevisionOfAnswer(const table_history& aHistory,
                                std::uint64_t aNumber,
                                std::uint64_t aTextHash);

// Adds a table. One of a later history, which begins at aSince, replaces what is known of this one.
table_history WithTable(table_history aHistory,
                        const table_revision& aRevision,
                        std::uint64_t aTextHash,
                        instant aSince);

} // namespace redwingdock

#endif
