#include "testing/store_schedule.h"

#include "core/catalog.h"
#include "follow/follow_state.h"
#include "testing/follow_fleet.h"
#include "testing/forwarding_rig.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace redwingdock::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDaemons = 5;
constexpr std::size_t kReplicas = 8;
constexpr std::size_t kZones = 3;
constexpr micros kBound = seconds(3);           // for a change to take effect
constexpr micros kEvacuationBound = seconds(5); // for a closed zone
constexpr micros kDisturbance = seconds(4);     // after a fault, in which the bounds do not hold
constexpr micros kRewriteTime = seconds(2);     // of replicas, after the store's return
constexpr micros kOperatorTime = milliseconds(3500);
constexpr micros kLease = milliseconds(3600); // of entries that nobody writes again
constexpr micros kActiveTime = seconds(60);
// The longest hold is of a closed zone, for 60 s.
constexpr micros kCalmTime = seconds(75);
// After the last confirmation of the copy: what was deleted since must be out of use in time.
constexpr micros kLongestHold = kDisturbance - milliseconds(500);
// What is written shorter before a hold ends may be read too late.
constexpr micros kReadTime = milliseconds(200);
// A daemon cannot tell a shorter outage from a connection that was cut.
constexpr micros kNoticedOutage = seconds(1);
constexpr micros kLatestNotice = milliseconds(3200); // a check at the longest age and a listing
constexpr micros kReplicaHold = milliseconds(2200);
constexpr micros kReadOpenTime = seconds(3);
constexpr micros kStep = milliseconds(20);
constexpr micros kWriteRetry = milliseconds(200);
// After a fault. A silent watch ends with its wait of 30 s and the time for a reply.
constexpr micros kSettledTime = seconds(32);
constexpr micros kMinCheckInterval = milliseconds(1800);
constexpr std::uint64_t kHoldKinds = 4; // missing or withheld, replicas or zones
constexpr std::size_t kMaxViolations = 5;

// One run of a replica process.
struct run_id
{
  std::string mId;
  std::int64_t mBornMs = 0;

  auto operator<=>(const run_id&) const = default;
};

// What was acknowledged and is still in the store.
struct acknowledged
{
  std::vector<std::pair<std::uint64_t, instant>> mVersions;
  std::map<std::string, instant> mClosedZones;
  std::map<run_id, instant> mRuns; // that have an entry, and when it was last written
  std::map<run_id, instant> mLeft; // runs that are draining or have no entry any more
};

struct replica_process
{
  run_id mRun;
  std::uint64_t mSequence = 0;
  bool mRuns = false;
  bool mDrains = false;
};

// Whether a daemon has a zone as closed.
struct zone_use
{
  bool mIsClosed = false;
  bool mWasClosed = false; // before
  instant mSince{};
};

// What a daemon has used since its start.
struct daemon_record
{
  struct replica_state
  {
    std::int64_t mBornMs = 0;
    std::uint64_t mSequence = 0;
    bool mUnused = false; // drains or is unknown
  };

  std::uint64_t mVersion = 0;
  std::map<std::string, replica_state> mReplicas; // latest state, by id
  std::map<std::string, zone_use> mZones;
  instant mDisturbedUntil{};   // kNever while a fault lasts
  std::uint64_t mListings = 0; // until then
  std::uint64_t mOtherFaults = 0;
  instant mConfirmedAt{}; // of its copy, before the latest fault of the store
};

class schedule_run
{
public:
  schedule_run(std::uint64_t aSeed, bool aLogs)
    : mRandom(aSeed)
    , mStatesEra(aSeed % 8 != 0)
    , mFleet(OptionsOf(aSeed, aLogs))
  {
    mResult.mDescription = "seed " + std::to_string(aSeed) + (mStatesEra ? "" : ", no era");
  }

  store_schedule_result Run();

private:
  follow_fleet_options OptionsOf(std::uint64_t aSeed, bool aLogs);
  micros Between(micros aLeast, micros aMost);
  bool Chance(std::uint64_t aPercent) { return mRandom.NextBelow(100) < aPercent; }
  instant Now() const { return mFleet.Now(); }
  std::string TimeText() const;
  void Note(const std::string& aText);
  void Fail(const std::string& aText);

