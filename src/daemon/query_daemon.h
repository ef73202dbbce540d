#ifndef REDWINGDOCK_DAEMON_QUERY_DAEMON_H
#define REDWINGDOCK_DAEMON_QUERY_DAEMON_H

#include "assembly/record_search.h"
#include "daemon/backend_client.h"
#include "daemon/caller_api.h"
#include "daemon/core_driver.h"
#include "daemon/http_server.h"
#include "daemon/metrics.h"
#include "daemon/peer_streams.h"
#include "daemon/platform_client.h"
#include "settings/settings.h"

#include <condition_variable>
#include <mutex>
#include <string>

// One daemon: the core on Asio. Several can run in one process.
//
//   query_daemon daemon(settings, record_search_hooks{});
//   result<daemon_addresses> bound = daemon.Start();
//   daemon.WaitForEnd();

namespace redwingdock {

// A random incarnation of 12 hexadecimal digits.
std::string RandomIncarnation();

// Bound addresses; they differ from the settings where those have port 0.
struct daemon_addresses
{
  std::string mCallers;
  std::string mPeers;
  std::string mOperators;
};

class query_daemon
{
public:
  // An empty mIncarnation in the settings is replaced by a random one.
  query_daemon(daemon_settings aSettings, const record_search_hooks& aHooks);
  // Ends the daemon at once.
  ~query_daemon();
  query_daemon(const query_daemon&) = delete;
  query_daemon& operator=(const query_daemon&) = delete;

  // Binds the addresses and starts the threads.
  result<daemon_addresses> Start();

  // Asks for a planned stop, from any thread.
  void AskStop();
  // SIGINT and SIGTERM ask for a planned stop; a second signal ends the daemon at once.
  void StopOnSignals();
  // Blocks until the planned stop is done. Returns whether it was, and not cut short.
  bool WaitForEnd();

  const core& Core() const { return mDriver.Core(); }

private:
  enum class end_state
  {
    Running,
    Done,
    Cut,
  };

  void Execute(command& aCommand);
  void EndWhenAnswered(instant aLatest);
  void End(end_state aHow);
  void Stop();
  std::string MetricsText() const;

  const daemon_settings mSettings;
  io_loop mLoop;
  metrics mMetrics;
  request_id_source mNumbers{ 0 };
  core_driver mDriver;
  backend_client mBackends;
  platform_client mPlatform;
  peer_streams mPeers;
  caller_api mApi;
  http_server mCallerServer;
  http_server mOperatorServer;

  std::atomic<bool> mStopAsked{ false };
  std::mutex mEndLock;
  std::condition_variable mEnded;
  end_state mEnd = end_state::Running;
};

} // namespace redwingdock

#endif
