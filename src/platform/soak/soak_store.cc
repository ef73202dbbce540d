#include "platform/soak/soak_store.h"

#include "platform/protocol_names.h"

namespace redwingdock::platform {

namespace {

// The store removes the entry of a replica that has left after three heartbeat intervals.
constexpr micros kEntryLifetime = std::chrono::milliseconds(3600);

micros RewriteDelay(const std::string& aKey, bool aDeleted, const store_return& aReturn)
{
  if (!aKey.starts_with(kReplicaPrefix)) {
    return aReturn.mOperatorDelay;
  }
  return aDeleted ? kEntryLifetime : aReturn.mReplicaDelay;
}

} // namespace

soak_store::soak_store(io_loop& aLoop, bool aStatesEra)
  : mLoop(aLoop)
  , mStore(aLoop)
{
  if (!aStatesEra) {
    mStore.LeaveEraOut();
  }
}

void soak_store::Write(const std::string& aKey,
                       const std::optional<std::string>& aValue,
                       const std::optional<acknowledged_change>& aChange)
{
  const std::lock_guard lock(mLock);
  mWanted[aKey] = { aValue, aChange };
  if (!mReturning) {
    Apply(aKey);
  } else if (aChange && aChange->mKind == change_kind::ZoneOpens) {
    // The zone may get requests from now on, and the copy of the store may lack the key.
    Acknowledge(aChange);
  }
}

void soak_store::Acknowledge(const std::optional<acknowledged_change>& aChange)
{
  if (aChange) {
    mChanges.push_back(*aChange);
    mChanges.back().mAt = SteadyNow();
  }
}

void soak_store::Apply(const std::string& aKey)
{
  const written_value& wanted = mWanted.at(aKey);
  if (wanted.mValue) {
    mStore.Put(aKey, *wanted.mValue);
  } else {
    mStore.Delete(aKey);
  }
  mStored[aKey] = wanted;
  Acknowledge(wanted.mChange);
}

void soak_store::SetDown(bool aDown)
{
  const std::lock_guard lock(mLock);
  mDown = aDown;
  if (aDown) {
    BeginDisturbance();
  } else if (!mReturning) {
    EndDisturbance();
  }
}

void soak_store::TakeCopy(std::uint32_t aWrites)
{
  const std::lock_guard lock(mLock);
  mCopy = mStore.TakeCopy();
  mStoredInCopy = mStored;
  mCopyAt = SteadyNow();
  std::vector<std::string> replicas;
  for (const auto& [key, stored] : mStored) {
    if (key.starts_with(kReplicaPrefix) && stored.mValue) {
      replicas.push_back(key);
    }
  }
  for (std::uint32_t i = 0; i < aWrites && !replicas.empty(); ++i) {
    const std::string& key = replicas[i % replicas.size()];
    mStore.Put(key, *mStored.at(key).mValue);
  }
}

void soak_store::Return(const store_return& aReturn)
{
  const std::lock_guard lock(mLock);
  mReturning = true;
  mReturnBegan = SteadyNow();
  BeginDisturbance();
  if (aReturn.mAway == micros(0)) {
    FinishReturn(aReturn);
    return;
  }
  mLoop.After(aReturn.mAway, [this, aReturn] {
    const std::lock_guard relock(mLock);
    FinishReturn(aReturn);
  });
}

void soak_store::FinishReturn(const store_return& aReturn)
{
  mReturning = false;
  mStored = mStoredInCopy;
  mStore.ReturnFrom(mCopy, aReturn.mWaiting);
  for (acknowledged_change& each : mChanges) {
    if (each.mAt > mCopyAt && each.mLostAt == kNever) {
      each.mLostAt = mReturnBegan;
    }
  }
  if (!mDown) {
    EndDisturbance();
  }
  for (const auto& [key, wanted] : mWanted) {
    const auto stored = mStored.find(key);
    if (stored != mStored.end() ? stored->second.mValue == wanted.mValue : !wanted.mValue) {
      continue;
    }
    mLoop.After(RewriteDelay(key, !wanted.mValue, aReturn), [this, key = key] {
      const std::lock_guard relock(mLock);
      if (!mReturning && mStored[key] != mWanted.at(key)) {
        Apply(key);
      }
    });
  }
}

void soak_store::BeginDisturbance()
{
  mStore.SetDown(true);
  if (mDisturbances.empty() || mDisturbances.back().mTo != kNever) {
    mDisturbances.push_back({ SteadyNow() });
  }
}

void soak_store::EndDisturbance()
{
  mStore.SetDown(false);
  if (!mDisturbances.empty()) {
    mDisturbances.back().mTo = std::min(mDisturbances.back().mTo, SteadyNow());
  }
}

std::vector<acknowledged_change> soak_store::Changes() const
{
  const std::lock_guard lock(mLock);
  return mChanges;
}

std::vector<time_span> soak_store::Disturbances() const
{
  const std::lock_guard lock(mLock);
  return mDisturbances;
}

} // namespace redwingdock::platform
