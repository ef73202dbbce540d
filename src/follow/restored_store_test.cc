#include "follow/follow_state.h"
#include "follow/new_history.h"
#include "testing/forwarding_rig.h"

#include <algorithm>
#include <gtest/gtest.h>

// The store returns from a copy of itself that is some seconds old, and gives revisions out again.

namespace redwingdock::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr micros kBound = seconds(3);       // for a change to take effect
constexpr micros kDisturbance = seconds(4); // after the return, in which the bound does not hold
constexpr micros kRewrittenAt = seconds(1); // after the return: what was lost is written again
constexpr micros kNewerAt = milliseconds(1300);
constexpr micros kStep = milliseconds(10);
constexpr char kZone[] = "zone-1";

using rig_action = std::function<void(forwarding_rig&)>;
using rig_check = std::function<bool(const forwarding_rig&)>;

void DoNothing(forwarding_rig&) {}

bool Always(const forwarding_rig&)
{
  return true;
}

rig_action PublishVersion(std::uint64_t aVersion)
{
  return [aVersion](forwarding_rig& aRig) {
    aRig.Publish(ConfigurationItem(aVersion, { PlainRoute("a", true) }));
  };
}

rig_action PublishReplica(const std::string& aId, std::uint64_t aSequence, bool aDraining = false)
{
  return [=](forwarding_rig& aRig) {
    store_item item = ReplicaItem(aId, "a", kZone);
    auto& entry = std::get<replica_entry>(item.mValue);
    entry.mBornMs = 200;
    entry.mSequence = aSequence;
    entry.mDraining = aDraining;
    aRig.Publish(std::move(item));
  };
}

rig_action RemoveReplica(const std::string& aId)
{
  return [aId](forwarding_rig& aRig) { aRig.Delete("replicas/" + aId); };
}

void CloseZone(forwarding_rig& aRig)
{
  aRig.Publish({ "operator/" + std::string(kZone), 0, closed_zone{ kZone } });
}

void OpenZone(forwarding_rig& aRig)
{
  aRig.Delete("operator/" + std::string(kZone));
}

// Raises the revision of the store.
rig_action PublishOthers(int aCount)
{
  return [aCount](forwarding_rig& aRig) {
    for (int i = 0; i < aCount; ++i) {
      aRig.Publish({ "operator/other", 0, closed_zone{ "zone-9" } });
    }
  };
}

rig_action InTurn(std::vector<rig_action> aActions)
{
  return [actions = std::move(aActions)](forwarding_rig& aRig) {
    for (const rig_action& each : actions) {
      each(aRig);
    }
  };
}

rig_check HasVersion(std::uint64_t aVersion)
{
  return [aVersion](const forwarding_rig& aRig) {
    const auto known = aRig.Board().Read<catalog>(kCatalogKey);
    return known && known->mVersion == aVersion;
  };
}

rig_check HasAtLeastVersion(std::uint64_t aVersion)
{
  return [aVersion](const forwarding_rig& aRig) {
    const auto known = aRig.Board().Read<catalog>(kCatalogKey);
    return known && known->mVersion >= aVersion;
  };
}

// Whether requests may be sent to the replica.
rig_check Uses(const std::string& aId)
{
  return [aId](const forwarding_rig& aRig) {
    const auto known = aRig.Board().Read<catalog>(kCatalogKey);
    if (!known || !known->mReplicas.contains("a")) {
      return false;
    }
    const auto& replicas = known->mReplicas.at("a");
    return std::any_of(replicas.begin(), replicas.end(), [&aId](const replica_pointer& aEach) {
      return aEach->mId == aId && !aEach->mDraining;
    });
  };
}

rig_check UsesNot(const std::string& aId)
{
  return [uses = Uses(aId)](const forwarding_rig& aRig) { return !uses(aRig); };
}

bool IsZoneClosed(const forwarding_rig& aRig)
{
  const auto known = aRig.Board().Read<catalog>(kCatalogKey);
  return known && known->mClosedZones.contains(kZone);
}

bool IsZoneOpen(const forwarding_rig& aRig)
{
  return !IsZoneClosed(aRig);
}

// How the store returns.
struct return_case
{
  const char* mName;
  rig_action mBegin; // before it returns
  micros mAway{ 0 };
  rig_action mEnd = DoNothing;
  bool mIsNoticedByCheck = false; // seconds after the return
};

const return_case kReturns[] = {
  { "watch cut", [](forwarding_rig& aRig) { aRig.FailWatch(); } },
  { "watch waits on", DoNothing, micros(0), DoNothing, true },
  { "connections silent",
    [](forwarding_rig& aRig) { aRig.SilenceWatch(); },
    micros(0),
    DoNothing,
    true },
  { "store away",
    [](forwarding_rig& aRig) {
      aRig.FailStore(true);
      aRig.FailWatch();
    },
    milliseconds(700),
    [](forwarding_rig& aRig) { aRig.FailStore(false); } },
  { "history gone at the next watch",
    [](forwarding_rig& aRig) {
      aRig.Publish({ "operator/other", 0, closed_zone{ "zone-9" } });
      aRig.RunFor(milliseconds(50)); // in the pause after the change
    } },
};

