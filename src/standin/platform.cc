#include "standin/platform.h"

#include <algorithm>

namespace redwingdock::standin {

namespace {

struct step_context
{
  platform_state mState;
  std::vector<platform_command> mCommands;
  instant mNow;
};

void Reply(step_context& aContext, std::uint64_t aRequest, unsigned aStatus, published_table aTable)
{
  aContext.mCommands.emplace_back(
    reply_table{ aRequest, aStatus, std::move(aTable), aContext.mState.mDelay });
}

// Replies to the watches that have an older revision than the served table.
void ReplyToOutdatedWatches(step_context& aContext)
{
  std::erase_if(aContext.mState.mWatches, [&](const auto& aItem) {
    const auto& [request, watch] = aItem;
    const published_table& table = aContext.mState.mServed[watch.mKind];
    if (table.mRevision <= watch.mAfter) {
      return false;
    }
    Reply(aContext, request, 200, table);
    return true;
  });
}

void CountRead(step_context& aContext, const table_requested& aRequest)
{
  read_counts& counts = aContext.mState.mCounts;
  ++counts.mReads[aRequest.mKind];
  counts.mWatches += aRequest.mAfter ? 1 : 0;
  if (aContext.mNow - counts.mSecondStart >= std::chrono::seconds(1)) {
    counts.mSecondStart = aContext.mNow;
    counts.mReadsInSecond = 0;
  }
  counts.mPeakReadsPerSecond = std::max(counts.mPeakReadsPerSecond, ++counts.mReadsInSecond);
}

void Handle(step_context& aContext, const table_requested& aEvent)
{
  CountRead(aContext, aEvent);
  const published_table& table = aContext.mState.mServed[aEvent.mKind];
  if (aContext.mState.mMode == service_mode::Error) {
    Reply(aContext, aEvent.mRequest, 500, {});
  } else if (aContext.mState.mMode == service_mode::Ok) {
    if (!aEvent.mAfter || table.mRevision > *aEvent.mAfter) {
      Reply(aContext, aEvent.mRequest, 200, table);
    } else {
      aContext.mState.mWatches[aEvent.mRequest] = { aEvent.mKind, *aEvent.mAfter };
      aContext.mCommands.emplace_back(schedule_watch_timeout{ aEvent.mRequest, aEvent.mWait });
    }
  }
}

void Handle(step_context& aContext, const watch_timed_out& aEvent)
{
  const auto found = aContext.mState.mWatches.find(aEvent.mRequest);
  if (found != aContext.mState.mWatches.end() && aContext.mState.mMode == service_mode::Ok) {
    Reply(aContext,
          aEvent.mRequest,
          204,
          { aContext.mState.mServed[found->second.mKind].mRevision, {} });
    aContext.mState.mWatches.erase(found);
  }
}

void Handle(step_context& aContext, const reader_disconnected& aEvent)
{
  aContext.mState.mWatches.erase(aEvent.mRequest);
}

void Handle(step_context& aContext, const publish_table& aEvent)
{
  aContext.mState.mTables[aEvent.mKind] = aEvent.mTable;
  if (!aContext.mState.mStale) {
    aContext.mState.mServed[aEvent.mKind] = aEvent.mTable;
    if (aContext.mState.mMode == service_mode::Ok) {
      ReplyToOutdatedWatches(aContext);
    }
  }
}

void Handle(step_context& aContext, const set_platform& aEvent)
{
  const bool wasOpen = aContext.mState.mMode != service_mode::Off;
  const bool open = aEvent.mMode != service_mode::Off;
  aContext.mState.mMode = aEvent.mMode;
  aContext.mState.mStale = aEvent.mStale;
  aContext.mState.mDelay = aEvent.mDelay;
  if (!aEvent.mStale) {
    aContext.mState.mServed = aContext.mState.mTables;
  }
  if (wasOpen != open) {
    aContext.mState.mWatches.clear();
    aContext.mCommands.emplace_back(set_platform_listening{ open });
  }
  if (aEvent.mMode == service_mode::Ok) {
    ReplyToOutdatedWatches(aContext);
  }
}

void Handle(step_context& aContext, const reset_read_counts& /*aEvent*/)
{
  aContext.mState.mCounts = {};
}

} // namespace

platform_step Step(const platform_state& aState, const platform_event& aEvent, instant aNow)
{
  step_context context{ aState, {}, aNow };
  std::visit([&](const auto& aAlternative) { Handle(context, aAlternative); }, aEvent);
  return { std::move(context.mState), std::move(context.mCommands) };
}

} // namespace redwingdock::standin
