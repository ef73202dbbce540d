#include "blackboard/blackboard.h"

#include "base/hash.h"

#include <atomic>

namespace redwingdock {

std::uint32_t detail::NextTypeId()
{
  static std::atomic<std::uint32_t> last{ 0 };
  return ++last;
}

blackboard::blackboard(std::size_t aShards)
{
  for (std::size_t i = 0; i < aShards; ++i) {
    mShards.push_back(std::make_unique<shard>());
  }
}

std::size_t blackboard::ShardIndex(const std::string& aKey) const
{
  return Hash(aKey) % mShards.size();
}

void blackboard::Enqueue(detail::notification aNotification)
{
  const std::size_t index = ShardIndex(aNotification.mId.mKey);
  bool schedule = false;
  {
    shard& target = *mShards[index];
    const std::lock_guard lock(target.mLock);
    target.mQueue.push_back(std::move(aNotification));
    schedule = !target.mScheduled;
    target.mScheduled = true;
  }
  if (schedule) {
    Schedule(index);
  }
}

std::shared_ptr<const void> blackboard::ReadEntry(const detail::entry_id& aId) const
{
  const shard& source = *mShards[ShardIndex(aId.mKey)];
  const std::lock_guard lock(source.mLock);
  const auto found = source.mEntries.find(aId);
  return found == source.mEntries.end() ? nullptr : found->second;
}

bool blackboard::UpdateEntry(const detail::entry_id& aId, const update_function& aUpdate)
{
  {
    shard& target = *mShards[ShardIndex(aId.mKey)];
    const std::lock_guard lock(target.mLock);
    const auto found = target.mEntries.find(aId);
    std::shared_ptr<const void> next =
      aUpdate(found == target.mEntries.end() ? nullptr : found->second.get());
    if (!next) {
      return false;
    }
    target.mEntries[aId] = std::move(next);
  }
  if (mChangeHooks.contains(aId.mType)) {
    Enqueue({ aId, nullptr });
  }
  return true;
}

void blackboard::EraseEntry(const detail::entry_id& aId)
{
  {
    shard& target = *mShards[ShardIndex(aId.mKey)];
    const std::lock_guard lock(target.mLock);
    if (target.mEntries.erase(aId) == 0) {
      return;
    }
  }
  if (mChangeHooks.contains(aId.mType)) {
    Enqueue({ aId, nullptr });
  }
}

std::vector<std::pair<std::string, std::shared_ptr<const void>>> blackboard::ListEntries(
  std::uint32_t aType) const
{
  std::vector<std::pair<std::string, std::shared_ptr<const void>>> entries;
  for (const auto& source : mShards) {
    const std::lock_guard lock(source->mLock);
    for (auto it = source->mEntries.lower_bound({ aType, "" });
         it != source->mEntries.end() && it->first.mType == aType;
         ++it) {
      entries.emplace_back(it->first.mKey, it->second);
    }
  }
  return entries;
}

void blackboard::Schedule(std::size_t aShard)
{
  {
    const std::lock_guard lock(mReadyLock);
    mReadyShards.push_back(aShard);
  }
  mReadyCondition.notify_one();
}

void blackboard::Process(std::size_t aShard)
{
  shard& target = *mShards[aShard];
  std::deque<detail::notification> batch;
  {
    const std::lock_guard lock(target.mLock);
    batch.swap(target.mQueue);
  }
  for (const detail::notification& item : batch) {
    DispatchGuarded(item);
  }
  bool more = false;
  {
    const std::lock_guard lock(target.mLock);
    more = !target.mQueue.empty();
    target.mScheduled = more;
  }
  if (more) {
    Schedule(aShard);
  }
}

void blackboard::DispatchGuarded(const detail::notification& aNotification) const
{
  if (!mErrorHook) {
    Dispatch(aNotification);
    return;
  }
  try {
    Dispatch(aNotification);
  } catch (const std::exception& error) {
    mErrorHook("key " + aNotification.mId.mKey + ": " + error.what());
  }
}

void blackboard::Dispatch(const detail::notification& aNotification) const
{
  if (aNotification.mFact) {
    const auto hooks = mFactHooks.find(aNotification.mId.mType);
    if (hooks != mFactHooks.end()) {
      for (const auto& hook : hooks->second) {
        hook(aNotification.mId.mKey, aNotification.mFact.get());
      }
    }
    return;
  }
  const auto hooks = mChangeHooks.find(aNotification.mId.mType);
  if (hooks != mChangeHooks.end()) {
    for (const auto& hook : hooks->second) {
      hook(aNotification.mId.mKey);
    }
  }
}

void blackboard::RunUntilIdle()
{
  for (;;) {
    std::size_t index = 0;
    {
      const std::lock_guard lock(mReadyLock);
      if (mReadyShards.empty()) {
        return;
      }
      index = mReadyShards.front();
      mReadyShards.pop_front();
    }
    Process(index);
  }
}

void blackboard::RunUntilStopped()
{
  for (;;) {
    std::size_t index = 0;
    {
      std::unique_lock lock(mReadyLock);
      mReadyCondition.wait(lock, [this] { return mStopped || !mReadyShards.empty(); });
      if (mStopped) {
        return;
      }
      index = mReadyShards.front();
      mReadyShards.pop_front();
    }
    Process(index);
  }
}

void blackboard::Stop()
{
  {
    const std::lock_guard lock(mReadyLock);
    mStopped = true;
  }
  mReadyCondition.notify_all();
}

} // namespace redwingdock