struct restored_row
{
  const char* mGuardsAgainst;
  rig_action mBefore;    // the copy has it
  rig_action mLost;      // written after the copy
  rig_action mRewritten; // after the return
  rig_action mNewer;
  rig_check mHolds; // all the time from the return on
  rig_check mInEffect;
  bool mNeedsEra = false; // without eras the store gives no sign of its return
  // An item that a late listing lacks may still have to be written again. The rules judge no
  // removal in the disturbance time after the return, and state no bound for taking an evacuation
  // back.
  micros mHeldAfterLateListing{ 0 };
};

class restored_store_test : public ::testing::TestWithParam<restored_row>
{};

// Returns what is wrong, or an empty text.
std::string Play(const restored_row& aRow, const return_case& aReturn, bool aStatesEra, int aMoment)
{
  rig_options options;
  options.mStoreStatesEra = aStatesEra;
  options.mItemsPerPage = 2;
  options.mForward.mChangeBound = kBound;
  options.mForward.mDisturbanceTime = kDisturbance;
  forwarding_rig rig(options);
  PublishVersion(7)(rig);
  aRow.mBefore(rig);
  rig.RunFor(seconds(1));
  rig.TakeCopy();
  aRow.mLost(rig);
  // The age of the copy differs from moment to moment; so does that of the next check, which is
  // drawn anew after each one.
  rig.RunFor(seconds(3) + milliseconds(370 * aMoment));
  aReturn.mBegin(rig);
  rig.RunFor(aReturn.mAway);
  rig.Restore();
  aReturn.mEnd(rig);
  const instant returned = rig.Now();
  const instant due = returned + std::max(kNewerAt + kBound, kDisturbance) +
                      (aReturn.mIsNoticedByCheck ? aRow.mHeldAfterLateListing : micros(0));
  bool rewritten = false;
  bool newer = false;
  while (rig.Now() < due) {
    rig.RunFor(kStep);
    if (!rewritten && rig.Now() >= returned + kRewrittenAt) {
      rewritten = true;
      aRow.mRewritten(rig);
    }
    if (!newer && rig.Now() >= returned + kNewerAt) {
      newer = true;
      aRow.mNewer(rig);
    }
    if (!aRow.mHolds(rig)) {
      return "lost after " + std::to_string(ToMs(rig.Now() - returned)) + " ms";
    }
  }
  return aRow.mInEffect(rig) ? "" : "not in effect in time";
}