  // Writers. A write that the store refuses is tried again.
  void WhenAvailable(std::function<void()> aWrite);
  void WriteVersion(std::uint64_t aVersion);
  void WriteZone(const std::string& aZone, bool aAlways);
  void WriteReplica(std::size_t aReplica);
  void RemoveEntry(const run_id& aRun);
  void LeaveStore(std::size_t aReplica);
  void ScheduleOperator();
  void ScheduleZones();
  void ScheduleReplica(std::size_t aReplica);
  void WriteAgain(micros aOperatorTime);
  void EntryExpires(const run_id& aRun, std::uint64_t aSequence);

  // Faults.
  void ScheduleStoreFaults();
  void ScheduleDaemonFaults();
  void ReturnFromCopy(int aTimes, std::function<void()> aThen);
  void Outage(std::function<void()> aThen);
  void BeginStoreFault();
  void ClaimAfterReturn(const run_id& aRun);
  void Disturb(std::size_t aDaemon, instant aUntil);
  void DisturbAll(instant aUntil);

  void CheckAll();
  void CheckDaemon(std::size_t aDaemon);
  void CheckReplicas(std::size_t aDaemon, const catalog& aKnown);
  void CheckZones(std::size_t aDaemon, const catalog& aKnown);
  void CheckCalls(std::size_t aDaemon);
  void CheckEnd(std::size_t aDaemon);
  instant Due(instant aAcknowledged, micros aBound, const daemon_record& aRecord) const;

  seeded_random mRandom;
  // Without eras a daemon may not notice that the store returned from a copy. Only what must hold
  // nevertheless is checked then.
  const bool mStatesEra;
  store_schedule_result mResult;
  bool mLogs = false;
  follow_fleet mFleet;
  bool mIsEnding = false;
  std::uint64_t mVersion = 0;
  std::map<std::string, bool> mWantsClosed;       // by zone
  std::map<std::string, instant> mWantedClosedAt; // last time, by zone
  std::map<std::string, instant> mWantedOpenAt;
  std::map<std::string, instant> mStoredClosedAt; // last time, by zone
  std::vector<replica_process> mReplicas{ kReplicas };
  std::set<run_id> mAllRuns; // that ever had an entry
  acknowledged mTruth;
  acknowledged mTruthOfCopy;
  instant mReturnedAt{};
  instant mCouldWriteAt{}; // the store has been available since then
  std::vector<daemon_record> mRecords{ kDaemons };
  std::vector<int> mFaults = std::vector<int>(kDaemons, 0); // that last, by daemon
};

std::string ZoneName(std::size_t aZone)
{
  return "zone-" + std::to_string(aZone + 1);
}

std::string ZoneKey(const std::string& aZone)
{
  return "operator/" + aZone;
}

follow_fleet_options schedule_run::OptionsOf(std::uint64_t aSeed, bool aLogs)
{
  mLogs = aLogs;
  follow_fleet_options options;
  options.mDaemons = kDaemons;
  options.mStore.mStatesEra = mStatesEra;
  options.mStore.mItemsPerPage = Chance(50) ? 3 : 500;
  options.mForward.mChangeBound = kBound;
  options.mForward.mDisturbanceTime = kDisturbance;
  options.mSeed = aSeed;
  if (aLogs) {
    options.mOnLog = [this](std::size_t aDaemon, const std::string& aLine) {
      if (aLine.find("heard") == std::string::npos) {
        mResult.mLog.push_back(TimeText() + " vm-" + std::to_string(aDaemon + 1) + " " + aLine);
      }
    };
  }
  return options;
}

micros schedule_run::Between(micros aLeast, micros aMost)
{
  return aLeast + micros(static_cast<std::int64_t>(
                    mRandom.NextBelow(static_cast<std::uint64_t>((aMost - aLeast).count()) + 1)));
}

std::string schedule_run::TimeText() const
{
  return std::to_string(ToMs(Now() - instant{})) + " ms";
}

void schedule_run::Note(const std::string& aText)
{
  if (mLogs) {
    mResult.mLog.push_back(TimeText() + " " + aText);
  }
}

void schedule_run::Fail(const std::string& aText)
{
  if (mResult.mViolations.size() < kMaxViolations) {
    mResult.mViolations.push_back(TimeText() + ": " + aText);
  }
}

