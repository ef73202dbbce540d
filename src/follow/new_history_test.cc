#include "follow/new_history.h"

#include <gtest/gtest.h>

namespace redwingdock {
namespace {

using std::chrono::seconds;

const instant kNow(seconds(100));
const instant kReplicasUntil = kNow + seconds(2);

store_item_pointer Replica(std::uint64_t aRevision, std::int64_t aBornMs, std::uint64_t aSequence)
{
  replica_entry entry;
  entry.mId = "a-1";
  entry.mBornMs = aBornMs;
  entry.mSequence = aSequence;
  return std::make_shared<const store_item>(store_item{ "a-1", aRevision, entry });
}

store_item_pointer Zone(std::uint64_t aRevision)
{
  return std::make_shared<const store_item>(store_item{ "z", aRevision, closed_zone{ "zone-1" } });
}

item_map Items(const std::vector<store_item_pointer>& aItems)
{
  item_map items;
  for (const store_item_pointer& each : aItems) {
    items[each->mKey] = each;
  }
  return items;
}

departed_items Departed(const store_item_pointer& aItem)
{
  return { { { aItem->mKey, { aItem, kNow + seconds(50) } } } };
}

struct adopt_row
{
  const char* mGuardsAgainst;
  known_copy mKnown;
  item_map mListed;
  std::map<std::string, std::uint64_t> mItems; // revisions
  std::map<std::string, instant> mDelayedDeletions;
  std::map<std::string, instant> mWithheldUntil;
};

class adopt_test : public testing::TestWithParam<adopt_row>
{};

TEST_P(adopt_test, CombinesTheCopyAndTheListing)
{
  const adopt_row& row = GetParam();
  const adopted_history adopted = AdoptHistory(row.mKnown, row.mListed, { kNow, kReplicasUntil });
  std::map<std::string, std::uint64_t> items;
  for (const auto& [key, item] : adopted.mItems) {
    items[key] = item->mRevision;
  }
  std::map<std::string, instant> withheld;
  for (const auto& [key, item] : adopted.mWithheld) {
    withheld[key] = item.mUntil;
  }
  EXPECT_EQ(items, row.mItems) << row.mGuardsAgainst;
  EXPECT_EQ(adopted.mDelayedDeletions, row.mDelayedDeletions) << row.mGuardsAgainst;
  EXPECT_EQ(withheld, row.mWithheldUntil) << row.mGuardsAgainst;
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  adopt_test,
  testing::Values(
    adopt_row{ "a revision of the old history outlives it",
               { Items({ Replica(696, 200, 2) }) },
               Items({ Replica(541, 200, 2) }),
               { { "a-1", 541 } },
               {},
               {} },
    adopt_row{ "an item that the new history lacks has a revision above those that it gives out",
               { Items({ Replica(696, 200, 2), Zone(697) }) },
               {},
               { { "a-1", 0 }, { "z", 0 } },
               { { "a-1", kReplicasUntil }, { "z", kNow + kOperatorRewriteTime } },
               {} },
    adopt_row{ "a second new history ends the hold of the first one before an item can be written "
               "again",
               { Items({ Replica(0, 200, 2) }), {}, { { "a-1", kNow + seconds(1) } } },
               {},
               { { "a-1", 0 } },
               { { "a-1", kReplicasUntil } },
               {} },
    adopt_row{ "a deletion that is delayed starts again with a new history",
               { Items({ Replica(600, 200, 2) }),
                 Departed(Replica(600, 200, 2)),
                 { { "a-1", kNow + seconds(1) } } },
               {},
               { { "a-1", 0 } },
               { { "a-1", kNow + seconds(1) } },
               {} },
    adopt_row{ "a deletion that is delayed is cancelled by the store's copy of the entry",
               { Items({ Replica(600, 200, 2) }),
                 Departed(Replica(600, 200, 2)),
                 { { "a-1", kNow + seconds(1) } } },
               Items({ Replica(500, 200, 1) }),
               { { "a-1", 0 } },
               { { "a-1", kNow + seconds(1) } },
               { { "a-1", kNow + kWithheldReplicaTime } } },
    adopt_row{ "a replica that had left is used because the copy has it",
               { {}, Departed(Replica(600, 200, 2)) },
               Items({ Replica(600, 200, 2) }),
               {},
               {},
               { { "a-1", kNow + kWithheldReplicaTime } } },
    adopt_row{ "a replica that had left and writes its entry again is withheld",
               { {}, Departed(Replica(600, 200, 2)) },
               Items({ Replica(543, 200, 3) }),
               { { "a-1", 543 } },
               {},
               {} },
    adopt_row{ "a replica that had left and is started again is withheld",
               { {}, Departed(Replica(600, 200, 2)) },
               Items({ Replica(543, 300, 1) }),
               { { "a-1", 543 } },
               {},
               {} },
    adopt_row{ "an evacuation that was taken back closes the zone because the copy has it",
               { Items({ Replica(501, 200, 2) }), Departed(Zone(500)) },
               Items({ Zone(500), Replica(501, 200, 2) }),
               { { "a-1", 501 } },
               {},
               { { "z", kNow + kWithheldZoneTime } } },
    adopt_row{ "an evacuation is withheld because it was given the revision of one that was taken "
               "back",
               { Items({ Replica(499, 200, 2) }), Departed(Zone(500)) },
               Items({ Zone(500), Replica(499, 200, 2) }),
               { { "a-1", 499 }, { "z", 500 } },
               {},
               {} },
    adopt_row{ "an evacuation that is written again is withheld",
               { {}, Departed(Zone(500)) },
               Items({ Zone(543) }),
               { { "z", 543 } },
               {},
               {} }));

} // namespace
} // namespace redwingdock
