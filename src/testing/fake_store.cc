#include "testing/fake_store.h"

#include <utility>

namespace redwingdock::testing {

namespace {

constexpr micros kStoreDelay = std::chrono::milliseconds(4);
// A read without a reply ends this long after its wait.
constexpr micros kReplyTimeout = std::chrono::milliseconds(900);

store_read_failed Unavailable(std::uint64_t aReadNumber)
{
  return { aReadNumber, store_failure::Unavailable, {} };
}

} // namespace

fake_store::fake_store(const fake_store_options& aOptions)
  : mItemsPerPage(aOptions.mItemsPerPage)
  , mEra(aOptions.mStatesEra ? 1 : 0)
{
}

void fake_store::Publish(store_item aItem)
{
  aItem.mRevision = ++mState.mRevision;
  const std::string key = aItem.mKey;
  mState.mItems[key] = std::make_shared<const store_item>(std::move(aItem));
  for (const auto& hook : mHooks) {
    hook();
  }
}

void fake_store::Restore()
{
  mState = mCopy;
  mEra += mEra > 0 ? 1 : 0;
}

store_page_read fake_store::PageAfter(const read_store_page& aCommand) const
{
  store_page_read page;
  page.mReadNumber = aCommand.mReadNumber;
  page.mAsOf = Position();
  const auto& items = mState.mItems;
  for (auto it = items.upper_bound(aCommand.mAfter); it != items.end() && !page.mMore; ++it) {
    if (std::holds_alternative<deleted_value>(it->second->mValue)) {
      continue;
    }
    page.mMore = page.mItems.size() == mItemsPerPage;
    if (!page.mMore) {
      page.mItems.push_back(it->second);
    }
  }
  return page;
}

bool fake_store::HasHistoryAfter(std::uint64_t aRevision) const
{
  return aRevision >= mState.mHistoryFrom && aRevision <= mState.mRevision;
}

std::vector<store_item_pointer> fake_store::ChangesAfter(std::uint64_t aRevision) const
{
  std::vector<store_item_pointer> changes;
  for (const auto& [key, item] : mState.mItems) {
    if (item->mRevision > aRevision) {
      changes.push_back(item);
    }
  }
  return changes;
}

store_item_pointer fake_store::Find(const std::string& aKey) const
{
  const auto found = mState.mItems.find(aKey);
  const bool exists =
    found != mState.mItems.end() && !std::holds_alternative<deleted_value>(found->second->mValue);
  return exists ? found->second : nullptr;
}

store_reader::store_reader(fake_store& aStore,
                           event_queue& aEvents,
                           std::function<void(fact)> aDeliver)
  : mStore(aStore)
  , mEvents(aEvents)
  , mDeliver(std::move(aDeliver))
  , mDelay(kStoreDelay)
{
  mStore.OnChange([this] {
    if (mPendingWatch && mPendingWatch->mAfter < mStore.Position().mRevision) {
      Watch(*std::exchange(mPendingWatch, std::nullopt));
    }
  });
}

void store_reader::Deliver(micros aAfter, fact aFact)
{
  mEvents.After(aAfter, [this, start = mStart, answer = std::move(aFact)] {
    if (mStart == start) {
      mDeliver(answer);
    }
  });
}

void store_reader::Read(const read_store_page& aCommand)
{
  if (mIsCut) {
    Deliver(kReplyTimeout, Unavailable(aCommand.mReadNumber));
  } else if (mStore.IsFailing()) {
    Deliver(mDelay, Unavailable(aCommand.mReadNumber));
  } else {
    Deliver(mDelay, mStore.PageAfter(aCommand));
  }
}

void store_reader::Watch(const watch_store& aCommand)
{
  if (mIsCut) {
    Deliver(aCommand.mWait + kReplyTimeout, Unavailable(aCommand.mReadNumber));
    return;
  }
  if (mStore.IsFailing()) {
    Deliver(mDelay, Unavailable(aCommand.mReadNumber));
    return;
  }
  if (!mStore.HasHistoryAfter(aCommand.mAfter)) {
    Deliver(mDelay, store_read_failed{ aCommand.mReadNumber, store_failure::HistoryGone, {} });
    return;
  }
  store_changes_read changes{ aCommand.mReadNumber,
                              mStore.ChangesAfter(aCommand.mAfter),
                              mStore.Position() };
  if (!changes.mItems.empty() && !mWatchesSuppressed) {
    Deliver(mDelay, std::move(changes));
    return;
  }
  mPendingWatch = aCommand;
  mEvents.After(aCommand.mWait, [this, start = mStart, read = aCommand.mReadNumber] {
    if (mStart == start && mPendingWatch && mPendingWatch->mReadNumber == read) {
      mPendingWatch.reset();
      mDeliver(store_changes_read{ read, {}, mStore.Position() });
    }
  });
}

void store_reader::Check(const check_store& aCommand)
{
  store_checked checked{ aCommand.mCheckNumber };
  if (!mIsCut && !mStore.IsFailing()) {
    checked.mAsOf = mStore.Position();
  }
  Deliver(mIsCut ? kReplyTimeout : mDelay, std::move(checked));
}

void store_reader::FailWatch()
{
  if (mPendingWatch) {
    const watch_store cut = *std::exchange(mPendingWatch, std::nullopt);
    mDeliver(Unavailable(cut.mReadNumber));
  }
}

void store_reader::SilenceWatch()
{
  if (mPendingWatch) {
    const watch_store silent = *std::exchange(mPendingWatch, std::nullopt);
    Deliver(silent.mWait + kReplyTimeout, Unavailable(silent.mReadNumber));
  }
}

void store_reader::Cut(bool aIsCut)
{
  mIsCut = aIsCut;
  if (aIsCut) {
    SilenceWatch();
  }
}

void store_reader::EndCalls()
{
  ++mStart;
  mPendingWatch.reset();
}

} // namespace redwingdock::testing