void schedule_run::WhenAvailable(std::function<void()> aWrite)
{
  if (!mFleet.mStore.IsFailing()) {
    ++mResult.mTotals.mWrites;
    aWrite();
    return;
  }
  mFleet.After(kWriteRetry, [this, aWrite = std::move(aWrite)] { WhenAvailable(aWrite); });
}

void schedule_run::WriteVersion(std::uint64_t aVersion)
{
  WhenAvailable([this, aVersion] {
    if (aVersion < mVersion) {
      return;
    }
    mTruth.mVersions.emplace_back(aVersion, Now());
    Note("writes version " + std::to_string(aVersion));
    mFleet.mStore.Publish(ConfigurationItem(aVersion, { PlainRoute("a", true) }));
  });
}

// Writes what the operator wants, with aAlways also when the store has it.
void schedule_run::WriteZone(const std::string& aZone, bool aAlways)
{
  WhenAvailable([this, aZone, aAlways] {
    const bool closed = mWantsClosed[aZone];
    if (!aAlways && closed == (mFleet.mStore.Find(ZoneKey(aZone)) != nullptr)) {
      return;
    }
    Note(std::string(closed ? "closes " : "opens ") + aZone);
    if (closed) {
      mTruth.mClosedZones[aZone] = Now();
      mFleet.mStore.Publish({ ZoneKey(aZone), 0, closed_zone{ aZone } });
    } else {
      mTruth.mClosedZones.erase(aZone);
      mFleet.mStore.Delete(ZoneKey(aZone));
    }
  });
}

void schedule_run::WriteReplica(std::size_t aReplica)
{
  WhenAvailable([this, aReplica] {
    replica_process& replica = mReplicas[aReplica];
    const run_id& run = replica.mRun;
    if (!replica.mRuns) {
      return;
    }
    ++replica.mSequence;
    store_item item = ReplicaItem(run.mId, "a", ZoneName(aReplica % kZones));
    auto& entry = std::get<replica_entry>(item.mValue);
    entry.mBornMs = run.mBornMs;
    entry.mSequence = replica.mSequence;
    entry.mDraining = replica.mDrains;
    for (const run_id& each : mAllRuns) {
      if (each.mId == run.mId && each != run) {
        mTruth.mLeft.emplace(each, Now());
      }
    }
    std::erase_if(mTruth.mRuns, [&run](const auto& aEach) { return aEach.first.mId == run.mId; });
    mAllRuns.insert(run);
    mTruth.mRuns[run] = Now();
    if (replica.mDrains) {
      mTruth.mLeft.emplace(run, Now());
    } else {
      mTruth.mLeft.erase(run);
    }
    Note("writes " + run.mId + " born " + std::to_string(run.mBornMs) + " sequence " +
         std::to_string(replica.mSequence) + (replica.mDrains ? " draining" : ""));
    mFleet.mStore.Publish(std::move(item));
  });
}

// Deletes the entry of the id, whichever start of the replica wrote it.
void schedule_run::RemoveEntry(const run_id& aRun)
{
  for (const run_id& each : mAllRuns) {
    if (each.mId == aRun.mId) {
      mTruth.mLeft.emplace(each, Now());
    }
  }
  std::erase_if(mTruth.mRuns, [&aRun](const auto& aEach) { return aEach.first.mId == aRun.mId; });
  Note("removes " + aRun.mId + " born " + std::to_string(aRun.mBornMs));
  mFleet.mStore.Delete("replicas/" + aRun.mId);
}

void schedule_run::LeaveStore(std::size_t aReplica)
{
  WhenAvailable([this, aReplica, run = mReplicas[aReplica].mRun] {
    if (mReplicas[aReplica].mRun == run && mFleet.mStore.Find("replicas/" + run.mId) != nullptr) {
      RemoveEntry(run);
    }
  });
}

void schedule_run::ScheduleOperator()
{
  mFleet.After(Between(milliseconds(500), seconds(5)), [this] {
    if (!mIsEnding) {
      WriteVersion(++mVersion);
      ScheduleOperator();
    }
  });
}

void schedule_run::ScheduleZones()
{
  mFleet.After(Between(seconds(2), seconds(9)), [this] {
    if (!mIsEnding) {
      const std::string zone = ZoneName(mRandom.NextBelow(kZones));
      mWantsClosed[zone] = !mWantsClosed[zone];
      WriteZone(zone, true);
      ScheduleZones();
    }
  });
}

