#ifndef REDWINGDOCK_PLATFORM_SOAK_SOAK_DAEMONS_H
#define REDWINGDOCK_PLATFORM_SOAK_SOAK_DAEMONS_H

#include "daemon/tcp.h"
#include "platform/soak/soak_ledger.h"
#include "platform/soak/soak_plan.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

// Real processes of the daemon, as the platform runs them: SIGTERM, SIGKILL after the grace, and a
// new start at the same address.

namespace redwingdock::platform {

struct soak_process_options
{
  std::string mProgram; // path of redwingdock_edge
  std::string mFolder;  // of settings and logs
  std::string mNetwork; // first three numbers of the loopback addresses, such as "127.9.1"
  std::string mStore;   // "ip:port"
  std::size_t mDaemons = 5;
  micros mGrace = std::chrono::seconds(6);
  micros mRestartDelay = std::chrono::milliseconds(500);
  micros mQuota{ 0 }; // running time in each 100 ms; 0: no limit
  log_sink mLogSink = log_sink::File;

  auto operator<=>(const soak_process_options&) const = default;
};

// Called after each start of a daemon, with the daemon and the number of its earlier starts.
using start_hook = std::function<void(std::size_t, std::size_t)>;

class soak_daemons
{
public:
  soak_daemons(io_loop& aLoop, soak_process_options aOptions, start_hook aOnStart);
  // Kills what still runs.
  ~soak_daemons();
  soak_daemons(const soak_daemons&) = delete;
  soak_daemons& operator=(const soak_daemons&) = delete;

  std::string CallerAddress(std::size_t aDaemon) const;
  std::string DirectoryAddress(std::size_t aDaemon) const;
  std::string ReadinessAddress(std::size_t aDaemon) const;
  std::optional<std::size_t> DaemonAt(const std::string& aCallerAddress) const;

  void StartAll();
  void Terminate(std::size_t aDaemon);
  void Kill(std::size_t aDaemon);
  void Reload(std::size_t aDaemon);
  // Terminates all daemons, which do not start again.
  void TerminateAll();
  bool AllEnded() const;
  // The daemons that run and have got SIGTERM.
  std::vector<std::size_t> Stopping() const;

  std::vector<process_record> ProcessRecords() const;

private:
  struct process
  {
    pid_t mPid = 0; // 0 while it does not run
    std::size_t mProcessRecord = 0;
    std::thread mWaiter;
    std::uint32_t mReloads = 0;
    std::size_t mStarts = 0;
    int mLogReader = -1; // descriptor of the reading end of its log, or -1
  };

  std::string Ip(std::size_t aDaemon) const;
  void WriteSettings(std::size_t aDaemon, std::uint32_t aReloads) const;
  void Start(std::size_t aDaemon);
  bool Launch(std::size_t aDaemon);
  void Ended(std::size_t aDaemon, pid_t aPid, int aStatus);
  static void CloseLogReader(process& aProcess);
  void Signal(std::size_t aDaemon, int aSignal);
  void ApplyQuota(bool aRun);

  io_loop& mLoop;
  const soak_process_options mOptions;
  const start_hook mOnStart;
  mutable std::mutex mLock;
  std::vector<process> mProcesses;
  std::vector<process_record> mProcessRecords; // in the order of their starts
  std::vector<std::thread> mEndedWaiters;
  bool mEnding = false;
};

} // namespace redwingdock::platform

#endif
