#ifndef REDWINGDOCK_DAEMON_QUERY_DAEMON_H
#define REDWINGDOCK_DAEMON_QUERY_DAEMON_H

#include "assembly/record_search.h"
#include "daemon/backend_client.h"
#include "daemon/caller_api.h"
#include "daemon/client_connections.h"
#include "daemon/client_memory.h"
#include "daemon/configuration_client.h"
#include "daemon/core_driver.h"
#include "daemon/http_server.h"
#include "daemon/metrics.h"
#include "daemon/peer_streams.h"
#include "settings/settings.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>

// One daemon of the query tier: runs the core on Asio. Several can run in one process.
//
//   query_daemon daemon(settings, record_search_hooks{});
//   result<daemon_addresses> bound = daemon.Start();
//   daemon.WaitForEnd();

namespace redwingdock {

// A random incarnation of 12 hexadecimal digits.
std::string RandomIncarnation();

// Addresses the daemon is bound to. They differ from the settings where those give port 0.
struct daemon_addresses
{
  std::string mCallers;
  std::string mPeers;
  std::string mOperators;
};

class query_daemon
{
public:
  // Replaces an empty mIncarnation in the settings by a random one, and the default seed by a
  // random seed.
  query_daemon(daemon_settings aSettings, const record_search_hooks& aHooks);
  // Stops the daemon immediately, without a planned stop.
  ~query_daemon();
  query_daemon(const query_daemon&) = delete;
  query_daemon& operator=(const query_daemon&) = delete;

  // Binds the addresses and starts the threads. Fails if an address cannot be opened.
  result<daemon_addresses> Start();

  // Starts a planned stop. The second call ends it: open queries are answered at once with what is
  // known. May be called from any thread.
  void RequestStop();
  // Makes SIGINT and SIGTERM call RequestStop().
  // SIGHUP is ignored.
  void StopOnSignals();
  // Blocks until the daemon stops. Returns true if the planned stop was completed, and false if a
  // second request aborted it.
  bool WaitForEnd();

  const core& Core() const { return mDriver.Core(); }

private:
  void Execute(command& aCommand);
  void CloseCallers();
  void EndWhenFlushed(instant aLatest);
  void RefusePartlyRead();
  void End();
  void Stop();
  std::string MetricsText() const;

  const daemon_settings mSettings;
  io_loop mLoop;
  metrics mMetrics;
  request_id_source mRequestIds{ 0 };
  core_driver mDriver;
  backend_client mBackends;
  configuration_client mConfigurationClient;
  peer_streams mPeers;
  caller_api mCallerApi;
  const connection_shares mConnectionShares;
  client_memory mMemory;
  http_server mCallerServer;
  http_server mOperatorServer;

  std::atomic<bool> mStopRequested{ false };
  std::atomic<bool> mAborted{ false };
  std::atomic<bool> mCallersClosing{ false };
  std::atomic<std::uint64_t> mUnexpectedErrors{ 0 };
  std::mutex mEndLock;
  std::condition_variable mEndCondition;
  bool mHasEnded = false;
};

} // namespace redwingdock

#endif
