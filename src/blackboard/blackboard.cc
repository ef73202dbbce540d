#include "blackboard/blackboard.h"

#include "base/hash.h"

#include <atomic>

namespace redwingdock {

std::uint32_t detail::NextTypeNumber()
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

std::size_t blackboard::ShardOf(const std::string& aKey) const
{
  return Hash(aKey) % mShards.size();
}

void blackboard::PostNews(detail::news aNews)
{
  const std::size_t index = ShardOf(aNews.mId.mKey);
  bool schedule = false;
  {
    shard& target = *mShards[index];
    const std::lock_guard lock(target.mLock);
    target.mNews.push_back(std::move(aNews));
    schedule = !target.mScheduled;
    target.mScheduled = true;
  }
  if (schedule) {
    Schedule(index);
  }
}

std::shared_ptr<const void> blackboard::ReadEntry(const detail::entry_id& aId) const
{
  const shard& source = *mShards[ShardOf(aId.mKey)];
  const std::lock_guard lock(source.mLock);
  const auto found = source.mEntries.find(aId);
  return found == source.mEntries.end() ? nullptr : found->second;
}

bool blackboard::UpdateEntry(const detail::entry_id& aId, const change& aChange)
{
  {
    shard& target = *mShards[ShardOf(aId.mKey)];
    const std::lock_guard lock(target.mLock);
    const auto found = target.mEntries.find(aId);
    std::shared_ptr<const void> next =
      aChange(found == target.mEntries.end() ? nullptr : found->second.get());
    if (!next) {
      return false;
    }
    target.mEntries[aId] = std::move(next);
  }
  if (mChangeHooks.contains(aId.mType)) {
    PostNews({ aId, nullptr });
  }
  return true;
}

void blackboard::EraseEntry(const detail::entry_id& aId)
{
  {
    shard& target = *mShards[ShardOf(aId.mKey)];
    const std::lock_guard lock(target.mLock);
    if (target.mEntries.erase(aId) == 0) {
      return;
    }
  }
  if (mChangeHooks.contains(aId.mType)) {
    PostNews({ aId, nullptr });
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
    mReady.push_back(aShard);
  }
  mReadyChanged.notify_one();
}

void blackboard::Process(std::size_t aShard)
{
  shard& target = *mShards[aShard];
  std::deque<detail::news> batch;
  {
    const std::lock_guard lock(target.mLock);
    batch.swap(target.mNews);
  }
  for (const detail::news& item : batch) {
    Dispatch(item);
  }
  bool more = false;
  {
    const std::lock_guard lock(target.mLock);
    more = !target.mNews.empty();
    target.mScheduled = more;
  }
  if (more) {
    Schedule(aShard);
  }
}

void blackboard::Dispatch(const detail::news& aNews) const
{
  if (aNews.mFact) {
    const auto hooks = mFactHooks.find(aNews.mId.mType);
    if (hooks != mFactHooks.end()) {
      for (const auto& hook : hooks->second) {
        hook(aNews.mId.mKey, aNews.mFact.get());
      }
    }
    return;
  }
  const auto hooks = mChangeHooks.find(aNews.mId.mType);
  if (hooks != mChangeHooks.end()) {
    for (const auto& hook : hooks->second) {
      hook(aNews.mId.mKey);
    }
  }
}

void blackboard::RunUntilIdle()
{
  for (;;) {
    std::size_t index = 0;
    {
      const std::lock_guard lock(mReadyLock);
      if (mReady.empty()) {
        return;
      }
      index = mReady.front();
      mReady.pop_front();
    }
    Process(index);
  }
}

void blackboard::Work()
{
  for (;;) {
    std::size_t index = 0;
    {
      std::unique_lock lock(mReadyLock);
      mReadyChanged.wait(lock, [this] { return mStopped || !mReady.empty(); });
      if (mStopped) {
        return;
      }
      index = mReady.front();
      mReady.pop_front();
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
  mReadyChanged.notify_all();
}

} // namespace redwingdock
