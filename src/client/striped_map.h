#ifndef REDWINGDOCK_CLIENT_STRIPED_MAP_H
#define REDWINGDOCK_CLIENT_STRIPED_MAP_H

#include <array>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

// A map with string keys, split into shards that have a lock each. No call holds two locks.
//
//   striped_map<instant> avoided;
//   avoided.Set("127.0.0.1:7001", until);

namespace redwingdock {

template<typename T>
class striped_map
{
public:
  std::optional<T> Get(const std::string& aKey) const
  {
    const shard& target = ShardOf(aKey);
    std::lock_guard lock(target.mLock);
    auto found = target.mValues.find(aKey);
    return found == target.mValues.end() ? std::nullopt : std::optional<T>(found->second);
  }

  void Set(const std::string& aKey, T aValue)
  {
    Update(aKey, [&aValue](T& aSlot) { aSlot = std::move(aValue); });
  }

  // Calls the function with the value, default-constructed when absent, under the lock of its
  // shard.
  void Update(const std::string& aKey, const std::function<void(T&)>& aUpdate)
  {
    shard& target = ShardOf(aKey);
    std::lock_guard lock(target.mLock);
    aUpdate(target.mValues[aKey]);
  }

  void Erase(const std::string& aKey)
  {
    shard& target = ShardOf(aKey);
    std::lock_guard lock(target.mLock);
    target.mValues.erase(aKey);
  }

private:
  struct shard
  {
    mutable std::mutex mLock;
    std::map<std::string, T> mValues;
  };

  std::size_t IndexOf(const std::string& aKey) const
  {
    return std::hash<std::string>{}(aKey) % mShards.size();
  }
  shard& ShardOf(const std::string& aKey) { return mShards[IndexOf(aKey)]; }
  const shard& ShardOf(const std::string& aKey) const { return mShards[IndexOf(aKey)]; }

  std::array<shard, 16> mShards;
};

} // namespace redwingdock

#endif