void schedule_run::ScheduleReplica(std::size_t aReplica)
{
  replica_process& replica = mReplicas[aReplica];
  micros stays = Between(seconds(2), seconds(15));
  if (replica.mRuns) {
    stays = replica.mDrains ? Between(milliseconds(500), seconds(4)) : stays;
  } else if (replica.mRun.mBornMs > 0) {
    stays = Between(milliseconds(300), seconds(6));
  } else {
    stays = micros(0);
  }
  mFleet.After(stays, [this, aReplica] {
    replica_process& changed = mReplicas[aReplica];
    if (mIsEnding) {
      return;
    }
    if (!changed.mRuns) {
      changed = { { "a-" + std::to_string(aReplica), ToMs(Now() - instant{}) }, 0, true, false };
      WriteReplica(aReplica);
    } else if (!changed.mDrains && Chance(80)) {
      changed.mDrains = true;
      WriteReplica(aReplica);
    } else {
      changed.mRuns = false;
      LeaveStore(aReplica);
    }
    ScheduleReplica(aReplica);
  });
}

void schedule_run::EntryExpires(const run_id& aRun, std::uint64_t aSequence)
{
  mFleet.After(kLease, [this, aRun, aSequence] {
    const auto item = mFleet.mStore.Find("replicas/" + aRun.mId);
    const auto* entry = item == nullptr ? nullptr : std::get_if<replica_entry>(&item->mValue);
    if (entry != nullptr && entry->mBornMs == aRun.mBornMs && entry->mSequence == aSequence) {
      WhenAvailable([this, aRun, aSequence] {
        const auto current = mFleet.mStore.Find("replicas/" + aRun.mId);
        const auto* kept =
          current == nullptr ? nullptr : std::get_if<replica_entry>(&current->mValue);
        if (kept != nullptr && kept->mBornMs == aRun.mBornMs && kept->mSequence == aSequence) {
          RemoveEntry(aRun);
        }
      });
    }
  });
}

// Writers notice within their time what the store lacks, or has although they changed it.
void schedule_run::WriteAgain(micros aOperatorTime)
{
  for (std::size_t i = 0; i < kReplicas; ++i) {
    const replica_process& replica = mReplicas[i];
    if (replica.mRun.mBornMs == 0) {
      continue;
    }
    const auto item = mFleet.mStore.Find("replicas/" + replica.mRun.mId);
    const auto* entry = item == nullptr ? nullptr : std::get_if<replica_entry>(&item->mValue);
    const bool same = entry != nullptr && entry->mBornMs == replica.mRun.mBornMs &&
                      entry->mSequence == replica.mSequence;
    if (replica.mRuns && !same) {
      mFleet.After(Between(micros(0), kRewriteTime), [this, i, run = replica.mRun] {
        if (mReplicas[i].mRun == run) {
          WriteReplica(i);
        }
      });
    }
    if (entry != nullptr && (!replica.mRuns || entry->mBornMs != replica.mRun.mBornMs)) {
      EntryExpires({ replica.mRun.mId, entry->mBornMs }, entry->mSequence);
    }
  }
  mFleet.After(Between(milliseconds(300), aOperatorTime), [this] {
    const auto item = mFleet.mStore.Find("configuration");
    const auto* stored = item == nullptr ? nullptr : std::get_if<configuration>(&item->mValue);
    if (stored == nullptr || stored->mVersion < mVersion) {
      WriteVersion(mVersion);
    }
  });
  for (std::size_t i = 0; i < kZones; ++i) {
    mFleet.After(Between(milliseconds(300), aOperatorTime),
                 [this, i] { WriteZone(ZoneName(i), false); });
  }
}

void schedule_run::BeginStoreFault()
{
  mFleet.mStore.Fail(true);
  for (std::size_t i = 0; i < kDaemons; ++i) {
    if (const auto state = mFleet.Board(i).Read<follow_state>(kStoreKey)) {
      mRecords[i].mConfirmedAt = state->mConfirmedAt;
    }
    const std::uint64_t kind = mRandom.NextBelow(3);
    if (kind == 0) {
      mFleet.Reader(i).FailWatch();
    } else if (kind == 1) {
      mFleet.Reader(i).SilenceWatch();
    } // else it waits on
  }
  DisturbAll(kNever);
}

