#ifndef REDWINGDOCK_PLATFORM_STORE_CALLS_H
#define REDWINGDOCK_PLATFORM_STORE_CALLS_H

#include "core/core.h"
#include "daemon/http_pool.h"

#include <atomic>
#include <functional>
#include <string>

// The read calls of the platform's store. Each command is answered by one fact.
//
//   store_calls store(loop, "10.0.0.7:8102", [&](fact aFact) { driver.Post(std::move(aFact)); });
//   store.Read(read_store_page{ 1, "" });

namespace redwingdock::platform {

class store_calls
{
public:
  store_calls(io_loop& aLoop, std::string aAddress, std::function<void(fact)> aPost);

  void Read(const read_store_page& aCommand);
  void Watch(const watch_store& aCommand);

private:
  template<typename Command>
  void Call(const Command& aCommand, const std::string& aTarget, micros aReplyTime);

  http_pool mPool;
  const std::string mAddress;
  const std::function<void(fact)> mPost;
  std::atomic<std::uint64_t> mNextCall{ 0 };
};

} // namespace redwingdock::platform

#endif
