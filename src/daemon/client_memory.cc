#include "daemon/client_memory.h"

#include "base/log_text.h"

#include <algorithm>
#include <utility>

namespace redwingdock {

namespace {

// Left to a process without clients: a daemon takes 3 MB on a quiet day of the users, and its state
// at the target size is projected to 10 MB (docs/CAPACITY.md, section 4).
constexpr std::size_t kOwnMemory = std::size_t{ 24 } * 1024 * 1024;
// Of a VM with less memory than that.
constexpr std::size_t kMinClientMemory = std::size_t{ 4 } * 1024 * 1024;
// Part of the rest that is counted. What is not counted are connections, copies that a reply has
// while it is handed over, and the gaps between blocks of the heap.
constexpr double kCountedShare = 0.625;
// Replies are longer than requests, and answers that are owed.
constexpr double kReadingShare = 0.125;
constexpr double kOpenShare = 0.125;
// After relief this part of a budget is free, so that clients are looked at in batches.
constexpr std::size_t kFreeDivisor = 4;

} // namespace

memory_shares MemoryShares(const process_limits& aLimits)
{
  const std::size_t rest = aLimits.mMemory > kOwnMemory + kMinClientMemory
                             ? aLimits.mMemory - kOwnMemory
                             : kMinClientMemory;
  const double counted = static_cast<double>(rest) * kCountedShare;
  memory_shares shares;
  shares.mReading = static_cast<std::size_t>(counted * kReadingShare);
  shares.mOpen = static_cast<std::size_t>(counted * kOpenShare);
  shares.mReplies = static_cast<std::size_t>(counted) - shares.mReading - shares.mOpen;
  return shares;
}

client_memory::client_memory(io_loop& aLoop, const memory_shares& aShares, given_up_hook aOnGivenUp)
  : mLoop(aLoop)
  , mOnGivenUp(std::move(aOnGivenUp))
  , mBudgets{ std::make_shared<memory_budget>(aShares.mReading, RelieveLater(memory_use::Reading)),
              // Open requests are kept; admission control bounds them.
              std::make_shared<memory_budget>(aShares.mOpen, nullptr),
              std::make_shared<memory_budget>(aShares.mReplies, RelieveLater(memory_use::Replies)) }
{
}

void client_memory::AddHolder(memory_holder aHolder)
{
  mHolders.push_back(std::move(aHolder));
}

std::function<void()> client_memory::RelieveLater(memory_use aUse)
{
  return [this, aUse] {
    if (!mRelieving[static_cast<std::size_t>(aUse)].exchange(true)) {
      mLoop.Post([this, aUse] { Relieve(aUse); });
    }
  };
}

void client_memory::Relieve(memory_use aUse)
{
  mRelieving[static_cast<std::size_t>(aUse)] = false;
  const memory_budget& budget = *Budget(aUse);
  const std::size_t used = budget.Used();
  if (used <= budget.Limit()) {
    return;
  }
  std::vector<client_holding> holdings;
  for (std::size_t i = 0; i < mHolders.size(); ++i) {
    for (client_holding& each : mHolders[i].mHoldings(aUse)) {
      each.mServer = i;
      holdings.push_back(each);
    }
  }
  const std::size_t aim = budget.Limit() - budget.Limit() / kFreeDivisor;
  for (const client_holding& each : ChooseHoldings(std::move(holdings), used - aim)) {
    mHolders[each.mServer].mGiveUp(aUse, each);
    ++mGivenUp;
    mOnGivenUp(aUse, each);
  }
}

std::string GivenUpText(memory_use aUse, const client_holding& aHolding)
{
  return std::string("event=client_given_up limit=") + ToString(aUse) +
         " held_bytes=" + std::to_string(aHolding.mBytes) +
         " moved_bytes=" + std::to_string(aHolding.mMoved) + " held_ms=" + MsText(aHolding.mAge);
}

const char* ToString(memory_use aUse)
{
  switch (aUse) {
    case memory_use::Reading:
      return "reading";
    case memory_use::Open:
      return "open";
    case memory_use::Replies:
      return "replies";
  }
  return "";
}

} // namespace redwingdock
