#include "standin/platform.h"

#include <algorithm>

namespace redwingdock::standin {

namespace {

struct work
{
  platform_state mState;
  std::vector<platform_command> mCommands;
  instant mNow;
};

void Reply(work& aWork, std::uint64_t aRequest, unsigned aStatus, published_table aTable)
{
  aWork.mCommands.emplace_back(
    reply_table{ aRequest, aStatus, std::move(aTable), aWork.mState.mDelay });
}

// Replies to the watches that a newer table ends.
void EndWatches(work& aWork)
{
  std::erase_if(aWork.mState.mWatches, [&](const auto& aItem) {
    const auto& [request, watch] = aItem;
    const published_table& table = aWork.mState.mServed[watch.mKind];
    if (table.mRevision <= watch.mAfter) {
      return false;
    }
    Reply(aWork, request, 200, table);
    return true;
  });
}

void CountRead(work& aWork, const table_asked& aAsked)
{
  read_counts& counts = aWork.mState.mCounts;
  ++counts.mReads[aAsked.mKind];
  counts.mWatches += aAsked.mAfter ? 1 : 0;
  if (aWork.mNow - counts.mSecond >= std::chrono::seconds(1)) {
    counts.mSecond = aWork.mNow;
    counts.mInSecond = 0;
  }
  counts.mMostInSecond = std::max(counts.mMostInSecond, ++counts.mInSecond);
}

void On(work& aWork, const table_asked& aEvent)
{
  CountRead(aWork, aEvent);
  const published_table& table = aWork.mState.mServed[aEvent.mKind];
  if (aWork.mState.mMode == service_mode::Error) {
    Reply(aWork, aEvent.mRequest, 500, {});
  } else if (aWork.mState.mMode == service_mode::Ok) {
    if (!aEvent.mAfter || table.mRevision > *aEvent.mAfter) {
      Reply(aWork, aEvent.mRequest, 200, table);
    } else {
      aWork.mState.mWatches[aEvent.mRequest] = { aEvent.mKind, *aEvent.mAfter };
      aWork.mCommands.emplace_back(watch_later{ aEvent.mRequest, aEvent.mWait });
    }
  }
}

void On(work& aWork, const watch_due& aEvent)
{
  const auto found = aWork.mState.mWatches.find(aEvent.mRequest);
  if (found != aWork.mState.mWatches.end() && aWork.mState.mMode == service_mode::Ok) {
    Reply(aWork, aEvent.mRequest, 204, { aWork.mState.mServed[found->second.mKind].mRevision, {} });
    aWork.mState.mWatches.erase(found);
  }
}

void On(work& aWork, const reader_gone& aEvent)
{
  aWork.mState.mWatches.erase(aEvent.mRequest);
}

void On(work& aWork, const publish_table& aEvent)
{
  aWork.mState.mTables[aEvent.mKind] = aEvent.mTable;
  if (!aWork.mState.mStale) {
    aWork.mState.mServed[aEvent.mKind] = aEvent.mTable;
    if (aWork.mState.mMode == service_mode::Ok) {
      EndWatches(aWork);
    }
  }
}

void On(work& aWork, const set_platform& aEvent)
{
  const bool wasOpen = aWork.mState.mMode != service_mode::Off;
  const bool open = aEvent.mMode != service_mode::Off;
  aWork.mState.mMode = aEvent.mMode;
  aWork.mState.mStale = aEvent.mStale;
  aWork.mState.mDelay = aEvent.mDelay;
  if (!aEvent.mStale) {
    aWork.mState.mServed = aWork.mState.mTables;
  }
  if (wasOpen != open) {
    aWork.mState.mWatches.clear();
    aWork.mCommands.emplace_back(listen_platform{ open });
  }
  if (aEvent.mMode == service_mode::Ok) {
    EndWatches(aWork);
  }
}

void On(work& aWork, const reset_reads& /*aEvent*/)
{
  aWork.mState.mCounts = {};
}

} // namespace

platform_step Step(const platform_state& aState, const platform_event& aEvent, instant aNow)
{
  work next{ aState, {}, aNow };
  std::visit([&](const auto& aOne) { On(next, aOne); }, aEvent);
  return { std::move(next.mState), std::move(next.mCommands) };
}

} // namespace redwingdock::standin