void schedule_run::Disturb(std::size_t aDaemon, instant aUntil)
{
  daemon_record& record = mRecords[aDaemon];
  record.mDisturbedUntil = aUntil;
  for (daemon_record& each : mRecords) {
    ++each.mOtherFaults;
  }
}

void schedule_run::DisturbAll(instant aUntil)
{
  for (std::size_t i = 0; i < kDaemons; ++i) {
    Disturb(i, mFaults[i] > 0 ? kNever : aUntil);
  }
}

// What the store says of the run after it returned. An entry of an earlier start tells nothing of
// a later one; it expires soon.
void schedule_run::ClaimAfterReturn(const run_id& aRun)
{
  const auto item = mFleet.mStore.Find("replicas/" + aRun.mId);
  if (item == nullptr) {
    mTruth.mLeft[aRun] = Now();
  } else if (std::get<replica_entry>(item->mValue).mBornMs < aRun.mBornMs) {
    mTruth.mLeft.erase(aRun);
  }
}

void schedule_run::ReturnFromCopy(int aTimes, std::function<void()> aThen)
{
  Note("the store is copied");
  mFleet.mStore.TakeCopy();
  mTruthOfCopy = mTruth;
  const micros age = Between(seconds(1), seconds(8));
  const micros away = Chance(40) ? micros(0) : Between(micros(0), seconds(2));
  mFleet.After(age, [this, away, aTimes, then = std::move(aThen)] {
    Note("the store goes away");
    BeginStoreFault();
    mFleet.After(away, [this, aTimes, then] {
      Note("the store returns from its copy");
      ++mResult.mTotals.mReturns;
      mFleet.mStore.Fail(false);
      mFleet.mStore.Restore();
      const acknowledged before = std::exchange(mTruth, mTruthOfCopy);
      for (const run_id& run : mAllRuns) {
        ClaimAfterReturn(run);
      }
      for (const auto& [zone, closedAt] : before.mClosedZones) {
        if (!mTruth.mClosedZones.contains(zone) || mTruth.mClosedZones.at(zone) != closedAt) {
          mFleet.After(Between(milliseconds(300), kOperatorTime), [this, lost = zone] {
            const auto again = mTruth.mClosedZones.find(lost);
            if (again == mTruth.mClosedZones.end() || again->second < mReturnedAt) {
              WriteZone(lost, true);
            }
          });
        }
      }
      mReturnedAt = Now();
      mCouldWriteAt = Now();
      DisturbAll(Now());
      WriteAgain(kOperatorTime);
      if (aTimes > 1) {
        mFleet.After(Between(micros(0), seconds(2)),
                     [this, aTimes, then] { ReturnFromCopy(aTimes - 1, then); });
      } else {
        then();
      }
    });
  });
}

void schedule_run::Outage(std::function<void()> aThen)
{
  Note("the store fails");
  ++mResult.mTotals.mOutages;
  BeginStoreFault();
  const micros lasts = Between(milliseconds(100), seconds(6));
  mFleet.After(lasts, [this, lasts, then = std::move(aThen)] {
    Note("the store works again");
    mFleet.mStore.Fail(false);
    if (lasts >= kNoticedOutage) {
      mCouldWriteAt = Now();
    }
    DisturbAll(Now());
    if (lasts > kLease) {
      const auto runs = mTruth.mRuns;
      for (const auto& [run, at] : runs) {
        RemoveEntry(run);
      }
    }
    WriteAgain(kOperatorTime);
    then();
  });
}

void schedule_run::ScheduleStoreFaults()
{
  mFleet.After(Between(seconds(1), seconds(12)), [this] {
    if (mIsEnding) {
      return;
    }
    const auto next = [this] { ScheduleStoreFaults(); };
    const std::uint64_t kind = mRandom.NextBelow(10);
    if (kind < 5) {
      ReturnFromCopy(1, next);
    } else if (kind < 7) {
      ReturnFromCopy(2, next);
    } else if (kind < 9) {
      Outage(next);
    } else {
      Note("the history is dropped");
      ++mResult.mTotals.mOtherFaults;
      mFleet.mStore.DropHistory();
      DisturbAll(Now());
      WriteVersion(++mVersion); // ends what DropHistory does
      next();
    }
  });
}

