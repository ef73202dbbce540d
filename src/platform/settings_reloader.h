#ifndef REDWINGDOCK_PLATFORM_SETTINGS_RELOADER_H
#define REDWINGDOCK_PLATFORM_SETTINGS_RELOADER_H

#include "daemon/tcp.h"
#include "platform/edge_settings.h"

#include <functional>
#include <mutex>
#include <string>

// Reloads the settings file after SIGHUP and when its content changes without a signal.
//
//   settings_reloader reloader(
//     loop, "boot.yaml", settings, [](const forward_config& aNew) { ... });
//   reloader.Start(); // checks the file for changes periodically

namespace redwingdock::platform {

class settings_reloader
{
public:
  using changed_hook = std::function<void(const forward_config&)>;

  // aCurrent are the settings that the file contained when the daemon read it at its start.
  settings_reloader(io_loop& aLoop,
                    std::string aPath,
                    edge_settings aCurrent,
                    changed_hook aOnChanged);
  settings_reloader(const settings_reloader&) = delete;
  settings_reloader& operator=(const settings_reloader&) = delete;

  // Checks the file every two seconds from now on.
  void Start();

  // Reads the file and calls the hook if a setting that a running daemon can change differs.
  // Logs the outcome: changed, unchanged, or refused with the line and key. The line says
  // rest=needs_restart if other settings differ, which take effect only at the next start.
  void Reload();

private:
  void CheckForChange();
  void Apply(const std::string& aText);

  io_loop& mLoop;
  const std::string mPath;
  const changed_hook mOnChanged;
  const micros mGrace;

  std::mutex mLock;
  edge_settings mCurrent;
  std::string mLastContent; // content of the file when it was last read
};

} // namespace redwingdock::platform

#endif
