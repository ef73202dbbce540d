#ifndef REDWINGDOCK_PLATFORM_SOAK_SOAK_ADDRESSES_H
#define REDWINGDOCK_PLATFORM_SOAK_SOAK_ADDRESSES_H

#include "daemon/http_exchange.h"
#include "platform/soak/soak_client.h"
#include "platform/soak/soak_daemons.h"

#include <atomic>
#include <deque>
#include <mutex>
#include <utility>
#include <vector>

// The lists of addresses that the daemons of a soak gave, with their times.

namespace redwingdock::platform {

class address_lists
{
public:
  address_lists(io_loop& aLoop, const soak_daemons& aDaemons, std::size_t aCount);

  // Asks the daemons in turn.
  void Start();
  // The list that was the newest at this time, or the first one.
  std::vector<soak_target> At(instant aTime) const;

private:
  void Ask(std::size_t aTried);
  bool Add(const std::string& aBody);

  io_loop& mLoop;
  const soak_daemons& mDaemons;
  const std::size_t mCount;
  http_exchange_client mExchanges;
  std::atomic<std::size_t> mNext{ 0 };
  mutable std::mutex mLock;
  std::deque<std::pair<instant, std::vector<soak_target>>> mLists;
};

} // namespace redwingdock::platform

#endif