void schedule_run::ScheduleDaemonFaults()
{
  mFleet.After(Between(seconds(1), seconds(10)), [this] {
    if (mIsEnding) {
      return;
    }
    ScheduleDaemonFaults();
    const std::size_t daemon = mRandom.NextBelow(kDaemons);
    const std::uint64_t kind = mRandom.NextBelow(4);
    ++mResult.mTotals.mOtherFaults;
    const auto begin = [this, daemon] {
      ++mFaults[daemon];
      Disturb(daemon, kNever);
    };
    const auto end = [this, daemon] {
      --mFaults[daemon];
      if (mFaults[daemon] == 0 && !mFleet.mStore.IsFailing()) {
        Disturb(daemon, Now());
      }
    };
    if (kind == 0) {
      Note("vm-" + std::to_string(daemon + 1) + " is cut off");
      begin();
      mFleet.Reader(daemon).Cut(true);
      mFleet.After(Chance(20) ? seconds(15) : Between(milliseconds(500), seconds(6)),
                   [this, daemon, end] {
                     Note("vm-" + std::to_string(daemon + 1) + " is connected");
                     mFleet.Reader(daemon).Cut(false);
                     end();
                   });
    } else if (kind == 1) {
      Note("vm-" + std::to_string(daemon + 1) + " gets slow answers");
      begin();
      mFleet.Reader(daemon).SetDelay(Between(milliseconds(50), milliseconds(700)));
      mFleet.After(Between(seconds(1), seconds(5)), [this, daemon, end] {
        mFleet.Reader(daemon).SetDelay(milliseconds(4));
        end();
      });
    } else if (kind == 2) {
      Note("vm-" + std::to_string(daemon + 1) + " starts again");
      mRecords[daemon] = {};
      Disturb(daemon, mFaults[daemon] > 0 || mFleet.mStore.IsFailing() ? kNever : Now());
      mFleet.Restart(daemon);
    } else {
      Note("vm-" + std::to_string(daemon + 1) + " has a silent watch");
      mFleet.Reader(daemon).SilenceWatch();
      Disturb(daemon, mFaults[daemon] > 0 || mFleet.mStore.IsFailing() ? kNever : Now());
    }
  });
}

instant schedule_run::Due(instant aAcknowledged, micros aBound, const daemon_record& aRecord) const
{
  if (!mStatesEra || aRecord.mDisturbedUntil == kNever) {
    return kNever;
  }
  return std::max(aAcknowledged + aBound, aRecord.mDisturbedUntil + kDisturbance);
}

void schedule_run::CheckReplicas(std::size_t aDaemon, const catalog& aKnown)
{
  daemon_record& record = mRecords[aDaemon];
  const std::string vm = "vm-" + std::to_string(aDaemon + 1) + ": ";
  std::map<std::string, replica_pointer> present;
  if (const auto found = aKnown.mReplicas.find("a"); found != aKnown.mReplicas.end()) {
    for (const replica_pointer& each : found->second) {
      present[each->mId] = each;
    }
  }
  for (const replica_process& each : mReplicas) {
    const auto seen = record.mReplicas.find(each.mRun.mId);
    const bool wasUsed = seen != record.mReplicas.end() && !seen->second.mUnused &&
                         seen->second.mBornMs == each.mRun.mBornMs;
    const micros readTime = mFaults[aDaemon] > 0 ? kBound : kReadTime;
    // The store has had the entry for some time, or it may still be written again.
    const auto written = mTruth.mRuns.find(each.mRun);
    const bool isDue =
      (written != mTruth.mRuns.end() && written->second + readTime <= Now()) ||
      mFleet.mStore.IsFailing() ||
      Now() <= std::min(mCouldWriteAt + kRewriteTime, record.mConfirmedAt + kLongestHold);
    if (mStatesEra && each.mRuns && !each.mDrains && wasUsed && isDue &&
        !present.contains(each.mRun.mId)) {
      Fail(vm + each.mRun.mId + " is dropped although it runs");
    }
  }
  for (auto& [id, seen] : record.mReplicas) {
    seen.mUnused = seen.mUnused || !present.contains(id);
  }
  for (const auto& [id, entry] : present) {
    const auto seen = record.mReplicas.find(id);
    const auto state = std::tuple(entry->mBornMs, entry->mSequence);
    const auto before = seen == record.mReplicas.end()
                          ? std::tuple(std::int64_t{ 0 }, std::uint64_t{ 0 })
                          : std::tuple(seen->second.mBornMs, seen->second.mSequence);
    if (mStatesEra && state < before) {
      Fail(std::string(vm).append("an older state of ").append(id).append(" replaces a newer one"));
    }
    if (mStatesEra && state == before && seen->second.mUnused && !entry->mDraining) {
      Fail(vm + id + " is used again although nothing newer was written");
    }
    record.mReplicas[id] = { entry->mBornMs, entry->mSequence, entry->mDraining };
    const auto left = mTruth.mLeft.find({ id, entry->mBornMs });
    // The rules judge no removal in the disturbance time after a return. A daemon that notices the
    // return late holds the replica for the time in which it could have been written again.
    const bool isHeld = left != mTruth.mLeft.end() && left->second < mReturnedAt + kDisturbance &&
                        Now() < mReturnedAt + kLatestNotice + kReplicaHold;
    if (!entry->mDraining && left != mTruth.mLeft.end() && !isHeld &&
        Due(left->second, kBound, record) <= Now()) {
      Fail(vm + id + " is used " + std::to_string(ToMs(Now() - left->second)) +
           " ms after it left");
    }
  }
}

