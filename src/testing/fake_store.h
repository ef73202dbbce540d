#ifndef REDWINGDOCK_TESTING_FAKE_STORE_H
#define REDWINGDOCK_TESTING_FAKE_STORE_H

#include "core/core.h"
#include "testing/event_queue.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

// In-memory store on a manual clock, and the reads of a daemon from it.
//
//   fake_store store;
//   store_reader reader(store, events, [&core](fact aFact) { core.Post(std::move(aFact)); });
//   store.Publish(ConfigurationItem(1, {}));
//   reader.Read({ 1, "" });

namespace redwingdock::testing {

struct fake_store_options
{
  bool mStatesEra = false;
  std::size_t mItemsPerPage = 500; // of a listing
};

class fake_store
{
public:
  explicit fake_store(const fake_store_options& aOptions = {});

  void Publish(store_item aItem);
  void Delete(const std::string& aKey) { Publish({ aKey, 0, deleted_value{} }); }
  // While it fails, all calls get an error.
  void Fail(bool aFails) { mFails = aFails; }
  bool IsFailing() const { return mFails; }
  // Until the next change the history lacks the present revision too.
  void DropHistory() { mState.mHistoryFrom = mState.mRevision + 1; }
  // Keeps a copy of the store for Restore.
  void TakeCopy() { mCopy = mState; }
  // The store returns from its copy, with the next era: what was published since is gone, and its
  // revisions are given out again. Waiting watches wait on; each ends with its wait, or when the
  // revision passes the one that it waits for.
  void Restore();
  void SetEra(std::uint64_t aEra) { mEra = aEra; }

  store_position Position() const { return { mEra, mState.mRevision }; }
  store_page_read PageAfter(const read_store_page& aCommand) const;
  bool HasHistoryAfter(std::uint64_t aRevision) const;
  std::vector<store_item_pointer> ChangesAfter(std::uint64_t aRevision) const;
  // The current value of the key; null when it has none.
  store_item_pointer Find(const std::string& aKey) const;

  // Calls the hook after each change.
  void OnChange(std::function<void()> aHook) { mHooks.push_back(std::move(aHook)); }

private:
  struct state
  {
    std::map<std::string, store_item_pointer> mItems; // by key, including deletions
    std::uint64_t mRevision = 1;
    std::uint64_t mHistoryFrom = 0;
  };

  const std::size_t mItemsPerPage;
  std::uint64_t mEra = 0; // 0: the store does not state it
  bool mFails = false;
  state mState;
  state mCopy;
  std::vector<std::function<void()>> mHooks;
};

// Carries out the read commands of one daemon.
class store_reader
{
public:
  // The store, the clock and the hook must outlive the reader.
  store_reader(fake_store& aStore, event_queue& aEvents, std::function<void(fact)> aDeliver);
  store_reader(const store_reader&) = delete;
  store_reader& operator=(const store_reader&) = delete;

  void Read(const read_store_page& aCommand);
  void Watch(const watch_store& aCommand);
  void Check(const check_store& aCommand);

  void FailWatch();
  // The connection of the waiting watch delivers nothing more; later reads work.
  void SilenceWatch();
  // While set, watches get no changes, as when the store drops its history.
  void SuppressWatchEvents(bool aSuppressed) { mWatchesSuppressed = aSuppressed; }
  // While cut, calls get no answer and end with their timeout.
  void Cut(bool aIsCut);
  // Time between a call and its answer, which states what the store had at the call.
  void SetDelay(micros aDelay) { mDelay = aDelay; }
  // The daemon ended: open calls get no answer.
  void EndCalls();

private:
  void Deliver(micros aAfter, fact aFact);

  fake_store& mStore;
  event_queue& mEvents;
  std::function<void(fact)> mDeliver;
  micros mDelay;
  bool mIsCut = false;
  bool mWatchesSuppressed = false;
  std::uint64_t mStart = 0; // of the daemon; answers to earlier starts are dropped
  std::optional<watch_store> mPendingWatch;
};

} // namespace redwingdock::testing

#endif
