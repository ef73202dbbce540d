#ifndef REDWINGDOCK_PLATFORM_EDGE_DAEMON_H
#define REDWINGDOCK_PLATFORM_EDGE_DAEMON_H

#include "assembly/forwarding.h"
#include "daemon/client_connections.h"
#include "daemon/client_memory.h"
#include "daemon/core_driver.h"
#include "daemon/http_pool.h"
#include "daemon/http_server.h"
#include "daemon/metrics.h"
#include "daemon/udp_socket.h"
#include "platform/edge_settings.h"
#include "platform/settings_reloader.h"
#include "platform/store_client.h"

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <string>

// A daemon on the users' platform: runs the forwarding core on Asio and speaks the platform's
// protocols.
//
//   edge_daemon daemon(settings, forward_hooks{});
//   result<edge_addresses> bound = daemon.Start();
//   daemon.WaitForEnd();

namespace redwingdock::platform {

// Addresses the daemon is bound to. They differ from the settings where those give port 0.
struct edge_addresses
{
  std::string mCallers;
  std::string mReadiness;
  std::string mAddresses;
  std::string mPeers;
  std::string mMetrics;
};

class edge_daemon
{
public:
  edge_daemon(edge_settings aSettings, const forward_hooks& aHooks);
  // Stops the daemon immediately, without a planned stop.
  ~edge_daemon();
  edge_daemon(const edge_daemon&) = delete;
  edge_daemon& operator=(const edge_daemon&) = delete;

  // Makes SIGINT and SIGTERM start a planned stop, and SIGHUP or a change of the settings file
  // reload the settings. Call it before Start().
  void HandleSignalsAndReload(const std::string& aSettingsFile);

  // Binds the addresses and starts the threads. Fails if an address cannot be opened.
  result<edge_addresses> Start();

  // Starts a planned stop. May be called from any thread.
  void RequestStop();
  // Blocks until the planned stop is done.
  void WaitForEnd();

  const core& Core() const { return mDriver.Core(); }

private:
  // A client's request that has not been answered yet.
  struct pending_request
  {
    std::shared_ptr<const http_message> mMessage;
    instant mArrivedAt{};
    memory_charge mOpen{};     // of the request
    memory_charge mExpected{}; // for its reply
  };

  using request_map = sharded_map<std::uint64_t, pending_request>;

  void OnRequest(std::uint64_t aRequestId, const http_message& aMessage);
  void OnClientDisconnected(std::uint64_t aRequestId);
  void OnControlRequest(std::uint64_t aRequestId, const http_message& aMessage);
  void OnMetricsRequest(std::uint64_t aRequestId, const http_message& aMessage);
  void OnDatagram(std::string_view aBytes);
  client_room Room() const;
  // The reply, counted for as long as it exists.
  reply_pointer Counted(reply_pointer aReply);
  void Execute(command& aCommand);
  void Execute(const send_attempt& aCommand);
  void Execute(const answer_request& aCommand);
  void Execute(const check_replica& aCommand);
  void Execute(const apply_client_limits& aCommand);
  // Clients that have their replies get until aCloseUntil to close.
  void EndWhenFlushed(const exit_process& aCommand, instant aCloseUntil);
  void RefusePartlyRead();
  void End(bool aTimeLimit);
  bool IsReady() const;
  double MemoryUsed(memory_use aUse) const;
  std::string MetricsText() const;

  const edge_settings mSettings;
  io_loop mLoop;
  metrics mMetrics;
  request_id_source mRequestIds{ 0 };
  const connection_shares mConnectionShares;
  client_memory mMemory;
  const std::shared_ptr<memory_budget> mExpectedReplies; // of open requests
  core_driver mDriver;
  request_map mRequests;
  http_pool mReplicaPool;
  store_client mStore;
  udp_socket mPeers;
  http_server mCallerServer;
  http_server mReadinessServer;
  http_server mAddressServer;
  http_server mMetricsServer;
  std::unique_ptr<settings_reloader> mSettingsReloader;

  std::atomic<std::uint64_t> mUnexpectedErrors{ 0 };
  std::atomic<std::size_t> mStopSignals{ 0 };
  std::atomic<instant> mStopRequestedAt{ kNever }; // the first time
  std::mutex mEndLock;
  std::condition_variable mEndCondition;
  bool mHasEnded = false;
};

} // namespace redwingdock::platform

#endif