void schedule_run::CheckZones(std::size_t aDaemon, const catalog& aKnown)
{
  daemon_record& record = mRecords[aDaemon];
  const std::string vm = "vm-" + std::to_string(aDaemon + 1) + ": ";
  for (std::size_t i = 0; i < kZones; ++i) {
    const std::string zone = ZoneName(i);
    const bool isClosed = aKnown.mClosedZones.contains(zone);
    const auto acked = mTruth.mClosedZones.find(zone);
    const bool wanted = mWantsClosed[zone];
    (wanted ? mWantedClosedAt : mWantedOpenAt)[zone] = Now();
    if (acked != mTruth.mClosedZones.end() && wanted && !isClosed &&
        Due(acked->second, kEvacuationBound, record) <= Now()) {
      Fail(vm + zone + " is in use " + std::to_string(ToMs(Now() - acked->second)) +
           " ms after it was closed");
    }
    zone_use& use = record.mZones[zone];
    // The daemon learnt that it is closed, and the operator has kept it closed since.
    if (use.mIsClosed && !isClosed && mWantedOpenAt[zone] < use.mSince &&
        (acked != mTruth.mClosedZones.end() || mFleet.mStore.IsFailing() ||
         Now() <= mCouldWriteAt + kOperatorTime)) {
      Fail(vm + zone + " is opened although the operator keeps it closed");
    }
    // The daemon read that it was closed and then that it is open, and the operator has kept it
    // open since. One that missed the opening only ends its hold and then takes any closed zone for
    // new. An evacuation that the store has again cannot always be told from one that was written
    // again; the tables of restored_store_test and adopt_test judge those cases.
    if (mFleet.mStore.Find(ZoneKey(zone)) != nullptr) {
      mStoredClosedAt[zone] = Now();
    }
    const bool isStored = Now() <= mStoredClosedAt[zone] + kReadOpenTime;
    if (!use.mIsClosed && isClosed && use.mWasClosed && !isStored &&
        mWantedClosedAt[zone] < use.mSince && use.mSince <= mWantedClosedAt[zone] + kReadOpenTime &&
        Now() <= mReturnedAt + kOperatorTime) {
      Fail(vm + zone + " is closed although the operator has opened it");
    }
    if (isClosed != use.mIsClosed) {
      use = { isClosed, use.mIsClosed, Now() };
    }
  }
}

void schedule_run::CheckCalls(std::size_t aDaemon)
{
  daemon_record& record = mRecords[aDaemon];
  const std::uint64_t listings = mFleet.Listings(aDaemon);
  if (record.mDisturbedUntil == kNever || Now() < record.mDisturbedUntil + kSettledTime) {
    record.mListings = listings;
    record.mOtherFaults = 0;
  } else if (listings > record.mListings + record.mOtherFaults) {
    Fail("vm-" + std::to_string(aDaemon + 1) + " lists the store again without a fault");
    record.mListings = listings;
  }
}

