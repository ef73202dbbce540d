#ifndef REDWINGDOCK_BLACKBOARD_BLACKBOARD_H
#define REDWINGDOCK_BLACKBOARD_BLACKBOARD_H

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

// A store of immutable values that controllers read and write. Entries and queued notifications are
// divided into shards by key; each shard has its own lock. A worker runs the hooks for the queued
// notifications of one shard without holding the lock of the shard.
//
//   blackboard board(16);
//   board.OnFact<caller_query>([&](const std::string& aKey, const caller_query& aQuery) { ... });
//   board.Post("17", caller_query{ ... });
//   board.RunUntilIdle(); // or RunUntilStopped() on several threads

namespace redwingdock {

namespace detail {

// Returns a new id for a type of value, from 1. Ids are cheaper to compare than
// std::type_index, which compares type names, several times in each access to an entry.
std::uint32_t NextTypeId();

template<typename T>
std::uint32_t TypeId()
{
  static const std::uint32_t id = NextTypeId();
  return id;
}

struct entry_id
{
  std::uint32_t mType = 0;
  std::string mKey;

  auto operator<=>(const entry_id&) const = default;
};

// A posted fact or, if mFact is null, a changed or erased entry, queued for the hooks.
struct notification
{
  entry_id mId;
  std::shared_ptr<const void> mFact;
};

} // namespace detail

class blackboard
{
public:
  explicit blackboard(std::size_t aShards);

  // Registers a hook for posted facts of type T. All hooks must be registered before the first
  // worker runs. Hooks for keys of the same shard never run concurrently; those for different
  // shards may.
  template<typename T>
  void OnFact(std::function<void(const std::string&, const T&)> aHook)
  {
    mFactHooks[detail::TypeId<T>()].push_back(
      [hook = std::move(aHook)](const std::string& aKey, const void* aFact) {
        hook(aKey, *static_cast<const T*>(aFact));
      });
  }

  // Registers a hook that is called with the key after the value of an entry of type T has changed
  // or the entry has been erased.
  template<typename T>
  void OnChange(std::function<void(const std::string&)> aHook)
  {
    mChangeHooks[detail::TypeId<T>()].push_back(std::move(aHook));
  }

  // Queues a fact for the hooks of its type, in the shard of the key. Facts with the same key are
  // processed in the order in which they were posted.
  template<typename T>
  void Post(const std::string& aKey, T aFact)
  {
    Enqueue({ { detail::TypeId<T>(), aKey }, std::make_shared<const T>(std::move(aFact)) });
  }

  // Returns the current value, or null if there is no entry.
  template<typename T>
  std::shared_ptr<const T> Read(const std::string& aKey) const
  {
    return std::static_pointer_cast<const T>(ReadEntry({ detail::TypeId<T>(), aKey }));
  }

  // Replaces the value. Hooks are not called if the new value is equal.
  template<typename T>
  void Write(const std::string& aKey, T aValue)
  {
    Update<T>(aKey, [&aValue](const T*) { return std::optional<T>(std::move(aValue)); });
  }

  // Replaces the value by the result of the function, which is called with the current value (null
  // if there is no entry) under the lock of the shard. A result of nullopt keeps the current value.
  // The function must not use the blackboard. Returns whether the value changed.
  template<typename T>
  bool Update(const std::string& aKey, const std::function<std::optional<T>(const T*)>& aUpdate)
  {
    return UpdateEntry({ detail::TypeId<T>(), aKey },
                       [&aUpdate](const void* aOld) -> std::shared_ptr<const void> {
                         const T* old = static_cast<const T*>(aOld);
                         std::optional<T> next = aUpdate(old);
                         if (!next || (old != nullptr && *next == *old)) {
                           return nullptr;
                         }
                         return std::make_shared<const T>(std::move(*next));
                       });
  }

  template<typename T>
  void Erase(const std::string& aKey)
  {
    EraseEntry({ detail::TypeId<T>(), aKey });
  }

  // Returns all entries of a type by key. The shards are locked one after the other, so the result
  // is not an atomic snapshot.
  template<typename T>
  std::map<std::string, std::shared_ptr<const T>> List() const
  {
    std::map<std::string, std::shared_ptr<const T>> entries;
    for (auto& [key, value] : ListEntries(detail::TypeId<T>())) {
      entries.emplace(key, std::static_pointer_cast<const T>(value));
    }
    return entries;
  }

  // Calls the hook with the text of an exception that leaves a hook of a fact or entry. The
  // notification is dropped and the next one is processed, so that one unexpected input does not
  // end the process. Without this hook the exception leaves RunUntilIdle or RunUntilStopped.
  void OnUnexpectedError(std::function<void(const std::string&)> aHook)
  {
    mErrorHook = std::move(aHook);
  }

  // Processes queued notifications on the calling thread until there are none. Deterministic if no
  // other thread uses the blackboard.
  void RunUntilIdle();

  // Processes queued notifications until Stop() and blocks while there are none. Each worker thread
  // runs it.
  void RunUntilStopped();
  void Stop();

private:
  struct shard
  {
    mutable std::mutex mLock;
    std::map<detail::entry_id, std::shared_ptr<const void>> mEntries;
    std::deque<detail::notification> mQueue;
    bool mScheduled = false; // in the ready queue or being processed
  };

  using update_function = std::function<std::shared_ptr<const void>(const void*)>;

  std::size_t ShardIndex(const std::string& aKey) const;
  void Enqueue(detail::notification aNotification);
  std::shared_ptr<const void> ReadEntry(const detail::entry_id& aId) const;
  bool UpdateEntry(const detail::entry_id& aId, const update_function& aUpdate);
  void EraseEntry(const detail::entry_id& aId);
  std::vector<std::pair<std::string, std::shared_ptr<const void>>> ListEntries(
    std::uint32_t aType) const;
  void Schedule(std::size_t aShard);
  void Process(std::size_t aShard);
  void Dispatch(const detail::notification& aNotification) const;
  void DispatchGuarded(const detail::notification& aNotification) const;

  std::vector<std::unique_ptr<shard>> mShards;
  std::map<std::uint32_t, std::vector<std::function<void(const std::string&, const void*)>>>
    mFactHooks;
  std::map<std::uint32_t, std::vector<std::function<void(const std::string&)>>> mChangeHooks;

  std::function<void(const std::string&)> mErrorHook;

  std::mutex mReadyLock; // never held together with a shard lock
  std::condition_variable mReadyCondition;
  std::deque<std::size_t> mReadyShards;
  bool mStopped = false;
};

} // namespace redwingdock

#endif
