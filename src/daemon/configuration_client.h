#ifndef REDWINGDOCK_DAEMON_CONFIGURATION_CLIENT_H
#define REDWINGDOCK_DAEMON_CONFIGURATION_CLIENT_H

#include "core/core.h"
#include "daemon/http_exchange.h"

#include <atomic>
#include <functional>
#include <string>
#include <vector>

// Reads and watches tables of the configuration service (docs/interfaces.md, section 3).
//
//   configuration_client configuration(loop, { "127.0.0.1:7900" }, [&](fact aFact) { ... });
//   configuration.Read({ table_kind::Routes, 12, std::chrono::seconds(20) });

namespace redwingdock {

class configuration_client
{
public:
  // Uses the first address, and after each failure the next one.
  configuration_client(io_loop& aLoop,
                       std::vector<std::string> aAddresses,
                       std::function<void(fact)> aPost);

  // Posts table_read, table_unchanged or table_read_failed once.
  void Read(const read_table& aCommand);

private:
  http_exchange_client mExchanges;
  const std::vector<std::string> mAddresses;
  const std::function<void(fact)> mPost;
  std::atomic<std::size_t> mCurrentAddress{ 0 };
};

// Converts the reply to a read into a fact.
fact ToTableFact(const read_table& aCommand,
                 instant aStartedAt,
                 const result<http_message>& aReply);

// Request target for a read, for example "/v1/vms?after=5&wait_ms=20000".
std::string TableRequestTarget(const read_table& aCommand);

} // namespace redwingdock

#endif
