#ifndef REDWINGDOCK_BASE_SHARDED_MAP_H
#define REDWINGDOCK_BASE_SHARDED_MAP_H

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <utility>

// A map that is divided into shards by key, each under its own lock.
//
//   sharded_map<std::uint64_t, session> sessions;
//   sessions.Insert(7, session{});
//   sessions.With(7, [](session& aSession) { ... }); // under the lock of the shard

namespace redwingdock {

template<typename Key, typename Value>
class sharded_map
{
public:
  // Inserts the value unless the key exists. Returns whether it was inserted.
  bool Insert(const Key& aKey, Value aValue)
  {
    shard& target = ShardOf(aKey);
    const std::lock_guard lock(target.mLock);
    return target.mValues.emplace(aKey, std::move(aValue)).second;
  }

  // Calls the function with the value, under the lock of its shard. The function must not use this
  // map. Returns whether the key exists.
  template<typename Function>
  bool With(const Key& aKey, Function&& aFunction)
  {
    shard& target = ShardOf(aKey);
    const std::lock_guard lock(target.mLock);
    const auto found = target.mValues.find(aKey);
    if (found == target.mValues.end()) {
      return false;
    }
    std::forward<Function>(aFunction)(found->second);
    return true;
  }

  // Like With, but inserts a default-constructed value first if the key does not exist.
  template<typename Function>
  void WithOrInsert(const Key& aKey, Function&& aFunction)
  {
    shard& target = ShardOf(aKey);
    const std::lock_guard lock(target.mLock);
    std::forward<Function>(aFunction)(target.mValues[aKey]);
  }

  // Removes the value and returns it; nullopt if the key does not exist.
  std::optional<Value> Take(const Key& aKey)
  {
    shard& target = ShardOf(aKey);
    const std::lock_guard lock(target.mLock);
    const auto found = target.mValues.find(aKey);
    if (found == target.mValues.end()) {
      return std::nullopt;
    }
    std::optional<Value> taken(std::move(found->second));
    target.mValues.erase(found);
    return taken;
  }

  // Removes the value if the predicate, which is called under the lock of the shard, accepts it.
  // Returns whether a value was removed.
  template<typename Predicate>
  bool EraseIf(const Key& aKey, Predicate&& aPredicate)
  {
    shard& target = ShardOf(aKey);
    const std::lock_guard lock(target.mLock);
    const auto found = target.mValues.find(aKey);
    if (found == target.mValues.end() || !std::forward<Predicate>(aPredicate)(found->second)) {
      return false;
    }
    target.mValues.erase(found);
    return true;
  }

  std::size_t Size() const
  {
    std::size_t size = 0;
    for (const shard& each : mShards) {
      const std::lock_guard lock(each.mLock);
      size += each.mValues.size();
    }
    return size;
  }

  // Calls the function with each key and value. The shards are locked one after the other, so this
  // is not an atomic snapshot.
  template<typename Function>
  void ForEach(Function&& aFunction)
  {
    for (shard& each : mShards) {
      const std::lock_guard lock(each.mLock);
      for (auto& [key, value] : each.mValues) {
        aFunction(key, value);
      }
    }
  }

  template<typename Function>
  void ForEach(Function&& aFunction) const
  {
    for (const shard& each : mShards) {
      const std::lock_guard lock(each.mLock);
      for (const auto& [key, value] : each.mValues) {
        aFunction(key, value);
      }
    }
  }

private:
  struct shard
  {
    mutable std::mutex mLock;
    std::map<Key, Value> mValues;
  };

  static constexpr std::size_t kShards = 16;

  shard& ShardOf(const Key& aKey) { return mShards[std::hash<Key>()(aKey) % kShards]; }

  std::array<shard, kShards> mShards;
};

} // namespace redwingdock

#endif