TEST_P(restored_store_test, LosesNothingKnownAndMissesNothingNew)
{
  const restored_row& row = GetParam();
  for (const return_case& each : kReturns) {
    for (const bool statesEra : { true, false }) {
      if (row.mNeedsEra && !statesEra) {
        continue;
      }
      std::string wrong;
      for (int moment = 0; moment < 20 && wrong.empty(); ++moment) {
        wrong = Play(row, each, statesEra, moment);
      }
      EXPECT_EQ(wrong, "") << row.mGuardsAgainst << "; " << each.mName
                           << (statesEra ? ", era stated" : ", no era");
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  restored_store_test,
  ::testing::Values(
    restored_row{ "a version is missed that comes after those written again",
                  DoNothing,
                  InTurn({ PublishOthers(40), PublishVersion(8) }),
                  PublishVersion(8),
                  PublishVersion(9),
                  HasAtLeastVersion(8),
                  HasVersion(9) },
    restored_row{ "a version is missed that comes before the lost one is written again",
                  DoNothing,
                  InTurn({ PublishOthers(40), PublishVersion(8) }),
                  PublishVersion(9),
                  PublishVersion(9),
                  HasAtLeastVersion(8),
                  HasVersion(9) },
    restored_row{ "a version is missed when the counter has passed the known revision",
                  DoNothing,
                  PublishOthers(5),
                  InTurn({ PublishVersion(9), PublishOthers(9) }),
                  DoNothing,
                  Always,
                  HasVersion(9),
                  true },
    restored_row{ "a replica that drains after the return gets requests",
                  PublishReplica("a-1", 1),
                  InTurn({ PublishReplica("a-1", 2), PublishOthers(40) }),
                  DoNothing,
                  PublishReplica("a-1", 3, true),
                  Always,
                  UsesNot("a-1") },
    restored_row{ "a replica that is removed after the return gets requests",
                  PublishReplica("a-1", 1),
                  InTurn({ PublishOthers(40), PublishReplica("a-1", 2) }),
                  DoNothing,
                  RemoveReplica("a-1"),
                  Always,
                  UsesNot("a-1"),
                  false,
                  milliseconds(2200) },
    restored_row{ "a draining replica gets requests because the copy calls it ready",
                  PublishReplica("a-1", 1),
                  InTurn({ PublishReplica("a-1", 2, true), PublishOthers(40) }),
                  DoNothing,
                  PublishReplica("a-1", 3, true),
                  UsesNot("a-1"),
                  UsesNot("a-1") },
    restored_row{ "a replica that had left gets requests because the copy has it",
                  PublishReplica("a-1", 1),
                  InTurn({ RemoveReplica("a-1"), PublishOthers(40) }),
                  DoNothing,
                  DoNothing,
                  UsesNot("a-1"),
                  UsesNot("a-1") },
    restored_row{ "a replica is dropped before it can be written again",
                  DoNothing,
                  InTurn({ PublishReplica("a-1", 1), PublishOthers(40) }),
                  PublishReplica("a-1", 2),
                  DoNothing,
                  Uses("a-1"),
                  Uses("a-1") },
    restored_row{ "a replica that is not written again is used for ever",
                  DoNothing,
                  InTurn({ PublishReplica("a-1", 1), PublishOthers(40) }),
                  DoNothing,
                  DoNothing,
                  Always,
                  UsesNot("a-1"),
                  false,
                  milliseconds(2200) },
    restored_row{ "a replica that is new after the return is not used",
                  DoNothing,
                  PublishOthers(40),
                  DoNothing,
                  PublishReplica("a-1", 1),
                  Always,
                  Uses("a-1") },
    restored_row{ "a zone is used although its evacuation is only being written again",
                  DoNothing,
                  InTurn({ CloseZone, PublishOthers(40) }),
                  CloseZone,
                  DoNothing,
                  IsZoneClosed,
                  IsZoneClosed },
    // The replica's entry shows that the copy has the revision of the evacuation.
    restored_row{ "a zone is closed because the copy has an evacuation that was taken back",
                  InTurn({ CloseZone, PublishReplica("a-1", 1) }),
                  InTurn({ OpenZone, PublishOthers(40) }),
                  DoNothing,
                  DoNothing,
                  IsZoneOpen,
                  IsZoneOpen },
    restored_row{ "an evacuation after the return is missed",
                  CloseZone,
                  InTurn({ OpenZone, PublishOthers(40) }),
                  OpenZone,
                  CloseZone,
                  Always,
                  IsZoneClosed },
    restored_row{ "an evacuation that is taken back after the return stays",
                  CloseZone,
                  InTurn({ PublishOthers(40), CloseZone }),
                  DoNothing,
                  OpenZone,
                  Always,
                  IsZoneOpen,
                  false,
                  seconds(5) }));

// The store returns from its copy and the watches are cut.
void Return(forwarding_rig& aRig)
{
  aRig.FailWatch();
  aRig.Restore();
}

void Copy(forwarding_rig& aRig)
{
  aRig.TakeCopy();
}

void CutOff(forwarding_rig& aRig)
{
  aRig.FailStore(true);
  aRig.FailWatch();
}

void Connect(forwarding_rig& aRig)
{
  aRig.FailStore(false);
}

// The pages of one listing come from the two histories.
void ReturnBetweenPages(forwarding_rig& aRig)
{
  const int before = aRig.mListReads;
  aRig.FailWatch();
  for (int i = 0; i < 1000 && aRig.mListReads == before; ++i) {
    aRig.RunFor(milliseconds(1));
  }
  aRig.Restore();
}

rig_action SetEra(std::uint64_t aEra)
{
  return [aEra](forwarding_rig& aRig) {
    aRig.SetEra(aEra);
    aRig.FailWatch();
  };
}

follow_state StateOf(const forwarding_rig& aRig)
{
  const auto state = aRig.Board().Read<follow_state>(kStoreKey);
  return state ? *state : follow_state{};
}

// A late answer to the current watch, from the history before.
void AnswerOfOlderEra(forwarding_rig& aRig)
{
  const follow_state state = StateOf(aRig);
  store_item item = ConfigurationItem(99, {});
  item.mRevision = state.mAsOf.mRevision + 50;
  store_changes_read late{ state.mReadNumber, {}, state.mAsOf };
  late.mItems.push_back(std::make_shared<const store_item>(std::move(item)));
  late.mAsOf.mRevision += 50;
  --late.mAsOf.mEra;
  aRig.Post(late);
}

rig_check HasEra(std::uint64_t aEra)
{
  return [aEra](const forwarding_rig& aRig) { return StateOf(aRig).mAsOf.mEra == aEra; };
}

bool HasNoHolds(const forwarding_rig& aRig)
{
  const follow_state state = StateOf(aRig);
  return !state.mHolds && state.mDelayedDeletions.empty() && state.mWithheld.empty();
}

rig_check All(std::vector<rig_check> aChecks)
{
  return [checks = std::move(aChecks)](const forwarding_rig& aRig) {
    return std::all_of(
      checks.begin(), checks.end(), [&aRig](const rig_check& aEach) { return aEach(aRig); });
  };
}

rig_action StartReplicaAgain(const std::string& aId)
{
  return [aId](forwarding_rig& aRig) {
    store_item item = ReplicaItem(aId, "a", kZone);
    std::get<replica_entry>(item.mValue).mBornMs = 300;
    aRig.Publish(std::move(item));
  };
}

struct timed_action
{
  micros mAfter{ 0 }; // the previous one
  rig_action mAct;
};

struct sequence_row
{
  const char* mGuardsAgainst;
  std::vector<timed_action> mActions;
  rig_check mExpected;       // at the end
  rig_check mHolds = Always; // all the time from the action mHoldsFrom on
  std::size_t mHoldsFrom = 0;
  bool mNeedsEra = false;
  std::size_t mItemsPerPage = 2;
};

class restored_sequence_test : public ::testing::TestWithParam<sequence_row>
{};

// Returns what is wrong, or an empty text.
std::string Play(const sequence_row& aRow, bool aStatesEra)
{
  rig_options options;
  options.mStoreStatesEra = aStatesEra;
  options.mItemsPerPage = aRow.mItemsPerPage;
  options.mForward.mChangeBound = kBound;
  options.mForward.mDisturbanceTime = kDisturbance;
  forwarding_rig rig(options);
  PublishVersion(7)(rig);
  for (std::size_t i = 0; i < aRow.mActions.size(); ++i) {
    const instant due = rig.Now() + aRow.mActions[i].mAfter;
    while (rig.Now() < due) {
      rig.RunFor(std::min(kStep, due - rig.Now()));
      if (i > aRow.mHoldsFrom && !aRow.mHolds(rig)) {
        return "lost " + std::to_string(ToMs(due - rig.Now())) + " ms before action " +
               std::to_string(i);
      }
    }
    aRow.mActions[i].mAct(rig);
  }
  return aRow.mExpected(rig) ? "" : "not as expected at the end";
}

TEST_P(restored_sequence_test, EndsAsExpected)
{
  const sequence_row& row = GetParam();
  for (const bool statesEra : { true, false }) {
    if (!row.mNeedsEra || statesEra) {
      EXPECT_EQ(Play(row, statesEra), "")
        << row.mGuardsAgainst << (statesEra ? "; era stated" : "; no era");
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  restored_sequence_test,
  ::testing::Values(
    sequence_row{ "a replica that left while it was held is used again when a second copy has it",
                  { { micros(0), PublishReplica("a-1", 1) },
                    { seconds(1), Copy },
                    { micros(0), PublishOthers(9) },
                    { seconds(1), Return },
                    { micros(0), Copy },
                    { micros(0), RemoveReplica("a-1") },
                    { seconds(5), PublishOthers(3) },
                    { seconds(1), Return },
                    { seconds(1), DoNothing } },
                  UsesNot("a-1") },
    sequence_row{ "a replica that left is used again because an earlier state of it had left too",
                  { { micros(0), PublishReplica("a-1", 1) },
                    { micros(0), Copy },
                    { seconds(1), RemoveReplica("a-1") },
                    { seconds(1), Return },
                    { micros(0), PublishReplica("a-1", 2) },
                    { micros(0), Copy },
                    { seconds(1), PublishOthers(3) },
                    { seconds(1), Return },
                    { micros(0), Copy },
                    { micros(0), RemoveReplica("a-1") },
                    { seconds(5), PublishOthers(3) },
                    { seconds(1), Return },
                    { seconds(1), DoNothing } },
                  UsesNot("a-1"),
                  Always,
                  0,
                  true },
    sequence_row{ "a held replica is dropped in the pause before its late write is read",
                  { { micros(0), Copy },
                    { micros(0), PublishOthers(9) },
                    { micros(0), PublishReplica("a-1", 1) },
                    { seconds(1), Return },
                    { milliseconds(300), PublishOthers(1) },
                    { milliseconds(300), PublishOthers(1) },
                    { milliseconds(300), PublishOthers(1) },
                    { milliseconds(300), PublishOthers(1) },
                    { milliseconds(300), PublishOthers(1) },
                    { milliseconds(300), PublishOthers(1) },
                    { milliseconds(180), PublishReplica("a-1", 2) },
                    { seconds(3), DoNothing } },
                  Uses("a-1"),
                  Uses("a-1"),
                  3 },
    sequence_row{ "a replica that had left is used again while the daemon cannot read the store",
                  { { micros(0), PublishReplica("a-1", 1) },
                    { seconds(1), Copy },
                    { micros(0), RemoveReplica("a-1") },
                    { micros(0), PublishOthers(9) },
                    { seconds(1), Return },
                    { seconds(1), CutOff },
                    { seconds(1), RemoveReplica("a-1") },
                    { seconds(15), Connect },
                    { seconds(4), DoNothing } },
                  UsesNot("a-1"),
                  UsesNot("a-1"),
                  4 },
    sequence_row{ "a zone is used because its evacuation was written again while the daemon could "
                  "not read the store",
                  { { micros(0), Copy },
                    { micros(0), CloseZone },
                    { micros(0), PublishOthers(9) },
                    { seconds(1), Return },
                    { seconds(1), CutOff },
                    { seconds(1), CloseZone },
                    { seconds(15), Connect },
                    { seconds(4), DoNothing } },
                  IsZoneClosed,
                  IsZoneClosed,
                  3 },
    sequence_row{ "a hold of a zone never ends because the daemon could not read the store",
                  { { micros(0), Copy },
                    { micros(0), CloseZone },
                    { micros(0), PublishOthers(9) },
                    { seconds(1), Return },
                    { seconds(1), CutOff },
                    { seconds(15), Connect },
                    { kOperatorRewriteTime + seconds(1), DoNothing } },
                  IsZoneOpen },
    sequence_row{ "a replica that is still there after its hold is never used",
                  { { micros(0), PublishReplica("a-1", 1) },
                    { seconds(1), Copy },
                    { micros(0), RemoveReplica("a-1") },
                    { micros(0), PublishOthers(9) },
                    { seconds(1), Return },
                    { kWithheldReplicaTime + seconds(1), DoNothing } },
                  Uses("a-1") },
    sequence_row{ "a zone that is still closed after its hold is used for ever",
                  { { micros(0), CloseZone },
                    { seconds(1), Copy },
                    { micros(0), OpenZone },
                    { micros(0), PublishOthers(9) },
                    { seconds(1), Return },
                    { kWithheldZoneTime + seconds(1), DoNothing } },
                  IsZoneClosed },
    sequence_row{ "a version that two returns lose is taken back or the next one is missed",
                  { { micros(0), Copy },
                    { micros(0), PublishOthers(9) },
                    { micros(0), PublishVersion(8) },
                    { seconds(1), Return },
                    { milliseconds(500), PublishVersion(8) },
                    { milliseconds(500), Return },
                    { seconds(1), PublishVersion(9) },
                    { seconds(1), DoNothing } },
                  HasVersion(9),
                  HasAtLeastVersion(8),
                  3 },
    sequence_row{ "a replica that two returns lose is dropped before it can be written again",
                  { { micros(0), Copy },
                    { micros(0), PublishOthers(9) },
                    { micros(0), PublishReplica("a-1", 1) },
                    { seconds(1), Return },
                    { milliseconds(1500), Return },
                    { milliseconds(1900), PublishReplica("a-1", 2) },
                    { seconds(3), DoNothing } },
                  Uses("a-1"),
                  Uses("a-1"),
                  3,
                  true },
    sequence_row{ "pages of two histories are taken for one listing",
                  { { micros(0), PublishReplica("a-1", 1) },
                    { micros(0), PublishReplica("a-2", 1) },
                    { micros(0), PublishReplica("a-3", 1) },
                    { micros(0), Copy },
                    { seconds(1), PublishReplica("a-3", 2, true) },
                    { micros(0), PublishOthers(9) },
                    { micros(0), PublishVersion(8) },
                    { seconds(3), ReturnBetweenPages },
                    { seconds(1), PublishVersion(9) },
                    { seconds(1), DoNothing } },
                  All({ HasVersion(9), Uses("a-1"), Uses("a-2"), UsesNot("a-3") }),
                  All({ Uses("a-1"), Uses("a-2"), UsesNot("a-3"), HasAtLeastVersion(8) }),
                  7 },
    sequence_row{ "a delayed deletion is forgotten because the copy has the entry",
                  { { micros(0), PublishReplica("a-1", 1) },
                    { seconds(1), Copy },
                    { micros(0), PublishOthers(9) },
                    { seconds(1), CutOff },
                    { milliseconds(1500), RemoveReplica("a-1") },
                    { seconds(1), Connect },
                    { milliseconds(1200), Return },
                    { seconds(4), DoNothing },
                    { seconds(4), DoNothing } },
                  UsesNot("a-1"),
                  UsesNot("a-1"),
                  7 },
    sequence_row{ "a withheld replica that writes a newer state is not used",
                  { { micros(0), PublishReplica("a-1", 1) },
                    { seconds(1), Copy },
                    { micros(0), RemoveReplica("a-1") },
                    { micros(0), PublishOthers(9) },
                    { seconds(1), Return },
                    { seconds(1), PublishReplica("a-1", 2) },
                    { seconds(1), DoNothing } },
                  Uses("a-1") },
    sequence_row{ "a withheld replica that started again is not used",
                  { { micros(0), PublishReplica("a-1", 1) },
                    { seconds(1), Copy },
                    { micros(0), RemoveReplica("a-1") },
                    { micros(0), PublishOthers(9) },
                    { seconds(1), Return },
                    { seconds(1), StartReplicaAgain("a-1") },
                    { seconds(1), DoNothing } },
                  Uses("a-1") },
    sequence_row{ "holds of what the store has written again never end",
                  { { micros(0), PublishReplica("a-1", 1) },
                    { seconds(1), Copy },
                    { micros(0), RemoveReplica("a-1") },
                    { micros(0), CloseZone },
                    { micros(0), PublishReplica("a-2", 1) },
                    { seconds(1), Return },
                    { seconds(1), PublishReplica("a-2", 2) },
                    { micros(0), CloseZone },
                    { micros(0), RemoveReplica("a-1") },
                    { seconds(2), DoNothing } },
                  All({ HasNoHolds, Uses("a-2"), UsesNot("a-1"), IsZoneClosed }) },
    sequence_row{ "a late answer of the history before is taken for a newer one",
                  { { seconds(1), Copy },
                    { micros(0), PublishOthers(9) },
                    { seconds(1), Return },
                    { seconds(1), AnswerOfOlderEra },
                    { seconds(1), PublishVersion(8) },
                    { seconds(1), DoNothing } },
                  All({ HasVersion(8), HasEra(2) }),
                  HasEra(2),
                  4,
                  true },
    sequence_row{ "a store whose era went back is never followed again",
                  { { seconds(1), Copy },
                    { seconds(1), Return },
                    { seconds(1), SetEra(1) },
                    { seconds(1), PublishVersion(8) },
                    { seconds(8), DoNothing } },
                  All({ HasVersion(8), HasEra(1) }),
                  Always,
                  0,
                  true },
    sequence_row{ "an answer of an era that went back is followed at once",
                  { { seconds(1), Copy },
                    { seconds(1), Return },
                    { seconds(1), SetEra(1) },
                    { seconds(1), PublishVersion(8) },
                    { seconds(3), DoNothing } },
                  All({ HasVersion(7), HasEra(2) }),
                  Always,
                  0,
                  true },
    sequence_row{ "an answer without an era is taken for one of another history",
                  { { seconds(1), Copy },
                    { seconds(1), Return },
                    { seconds(1), SetEra(0) },
                    { seconds(1), PublishVersion(8) },
                    { seconds(1), DoNothing } },
                  All({ HasVersion(8), HasEra(2) }),
                  Always,
                  0,
                  true },
    sequence_row{ "an evacuation that was lost, written again and taken back holds on",
                  { { seconds(1), Copy },
                    { micros(0), CloseZone },
                    { micros(0), PublishOthers(9) },
                    { seconds(1), Return },
                    { seconds(1), PublishOthers(1) },
                    { milliseconds(20), CloseZone },
                    { milliseconds(20), OpenZone },
                    { seconds(3), DoNothing } },
                  IsZoneOpen }));

heartbeat HeartbeatOf(const store_position& aPosition, std::uint64_t aConfirmations)
{
  heartbeat sent{ { "vm-2", 5, "127.0.0.9:7380", "call", "zone-2", true } };
  sent.mStore = { aPosition, aConfirmations };
  return sent;
}

struct peer_row
{
  const char* mGuardsAgainst;
  bool mStatesEra;
  // What another daemon states, from the position of this one.
  std::function<store_position(store_position)> mPosition;
  int mMinListings; // in 10 s
  int mMaxListings;
  int mMinChecks;
};

class restored_peer_test : public ::testing::TestWithParam<peer_row>
{};

// Another daemon states its copy again and again; the store has returned from a copy once.
TEST_P(restored_peer_test, IsComparedByHistory)
{
  const peer_row& row = GetParam();
  rig_options options;
  options.mStoreStatesEra = row.mStatesEra;
  forwarding_rig rig(options);
  rig.RunFor(seconds(1));
  rig.TakeCopy();
  PublishOthers(9)(rig);
  rig.RunFor(seconds(1));
  Return(rig);
  rig.RunFor(seconds(1));
  const store_position position = row.mPosition(StateOf(rig).mAsOf);
  const int listings = rig.mListReads;
  const int checks = rig.mChecks;
  for (std::uint64_t i = 1; i <= 25; ++i) {
    rig.Post(heartbeat_received{ HeartbeatOf(position, i) });
    rig.RunFor(milliseconds(400));
  }
  EXPECT_GE(rig.mListReads - listings, row.mMinListings) << row.mGuardsAgainst;
  EXPECT_LE(rig.mListReads - listings, row.mMaxListings) << row.mGuardsAgainst;
  EXPECT_GE(rig.mChecks - checks, row.mMinChecks) << row.mGuardsAgainst;
}

// Alone, a daemon checks at ages of 1.8 to 3 s.
INSTANTIATE_TEST_SUITE_P(
  cases,
  restored_peer_test,
  ::testing::Values(
    peer_row{ "a daemon on the old history makes others list or confirms their copies",
              true,
              [](store_position aOwn) {
                return store_position{ aOwn.mEra - 1, aOwn.mRevision + 100 };
              },
              0,
              0,
              3 },
    peer_row{ "a daemon on the old history confirms a copy of the same revision",
              true,
              [](store_position aOwn) {
                return store_position{ aOwn.mEra - 1, aOwn.mRevision };
              },
              0,
              0,
              3 },
    peer_row{ "a newer era of another daemon is not looked for, or again and again",
              true,
              [](store_position aOwn) {
                return store_position{ aOwn.mEra + 1, aOwn.mRevision - 1 };
              },
              1,
              1,
              2 },
    peer_row{ "a daemon of an earlier version makes others list",
              true,
              [](store_position aOwn) {
                return store_position{ 0, aOwn.mRevision + 100 };
              },
              0,
              0,
              3 },
    peer_row{ "a daemon of an earlier version confirms a copy that may be of another history",
              true,
              [](store_position aOwn) {
                return store_position{ 0, aOwn.mRevision };
              },
              0,
              0,
              3 },
    peer_row{ "a daemon on the old history makes others list again and again",
              false,
              [](store_position aOwn) {
                return store_position{ 0, aOwn.mRevision + 100 };
              },
              1,
              1,
              2 }));

TEST(restored_peer, ANewerEraIsListedInTime)
{
  // Guards against a daemon whose watch waits on through the return and that learns of it late.
  rig_options options;
  options.mStoreStatesEra = true;
  forwarding_rig rig(options);
  rig.RunFor(seconds(1));
  rig.TakeCopy();
  PublishOthers(9)(rig);
  rig.RunFor(seconds(1));
  const store_position before = StateOf(rig).mAsOf;
  rig.Restore();
  PublishVersion(9)(rig);
  rig.Post(heartbeat_received{ HeartbeatOf({ before.mEra + 1, before.mRevision - 9 }, 1) });
  rig.RunFor(milliseconds(600));
  EXPECT_TRUE(HasVersion(9)(rig));
  EXPECT_TRUE(HasEra(2)(rig));
}

// Trouble beside a return of the store, or several returns. A schedule returns what is wrong, or an
// empty text.
struct trouble_row
{
  const char* mGuardsAgainst;
  bool mStatesEra;
  std::function<std::string(forwarding_rig&)> mSchedule;
};

class store_trouble_test : public ::testing::TestWithParam<trouble_row>
{};

TEST_P(store_trouble_test, LosesNothingKnownAndMissesNothingNew)
{
  rig_options options;
  options.mStoreStatesEra = GetParam().mStatesEra;
  options.mItemsPerPage = 2;
  options.mForward.mChangeBound = kBound;
  options.mForward.mDisturbanceTime = kDisturbance;
  forwarding_rig rig(options);
  PublishVersion(7)(rig);
  EXPECT_EQ(GetParam().mSchedule(rig), "") << GetParam().mGuardsAgainst;
}

// Runs for aTime. Returns the time at which aHolds was first false, or an empty text.
std::string RunWhile(forwarding_rig& aRig, micros aTime, const rig_check& aHolds)
{
  const instant begin = aRig.Now();
  while (aRig.Now() < begin + aTime) {
    aRig.RunFor(kStep);
    if (!aHolds(aRig)) {
      return "lost after " + std::to_string(ToMs(aRig.Now() - begin)) + " ms";
    }
  }
  return "";
}

void ReturnWithCutWatch(forwarding_rig& aRig)
{
  aRig.FailWatch();
  aRig.Restore();
}

// Runs until a counter of calls to the store changes.
void RunUntilCall(forwarding_rig& aRig, const int& aCalls)
{
  const int before = aCalls;
  for (int i = 0; i < 4000 && aCalls == before; ++i) {
    aRig.RunFor(milliseconds(1));
  }
  ASSERT_NE(aCalls, before);
}

void LoseStore(forwarding_rig& aRig)
{
  aRig.FailStore(true);
  aRig.FailWatch();
}

INSTANTIATE_TEST_SUITE_P(
  cases,
  store_trouble_test,
  ::testing::Values(
    trouble_row{ "a replica that had left gets requests because the store is away when it would "
                 "remove the entry",
                 true,
                 [](forwarding_rig& aRig) {
                   PublishReplica("a-1", 1)(aRig);
                   aRig.RunFor(seconds(1));
                   aRig.TakeCopy();
                   RemoveReplica("a-1")(aRig);
                   aRig.RunFor(seconds(1));
                   ReturnWithCutWatch(aRig);
                   std::string wrong = RunWhile(aRig, seconds(1), UsesNot("a-1"));
                   LoseStore(aRig);
                   RemoveReplica("a-1")(aRig);
                   return wrong + RunWhile(aRig, seconds(15), UsesNot("a-1"));
                 } },
    trouble_row{ "a zone is used because the store is away while its evacuation would be written "
                 "again",
                 true,
                 [](forwarding_rig& aRig) {
                   aRig.RunFor(seconds(1));
                   aRig.TakeCopy();
                   CloseZone(aRig);
                   aRig.RunFor(seconds(1));
                   ReturnWithCutWatch(aRig);
                   std::string wrong = RunWhile(aRig, milliseconds(500), IsZoneClosed);
                   LoseStore(aRig);
                   wrong += RunWhile(aRig, seconds(8), IsZoneClosed);
                   CloseZone(aRig);
                   aRig.FailStore(false);
                   return wrong + RunWhile(aRig, seconds(4), IsZoneClosed);
                 } },
    trouble_row{ "a zone is used because a second return does not renew the hold of its "
                 "evacuation",
                 true,
                 [](forwarding_rig& aRig) {
                   aRig.RunFor(seconds(1));
                   aRig.TakeCopy();
                   CloseZone(aRig);
                   aRig.RunFor(seconds(1));
                   ReturnWithCutWatch(aRig);
                   std::string wrong = RunWhile(aRig, milliseconds(4500), IsZoneClosed);
                   ReturnWithCutWatch(aRig);
                   wrong += RunWhile(aRig, kRewrittenAt, IsZoneClosed);
                   CloseZone(aRig);
                   return wrong + RunWhile(aRig, seconds(4), IsZoneClosed);
                 } },
    trouble_row{ "an evacuation after the return is missed because it gets the revision of one "
                 "that was taken back",
                 true,
                 [](forwarding_rig& aRig) {
                   aRig.RunFor(seconds(1));
                   aRig.TakeCopy();
                   CloseZone(aRig);
                   aRig.RunFor(seconds(1));
                   OpenZone(aRig);
                   aRig.RunFor(seconds(1));
                   LoseStore(aRig);
                   aRig.Restore();
                   CloseZone(aRig);
                   aRig.FailStore(false);
                   aRig.RunFor(kDisturbance + kBound);
                   return std::string(IsZoneClosed(aRig) ? "" : "not in effect in time");
                 } },
    trouble_row{ "a zone is closed because the second return is later than what is remembered of "
                 "its evacuation",
                 true,
                 [](forwarding_rig& aRig) {
                   CloseZone(aRig);
                   PublishReplica("a-1", 1)(aRig); // shows what the copy has
                   aRig.RunFor(seconds(1));
                   aRig.TakeCopy();
                   OpenZone(aRig);
                   aRig.RunFor(seconds(5));
                   ReturnWithCutWatch(aRig);
                   std::string wrong = RunWhile(aRig, kDepartedMemory - seconds(4), IsZoneOpen);
                   PublishOthers(1)(aRig);
                   aRig.TakeCopy();
                   aRig.RunFor(milliseconds(500));
                   ReturnWithCutWatch(aRig);
                   return wrong + RunWhile(aRig, seconds(3), IsZoneOpen);
                 } },
    trouble_row{ "a store whose era went back for good is never followed when a listing has "
                 "several pages",
                 true,
                 [](forwarding_rig& aRig) {
                   for (const char* id : { "a-1", "a-2", "a-3", "a-4" }) {
                     PublishReplica(id, 1)(aRig);
                   }
                   aRig.RunFor(seconds(1));
                   aRig.TakeCopy();
                   aRig.Restore();
                   aRig.RunFor(seconds(5));
                   aRig.Restore();
                   aRig.SetEra(1);
                   aRig.FailWatch();
                   PublishVersion(9)(aRig);
                   // 5 s in which the earlier era is refused, and the bound of a change.
                   aRig.RunFor(seconds(5) + kDisturbance + kBound);
                   return std::string(HasVersion(9)(aRig) ? "" : "not in effect in time");
                 } },
    trouble_row{ "a version is missed because the counter passes the known revision between the "
                 "check that finds a lower one and the listing",
                 false,
                 [](forwarding_rig& aRig) {
                   aRig.RunFor(seconds(1));
                   aRig.TakeCopy();
                   InTurn({ PublishOthers(40), PublishVersion(8) })(aRig);
                   aRig.RunFor(seconds(3));
                   aRig.Restore();
                   RunUntilCall(aRig, aRig.mChecks);
                   aRig.FailStore(true); // the check is answered
                   aRig.RunFor(milliseconds(20));
                   InTurn({ PublishVersion(9), PublishOthers(60) })(aRig);
                   aRig.FailStore(false);
                   aRig.RunFor(kDisturbance + kBound);
                   return std::string(HasVersion(9)(aRig) ? "" : "not in effect in time");
                 } },
    trouble_row{ "a version is missed because the counter passes the known revision after a "
                 "listing whose pages are of two histories",
                 false,
                 [](forwarding_rig& aRig) {
                   for (const char* id : { "a-1", "a-2", "a-3", "a-4" }) {
                     PublishReplica(id, 1)(aRig);
                   }
                   aRig.RunFor(seconds(1));
                   aRig.TakeCopy();
                   InTurn({ PublishOthers(40), PublishVersion(8) })(aRig);
                   aRig.RunFor(seconds(3));
                   aRig.FailWatch();
                   RunUntilCall(aRig, aRig.mListReads);
                   aRig.Restore(); // the first page is of the old history
                   RunUntilCall(aRig, aRig.mListReads);
                   InTurn({ PublishVersion(9), PublishOthers(60) })(aRig);
                   aRig.RunFor(kDisturbance + kBound);
                   return std::string(HasVersion(9)(aRig) ? "" : "not in effect in time");
                 } },
    trouble_row{ "a version is missed although a listing shows that its key has gone back",
                 false,
                 [](forwarding_rig& aRig) {
                   aRig.RunFor(seconds(1));
                   aRig.TakeCopy();
                   InTurn({ PublishOthers(40), PublishVersion(8) })(aRig);
                   aRig.RunFor(seconds(3));
                   LoseStore(aRig);
                   aRig.Restore();
                   InTurn({ PublishVersion(9), PublishOthers(60) })(aRig);
                   aRig.FailStore(false);
                   aRig.RunFor(kDisturbance + kBound);
                   return std::string(HasVersion(9)(aRig) ? "" : "not in effect in time");
                 } },
    trouble_row{ "a replica that drains is missed although a listing shows that its key has gone "
                 "back",
                 false,
                 [](forwarding_rig& aRig) {
                   PublishReplica("a-1", 1)(aRig);
                   aRig.RunFor(seconds(1));
                   aRig.TakeCopy();
                   InTurn({ PublishOthers(40), PublishReplica("a-1", 2) })(aRig);
                   aRig.RunFor(seconds(3));
                   LoseStore(aRig);
                   aRig.Restore();
                   InTurn({ PublishReplica("a-1", 3, true), PublishOthers(60) })(aRig);
                   aRig.FailStore(false);
                   aRig.RunFor(kDisturbance + kBound);
                   return std::string(UsesNot("a-1")(aRig) ? "" : "not in effect in time");
                 } }));

} // namespace
} // namespace redwingdock::testing
