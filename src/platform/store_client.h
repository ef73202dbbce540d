#ifndef REDWINGDOCK_PLATFORM_STORE_CLIENT_H
#define REDWINGDOCK_PLATFORM_STORE_CLIENT_H

#include "core/core.h"
#include "daemon/http_pool.h"

#include <atomic>
#include <functional>
#include <string>

// Client for the read calls of the platform's store. Posts one fact for each command.
//
//   store_client store(loop, "10.0.0.7:8102", [&](fact aFact) { driver.Post(std::move(aFact)); });
//   store.Read(read_store_page{ 1, "" });

namespace redwingdock::platform {

class store_client
{
public:
  store_client(io_loop& aLoop, std::string aAddress, std::function<void(fact)> aPost);

  // Posts store_page_read or store_read_failed.
  void Read(const read_store_page& aCommand);
  // Posts store_changes_read or store_read_failed.
  void Watch(const watch_store& aCommand);

  // Posts store_checked.
  void Check(const check_store& aCommand);

private:
  template<typename Command>
  void StartRead(const Command& aCommand, const std::string& aTarget, micros aReplyTimeout);
  pool_request MakeRequest(const std::string& aTarget, micros aReplyTimeout, bool aNewConnection);

  http_pool mPool;
  const std::string mAddress;
  const std::function<void(fact)> mPost;
  std::atomic<std::uint64_t> mNextRequestId{ 0 };
  std::atomic<std::uint64_t> mLatestReadId{ 0 };
};

} // namespace redwingdock::platform

#endif