void schedule_run::CheckDaemon(std::size_t aDaemon)
{
  daemon_record& record = mRecords[aDaemon];
  const auto known = mFleet.Board(aDaemon).Read<catalog>(kCatalogKey);
  if (!known) {
    if (Due({}, kBound, record) <= Now()) {
      Fail("vm-" + std::to_string(aDaemon + 1) + " has not read the store");
    }
    return;
  }
  if (known->mVersion < record.mVersion) {
    Fail("vm-" + std::to_string(aDaemon + 1) + " goes back to version " +
         std::to_string(known->mVersion));
  }
  record.mVersion = known->mVersion;
  for (const auto& [version, at] : mTruth.mVersions) {
    if (version > known->mVersion && Due(at, kBound, record) <= Now()) {
      Fail("vm-" + std::to_string(aDaemon + 1) + " has version " + std::to_string(known->mVersion) +
           " " + std::to_string(ToMs(Now() - at)) + " ms after version " + std::to_string(version));
    }
  }
  CheckReplicas(aDaemon, *known);
  if (mStatesEra) {
    CheckZones(aDaemon, *known);
  }
  CheckCalls(aDaemon);
}

void schedule_run::CheckEnd(std::size_t aDaemon)
{
  const auto known = mFleet.Board(aDaemon).Read<catalog>(kCatalogKey);
  std::set<std::string> used;
  if (known && known->mReplicas.contains("a")) {
    for (const replica_pointer& each : known->mReplicas.at("a")) {
      if (!each->mDraining) {
        used.insert(each->mId);
      }
    }
  }
  std::set<std::string> ready;
  for (const replica_process& each : mReplicas) {
    if (each.mRuns && !each.mDrains) {
      ready.insert(each.mRun.mId);
    }
  }
  std::set<std::string> closed;
  for (const auto& [zone, wanted] : mWantsClosed) {
    if (wanted) {
      closed.insert(zone);
    }
  }
  const std::string vm = "vm-" + std::to_string(aDaemon + 1);
  if (!known || (mStatesEra && known->mVersion != mVersion)) {
    Fail(vm + " does not have the last version");
  }
  if (mStatesEra && used != ready) {
    Fail(vm + " uses other replicas than those that are ready");
  }
  if (mStatesEra && known && known->mClosedZones != closed) {
    Fail(vm + " has other closed zones than the operator");
  }
  // Each end of a hold of replicas or zones may need one more check.
  const std::uint64_t mostChecks =
    1 + kHoldKinds * (mResult.mTotals.mReturns + mResult.mTotals.mOutages) +
    static_cast<std::uint64_t>((Now() - instant{}) / kMinCheckInterval);
  if (mFleet.Checks(aDaemon) > mostChecks) {
    Fail(vm + " checked the store " + std::to_string(mFleet.Checks(aDaemon)) + " times");
  }
  mResult.mTotals.mListings += mFleet.Listings(aDaemon);
  mResult.mTotals.mChecks += mFleet.Checks(aDaemon);
}

store_schedule_result schedule_run::Run()
{
  WriteVersion(++mVersion);
  for (std::size_t i = 0; i < kReplicas; ++i) {
    ScheduleReplica(i);
  }
  ScheduleOperator();
  ScheduleZones();
  mFleet.RunFor(seconds(1));
  ScheduleStoreFaults();
  ScheduleDaemonFaults();
  const instant activeUntil = Now() + kActiveTime;
  instant end = kNever;
  while (Now() < end) {
    mFleet.RunFor(kStep);
    for (std::size_t i = 0; i < kDaemons; ++i) {
      CheckDaemon(i);
    }
    if (!mIsEnding && Now() >= activeUntil) {
      mIsEnding = true;
      end = Now() + kCalmTime + seconds(20); // faults that have begun last up to 20 s
    }
  }
  for (std::size_t i = 0; i < kDaemons; ++i) {
    CheckEnd(i);
  }
  return std::move(mResult);
}

} // namespace

store_schedule_result RunStoreSchedule(std::uint64_t aSeed, bool aLogs)
{
  return schedule_run(aSeed, aLogs).Run();
}

} // namespace redwingdock::testing
