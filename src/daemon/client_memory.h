#ifndef REDWINGDOCK_DAEMON_CLIENT_MEMORY_H
#define REDWINGDOCK_DAEMON_CLIENT_MEMORY_H

#include "daemon/client_choice.h"
#include "daemon/memory_budget.h"
#include "daemon/tcp.h"
#include "settings/process_limits.h"

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

// The memory that clients may make the process hold, over all connections of all its servers. When
// a part of it is used up, the clients that hold most and move least are given up.
//
//   client_memory memory(loop, MemoryShares(settings.mLimits), hooks);
//   http_server server(loop, requestIds, serverHooks, limits, &memory);

namespace redwingdock {

// What bytes are held for. Each has a budget of its own, so that none takes the room of the others.
enum class memory_use
{
  Reading, // requests that are not read whole, and what is pipelined behind an open one
  Open,    // requests whose answer is owed
  Replies, // replies that are read from replicas, wait for other parts, or wait to be sent
};

// Limits in bytes.
struct memory_shares
{
  std::size_t mReading = 0;
  std::size_t mOpen = 0;
  std::size_t mReplies = 0;

  auto operator<=>(const memory_shares&) const = default;
};

memory_shares MemoryShares(const process_limits& aLimits);

// A server whose clients hold memory.
struct memory_holder
{
  // What the clients hold and the server can give up, for Reading or Replies.
  std::function<std::vector<client_holding>(memory_use)> mHoldings;
  // Gives up what a client holds. Does nothing when the connection has changed its state meanwhile.
  std::function<void(memory_use, const client_holding&)> mGiveUp;
};

class client_memory
{
public:
  // Called for each client that is given up.
  using given_up_hook = std::function<void(memory_use, const client_holding&)>;

  client_memory(io_loop& aLoop, const memory_shares& aShares, given_up_hook aOnGivenUp);

  // Call before the loop starts.
  void AddHolder(memory_holder aHolder);

  const std::shared_ptr<memory_budget>& Budget(memory_use aUse) const
  {
    return mBudgets[static_cast<std::size_t>(aUse)];
  }
  std::uint64_t GivenUp() const { return mGivenUp; }

private:
  static constexpr std::size_t kUses = 3;

  std::function<void()> RelieveLater(memory_use aUse);
  // Gives up clients until a margin below the limit is free.
  void Relieve(memory_use aUse);

  io_loop& mLoop;
  const given_up_hook mOnGivenUp;
  std::vector<memory_holder> mHolders;
  std::array<std::atomic<bool>, kUses> mRelieving{};
  std::atomic<std::uint64_t> mGivenUp{ 0 };
  const std::array<std::shared_ptr<memory_budget>, kUses> mBudgets; // by memory_use
};

const char* ToString(memory_use aUse);

// The text of a log line for a client that was given up.
std::string GivenUpText(memory_use aUse, const client_holding& aHolding);

} // namespace redwingdock

#endif
